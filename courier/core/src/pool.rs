//! The connection pool: to which endpoints calls may start, and the idle connections for the next ones.
//!
//! The pool limits the number of connections. It counts calls in flight, each of which has at most one, and has the idle
//! connections itself; `C` is whatever the driver uses as a connection.

use crate::machine::connection::{ConnectionInput, EndpointConnection};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// An idle connection.
#[derive(Clone, Debug)]
struct IdleConnection<C> {
    machine: EndpointConnection,
    addr: SocketAddr,
    connection: C,
}

/// The state of one endpoint. A new endpoint at the same address has its own.
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

/// An idle connection that was removed from the pool for a call, with its state machine.
#[derive(Clone, Debug)]
pub struct TakenConnection<C> {
    /// The endpoint for which it was opened.
    pub endpoint: u32,
    /// The address to which it was opened.
    pub addr: SocketAddr,
    /// Its state machine, still in the idle state.
    pub machine: EndpointConnection,
    /// The connection.
    pub connection: C,
}

/// An idle connection that was removed from the pool to be handed over to another process.
#[derive(Clone, Debug)]
pub struct DetachedConnection<C> {
    /// The endpoint for which it was opened.
    pub endpoint: u32,
    /// The address to which it was opened.
    pub addr: SocketAddr,
    /// When it became idle.
    pub idle_since: Micros,
    /// The connection.
    pub connection: C,
}

/// An idle connection in the pool, for exploration.
#[derive(Clone, Copy, Debug)]
pub struct IdleView<'a, C> {
    /// The endpoint for which it was opened.
    pub endpoint: u32,
    /// The connection.
    pub connection: &'a C,
    /// When it became idle.
    pub idle_since: Micros,
}

/// Whether calls to an endpoint may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointGate {
    /// The endpoint.
    pub endpoint: u32,
    /// The endpoint accepts calls: it is neither draining nor gone.
    pub open: bool,
    /// No call may start before this time; a time in the past, or 0, if there is no such limit.
    pub backoff_until: Micros,
}

/// An endpoint to which no call may start before a time. Encoded by position when it is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointBackoff {
    /// The endpoint.
    pub endpoint: u32,
    /// The time from which calls may start again.
    pub until: Micros,
}

/// The connections that count towards the pool's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PoolLoad {
    /// Calls in flight, each of which has at most one connection.
    pub calls: usize,
    /// Idle connections.
    pub idle: usize,
}

/// The pool. Connections that it returns to be closed may simply be dropped if they are sockets.
#[derive(Clone, Debug)]
pub struct Pool<C> {
    /// How long a connection may be idle, microseconds.
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

    /// Sets whether calls to the endpoint may start. Returns connections to close.
    pub fn set_gate(&mut self, endpoint: u32, open: bool) -> Vec<C> {
        self.all.entry(endpoint).or_default().shut = !open;
        if open { Vec::new() } else { self.close_idle(endpoint) }
    }

    /// No call to the endpoint may start before this time.
    pub fn back_off(&mut self, endpoint: u32, until: Micros) {
        let endpoint = self.all.entry(endpoint).or_default();
        endpoint.backoff_until = endpoint.backoff_until.max(until);
    }

    /// The time before which no call to the endpoint may start: in the past, or 0, if there is no such limit.
    pub fn backoff_until(&self, endpoint: u32) -> Micros {
        self.all.get(&endpoint).map_or(0, |state| state.backoff_until)
    }

    /// Whether a call to the endpoint may start now.
    pub fn is_open(&self, endpoint: u32, now: Micros) -> bool {
        self.all.get(&endpoint).is_none_or(|state| !state.shut && now >= state.backoff_until)
    }

