//! What a home's book says of a settlement: the home acts on it, and a taker goes on from it.

use super::breaks::{self, Break};
use super::{Cause, End, Hand, Mode, Outcome, Repeat, SettlementId, Verdict};
use serde::{Deserialize, Serialize};
use spurshore::Micros;
use std::collections::BTreeMap;

/// One line of a book about a settlement. It is in the book, and in a copy, before anything is done about it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    Opened {
        id: SettlementId,
        term: u64,
        mode: Mode,
    },
    HandIn {
        id: SettlementId,
        hand: Hand,
    },
    /// The number of all, told on its own.
    Count {
        id: SettlementId,
        of: u64,
    },
    /// The session of this number is about to be opened.
    Session {
        id: SettlementId,
        n: u32,
    },
    /// Its connection is surely gone.
    SessionEnded {
        id: SettlementId,
        n: u32,
    },
    /// An attempt is about to leave.
    Released {
        id: SettlementId,
        position: u64,
        at: Micros,
    },
    Outcome {
        id: SettlementId,
        position: u64,
        outcome: Outcome,
    },
    Verdict {
        id: SettlementId,
        verdict: Verdict,
    },
    /// All that earlier books say, at a new home.
    Copy {
        id: SettlementId,
        kept: Box<Kept>,
    },
}

impl Record {
    pub fn id(&self) -> &SettlementId {
        match self {
            Record::Opened { id, .. }
            | Record::HandIn { id, .. }
            | Record::Count { id, .. }
            | Record::Session { id, .. }
            | Record::SessionEnded { id, .. }
            | Record::Released { id, .. }
            | Record::Outcome { id, .. }
            | Record::Verdict { id, .. }
            | Record::Copy { id, .. } => id,
        }
    }

    /// Bytes that it takes in a book.
    ///
    /// # Errors
    /// It has no form, which nothing here brings about.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// # Errors
    /// The bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Record, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// A position that was handed in.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    pub hand: Hand,
    /// An attempt is out since then.
    pub out: Option<Micros>,
    /// When the first attempt that may have run was released: a repeat's span counts from there.
    pub first: Option<Micros>,
    pub end: Option<End>,
}

/// A settlement as its records tell it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kept {
    pub term: u64,
    /// `None`: nothing is written yet.
    pub mode: Option<Mode>,
    pub hands: BTreeMap<u64, Held>,
    pub of: Option<u64>,
    /// The first position that is not delivered.
    pub next: u64,
    /// Sessions so far.
    pub sessions: u32,
    /// The one that may be open.
    pub session: Option<u32>,
    pub verdict: Option<Verdict>,
    /// Messages that wait for their end, and their bytes.
    pub waiting: u64,
    pub bytes: u64,
}

impl Default for Kept {
    fn default() -> Self {
        Kept {
            term: 0,
            mode: None,
            hands: BTreeMap::new(),
            of: None,
            next: 1,
            sessions: 0,
            session: None,
            verdict: None,
            waiting: 0,
            bytes: 0,
        }
    }
}

