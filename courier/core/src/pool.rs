//! The connection pool: idle connections to endpoints, and whether calls to an endpoint may start.
//!
//! The pool limits the number of connections. It owns the idle connections and counts the calls in flight, each of which
//! has at most one connection. `C` is the driver's type of a connection.

use crate::machine::connection::{ConnectionInput, EndpointConnection};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

#[derive(Clone, Debug)]
struct IdleConnection<C> {
    machine: EndpointConnection,
    addr: SocketAddr,
    connection: C,
}

/// The state of one endpoint. A new endpoint at the same address has a separate state.
#[derive(Clone, Debug)]
struct EndpointConnections<C> {
    /// Calls may not start, because the endpoint is draining or was removed from the list.
    blocked: bool,
    /// The end of the backoff: no call may start before this time.
    backoff_until: Micros,
    /// The idle connections, the one that was idle longest first.
    idle: Vec<IdleConnection<C>>,
}

impl<C> Default for EndpointConnections<C> {
    fn default() -> Self {
        EndpointConnections { blocked: false, backoff_until: 0, idle: Vec::new() }
    }
}

/// An idle connection that was removed from the pool for a call, with its state machine.
#[derive(Clone, Debug)]
pub struct TakenConnection<C> {
    /// The endpoint for which it was opened.
    pub endpoint: u32,
    /// The address to which it was opened.
    pub addr: SocketAddr,
    /// The connection's state machine, in the idle state.
    pub machine: EndpointConnection,
    /// The driver's connection.
    pub connection: C,
}

/// An idle connection that was removed from the pool to be handed over to another process.
#[derive(Clone, Debug)]
pub struct DetachedConnection<C> {
    /// The endpoint for which it was opened.
    pub endpoint: u32,
    /// The address to which it was opened.
    pub addr: SocketAddr,
    /// The time at which it became idle, in microseconds.
    pub idle_since: Micros,
    /// The driver's connection.
    pub connection: C,
}

/// An idle connection in the pool, for state-space exploration.
#[derive(Clone, Copy, Debug)]
pub struct IdleView<'a, C> {
    /// The endpoint for which it was opened.
    pub endpoint: u32,
    /// The driver's connection.
    pub connection: &'a C,
    /// The time at which it became idle, in microseconds.
    pub idle_since: Micros,
}

/// Whether calls to an endpoint may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointGate {
    /// The number of the endpoint.
    pub endpoint: u32,
    /// The endpoint is neither draining nor removed from the list.
    pub open: bool,
    /// The end of the backoff, before which no call may start, in microseconds; in the past, or 0, if there is none.
    pub backoff_until: Micros,
}

/// An endpoint in a backoff. In a handover it is encoded by position: the order of the fields must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointBackoff {
    /// The number of the endpoint.
    pub endpoint: u32,
    /// The end of the backoff, from which calls may start again, in microseconds.
    pub until: Micros,
}

/// The numbers of connections that count towards the limit of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PoolLoad {
    /// The number of calls in flight, each of which has at most one connection.
    pub calls: usize,
    /// The number of idle connections.
    pub idle: usize,
}

/// The pool. Connections that are returned to be closed can be dropped if dropping them closes the socket.
#[derive(Clone, Debug)]
pub struct Pool<C> {
    /// The time for which a connection may be idle, in microseconds.
    idle_timeout: Micros,
    /// The maximum number of connections, idle ones and those of calls.
    connections_max: usize,
    /// The number of calls in flight.
    calls: usize,
    /// The number of idle connections to all endpoints.
    idle_count: usize,
    endpoints: HashMap<u32, EndpointConnections<C>>,
}

impl<C> Pool<C> {
    /// Creates an empty pool. `keepalive` is the time after which endpoints close an idle connection, in microseconds, and
    /// `connections_max` the maximum number of connections, idle ones and those of calls.
    pub fn new(keepalive: Micros, connections_max: usize) -> Self {
        // A request that is written while the endpoint closes the connection is reset, so idle connections are closed well
        // before that.
        let idle_timeout = keepalive.saturating_sub(1_000_000).max(keepalive / 2);
        Pool { idle_timeout, connections_max, calls: 0, idle_count: 0, endpoints: HashMap::new() }
    }

    /// Sets whether calls to the endpoint may start. Returns idle connections that must be closed if they may not.
    pub fn set_gate(&mut self, endpoint: u32, open: bool) -> Vec<C> {
        self.endpoints.entry(endpoint).or_default().blocked = !open;
        if open { Vec::new() } else { self.close_idle(endpoint) }
    }

