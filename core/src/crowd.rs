//! The consumers' connections as a table: who goes first where room is short.

use crate::machine::consumer::{Consumer, State};
use spurshore::Micros;
use std::collections::HashMap;

/// A consumer that has come to ask has asked by then; who has not goes first when room is short.
pub const GRACE: Micros = 300_000;
/// The last rank of those that have nothing to ask.
const SILENT: u8 = 3;
/// So many may leave at a time; there are descriptors for as many.
pub const LEAVING_MAX: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Entry {
    state: State,
    since: Micros,
    /// Asked to leave, and has not said yet that it does.
    asked: bool,
    /// Its request's body is passed on as it comes, which may take long.
    streams: bool,
}

impl Entry {
    fn leaves(&self) -> bool {
        self.asked || self.state == State::Leaving
    }

    fn rests(&self) -> bool {
        !self.asked && matches!(self.state, State::Resting { .. })
    }

    /// Cut off with no last look, a request that has just come whole would be lost. That may happen to a
    /// connection's first one alone, which its consumer sends again.
    fn wants_a_look(&self) -> bool {
        self.rests()
            || (!self.asked && !self.streams && matches!(self.state, State::Asking { first: false, .. }))
    }
}

/// What is to be done before one more is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    Free,
    /// End this one at once; it has been taken off the table.
    End(u64),
    /// Ask this one to leave, and let the new one in beside it.
    Leave(u64),
    /// As many as may are leaving: wait for one of them.
    Wait,
}

/// The table.
#[derive(Clone, Debug)]
pub struct Crowd {
    all: HashMap<u64, Entry>,
    most: usize,
    next: u64,
}

impl Crowd {
    /// `most` connections at once, one at least, but for those that leave.
    pub fn new(most: usize) -> Self {
        Crowd { all: HashMap::new(), most: most.max(1), next: 0 }
    }

    /// A new connection; returns its number.
    pub fn enter(&mut self, now: Micros) -> u64 {
        let number = self.next;
        self.next += 1;
        self.is(number, Consumer::default().state(), now);
        number
    }

    pub fn is(&mut self, number: u64, state: State, now: Micros) {
        self.all.insert(number, Entry { state, since: now, asked: false, streams: false });
    }

    /// It streams from now on, until it is in another state: it does not make room, however long it takes.
    pub fn streams(&mut self, number: u64) {
        self.all.entry(number).and_modify(|entry| (entry.streams, entry.asked) = (true, false));
    }

    pub fn left(&mut self, number: u64) {
        self.all.remove(&number);
    }

    /// Connections that may still ask: another process would go on with them.
    pub fn to_give(&self) -> usize {
        let gives =
            |e: &&Entry| matches!(e.state, State::Asking { .. } | State::Resting { .. } | State::Leaving);
        self.all.values().filter(gives).count()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether the word to leave still holds for it: it has not gone on to something else since.
    pub fn is_asked(&self, number: u64) -> bool {
        self.all.get(&number).is_some_and(|e| e.asked)
    }

    /// Who was asked to leave and has not said yet that it does; for whoever explores it.
    pub fn asked(&self) -> Vec<u64> {
        let mut asked: Vec<u64> = self.all.iter().filter(|(_, e)| e.asked).map(|(n, _)| *n).collect();
        asked.sort_unstable();
        asked
    }

    /// Those that rest are to leave; returns their numbers.
    pub fn all_leave(&mut self) -> Vec<u64> {
        let resting = self.all.iter_mut().filter(|(_, e)| e.rests());
        resting.map(|(n, e)| (e.asked = true, *n).1).collect()
    }

    /// Who is asked to leave while it asks for one more is waited for no longer than for a last look.
    ///
    /// First goes who was answered for the last time, then who was slow to ask, then who has rested
    /// longest, but not with a request that has just come: that would be lost.
    pub fn make_room(&mut self, now: Micros) -> Room {
        if self.all.len() < self.most { Room::Free } else { self.first_to_go(now, u8::MAX) }
    }

    /// The system has no descriptor left, whatever may be by the settings: who has nothing to ask gives one back.
    pub fn give_back(&mut self, now: Micros) -> Room {
        self.first_to_go(now, SILENT)
    }

    /// Who goes first, of those whose rank is `most` at most.
    fn first_to_go(&mut self, now: Micros, most: u8) -> Room {
        let rank = |e: &Entry| match e.state {
            _ if e.streams => 7,
            _ if e.leaves() => 6,
            State::Closing | State::Over | State::Answering { closes: true, .. } => 0,
            State::Asking { .. } | State::Answering { .. } if now.saturating_sub(e.since) >= GRACE => 1,
            State::Resting { probed: false } => 2,
            State::Resting { .. } => SILENT,
            State::Asking { first: true, .. } => 4,
            State::Asking { .. } | State::Answering { .. } | State::Leaving => 5,
        };
        let leaving = self.all.values().filter(|e| e.leaves()).count();
        let all = self.all.iter().filter(|(_, e)| rank(e) <= most);
        let first = all.min_by_key(|(n, e)| (rank(e), e.since, **n)).map(|(n, e)| (*n, *e));
        match first {
            None => Room::Free,
            Some((_, e)) if (e.leaves() || e.wants_a_look()) && leaving >= LEAVING_MAX => Room::Wait,
            Some((_, e)) if e.leaves() || e.streams => Room::Free,
            Some((n, e)) if e.wants_a_look() => {
                self.all.entry(n).and_modify(|e| e.asked = true);
                Room::Leave(n)
            }
            Some((n, _)) => {
                self.all.remove(&n);
                Room::End(n)
            }
        }
    }
}
