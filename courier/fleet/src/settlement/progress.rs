//! What a home's book says of a settlement: the home acts on it, and a taker goes on from it.

use super::breaks::{self, Break};
use super::{Cause, End, Mode, Outcome, Repeat, SequencedMessage, SettlementId, Verdict};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One line of a book about a settlement. It is in the book, and in a copy, before anything is done about it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SettlementRecord {
    Opened {
        id: SettlementId,
        term: u64,
        mode: Mode,
    },
    Submitted {
        id: SettlementId,
        sequenced: SequencedMessage,
    },
    /// The number of all, told on its own.
    Count {
        id: SettlementId,
        total: u64,
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
    Snapshot {
        id: SettlementId,
        progress: Box<SettlementProgress>,
    },
}

impl SettlementRecord {
    pub fn id(&self) -> &SettlementId {
        match self {
            SettlementRecord::Opened { id, .. }
            | SettlementRecord::Submitted { id, .. }
            | SettlementRecord::Count { id, .. }
            | SettlementRecord::Session { id, .. }
            | SettlementRecord::SessionEnded { id, .. }
            | SettlementRecord::Released { id, .. }
            | SettlementRecord::Outcome { id, .. }
            | SettlementRecord::Verdict { id, .. }
            | SettlementRecord::Snapshot { id, .. } => id,
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
    pub fn decode(bytes: &[u8]) -> Result<SettlementRecord, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// A position that was handed in.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PositionState {
    pub sequenced: SequencedMessage,
    /// An attempt is out since then.
    pub sent_at: Option<Micros>,
    /// When the first attempt that may have run was released: a repeat's span counts from there.
    pub first_attempt: Option<Micros>,
    pub end: Option<End>,
}

/// A settlement as its records tell it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettlementProgress {
    pub term: u64,
    /// `None`: nothing is written yet.
    pub mode: Option<Mode>,
    pub positions: BTreeMap<u64, PositionState>,
    pub total: Option<u64>,
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

impl Default for SettlementProgress {
    fn default() -> Self {
        SettlementProgress {
            term: 0,
            mode: None,
            positions: BTreeMap::new(),
            total: None,
            next: 1,
            sessions: 0,
            session: None,
            verdict: None,
            waiting: 0,
            bytes: 0,
        }
    }
}

impl SettlementProgress {
    /// What these books say together, oldest home first. A later home's copy stands for all before it.
    pub fn read(id: &SettlementId, journals: &[Vec<SettlementRecord>]) -> SettlementProgress {
        let mut progress = SettlementProgress::default();
        for journal in journals {
            // A courier that was home twice has both lives in its book.
            let mut is_old = false;
            for record in journal.iter().filter(|record| record.id() == id) {
                match record {
                    SettlementRecord::Opened { term, .. } => is_old = *term < progress.term,
                    SettlementRecord::Snapshot { progress: copy, .. } => is_old = copy.term < progress.term,
                    _ => {}
                }
                if !is_old {
                    progress.apply(record);
                }
            }
        }
        progress
    }

    pub fn apply(&mut self, record: &SettlementRecord) {
        match record {
            SettlementRecord::Opened { term, mode, .. } if *term > self.term => {
                *self =
                    SettlementProgress { term: *term, mode: Some(*mode), ..SettlementProgress::default() };
            }
            SettlementRecord::Opened { .. } => {}
            SettlementRecord::Snapshot { progress, .. } => *self = (**progress).clone(),
            // What comes after the verdict was never answered with a yes.
            SettlementRecord::Submitted { sequenced, .. } if self.verdict.is_none() => {
                if !self.positions.contains_key(&sequenced.position) {
                    self.waiting += 1;
                    self.bytes += sequenced.size;
                    let state = PositionState {
                        sequenced: sequenced.clone(),
                        sent_at: None,
                        first_attempt: None,
                        end: None,
                    };
                    self.positions.insert(sequenced.position, state);
                }
                self.total = self.total.or(sequenced.total);
            }
            SettlementRecord::Submitted { .. } => {}
            SettlementRecord::Count { total, .. } => self.total = self.total.or(Some(*total)),
            SettlementRecord::Session { n, .. } => (self.sessions, self.session) = (*n, Some(*n)),
            SettlementRecord::SessionEnded { n, .. } => self.session = self.session.filter(|open| open != n),
            SettlementRecord::Released { position, at, .. } => {
                if let Some(state) = self.positions.get_mut(position) {
                    state.sent_at = Some(*at);
                }
            }
            SettlementRecord::Outcome { position, outcome, .. } => self.apply_outcome(*position, *outcome),
            SettlementRecord::Verdict { verdict, .. } => self.decide(*verdict),
        }
    }

    fn apply_outcome(&mut self, position: u64, outcome: Outcome) {
        let Some(state) = self.positions.get_mut(&position) else { return };
        let out = state.sent_at.take();
        let end = match outcome {
            Outcome::Delivered => End::Delivered,
            Outcome::Failed => End::Failed,
            Outcome::OutOfTime if state.first_attempt.is_some() => End::MayHaveRun,
            Outcome::OutOfTime => End::OutOfTime,
            Outcome::NeverRan { .. } => return,
            Outcome::MayHaveRun => {
                state.first_attempt = state.first_attempt.or(out);
                return;
            }
        };
        self.end_position(position, end);
        if end == End::Delivered && position == self.next {
            self.next += 1;
        }
    }

    fn end_position(&mut self, position: u64, end: End) {
        if let Some(state) = self.positions.get_mut(&position).filter(|state| state.end.is_none()) {
            state.end = Some(end);
            self.waiting -= 1;
            self.bytes -= state.sequenced.size;
        }
    }

    fn decide(&mut self, verdict: Verdict) {
        if self.verdict.is_some() {
            return;
        }
        self.verdict = Some(verdict);
        let Verdict::Broken { at, cause } = verdict else { return };
        let open: Vec<u64> =
            self.positions.iter().filter(|(_, h)| h.end.is_none()).map(|(p, _)| *p).collect();
        for position in open {
            let state = &self.positions[&position];
            let may_have_run = state.first_attempt.is_some() || state.sent_at.is_some();
            let end = match cause {
                _ if position != at => End::NeverRan { broken_at: at },
                _ if may_have_run => End::MayHaveRun,
                Cause::Failed => End::Failed,
                Cause::OutOfTime => End::OutOfTime,
                _ => End::NeverRan { broken_at: at },
            };
            self.end_position(position, end);
        }
    }

    /// An attempt that was out when the home was lost counts as one that may have run.
    pub fn take_over(&mut self) {
        let out: Vec<u64> =
            self.positions.iter().filter(|(_, h)| h.sent_at.is_some()).map(|(p, _)| *p).collect();
        for position in out {
            let outcome = match breaks::on(Break::OutNeverRan) {
                true => Outcome::NeverRan { after: 0 },
                false => Outcome::MayHaveRun,
            };
            self.apply_outcome(position, outcome);
        }
    }

    /// Whether this position may go out now, as far as repeats are concerned.
    pub fn may_send(&self, state: &PositionState, now: Micros) -> bool {
        match (state.first_attempt, state.sequenced.repeat) {
            (None, _) | (_, Repeat::Freely) => true,
            (Some(first), Repeat::Within(span)) => now < first.saturating_add(span),
            (Some(_), Repeat::Never) => breaks::on(Break::DebitRepeated),
        }
    }

    /// Until when a byte of it may leave.
    pub fn send_deadline(&self, state: &PositionState) -> Micros {
        match (state.first_attempt, state.sequenced.repeat) {
            (Some(first), Repeat::Within(span)) => state.sequenced.deadline.min(first.saturating_add(span)),
            _ => state.sequenced.deadline,
        }
    }

    /// A partner may know of earlier sessions that positions were sent in.
    pub fn has_started(&self) -> bool {
        self.next > 1 || self.positions.get(&self.next).is_some_and(|state| state.first_attempt.is_some())
    }
}
