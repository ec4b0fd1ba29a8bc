//! The records of a settlement in its owner's journal, and the progress that results from replaying them. The owner
//! acts on this progress, and a later owner continues from it.

use super::breaks::{self, Break};
use super::model::{Cause, End, Mode, Outcome, Repeat, SequencedMessage, SettlementId, Verdict};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A journal record of a settlement. It is in the journal and in a replica of it before the owner acts on it. It is
/// encoded by position: the order of variants and fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SettlementRecord {
    /// The first owner opens the settlement, before any other record of it.
    Opened {
        /// The settlement that the record belongs to.
        id: SettlementId,
        /// The term of the owner, which the replicated state assigned.
        term: u64,
        /// The mode in which messages are sent, fixed for the whole settlement.
        mode: Mode,
    },
    /// A submitted message is accepted.
    Submitted {
        /// The settlement that the record belongs to.
        id: SettlementId,
        /// The metadata of the message.
        sequenced: SequencedMessage,
    },
    /// A client has closed the settlement and given the number of messages.
    Count {
        /// The settlement that the record belongs to.
        id: SettlementId,
        /// The number of messages of the settlement.
        total: u64,
    },
    /// The owner is about to open a session.
    Session {
        /// The settlement that the record belongs to.
        id: SettlementId,
        /// The number of the session in the settlement, counted from 1.
        #[serde(rename = "n")]
        number: u32,
    },
    /// The connection of a session is closed or lost.
    SessionEnded {
        /// The settlement that the record belongs to.
        id: SettlementId,
        /// The number of the session in the settlement.
        #[serde(rename = "n")]
        number: u32,
    },
    /// The owner is about to send a position.
    Released {
        /// The settlement that the record belongs to.
        id: SettlementId,
        /// The position of the attempt.
        position: u64,
        /// The time at which the owner wrote the record, in microseconds.
        #[serde(rename = "at")]
        released_at: Micros,
    },
    /// The attempt in flight has ended.
    Outcome {
        /// The settlement that the record belongs to.
        id: SettlementId,
        /// The position of the attempt.
        position: u64,
        /// The outcome of the attempt.
        outcome: Outcome,
    },
    /// The settlement has ended; it accepts no further message.
    Verdict {
        /// The settlement that the record belongs to.
        id: SettlementId,
        /// The final state of the settlement.
        verdict: Verdict,
    },
    /// The progress from the journals of earlier owners, which a new owner copies into its own journal.
    Snapshot {
        /// The settlement that the record belongs to.
        id: SettlementId,
        /// The result of replaying the earlier records.
        progress: Box<SettlementProgress>,
    },
}

impl SettlementRecord {
    /// Returns the settlement that the record belongs to.
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

    /// Encodes the record for the journal.
    ///
    /// # Errors
    /// The record cannot be encoded. No value of these types causes this.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Decodes a record from the bytes in a journal.
    ///
    /// # Errors
    /// The bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Result<SettlementRecord, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// The state of a position whose message was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PositionState {
    /// The metadata of the accepted message.
    pub sequenced: SequencedMessage,
    /// When the attempt in flight was released, in microseconds; `None` while no attempt is in flight.
    pub sent_at: Option<Micros>,
    /// When the first attempt that may have run was released, in microseconds. The idempotency window begins there.
    pub first_attempt: Option<Micros>,
    /// The result of the message, once it has ended.
    pub end: Option<End>,
}

/// The state of a settlement that results from replaying its records.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettlementProgress {
    /// The term of the owner that wrote the latest record.
    pub term: u64,
    /// The mode in which the settlement was opened; `None` while no record is written.
    pub mode: Option<Mode>,
    /// The accepted messages by position, ended ones included.
    pub positions: BTreeMap<u64, PositionState>,
    /// The number of messages of the settlement, once a client has given it.
    pub total: Option<u64>,
    /// The first position that is not delivered; only this position may be sent.
    #[serde(rename = "next")]
    pub next_position: u64,
    /// The number of sessions that were opened or were about to be opened.
    #[serde(rename = "sessions")]
    pub session_count: u32,
    /// The number of the session whose connection may be open.
    #[serde(rename = "session")]
    pub open_session: Option<u32>,
    /// The final state, once the settlement has ended.
    pub verdict: Option<Verdict>,
    /// The number of accepted messages that have not ended.
    #[serde(rename = "waiting")]
    pub pending_messages: u64,
    /// The total size of these messages in bytes.
    #[serde(rename = "bytes")]
    pub pending_bytes: u64,
}

impl Default for SettlementProgress {
    fn default() -> Self {
        SettlementProgress {
            term: 0,
            mode: None,
            positions: BTreeMap::new(),
            total: None,
            next_position: 1,
            session_count: 0,
            open_session: None,
            verdict: None,
            pending_messages: 0,
            pending_bytes: 0,
        }
    }
}

