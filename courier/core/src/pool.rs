//! The connection pool: to which endpoints calls may start, and the idle connections for the next ones.
//!
//! The pool limits the number of connections. It counts calls in flight, each of which has at most one, and has the idle
//! connections itself; `C` is whatever the driver uses as a connection.

use crate::machine::connection::{ConnectionInput, EndpointConnection};
use quillmount_policy::Micros;
use std::collections::HashMap;
use std::net::SocketAddr;

/// An idle connection.
#[derive(Clone, Debug)]
struct IdleConnection<C> {
    machine: EndpointConnection,
    addr: SocketAddr,
    connection: C,
}

/// What is stored for one endpoint. A new endpoint at the same address has its own.
#[derive(Clone, Debug)]
struct EndpointConnections<C> {
    /// Calls may not start: the endpoint is draining or gone.
    shut: bool,
    /// No call may start before this time.
    backoff_until: Micros,
    /// The oldest first.
    idle: Vec<IdleConnection<C>>,
}

impl<C> Default for EndpointConnections<C> {
    fn default() -> Self {
        EndpointConnections { shut: false, backoff_until: 0, idle: Vec::new() }
    }
}

/// The pool. Connections that it returns to be closed may simply be dropped if they are sockets.
#[derive(Clone, Debug)]
pub struct Pool<C> {
    /// How long a connection may be idle.
    idle_timeout: Micros,
    /// The most connections at once, with those of calls.
    connections_max: usize,
    /// The calls in flight.
    calls: usize,
    /// The idle connections of all endpoints.
    idle_count: usize,
    all: HashMap<u32, EndpointConnections<C>>,
}

impl<C> Pool<C> {
    /// An empty pool. `keepalive` is the time after which endpoints close an idle connection, in microseconds, and
    /// `connections_max` the most connections at once, with those of calls.
    pub fn new(keepalive: Micros, connections_max: usize) -> Self {
        // A request that is written while the endpoint closes the connection is reset: close it well before.
        let idle_timeout = keepalive.saturating_sub(1_000_000).max(keepalive / 2);
        Pool { idle_timeout, connections_max, calls: 0, idle_count: 0, all: HashMap::new() }
    }

    /// Calls to the endpoint may start, or may not any more. Returns connections to close.
    pub fn set_gate(&mut self, endpoint: u32, open: bool) -> Vec<C> {
        self.all.entry(endpoint).or_default().shut = !open;
        if open { Vec::new() } else { self.close_idle(endpoint) }
    }

    /// No call to the endpoint may start before this time.
    pub fn back_off(&mut self, endpoint: u32, until: Micros) {
        let endpoint = self.all.entry(endpoint).or_default();
        endpoint.backoff_until = endpoint.backoff_until.max(until);
    }

    /// Until when no call to the endpoint may start: a time in the past, or 0, if there is no such limit.
    pub fn backoff_until(&self, endpoint: u32) -> Micros {
        self.all.get(&endpoint).map_or(0, |p| p.backoff_until)
    }

    /// Whether a call to the endpoint may start now.
    pub fn is_open(&self, endpoint: u32, now: Micros) -> bool {
        self.all.get(&endpoint).is_none_or(|p| !p.shut && now >= p.backoff_until)
    }

    /// Removes the endpoint's idle connections and returns them to be closed. A call in flight closes its own when it ends.
    pub fn close_idle(&mut self, endpoint: u32) -> Vec<C> {
        let Some(endpoint) = self.all.get_mut(&endpoint) else { return Vec::new() };
        self.idle_count -= endpoint.idle.len();
        let all = endpoint.idle.drain(..);
        all.map(|mut r| (r.machine.step(ConnectionInput::Close, 0), r.connection).1).collect()
    }

    /// The endpoint is gone for good. Returns connections to close.
    pub fn forget(&mut self, endpoint: u32) -> Vec<C> {
        let gone = self.close_idle(endpoint);
        self.all.remove(&endpoint);
        gone
    }

    /// A call begins and is counted. Returns the endpoint's idle connection that was used last, so that the others grow old
    /// enough to be closed. A connection that was not `quiet` meanwhile can't be used.
    pub fn begin(
        &mut self,
        endpoint: u32,
        addr: SocketAddr,
        now: Micros,
        quiet: impl Fn(&C) -> bool,
    ) -> Option<(EndpointConnection, C)> {
        self.calls += 1;
        let idle = &mut self.all.get_mut(&endpoint)?.idle;
        while let Some(mut last) = idle.pop() {
            self.idle_count -= 1;
            let quiet = last.addr == addr && quiet(&last.connection);
            if !last.machine.step(ConnectionInput::Reused { quiet }, now) {
                return Some((last.machine, last.connection));
            }
        }
        None
    }

