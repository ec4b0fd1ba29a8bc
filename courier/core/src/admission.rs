//! The clients' connections as a table: who goes first where room is short.

use crate::machine::client::{ClientConnection, ClientState};
use quillmount_policy::Micros;
use std::collections::HashMap;

/// A client that has come to ask has asked by then; who has not goes first when room is short.
pub const GRACE: Micros = 300_000;
/// The last rank of those that have nothing to ask.
const IDLE_RANK_MAX: u8 = 3;
/// So many may leave at a time; there are descriptors for as many.
pub const LEAVING_MAX: usize = 16;

#[derive(Clone, Copy, Debug)]
struct TrackedConnection {
    state: ClientState,
    since: Micros,
    /// Asked to leave, and has not said yet that it does.
    asked_to_close: bool,
    /// Its request's body is passed on as it comes, which may take long.
    streams: bool,
}

impl TrackedConnection {
    fn is_closing(&self) -> bool {
        self.asked_to_close || self.state == ClientState::Leaving
    }

    fn is_idle(&self) -> bool {
        !self.asked_to_close && matches!(self.state, ClientState::Idle { .. })
    }

    /// Cut off with no last look, a request that has just come whole would be lost. That may happen to a
    /// connection's first one alone, which its client sends again.
    fn needs_last_read(&self) -> bool {
        self.is_idle()
            || (!self.asked_to_close
                && !self.streams
                && matches!(self.state, ClientState::Requesting { first: false, .. }))
    }
}

/// What is to be done before one more is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Admit,
    /// End this one at once; it has been taken off the table.
    Evict(u64),
    /// Ask this one to leave, and let the new one in beside it.
    RequestClose(u64),
    /// As many as may are leaving: wait for one of them.
    Wait,
}

/// The table.
#[derive(Clone, Debug)]
pub struct Admission {
    all: HashMap<u64, TrackedConnection>,
    most: usize,
    next: u64,
}

impl Admission {
    /// `most` connections at once, one at least, but for those that leave.
    pub fn new(most: usize) -> Self {
        Admission { all: HashMap::new(), most: most.max(1), next: 0 }
    }

    /// A new connection; returns its number.
    pub fn enter(&mut self, now: Micros) -> u64 {
        let number = self.next;
        self.next += 1;
        self.set_state(number, ClientConnection::default().state(), now);
        number
    }

    pub fn set_state(&mut self, number: u64, state: ClientState, now: Micros) {
        self.all
            .insert(number, TrackedConnection { state, since: now, asked_to_close: false, streams: false });
    }

    /// It streams from now on, until it is in another state: it does not make room, however long it takes.
    pub fn mark_streaming(&mut self, number: u64) {
        self.all.entry(number).and_modify(|entry| (entry.streams, entry.asked_to_close) = (true, false));
    }

    pub fn remove(&mut self, number: u64) {
        self.all.remove(&number);
    }

    /// Connections that may still ask: another process would go on with them.
    pub fn handover_pending(&self) -> usize {
        let gives = |e: &&TrackedConnection| {
            matches!(
                e.state,
                ClientState::Requesting { .. } | ClientState::Idle { .. } | ClientState::Leaving
            )
        };
        self.all.values().filter(gives).count()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether the word to leave still holds for it: it has not gone on to something else since.
    pub fn is_asked_to_close(&self, number: u64) -> bool {
        self.all.get(&number).is_some_and(|e| e.asked_to_close)
    }

    /// Who was asked to leave and has not said yet that it does; for whoever explores it.
    pub fn asked_to_close(&self) -> Vec<u64> {
        let mut asked_to_close: Vec<u64> =
            self.all.iter().filter(|(_, e)| e.asked_to_close).map(|(n, _)| *n).collect();
        asked_to_close.sort_unstable();
        asked_to_close
    }

    /// Those that rest are to leave; returns their numbers.
    pub fn close_all_idle(&mut self) -> Vec<u64> {
        let resting = self.all.iter_mut().filter(|(_, e)| e.is_idle());
        resting.map(|(n, e)| (e.asked_to_close = true, *n).1).collect()
    }

    /// Who is asked to leave while it asks for one more is waited for no longer than for a last look.
    ///
    /// First goes who was answered for the last time, then who was slow to ask, then who has rested
    /// longest, but not with a request that has just come: that would be lost.
    pub fn decide(&mut self, now: Micros) -> Decision {
        if self.all.len() < self.most { Decision::Admit } else { self.first_to_go(now, u8::MAX) }
    }

    /// The system has no descriptor left, whatever may be by the settings: who has nothing to ask gives one back.
    pub fn reclaim_descriptor(&mut self, now: Micros) -> Decision {
        self.first_to_go(now, IDLE_RANK_MAX)
    }

    /// Who goes first, of those whose rank is `most` at most.
    fn first_to_go(&mut self, now: Micros, most: u8) -> Decision {
        let rank = |e: &TrackedConnection| match e.state {
            _ if e.streams => 7,
            _ if e.is_closing() => 6,
            ClientState::Closing | ClientState::Closed | ClientState::Answering { closes: true, .. } => 0,
            ClientState::Requesting { .. } | ClientState::Answering { .. }
                if now.saturating_sub(e.since) >= GRACE =>
            {
                1
            }
            ClientState::Idle { probed: false } => 2,
            ClientState::Idle { .. } => IDLE_RANK_MAX,
            ClientState::Requesting { first: true, .. } => 4,
            ClientState::Requesting { .. } | ClientState::Answering { .. } | ClientState::Leaving => 5,
        };
        let leaving = self.all.values().filter(|e| e.is_closing()).count();
        let all = self.all.iter().filter(|(_, e)| rank(e) <= most);
        let first = all.min_by_key(|(n, e)| (rank(e), e.since, **n)).map(|(n, e)| (*n, *e));
        match first {
            None => Decision::Admit,
            Some((_, e)) if (e.is_closing() || e.needs_last_read()) && leaving >= LEAVING_MAX => {
                Decision::Wait
            }
            Some((_, e)) if e.is_closing() || e.streams => Decision::Admit,
            Some((n, e)) if e.needs_last_read() => {
                self.all.entry(n).and_modify(|e| e.asked_to_close = true);
                Decision::RequestClose(n)
            }
            Some((n, _)) => {
                self.all.remove(&n);
                Decision::Evict(n)
            }
        }
    }
}
