//! The connections to the endpoints: which calls may start where, and what rests for the next one.

use crate::machine::connection::{ConnectionInput, EndpointConnection};
use quillmount_policy::Micros;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A connection that rests, of whatever kind the driver has.
#[derive(Clone, Debug)]
struct IdleConnection<C> {
    machine: EndpointConnection,
    addr: SocketAddr,
    connection: C,
}

/// What is held for one endpoint. A new endpoint at the same address has its own.
#[derive(Clone, Debug)]
struct EndpointConnections<C> {
    /// Calls may not start: it drains or is gone.
    shut: bool,
    backoff_until: Micros,
    /// The oldest first.
    idle: Vec<IdleConnection<C>>,
}

impl<C> Default for EndpointConnections<C> {
    fn default() -> Self {
        EndpointConnections { shut: false, backoff_until: 0, idle: Vec::new() }
    }
}

/// The pool. Connections that it gives back are to be closed; dropping them is enough on sockets.
#[derive(Clone, Debug)]
pub struct Pool<C> {
    /// How long a connection may rest.
    idle_timeout: Micros,
    /// Connections at once, those of calls included.
    connections_max: usize,
    calls: usize,
    /// Connections that rest, of all endpoints.
    idle_count: usize,
    all: HashMap<u32, EndpointConnections<C>>,
}

impl<C> Pool<C> {
    /// `idle`: when an endpoint closes a connection that stands idle, in microseconds; `most` connections
    /// at once, those of calls included.
    pub fn new(keepalive: Micros, connections_max: usize) -> Self {
        // A request that is written as the endpoint closes is reset: stay clear of that moment.
        let idle_timeout = keepalive.saturating_sub(1_000_000).max(keepalive / 2);
        Pool { idle_timeout, connections_max, calls: 0, idle_count: 0, all: HashMap::new() }
    }

    /// Calls to the endpoint may start, or not any more.
    pub fn set_gate(&mut self, endpoint: u32, open: bool) -> Vec<C> {
        self.all.entry(endpoint).or_default().shut = !open;
        if open { Vec::new() } else { self.close_idle(endpoint) }
    }

    /// No call may start there before then.
    pub fn back_off(&mut self, endpoint: u32, until: Micros) {
        let endpoint = self.all.entry(endpoint).or_default();
        endpoint.backoff_until = endpoint.backoff_until.max(until);
    }

    /// Until when none may; in the past, or 0, where nothing was told.
    pub fn backoff_until(&self, endpoint: u32) -> Micros {
        self.all.get(&endpoint).map_or(0, |p| p.backoff_until)
    }

    /// Whether a call may start there now.
    pub fn is_open(&self, endpoint: u32, now: Micros) -> bool {
        self.all.get(&endpoint).is_none_or(|p| !p.shut && now >= p.backoff_until)
    }

    /// Closes what rests there; a call that is out closes its own when it ends.
    pub fn close_idle(&mut self, endpoint: u32) -> Vec<C> {
        let Some(endpoint) = self.all.get_mut(&endpoint) else { return Vec::new() };
        self.idle_count -= endpoint.idle.len();
        let all = endpoint.idle.drain(..);
        all.map(|mut r| (r.machine.step(ConnectionInput::Close, 0), r.connection).1).collect()
    }

    /// The endpoint is gone for good.
    pub fn forget(&mut self, endpoint: u32) -> Vec<C> {
        let gone = self.close_idle(endpoint);
        self.all.remove(&endpoint);
        gone
    }

    /// A call begins: it counts, and gets the connection that was used last there, since the others come
    /// to an age where they can be closed. What was not `quiet` meanwhile is of no use.
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

    /// Takes one that rests, wherever it does, and the endpoint to which it leads; it is looked for at
    /// `endpoint` first.
    pub fn take_idle(
        &mut self,
        endpoint: u32,
        which: impl Fn(&C) -> bool,
    ) -> Option<(u32, SocketAddr, EndpointConnection, C)> {
        let at = |p: &EndpointConnections<C>| p.idle.iter().position(|r| which(&r.connection));
        let here = self.all.get(&endpoint).and_then(at).map(|n| (endpoint, n));
        let (found, n) = here.or_else(|| self.all.iter().find_map(|(found, p)| Some((*found, at(p)?))))?;
        let IdleConnection { machine, addr, connection } = self.all.get_mut(&found)?.idle.remove(n);
        self.idle_count -= 1;
        Some((found, addr, machine, connection))
    }

    /// Takes out all that rests: the endpoint, its address, since when, and the connection.
    pub fn take_all_idle(&mut self) -> Vec<(u32, SocketAddr, Micros, C)> {
        self.idle_count = 0;
        let all = self.all.iter_mut().flat_map(|(n, p)| p.idle.drain(..).map(|r| (*n, r)));
        all.filter_map(|(n, r)| Some((n, r.addr, r.machine.since()?, r.connection))).collect()
    }

    /// One that rested in another process; given back where none may rest there.
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

    /// A call of another process goes on here.
    pub fn resume_call(&mut self) {
        self.calls += 1;
    }

    /// Until when which endpoints take no call: what they have told to wait.
    pub fn backoffs(&self) -> Vec<(u32, Micros)> {
        self.all.iter().filter(|(_, p)| p.backoff_until > 0).map(|(n, p)| (*n, p.backoff_until)).collect()
    }

    /// A connection for a call that found none.
    pub fn open(&self) -> EndpointConnection {
        EndpointConnection::opening(self.idle_timeout)
    }

    /// A call ended whose connection may serve another; given back where it may not after all.
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

    /// A call is over, or has closed its connection.
    pub fn end(&mut self) {
        debug_assert!(self.calls > 0, "an end for each beginning");
        self.calls = self.calls.saturating_sub(1);
    }

    /// Closes what has rested for too long, or was closed from the other side.
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

    /// Before a connection is opened: of all that rest the longest resting goes, where room is short.
    pub fn evict_idle(&mut self) -> Option<C> {
        if self.calls + self.idle_count <= self.connections_max {
            return None;
        }
        // The oldest of a pool is its first.
        let since = |p: &EndpointConnections<C>| p.idle.first().and_then(|r| r.machine.since());
        let oldest = self.all.iter().filter_map(|(n, p)| Some((since(p)?, *n))).min()?.1;
        let mut oldest = self.all.get_mut(&oldest)?.idle.remove(0);
        oldest.machine.step(ConnectionInput::Close, 0);
        self.idle_count -= 1;
        Some(oldest.connection)
    }

    /// Calls that count, and connections that rest.
    pub fn load(&self) -> (usize, usize) {
        debug_assert_eq!(self.idle_count, self.all.values().map(|p| p.idle.len()).sum());
        (self.calls, self.idle_count)
    }

    /// What rests, by endpoint, with the time since when; for whoever explores it.
    pub fn idle(&self) -> impl Iterator<Item = (u32, &C, Micros)> {
        let mut all: Vec<_> = self.all.iter().collect();
        all.sort_by_key(|(n, _)| **n);
        all.into_iter().flat_map(|(n, p)| {
            p.idle.iter().map(|r| (*n, &r.connection, r.machine.since().unwrap_or_default()))
        })
    }

    /// Gate and hold of each endpoint.
    pub fn gates(&self) -> Vec<(u32, bool, Micros)> {
        let mut all: Vec<_> = self.all.iter().map(|(n, p)| (*n, !p.shut, p.backoff_until)).collect();
        all.sort_unstable();
        all
    }
}
