//! Connection admission: the table of client connections, and which of them is closed when the limit is reached.

use crate::machine::client::{ClientConnection, ClientState};
use quillmount_policy::Micros;
use std::collections::HashMap;

/// The time after which a client that has not sent its request or read its answer counts as slow, in microseconds. Slow
/// clients are disconnected first.
pub const SLOW_CLIENT_TIMEOUT: Micros = 300_000;
/// The maximum number of connections that may be closing in addition to the limit. File descriptors are reserved for them.
pub const CLOSING_MAX: usize = 16;

#[derive(Clone, Copy, Debug)]
struct TrackedConnection {
    state: ClientState,
    /// The time since which the connection has been in this state.
    since: Micros,
    /// The task of the connection was requested to close it, and has not started to do so.
    close_requested: bool,
    /// The body of the request is forwarded while it is received, which may take long.
    is_streaming: bool,
}

impl TrackedConnection {
    fn is_closing(&self) -> bool {
        self.close_requested || self.state == ClientState::Leaving
    }

    fn is_idle(&self) -> bool {
        !self.close_requested && matches!(self.state, ClientState::Idle { .. })
    }

    /// Whether the connection must be read once more before it is closed, because a request that has just arrived would be
    /// lost otherwise. Only the first request on a connection may be lost: its client sends it again.
    fn needs_last_read(&self) -> bool {
        self.is_idle()
            || (!self.close_requested
                && !self.is_streaming
                && matches!(self.state, ClientState::Requesting { first: false, .. }))
    }

    fn rank(&self, now: Micros) -> EvictionRank {
        match self.state {
            _ if self.is_streaming => EvictionRank::Streaming,
            _ if self.is_closing() => EvictionRank::Closing,
            ClientState::Closing | ClientState::Closed | ClientState::Answering { closes: true, .. } => {
                EvictionRank::LastAnswer
            }
            ClientState::Requesting { .. } | ClientState::Answering { .. }
                if now.saturating_sub(self.since) >= SLOW_CLIENT_TIMEOUT =>
            {
                EvictionRank::Slow
            }
            ClientState::Idle { probed: false } => EvictionRank::Idle,
            ClientState::Idle { probed: true } => EvictionRank::Probed,
            ClientState::Requesting { first: true, .. } => EvictionRank::FirstRequest,
            ClientState::Requesting { .. } | ClientState::Answering { .. } | ClientState::Leaving => {
                EvictionRank::Busy
            }
        }
    }
}

/// The order in which connections are closed, from the first variant to the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// The last answer is written, or being written.
    LastAnswer,
    /// The client has not sent its request or read its answer for [`SLOW_CLIENT_TIMEOUT`].
    Slow,
    /// The connection is idle, and no request is expected soon.
    Idle,
    /// The connection is idle after a readiness check, so that a submission is likely to follow. This is the highest rank
    /// without a request.
    Probed,
    /// The first request has been received partly, or not at all.
    FirstRequest,
    /// A further request is being received, or an answer is being written.
    Busy,
    /// The connection is already closing.
    Closing,
    /// The connection streams a body.
    Streaming,
}

/// What the driver must do before it admits a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Admit the new connection.
    Admit,
    /// Close the connection with this number at once. It has been removed from the table.
    Evict(u64),
    /// Request the task of the connection with this number to close it, and admit the new one at the same time.
    RequestClose(u64),
    /// [`CLOSING_MAX`] connections are closing: wait until one of them is closed.
    Wait,
}

/// The table of client connections.
#[derive(Clone, Debug)]
pub struct Admission {
    connections: HashMap<u64, TrackedConnection>,
    max_connections: usize,
    next_number: u64,
}

impl Admission {
    /// Creates a table for `max_connections` connections, at least one, in addition to those that are closing.
    pub fn new(max_connections: usize) -> Self {
        Admission { connections: HashMap::new(), max_connections: max_connections.max(1), next_number: 0 }
    }

    /// Adds a new connection; returns its number.
    pub fn add(&mut self, now: Micros) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.set_state(number, ClientConnection::default().state(), now);
        number
    }

    /// Records a state change of a connection. A pending request to close it is cleared.
    pub fn set_state(&mut self, number: u64, state: ClientState, now: Micros) {
        self.connections.insert(
            number,
            TrackedConnection { state, since: now, close_requested: false, is_streaming: false },
        );
    }

    /// Records that a connection streams a body, until its next state change. It is not closed in favour of others, however
    /// long the stream takes.
    pub fn mark_streaming(&mut self, number: u64) {
        self.connections
            .entry(number)
            .and_modify(|entry| (entry.is_streaming, entry.close_requested) = (true, false));
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, number: u64) {
        self.connections.remove(&number);
    }

    /// The number of connections on which requests may still arrive, which must be handed over to another process.
    pub fn handover_pending(&self) -> usize {
        let may_request = |e: &&TrackedConnection| {
            matches!(
                e.state,
                ClientState::Requesting { .. } | ClientState::Idle { .. } | ClientState::Leaving
            )
        };
        self.connections.values().filter(may_request).count()
    }

    /// Whether the table contains no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether a request to close the connection is pending, which it is until the state changes.
    pub fn is_close_requested(&self, number: u64) -> bool {
        self.connections.get(&number).is_some_and(|e| e.close_requested)
    }

    /// The connections with a pending request to close, in ascending order, for state-space exploration.
    pub fn close_requests(&self) -> Vec<u64> {
        let mut numbers: Vec<u64> =
            self.connections.iter().filter(|(_, e)| e.close_requested).map(|(n, _)| *n).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Requests all idle connections to close; returns their numbers.
    pub fn close_all_idle(&mut self) -> Vec<u64> {
        let mut closing = Vec::new();
        for (number, connection) in self.connections.iter_mut().filter(|(_, connection)| connection.is_idle())
        {
            connection.close_requested = true;
            closing.push(*number);
        }
        closing
    }

    /// Decides what must happen before a new connection is admitted; connections are closed in the order of `EvictionRank`.
    ///
    /// A connection that is requested to close while it receives a further request is closed after one last read at most.
    pub fn decide(&mut self, now: Micros) -> Decision {
        if self.connections.len() < self.max_connections {
            Decision::Admit
        } else {
            self.evict(now, EvictionRank::Streaming)
        }
    }

    /// Selects a connection without a request to close, because the process has no free file descriptor although the limit
    /// is not reached.
    pub fn reclaim_descriptor(&mut self, now: Micros) -> Decision {
        self.evict(now, EvictionRank::Probed)
    }

    /// Selects the connection with the lowest rank of at most `max_rank`, and among equal ranks the one that has been in its
    /// state longest.
    fn evict(&mut self, now: Micros, max_rank: EvictionRank) -> Decision {
        let closing = self.connections.values().filter(|connection| connection.is_closing()).count();
        let ranked =
            self.connections.iter().map(|(n, connection)| (connection.rank(now), connection.since, *n));
        let Some((_, _, number)) = ranked.filter(|(rank, ..)| *rank <= max_rank).min() else {
            return Decision::Admit;
        };
        let Some(connection) = self.connections.get_mut(&number) else { return Decision::Admit };
        if (connection.is_closing() || connection.needs_last_read()) && closing >= CLOSING_MAX {
            Decision::Wait
        } else if connection.is_closing() || connection.is_streaming {
            Decision::Admit
        } else if connection.needs_last_read() {
            connection.close_requested = true;
            Decision::RequestClose(number)
        } else {
            self.connections.remove(&number);
            Decision::Evict(number)
        }
    }
}