impl SettlementProgress {
    /// Replays the records of the settlement from these journals, that of the earliest owner first. The snapshot of a
    /// later owner replaces everything before it.
    pub fn read(id: &SettlementId, journals: &[Vec<SettlementRecord>]) -> SettlementProgress {
        let mut progress = SettlementProgress::default();
        for journal in journals {
            // A courier that was the owner twice has the records of both terms in its journal: those of the earlier
            // term are skipped if a later owner's records were already applied.
            let mut is_outdated = false;
            for record in journal.iter().filter(|record| record.id() == id) {
                match record {
                    SettlementRecord::Opened { term, .. } => is_outdated = *term < progress.term,
                    SettlementRecord::Snapshot { progress: snapshot, .. } => {
                        is_outdated = snapshot.term < progress.term;
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

    /// Applies one record in the order of the journal.
    pub fn apply(&mut self, record: &SettlementRecord) {
        match record {
            SettlementRecord::Opened { term, mode, .. } if *term > self.term => {
                *self =
                    SettlementProgress { term: *term, mode: Some(*mode), ..SettlementProgress::default() };
            }
            SettlementRecord::Opened { .. } => {}
            SettlementRecord::Snapshot { progress, .. } => *self = (**progress).clone(),
            // A submission after the verdict was never acknowledged.
            SettlementRecord::Submitted { sequenced, .. } if self.verdict.is_none() => {
                if !self.positions.contains_key(&sequenced.position) {
                    self.pending_messages += 1;
                    self.pending_bytes += sequenced.size;
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
            SettlementRecord::Session { number, .. } => {
                (self.session_count, self.open_session) = (*number, Some(*number));
            }
            SettlementRecord::SessionEnded { number, .. } => {
                self.open_session = self.open_session.filter(|open| open != number);
            }
            SettlementRecord::Released { position, released_at, .. } => {
                if let Some(state) = self.positions.get_mut(position) {
                    state.sent_at = Some(*released_at);
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
        if end == End::Delivered && position == self.next_position {
            self.next_position += 1;
        }
    }

    fn end_position(&mut self, position: u64, end: End) {
        if let Some(state) = self.positions.get_mut(&position).filter(|state| state.end.is_none()) {
            state.end = Some(end);
            self.pending_messages -= 1;
            self.pending_bytes -= state.sequenced.size;
        }
    }

    fn decide(&mut self, verdict: Verdict) {
        if self.verdict.is_some() {
            return;
        }
        self.verdict = Some(verdict);
        let Verdict::Broken { break_position, cause } = verdict else { return };
        let unended: Vec<u64> =
            self.positions.iter().filter(|(_, state)| state.end.is_none()).map(|(p, _)| *p).collect();
        for position in unended {
            let state = &self.positions[&position];
            let may_have_run = state.first_attempt.is_some() || state.sent_at.is_some();
            let end = match cause {
                _ if position != break_position => End::NeverRan { broken_at: break_position },
                _ if may_have_run => End::MayHaveRun,
                Cause::Failed => End::Failed,
                Cause::OutOfTime => End::OutOfTime,
                _ => End::NeverRan { broken_at: break_position },
            };
            self.end_position(position, end);
        }
    }

    /// Prepares the progress for a new owner: an attempt that was in flight when the earlier owner was lost may
    /// have run.
    pub fn begin_ownership(&mut self) {
        let in_flight: Vec<u64> =
            self.positions.iter().filter(|(_, state)| state.sent_at.is_some()).map(|(p, _)| *p).collect();
        for position in in_flight {
            let outcome = match breaks::is_enabled(Break::InFlightNeverRan) {
                true => Outcome::NeverRan { after: 0 },
                false => Outcome::MayHaveRun,
            };
            self.apply_outcome(position, outcome);
        }
    }

    /// Returns whether the [`Repeat`] rule of the message allows another attempt at time `now`.
    pub fn may_send(&self, state: &PositionState, now: Micros) -> bool {
        match (state.first_attempt, state.sequenced.repeat) {
            (None, _) | (_, Repeat::Freely) => true,
            (Some(first), Repeat::Within(span)) => now < first.saturating_add(span),
            (Some(_), Repeat::Never) => breaks::is_enabled(Break::RepeatNonIdempotent),
        }
    }

    /// Returns the time from which no byte of this position may be sent: the deadline of the message, or the end of
    /// its idempotency window if that is earlier.
    pub fn send_deadline(&self, state: &PositionState) -> Micros {
        match (state.first_attempt, state.sequenced.repeat) {
            (Some(first), Repeat::Within(span)) => state.sequenced.deadline.min(first.saturating_add(span)),
            _ => state.sequenced.deadline,
        }
    }

    /// Returns whether the partner may have received a message: one was delivered, or an attempt may have run.
    pub fn has_started(&self) -> bool {
        self.next_position > 1
            || self.positions.get(&self.next_position).is_some_and(|state| state.first_attempt.is_some())
    }
}