    /// Begins or extends a backoff of the endpoint: no call to it may start before `until`.
    pub fn back_off(&mut self, endpoint: u32, until: Micros) {
        let endpoint = self.endpoints.entry(endpoint).or_default();
        endpoint.backoff_until = endpoint.backoff_until.max(until);
    }

    /// The end of the endpoint's backoff, before which no call to it may start: in the past, or 0, if there is none.
    pub fn backoff_until(&self, endpoint: u32) -> Micros {
        self.endpoints.get(&endpoint).map_or(0, |state| state.backoff_until)
    }

    /// Whether a call to the endpoint may start now.
    pub fn is_open(&self, endpoint: u32, now: Micros) -> bool {
        self.endpoints.get(&endpoint).is_none_or(|state| !state.blocked && now >= state.backoff_until)
    }

    /// Removes the endpoint's idle connections and returns them to be closed. The connections of calls in flight are not
    /// affected.
    pub fn close_idle(&mut self, endpoint: u32) -> Vec<C> {
        let Some(endpoint) = self.endpoints.get_mut(&endpoint) else { return Vec::new() };
        self.idle_count -= endpoint.idle.len();
        let close = |mut idle: IdleConnection<C>| {
            idle.machine.step(ConnectionInput::Close, 0);
            idle.connection
        };
        endpoint.idle.drain(..).map(close).collect()
    }

    /// Removes the state of an endpoint that no longer exists. Returns idle connections that must be closed.
    pub fn forget(&mut self, endpoint: u32) -> Vec<C> {
        let to_close = self.close_idle(endpoint);
        self.endpoints.remove(&endpoint);
        to_close
    }

    /// Counts a new call. Returns the endpoint's idle connection that was used last, if there is one, so that the others can
    /// reach the idle timeout. Connections for which `nothing_received` is false can't be used and are dropped.
    pub fn begin_call(
        &mut self,
        endpoint: u32,
        addr: SocketAddr,
        now: Micros,
        nothing_received: impl Fn(&C) -> bool,
    ) -> Option<(EndpointConnection, C)> {
        self.calls += 1;
        let idle = &mut self.endpoints.get_mut(&endpoint)?.idle;
        while let Some(mut last) = idle.pop() {
            self.idle_count -= 1;
            let nothing_received = last.addr == addr && nothing_received(&last.connection);
            if !last.machine.step(ConnectionInput::Reused { nothing_received }, now) {
                return Some((last.machine, last.connection));
            }
        }
        None
    }

    /// Removes and returns an idle connection for which `matches` is true, preferably one of `endpoint`, else one of any other
    /// endpoint.
    pub fn take_idle(&mut self, endpoint: u32, matches: impl Fn(&C) -> bool) -> Option<TakenConnection<C>> {
        let position = |endpoint: &EndpointConnections<C>| {
            endpoint.idle.iter().position(|idle| matches(&idle.connection))
        };
        let own = self.endpoints.get(&endpoint).and_then(position).map(|index| (endpoint, index));
        let (endpoint, index) = own
            .or_else(|| self.endpoints.iter().find_map(|(other, state)| Some((*other, position(state)?))))?;
        let IdleConnection { machine, addr, connection } =
            self.endpoints.get_mut(&endpoint)?.idle.remove(index);
        self.idle_count -= 1;
        Some(TakenConnection { endpoint, addr, machine, connection })
    }

    /// Removes all idle connections and returns them for a handover.
    pub fn take_all_idle(&mut self) -> Vec<DetachedConnection<C>> {
        self.idle_count = 0;
        let endpoints = self.endpoints.iter_mut();
        let idle = endpoints.flat_map(|(number, state)| state.idle.drain(..).map(|idle| (*number, idle)));
        let detached = idle.filter_map(|(endpoint, IdleConnection { machine, addr, connection })| {
            Some(DetachedConnection { endpoint, addr, idle_since: machine.idle_since()?, connection })
        });
        detached.collect()
    }

    /// Adds an idle connection that another process has handed over. Returns it to be closed if the endpoint is draining or
    /// was removed.
    pub fn add_idle(
        &mut self,
        endpoint: u32,
        addr: SocketAddr,
        idle_since: Micros,
        connection: C,
    ) -> Option<C> {
        let connections = self.endpoints.entry(endpoint).or_default();
        if connections.blocked {
            return Some(connection);
        }
        connections.idle.push(IdleConnection {
            machine: EndpointConnection::idle(self.idle_timeout, idle_since),
            addr,
            connection,
        });
        self.idle_count += 1;
        None
    }

