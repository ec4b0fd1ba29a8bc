//! A settlement's records in its owner's journal, and the progress that they add up to: the owner acts on it, and a
//! later owner continues from it.

use super::breaks::{self, Break};
use super::model::{Cause, End, Mode, Outcome, Repeat, SequencedMessage, SettlementId, Verdict};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One record of a journal about a settlement. It is in the journal, and in a replica of it, before anything is done
/// about it. Encoded by position: variants and fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SettlementRecord {
    /// An owner begins the settlement.
    Opened {
        /// The settlement.
        id: SettlementId,
        /// The owner's term.
        term: u64,
        /// The mode that the settlement is carried in.
        mode: Mode,
    },
    /// A message is accepted.
    Submitted {
        /// The settlement.
        id: SettlementId,
        /// The message.
        sequenced: SequencedMessage,
    },
    /// The number of messages, from a closing.
    Count {
        /// The settlement.
        id: SettlementId,
        /// The number of messages.
        total: u64,
    },
    /// A session is about to be opened.
    Session {
        /// The settlement.
        id: SettlementId,
        /// The session's number, from 1.
        n: u32,
    },
    /// A session's connection is known to be gone.
    SessionEnded {
        /// The settlement.
        id: SettlementId,
        /// The session's number.
        n: u32,
    },
    /// An attempt is about to be made.
    Released {
        /// The settlement.
        id: SettlementId,
        /// The position that is sent.
        position: u64,
        /// The owner's time.
        at: Micros,
    },
    /// An attempt has ended.
    Outcome {
        /// The settlement.
        id: SettlementId,
        /// The position that was sent.
        position: u64,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// The settlement has ended.
    Verdict {
        /// The settlement.
        id: SettlementId,
        /// How it ended.
        verdict: Verdict,
    },
    /// All that the journals of earlier owners say, written by a new owner.
    Snapshot {
        /// The settlement.
        id: SettlementId,
        /// What the earlier records add up to.
        progress: Box<SettlementProgress>,
    },
}

impl SettlementRecord {
    /// The settlement that it is about.
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

    /// Its bytes in a journal.
    ///
    /// # Errors
    /// It can't be encoded, which no value of these types brings about.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// The record that has these bytes.
    ///
    /// # Errors
    /// The bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<SettlementRecord, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// A position whose message was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PositionState {
    /// The message.
    pub sequenced: SequencedMessage,
    /// Since when an attempt is in flight.
    pub sent_at: Option<Micros>,
    /// When the first attempt that may have run was released: the idempotency window begins there.
    pub first_attempt: Option<Micros>,
    /// How the message ended, if it has.
    pub end: Option<End>,
}

/// A settlement as its records describe it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettlementProgress {
    /// The term of the owner that wrote last.
    pub term: u64,
    /// The mode that it was opened in; `None`: nothing is written yet.
    pub mode: Option<Mode>,
    /// Its accepted messages, by position.
    pub positions: BTreeMap<u64, PositionState>,
    /// The number of messages, once it is known.
    pub total: Option<u64>,
    /// The first position that is not delivered.
    pub next: u64,
    /// The number of sessions that were opened.
    pub sessions: u32,
    /// The session that may be open.
    pub session: Option<u32>,
    /// How it ended, if it has.
    pub verdict: Option<Verdict>,
    /// Accepted messages that have not ended.
    pub waiting: u64,
    /// The bytes of these.
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
    /// What these journals say together, the earliest owner's first. A later owner's snapshot replaces all before it.
    pub fn read(id: &SettlementId, journals: &[Vec<SettlementRecord>]) -> SettlementProgress {
        let mut progress = SettlementProgress::default();
        for journal in journals {
            // A courier that was the owner twice has the records of both terms in its journal.
            let mut is_outdated = false;
            for record in journal.iter().filter(|record| record.id() == id) {
                match record {
                    SettlementRecord::Opened { term, .. } => is_outdated = *term < progress.term,
                    SettlementRecord::Snapshot { progress: copy, .. } => {
                        is_outdated = copy.term < progress.term;
                    }
                    _ => {}
                }
                if !is_outdated {
                    progress.apply(record);
                }
            }
        }
        progress
    }

    /// Applies one record.
    pub fn apply(&mut self, record: &SettlementRecord) {
        match record {
            SettlementRecord::Opened { term, mode, .. } if *term > self.term => {
                *self =
                    SettlementProgress { term: *term, mode: Some(*mode), ..SettlementProgress::default() };
            }
            SettlementRecord::Opened { .. } => {}
            SettlementRecord::Snapshot { progress, .. } => *self = (**progress).clone(),
            // What follows the verdict was never acknowledged as accepted.
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
        let sent_at = state.sent_at.take();
        let end = match outcome {
            Outcome::Delivered => End::Delivered,
            Outcome::Failed => End::Failed,
            Outcome::OutOfTime if state.first_attempt.is_some() => End::MayHaveRun,
            Outcome::OutOfTime => End::OutOfTime,
            Outcome::NeverRan { .. } => return,
            Outcome::MayHaveRun => {
                state.first_attempt = state.first_attempt.or(sent_at);
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
            self.positions.iter().filter(|(_, state)| state.end.is_none()).map(|(p, _)| *p).collect();
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

    /// An attempt that was in flight when the owner was lost counts as one that may have run.
    pub fn begin_ownership(&mut self) {
        let in_flight: Vec<u64> =
            self.positions.iter().filter(|(_, state)| state.sent_at.is_some()).map(|(p, _)| *p).collect();
        for position in in_flight {
            let outcome = match breaks::is_enabled(Break::OutNeverRan) {
                true => Outcome::NeverRan { after: 0 },
                false => Outcome::MayHaveRun,
            };
            self.apply_outcome(position, outcome);
        }
    }

    /// Whether this position may be sent now, as far as repeats are concerned.
    pub fn may_send(&self, state: &PositionState, now: Micros) -> bool {
        match (state.first_attempt, state.sequenced.repeat) {
            (None, _) | (_, Repeat::Freely) => true,
            (Some(first), Repeat::Within(span)) => now < first.saturating_add(span),
            (Some(_), Repeat::Never) => breaks::is_enabled(Break::DebitRepeated),
        }
    }

    /// Until when a byte of this position may be sent.
    pub fn send_deadline(&self, state: &PositionState) -> Micros {
        match (state.first_attempt, state.sequenced.repeat) {
            (Some(first), Repeat::Within(span)) => state.sequenced.deadline.min(first.saturating_add(span)),
            _ => state.sequenced.deadline,
        }
    }

    /// The partner may have received a message: one was delivered or may have run.
    pub fn has_started(&self) -> bool {
        self.next > 1 || self.positions.get(&self.next).is_some_and(|state| state.first_attempt.is_some())
    }
}