impl Kept {
    /// What these books say together, oldest home first. A later home's copy stands for all before it.
    pub fn read(id: &SettlementId, books: &[Vec<Record>]) -> Kept {
        let mut kept = Kept::default();
        for book in books {
            // A courier that was home twice has both lives in its book.
            let mut is_old = false;
            for record in book.iter().filter(|record| record.id() == id) {
                match record {
                    Record::Opened { term, .. } => is_old = *term < kept.term,
                    Record::Copy { kept: copy, .. } => is_old = copy.term < kept.term,
                    _ => {}
                }
                if !is_old {
                    kept.apply(record);
                }
            }
        }
        kept
    }

    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Opened { term, mode, .. } if *term > self.term => {
                *self = Kept { term: *term, mode: Some(*mode), ..Kept::default() };
            }
            Record::Opened { .. } => {}
            Record::Copy { kept, .. } => *self = (**kept).clone(),
            // What comes after the verdict was never answered with a yes.
            Record::HandIn { hand, .. } if self.verdict.is_none() => {
                if !self.hands.contains_key(&hand.position) {
                    self.waiting += 1;
                    self.bytes += hand.size;
                    let held = Held { hand: hand.clone(), out: None, first: None, end: None };
                    self.hands.insert(hand.position, held);
                }
                self.of = self.of.or(hand.of);
            }
            Record::HandIn { .. } => {}
            Record::Count { of, .. } => self.of = self.of.or(Some(*of)),
            Record::Session { n, .. } => (self.sessions, self.session) = (*n, Some(*n)),
            Record::SessionEnded { n, .. } => self.session = self.session.filter(|open| open != n),
            Record::Released { position, at, .. } => {
                if let Some(held) = self.hands.get_mut(position) {
                    held.out = Some(*at);
                }
            }
            Record::Outcome { position, outcome, .. } => self.outcome(*position, *outcome),
            Record::Verdict { verdict, .. } => self.decide(*verdict),
        }
    }

    fn outcome(&mut self, position: u64, outcome: Outcome) {
        let Some(held) = self.hands.get_mut(&position) else { return };
        let out = held.out.take();
        let end = match outcome {
            Outcome::Delivered => End::Delivered,
            Outcome::Failed => End::Failed,
            Outcome::OutOfTime if held.first.is_some() => End::MayHaveRun,
            Outcome::OutOfTime => End::OutOfTime,
            Outcome::NeverRan { .. } => return,
            Outcome::MayHaveRun => {
                held.first = held.first.or(out);
                return;
            }
        };
        self.end(position, end);
        if end == End::Delivered && position == self.next {
            self.next += 1;
        }
    }

    fn end(&mut self, position: u64, end: End) {
        if let Some(held) = self.hands.get_mut(&position).filter(|held| held.end.is_none()) {
            held.end = Some(end);
            self.waiting -= 1;
            self.bytes -= held.hand.size;
        }
    }

    fn decide(&mut self, verdict: Verdict) {
        if self.verdict.is_some() {
            return;
        }
        self.verdict = Some(verdict);
        let Verdict::Broken { at, cause } = verdict else { return };
        let open: Vec<u64> = self.hands.iter().filter(|(_, h)| h.end.is_none()).map(|(p, _)| *p).collect();
        for position in open {
            let held = &self.hands[&position];
            let may_have_run = held.first.is_some() || held.out.is_some();
            let end = match cause {
                _ if position != at => End::NeverRan { broken_at: at },
                _ if may_have_run => End::MayHaveRun,
                Cause::Failed => End::Failed,
                Cause::OutOfTime => End::OutOfTime,
                _ => End::NeverRan { broken_at: at },
            };
            self.end(position, end);
        }
    }

    /// An attempt that was out when the home was lost counts as one that may have run.
    pub fn take_over(&mut self) {
        let out: Vec<u64> = self.hands.iter().filter(|(_, h)| h.out.is_some()).map(|(p, _)| *p).collect();
        for position in out {
            let outcome = match breaks::on(Break::OutNeverRan) {
                true => Outcome::NeverRan { after: 0 },
                false => Outcome::MayHaveRun,
            };
            self.outcome(position, outcome);
        }
    }

    /// Whether this position may go out now, as far as repeats are concerned.
    pub fn may_go(&self, held: &Held, now: Micros) -> bool {
        match (held.first, held.hand.repeat) {
            (None, _) | (_, Repeat::Freely) => true,
            (Some(first), Repeat::Within(span)) => now < first.saturating_add(span),
            (Some(_), Repeat::Never) => breaks::on(Break::DebitAgain),
        }
    }

    /// Until when a byte of it may leave.
    pub fn by(&self, held: &Held) -> Micros {
        match (held.first, held.hand.repeat) {
            (Some(first), Repeat::Within(span)) => held.hand.deadline.min(first.saturating_add(span)),
            _ => held.hand.deadline,
        }
    }

    /// A partner may know of earlier sessions that positions were sent in.
    pub fn is_under_way(&self) -> bool {
        self.next > 1 || self.hands.get(&self.next).is_some_and(|held| held.first.is_some())
    }
}