    /// Counts a call that was resumed after a handover, or one whose connection does not come from the pool.
    pub fn resume_call(&mut self) {
        self.calls += 1;
    }

    /// The endpoints for which a backoff was set, which may have ended, in no particular order.
    pub fn backoffs(&self) -> Vec<EndpointBackoff> {
        let backoff = |(endpoint, state): (&u32, &EndpointConnections<C>)| EndpointBackoff {
            endpoint: *endpoint,
            until: state.backoff_until,
        };
        self.endpoints.iter().filter(|(_, state)| state.backoff_until > 0).map(backoff).collect()
    }

    /// Creates the state machine of a new connection.
    pub fn new_connection(&self) -> EndpointConnection {
        EndpointConnection::opening(self.idle_timeout)
    }

    /// Adds the connection of a call that ended, for the next call. Returns it to be closed if the endpoint is draining or was
    /// removed.
    pub fn keep_idle(
        &mut self,
        endpoint: u32,
        addr: SocketAddr,
        mut machine: EndpointConnection,
        connection: C,
        now: Micros,
    ) -> Option<C> {
        let connections = self.endpoints.entry(endpoint).or_default();
        if machine.step(ConnectionInput::CallCompleted { open: !connections.blocked }, now) {
            return Some(connection);
        }
        connections.idle.push(IdleConnection { machine, addr, connection });
        self.idle_count += 1;
        None
    }

    /// Removes a call from the count, because it has ended or has closed its connection.
    pub fn end_call(&mut self) {
        debug_assert!(self.calls > 0, "end_call without a call in flight");
        self.calls = self.calls.saturating_sub(1);
    }

    /// Removes connections whose idle timeout has expired or for which `nothing_received` is false, and returns them to be
    /// closed.
    pub fn sweep(&mut self, now: Micros, nothing_received: impl Fn(&C) -> bool) -> Vec<C> {
        let mut to_close = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            for mut idle in std::mem::take(&mut endpoint.idle) {
                let nothing_received = nothing_received(&idle.connection);
                if idle.machine.step(ConnectionInput::Checked { nothing_received }, now) {
                    to_close.push(idle.connection);
                } else {
                    endpoint.idle.push(idle);
                }
            }
        }
        self.idle_count -= to_close.len();
        to_close
    }

    /// Called before a connection is opened: if the limit would be exceeded, removes the connection that was idle longest and
    /// returns it to be closed.
    pub fn evict_idle(&mut self) -> Option<C> {
        if self.calls + self.idle_count <= self.connections_max {
            return None;
        }
        // The oldest connection of an endpoint is its first.
        let idle_since =
            |state: &EndpointConnections<C>| state.idle.first().and_then(|idle| idle.machine.idle_since());
        let candidates =
            self.endpoints.iter().filter_map(|(number, state)| Some((idle_since(state)?, *number)));
        let (_, endpoint) = candidates.min()?;
        let mut oldest = self.endpoints.get_mut(&endpoint)?.idle.remove(0);
        oldest.machine.step(ConnectionInput::Close, 0);
        self.idle_count -= 1;
        Some(oldest.connection)
    }

    /// The number of connections that count towards the limit.
    pub fn load(&self) -> PoolLoad {
        debug_assert_eq!(self.idle_count, self.endpoints.values().map(|state| state.idle.len()).sum());
        PoolLoad { calls: self.calls, idle: self.idle_count }
    }

    /// The idle connections, sorted by endpoint, for state-space exploration.
    pub fn idle(&self) -> impl Iterator<Item = IdleView<'_, C>> {
        let mut all: Vec<_> = self.endpoints.iter().collect();
        all.sort_by_key(|(endpoint, _)| **endpoint);
        all.into_iter().flat_map(|(endpoint, state)| {
            state.idle.iter().map(|idle| IdleView {
                endpoint: *endpoint,
                connection: &idle.connection,
                idle_since: idle.machine.idle_since().unwrap_or_default(),
            })
        })
    }

    /// Whether calls may start, for each known endpoint, sorted by endpoint.
    pub fn gates(&self) -> Vec<EndpointGate> {
        let gate = |(endpoint, state): (&u32, &EndpointConnections<C>)| EndpointGate {
            endpoint: *endpoint,
            open: !state.blocked,
            backoff_until: state.backoff_until,
        };
        let mut all: Vec<_> = self.endpoints.iter().map(gate).collect();
        all.sort_unstable();
        all
    }
}