    /// Removes an idle connection that `matches`, of `endpoint` if it has one, else of any other. Returns its endpoint and
    /// address, too.
    pub fn take_idle(
        &mut self,
        endpoint: u32,
        matches: impl Fn(&C) -> bool,
    ) -> Option<(u32, SocketAddr, EndpointConnection, C)> {
        let at = |p: &EndpointConnections<C>| p.idle.iter().position(|r| matches(&r.connection));
        let here = self.all.get(&endpoint).and_then(at).map(|n| (endpoint, n));
        let (found, n) = here.or_else(|| self.all.iter().find_map(|(found, p)| Some((*found, at(p)?))))?;
        let IdleConnection { machine, addr, connection } = self.all.get_mut(&found)?.idle.remove(n);
        self.idle_count -= 1;
        Some((found, addr, machine, connection))
    }

    /// Removes all idle connections: of each the endpoint, the address, since when it is idle, and the connection.
    pub fn take_all_idle(&mut self) -> Vec<(u32, SocketAddr, Micros, C)> {
        self.idle_count = 0;
        let all = self.all.iter_mut().flat_map(|(n, p)| p.idle.drain(..).map(|r| (*n, r)));
        all.filter_map(|(n, r)| Some((n, r.addr, r.machine.since()?, r.connection))).collect()
    }

    /// Adds an idle connection of another process; returns it if the endpoint may have none.
    pub fn add_idle(&mut self, endpoint: u32, addr: SocketAddr, since: Micros, connection: C) -> Option<C> {
        let connections = self.all.entry(endpoint).or_default();
        if connections.shut {
            return Some(connection);
        }
        connections.idle.push(IdleConnection {
            machine: EndpointConnection::idle(self.idle_timeout, since),
            addr,
            connection,
        });
        self.idle_count += 1;
        None
    }

    /// A call of another process is resumed here and counted.
    pub fn resume_call(&mut self) {
        self.calls += 1;
    }

    /// The endpoints to which no call may start for a while, each with the time until when.
    pub fn backoffs(&self) -> Vec<(u32, Micros)> {
        self.all.iter().filter(|(_, p)| p.backoff_until > 0).map(|(n, p)| (*n, p.backoff_until)).collect()
    }

    /// The machine of a new connection, for a call that found no idle one.
    pub fn open(&self) -> EndpointConnection {
        EndpointConnection::opening(self.idle_timeout)
    }

    /// A call ended whose connection may serve another; returns the connection if it may not after all.
    pub fn keep_idle(
        &mut self,
        endpoint: u32,
        addr: SocketAddr,
        mut machine: EndpointConnection,
        connection: C,
        now: Micros,
    ) -> Option<C> {
        let connections = self.all.entry(endpoint).or_default();
        if machine.step(ConnectionInput::CallCompleted { open: !connections.shut }, now) {
            return Some(connection);
        }
        connections.idle.push(IdleConnection { machine, addr, connection });
        self.idle_count += 1;
        None
    }

    /// A call has ended, or has closed its connection: it is counted no more.
    pub fn end(&mut self) {
        debug_assert!(self.calls > 0, "each call ends once");
        self.calls = self.calls.saturating_sub(1);
    }

    /// Removes connections that were idle for too long, or were not `quiet`, and returns them to be closed.
    pub fn sweep(&mut self, now: Micros, quiet: impl Fn(&C) -> bool) -> Vec<C> {
        let mut gone = Vec::new();
        for endpoint in self.all.values_mut() {
            for mut r in std::mem::take(&mut endpoint.idle) {
                let quiet = quiet(&r.connection);
                if r.machine.step(ConnectionInput::Checked { quiet }, now) {
                    gone.push(r.connection);
                } else {
                    endpoint.idle.push(r);
                }
            }
        }
        self.idle_count -= gone.len();
        gone
    }

    /// Before a connection is opened: if there would be too many, removes the one that was idle longest and returns it to be
    /// closed.
    pub fn evict_idle(&mut self) -> Option<C> {
        if self.calls + self.idle_count <= self.connections_max {
            return None;
        }
        // The oldest connection of an endpoint is its first.
        let since = |p: &EndpointConnections<C>| p.idle.first().and_then(|r| r.machine.since());
        let oldest = self.all.iter().filter_map(|(n, p)| Some((since(p)?, *n))).min()?.1;
        let mut oldest = self.all.get_mut(&oldest)?.idle.remove(0);
        oldest.machine.step(ConnectionInput::Close, 0);
        self.idle_count -= 1;
        Some(oldest.connection)
    }

    /// The number of counted calls and of idle connections.
    pub fn load(&self) -> (usize, usize) {
        debug_assert_eq!(self.idle_count, self.all.values().map(|p| p.idle.len()).sum());
        (self.calls, self.idle_count)
    }

    /// The idle connections by endpoint, with the time since when; for exploration.
    pub fn idle(&self) -> impl Iterator<Item = (u32, &C, Micros)> {
        let mut all: Vec<_> = self.all.iter().collect();
        all.sort_by_key(|(n, _)| **n);
        all.into_iter().flat_map(|(n, p)| {
            p.idle.iter().map(|r| (*n, &r.connection, r.machine.since().unwrap_or_default()))
        })
    }

    /// Of each endpoint: whether calls may start, and not before when.
    pub fn gates(&self) -> Vec<(u32, bool, Micros)> {
        let mut all: Vec<_> = self.all.iter().map(|(n, p)| (*n, !p.shut, p.backoff_until)).collect();
        all.sort_unstable();
        all
    }
}
