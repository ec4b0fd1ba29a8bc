//! Connection admission: the table of the clients' connections, and which of them is closed when there are too many.

use crate::machine::client::{ClientConnection, ClientState};
use quillmount_policy::Micros;
use std::collections::HashMap;

/// A client has sent its request within this, in microseconds; one that has not is closed first.
pub const GRACE: Micros = 300_000;
/// The most connections that may be closing at a time in addition to the limit; file descriptors are reserved for as many.
pub const LEAVING_MAX: usize = 16;

#[derive(Clone, Copy, Debug)]
struct TrackedConnection {
    state: ClientState,
    /// Since when it is in this state.
    since: Micros,
    /// Its task was requested to close it, and has not begun to.
    asked_to_close: bool,
    /// The body of its request is passed on as it arrives, which may take long.
    streams: bool,
}

impl TrackedConnection {
    fn is_closing(&self) -> bool {
        self.asked_to_close || self.state == ClientState::Leaving
    }

    fn is_idle(&self) -> bool {
        !self.asked_to_close && matches!(self.state, ClientState::Idle { .. })
    }

    /// Closed without a last read, a request that has just arrived would be lost. That may happen to a connection's first
    /// request only, which its client sends again.
    fn needs_last_read(&self) -> bool {
        self.is_idle()
            || (!self.asked_to_close
                && !self.streams
                && matches!(self.state, ClientState::Requesting { first: false, .. }))
    }

    fn rank(&self, now: Micros) -> EvictionRank {
        match self.state {
            _ if self.streams => EvictionRank::Streaming,
            _ if self.is_closing() => EvictionRank::Closing,
            ClientState::Closing | ClientState::Closed | ClientState::Answering { closes: true, .. } => {
                EvictionRank::LastAnswer
            }
            ClientState::Requesting { .. } | ClientState::Answering { .. }
                if now.saturating_sub(self.since) >= GRACE =>
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

/// In which order connections are closed, the first one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Its last answer is written, or being written.
    LastAnswer,
    /// Its client has been slow for [`GRACE`] to send a request or to read an answer.
    Slow,
    /// It is idle, and no request is expected at once.
    Idle,
    /// It is idle after a readiness check, so that a submission is likely to follow. The last rank without a request.
    Probed,
    /// It has begun its first request.
    FirstRequest,
    /// It is in the middle of a further request or an answer.
    Busy,
    /// It is closing already.
    Closing,
    /// It streams a body.
    Streaming,
}

/// What is to be done before one more connection is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Admit it.
    Admit,
    /// Close this one at once; it has been removed from the table.
    Evict(u64),
    /// Request this one to close, and admit the new one in parallel.
    RequestClose(u64),
    /// [`LEAVING_MAX`] connections are closing: wait for one of them.
    Wait,
}

/// The table of the clients' connections.
#[derive(Clone, Debug)]
pub struct Admission {
    all: HashMap<u64, TrackedConnection>,
    most: usize,
    next: u64,
}

impl Admission {
    /// A table for `most` connections at once, one at least, in addition to those that are closing.
    pub fn new(most: usize) -> Self {
        Admission { all: HashMap::new(), most: most.max(1), next: 0 }
    }

    /// Adds a new connection; returns its number.
    pub fn enter(&mut self, now: Micros) -> u64 {
        let number = self.next;
        self.next += 1;
        self.set_state(number, ClientConnection::default().state(), now);
        number
    }

    /// A connection is in this state from now on.
    pub fn set_state(&mut self, number: u64, state: ClientState, now: Micros) {
        self.all
            .insert(number, TrackedConnection { state, since: now, asked_to_close: false, streams: false });
    }

    /// A connection streams a body until it is in another state: it is not closed for others, however long it takes.
    pub fn mark_streaming(&mut self, number: u64) {
        self.all.entry(number).and_modify(|entry| (entry.streams, entry.asked_to_close) = (true, false));
    }

    /// A connection is closed.
    pub fn remove(&mut self, number: u64) {
        self.all.remove(&number);
    }

    /// The number of connections that may still bring requests: another process would resume them.
    pub fn handover_pending(&self) -> usize {
        let may_request = |e: &&TrackedConnection| {
            matches!(
                e.state,
                ClientState::Requesting { .. } | ClientState::Idle { .. } | ClientState::Leaving
            )
        };
        self.all.values().filter(may_request).count()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether a request to close a connection is still pending: its state has not changed since.
    pub fn is_asked_to_close(&self, number: u64) -> bool {
        self.all.get(&number).is_some_and(|e| e.asked_to_close)
    }

    /// The connections with a pending request to close, for exploration.
    pub fn asked_to_close(&self) -> Vec<u64> {
        let mut numbers: Vec<u64> =
            self.all.iter().filter(|(_, e)| e.asked_to_close).map(|(n, _)| *n).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Requests all idle connections to close; returns their numbers.
    pub fn close_all_idle(&mut self) -> Vec<u64> {
        let mut closing = Vec::new();
        for (number, connection) in self.all.iter_mut().filter(|(_, connection)| connection.is_idle()) {
            connection.asked_to_close = true;
            closing.push(*number);
        }
        closing
    }

    /// Decides what is to be done before one more connection is admitted, by `EvictionRank`.
    ///
    /// A connection that was asked to close in the middle of a further request is waited for no longer than one last read.
    pub fn decide(&mut self, now: Micros) -> Decision {
        if self.all.len() < self.most { Decision::Admit } else { self.evict(now, EvictionRank::Streaming) }
    }

    /// The process has no file descriptor left, whatever the settings allow: a connection without a request is closed.
    pub fn reclaim_descriptor(&mut self, now: Micros) -> Decision {
        self.evict(now, EvictionRank::Probed)
    }

    /// Closes the connection with the lowest rank, and of those the oldest, if its rank is `most` at most.
    fn evict(&mut self, now: Micros, most: EvictionRank) -> Decision {
        let closing = self.all.values().filter(|connection| connection.is_closing()).count();
        let ranked = self.all.iter().map(|(n, connection)| (connection.rank(now), connection.since, *n));
        let Some((_, _, number)) = ranked.filter(|(rank, ..)| *rank <= most).min() else {
            return Decision::Admit;
        };
        let Some(connection) = self.all.get_mut(&number) else { return Decision::Admit };
        if (connection.is_closing() || connection.needs_last_read()) && closing >= LEAVING_MAX {
            Decision::Wait
        } else if connection.is_closing() || connection.streams {
            Decision::Admit
        } else if connection.needs_last_read() {
            connection.asked_to_close = true;
            Decision::RequestClose(number)
        } else {
            self.all.remove(&number);
            Decision::Evict(number)
        }
    }
}