    /// Removes the endpoint's idle connections and returns them to be closed. A call in flight closes its own when it ends.
    pub fn close_idle(&mut self, endpoint: u32) -> Vec<C> {
        let Some(endpoint) = self.all.get_mut(&endpoint) else { return Vec::new() };
        self.idle_count -= endpoint.idle.len();
        let close = |mut idle: IdleConnection<C>| {
            idle.machine.step(ConnectionInput::Close, 0);
            idle.connection
        };
        endpoint.idle.drain(..).map(close).collect()
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

    /// Removes an idle connection that `matches`, of `endpoint` if it has one, else of any other endpoint.
    pub fn take_idle(&mut self, endpoint: u32, matches: impl Fn(&C) -> bool) -> Option<TakenConnection<C>> {
        let position = |endpoint: &EndpointConnections<C>| {
            endpoint.idle.iter().position(|idle| matches(&idle.connection))
        };
        let own = self.all.get(&endpoint).and_then(position).map(|index| (endpoint, index));
        let (endpoint, index) =
            own.or_else(|| self.all.iter().find_map(|(other, state)| Some((*other, position(state)?))))?;
        let IdleConnection { machine, addr, connection } = self.all.get_mut(&endpoint)?.idle.remove(index);
        self.idle_count -= 1;
        Some(TakenConnection { endpoint, addr, machine, connection })
    }

    /// Removes all idle connections, to be handed over.
    pub fn take_all_idle(&mut self) -> Vec<DetachedConnection<C>> {
        self.idle_count = 0;
        let endpoints = self.all.iter_mut();
        let idle = endpoints.flat_map(|(number, state)| state.idle.drain(..).map(|idle| (*number, idle)));
        let detached = idle.filter_map(|(endpoint, IdleConnection { machine, addr, connection })| {
            Some(DetachedConnection { endpoint, addr, idle_since: machine.since()?, connection })
        });
        detached.collect()
    }

    /// Adds a connection that became idle in another process; returns it to be closed if the endpoint is draining or gone.
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

    /// The endpoints for which a time was set before which no call may start, in no particular order.
    pub fn backoffs(&self) -> Vec<EndpointBackoff> {
        let backoff = |(endpoint, state): (&u32, &EndpointConnections<C>)| EndpointBackoff {
            endpoint: *endpoint,
            until: state.backoff_until,
        };
        self.all.iter().filter(|(_, state)| state.backoff_until > 0).map(backoff).collect()
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
            for mut idle in std::mem::take(&mut endpoint.idle) {
                let quiet = quiet(&idle.connection);
                if idle.machine.step(ConnectionInput::Checked { quiet }, now) {
                    gone.push(idle.connection);
                } else {
                    endpoint.idle.push(idle);
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
        let idle_since =
            |state: &EndpointConnections<C>| state.idle.first().and_then(|idle| idle.machine.since());
        let candidates = self.all.iter().filter_map(|(number, state)| Some((idle_since(state)?, *number)));
        let (_, endpoint) = candidates.min()?;
        let mut oldest = self.all.get_mut(&endpoint)?.idle.remove(0);
        oldest.machine.step(ConnectionInput::Close, 0);
        self.idle_count -= 1;
        Some(oldest.connection)
    }

    /// The connections that count towards the limit.
    pub fn load(&self) -> PoolLoad {
        debug_assert_eq!(self.idle_count, self.all.values().map(|state| state.idle.len()).sum());
        PoolLoad { calls: self.calls, idle: self.idle_count }
    }

    /// The idle connections, sorted by endpoint; for exploration.
    pub fn idle(&self) -> impl Iterator<Item = IdleView<'_, C>> {
        let mut all: Vec<_> = self.all.iter().collect();
        all.sort_by_key(|(endpoint, _)| **endpoint);
        all.into_iter().flat_map(|(endpoint, state)| {
            state.idle.iter().map(|idle| IdleView {
                endpoint: *endpoint,
                connection: &idle.connection,
                idle_since: idle.machine.since().unwrap_or_default(),
            })
        })
    }

    /// Whether calls may start, for each endpoint, sorted by endpoint.
    pub fn gates(&self) -> Vec<EndpointGate> {
        let gate = |(endpoint, state): (&u32, &EndpointConnections<C>)| EndpointGate {
            endpoint: *endpoint,
            open: !state.shut,
            backoff_until: state.backoff_until,
        };
        let mut all: Vec<_> = self.all.iter().map(gate).collect();
        all.sort_unstable();
        all
    }
}
