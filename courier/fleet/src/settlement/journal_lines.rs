//! A settlement's lines in the courier's journal: what its owner writes there, and what a successor adopts of a sealed
//! journal.

use super::model::{Outcome, SettlementId};
use super::progress::{SettlementProgress, SettlementRecord};
use crate::state::{PartitionId, partition_of};
use bytes::Bytes;
use quillmount_core::Submission;
use quillmount_core::journal::{End, JournalContents, JournalRecord, SettlementLine, Settlements};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a courier stores of a message until its turn: all that is sent, besides its id and destination.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessagePayload {
    /// The message's class.
    pub class: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Its body.
    pub body: Bytes,
}

impl MessagePayload {
    /// The payload of a message as its client submitted it.
    pub fn from_message(submission: &Submission) -> MessagePayload {
        let Submission { class, key, tenant, body, .. } = submission.clone();
        MessagePayload { class, key, tenant, body }
    }

    /// The message with this id and destination, and the time that is left until its deadline.
    pub fn to_message(&self, id: &str, dest: u64, time_left: Micros) -> Submission {
        let MessagePayload { class, key, tenant, body } = self.clone();
        Submission { id: id.into(), class, key, dest, tenant, time_left, body }
    }

    /// A checksum of what is sent: a position has one payload.
    pub fn checksum(&self) -> u64 {
        let parts = (&self.class, &self.key, &self.body);
        u64::from(crc32fast::hash(&postcard::to_allocvec(&parts).unwrap_or_default()))
    }
}

/// A line of the journal about a settlement, encoded by position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JournalLine {
    /// A record.
    Record(SettlementRecord),
    /// A [`SettlementRecord::Submitted`] with the payload of its message.
    Submitted(SettlementRecord, MessagePayload),
    /// A payload that follows a [`SettlementRecord::Snapshot`], which has none.
    Payload {
        /// The position of its message.
        position: u64,
        /// The payload.
        payload: MessagePayload,
    },
}

impl JournalLine {
    /// The line as the journal's record; `None`: it can't be encoded.
    pub fn line(&self, id: &SettlementId) -> Option<JournalRecord> {
        let first = matches!(self, JournalLine::Record(SettlementRecord::Snapshot { .. }));
        let bytes = Bytes::from(postcard::to_allocvec(self).ok()?);
        Some(JournalRecord::Settlement {
            settlement_id: settlement_key(id),
            line: SettlementLine { dest: id.dest, first, bytes, source: None },
        })
    }

    /// The line that the journal has; `None`: its bytes are none.
    pub fn read(line: &SettlementLine) -> Option<JournalLine> {
        postcard::from_bytes(&line.bytes).ok()
    }

    /// The record of the settlement, without a payload.
    pub fn record(self) -> Option<SettlementRecord> {
        match self {
            JournalLine::Record(record) | JournalLine::Submitted(record, _) => Some(record),
            JournalLine::Payload { .. } => None,
        }
    }
}

/// A settlement's key in the journal: tenant, name and destination, divided by the control character U+001F, which is
/// in none of them.
pub fn settlement_key(id: &SettlementId) -> String {
    format!("{}\u{1f}{}\u{1f}{}", id.tenant, id.name, id.dest)
}

/// The outcome of an attempt whose message has this end in the journal.
pub fn outcome_of(end: End) -> Outcome {
    match end {
        End::Delivered => Outcome::Delivered,
        End::Undeliverable => Outcome::Failed,
        // The client was answered so: the message has ended under this id, and never ran.
        End::Deferred { .. } => Outcome::OutOfTime,
    }
}

/// The outcomes of attempts in flight whose message's end is known and not yet recorded for the settlement.
pub fn known_outcomes(
    id: &SettlementId,
    records: &[SettlementRecord],
    known_end: impl Fn(&str) -> Option<End>,
) -> Vec<SettlementRecord> {
    let progress = SettlementProgress::read(id, &[records.to_vec()]);
    let in_flight =
        progress.positions.iter().filter(|(_, state)| state.sent_at.is_some() && state.end.is_none());
    let known = in_flight.filter_map(|(position, state)| {
        let outcome = outcome_of(known_end(&state.sequenced.message_id)?);
        Some(SettlementRecord::Outcome { id: id.clone(), position: *position, outcome })
    });
    known.collect()
}

/// The lines of these partitions of a sealed journal, each with its source, and the ends of their messages that the
/// journal has. `settled` are the partitions whose earlier adoption by that journal's owner was agreed on.
pub fn adopted_lines(
    partitions: &[PartitionId],
    settled: &BTreeSet<PartitionId>,
    journal: &JournalContents,
) -> Settlements {
    let ends: BTreeMap<&str, End> =
        journal.ended.iter().map(|ended| (ended.id.as_str(), ended.end)).collect();
    let mut adopted = Settlements::default();
    for (key, lines) in &journal.settlements.0 {
        let own = |line: &&SettlementLine| {
            line.source.as_ref().is_none_or(|from| settled.contains(&PartitionId::from(from)))
        };
        let mut adopted_here = Vec::new();
        for line in lines.iter().filter(own) {
            let partition = partition_of(line.dest);
            let source = partitions.iter().find(|source| source.partition == partition);
            adopted_here
                .extend(source.map(|source| SettlementLine { source: Some(source.into()), ..line.clone() }));
        }
        let Some(template) = adopted_here.first().cloned() else { continue };
        let records: Vec<SettlementRecord> =
            adopted_here.iter().filter_map(JournalLine::read).filter_map(JournalLine::record).collect();
        if let Some(id) = records.first().map(|record| record.id().clone()) {
            for record in known_outcomes(&id, &records, |message_id| ends.get(message_id).copied()) {
                let bytes =
                    Bytes::from(postcard::to_allocvec(&JournalLine::Record(record)).unwrap_or_default());
                adopted_here.push(SettlementLine { first: false, bytes, ..template.clone() });
            }
        }
        adopted.0.insert(key.clone(), adopted_here);
    }
    adopted
}
