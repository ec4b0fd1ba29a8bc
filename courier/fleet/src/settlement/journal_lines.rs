//! The journal lines of a settlement: the format in which its owner writes them, and the selection of the lines
//! that a successor adopts from a sealed journal.

use super::model::{Outcome, SettlementId};
use super::progress::{SettlementProgress, SettlementRecord};
use crate::state::{PartitionId, partition_of};
use bytes::Bytes;
use quillmount_core::Submission;
use quillmount_core::journal::{End, JournalContents, JournalRecord, SettlementLine, Settlements};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The stored part of a message that waits to be sent: everything that is sent except its id and destination.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessagePayload {
    /// The priority class, as the client has submitted it.
    pub class: String,
    /// The idempotency key, if the client has given one.
    pub key: Option<String>,
    /// The tenant that submitted the message, if it has one.
    pub tenant: Option<String>,
    /// The body, byte for byte as submitted.
    pub body: Bytes,
}

impl MessagePayload {
    /// Extracts the payload from a submission.
    pub fn from_message(submission: &Submission) -> MessagePayload {
        let Submission { class, key, tenant, body, .. } = submission.clone();
        MessagePayload { class, key, tenant, body }
    }

    /// Builds a submission from the payload. `time_left` is the time until the deadline, in microseconds.
    pub fn to_message(&self, id: &str, dest: u64, time_left: Micros) -> Submission {
        let MessagePayload { class, key, tenant, body } = self.clone();
        Submission { id: id.into(), class, key, dest, tenant, time_left, body }
    }

    /// Returns the CRC-32 of class, key and body. A repeated submission of a position must have the same checksum.
    pub fn checksum(&self) -> u64 {
        let parts = (&self.class, &self.key, &self.body);
        u64::from(crc32fast::hash(&postcard::to_allocvec(&parts).unwrap_or_default()))
    }
}

/// A journal line of a settlement. It is encoded by position: the order of variants and fields must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JournalLine {
    /// A record without a payload.
    Record(SettlementRecord),
    /// A [`SettlementRecord::Submitted`] and the payload of its message.
    Submitted(SettlementRecord, MessagePayload),
    /// The payload of a message in a preceding [`SettlementRecord::Snapshot`], which contains no payloads.
    Payload {
        /// The position of the message.
        position: u64,
        /// The stored part of the message.
        payload: MessagePayload,
    },
}

impl JournalLine {
    /// Encodes the line as a journal record; `None` if it cannot be encoded.
    pub fn line(&self, id: &SettlementId) -> Option<JournalRecord> {
        let first = matches!(self, JournalLine::Record(SettlementRecord::Snapshot { .. }));
        let bytes = Bytes::from(postcard::to_allocvec(self).ok()?);
        Some(JournalRecord::Settlement {
            settlement_id: settlement_key(id),
            line: SettlementLine { dest: id.dest, first, bytes, source: None },
        })
    }

    /// Decodes a line of the journal; `None` if its bytes are not a valid line.
    pub fn read(line: &SettlementLine) -> Option<JournalLine> {
        postcard::from_bytes(&line.bytes).ok()
    }

    /// Returns the record of the line without the payload; `None` for a line that has only a payload.
    pub fn record(self) -> Option<SettlementRecord> {
        match self {
            JournalLine::Record(record) | JournalLine::Submitted(record, _) => Some(record),
            JournalLine::Payload { .. } => None,
        }
    }
}

/// Returns the journal key of a settlement: tenant, name and destination, separated by the control character U+001F,
/// which none of them contains.
pub fn settlement_key(id: &SettlementId) -> String {
    format!("{}\u{1f}{}\u{1f}{}", id.tenant, id.name, id.dest)
}

/// Returns the outcome of an attempt whose message has this end in the journal.
pub fn outcome_of(end: End) -> Outcome {
    match end {
        End::Delivered => Outcome::Delivered,
        End::Undeliverable => Outcome::Failed,
        // The client has already been told that the message is deferred: it never ran and has ended under this id.
        End::Deferred { .. } => Outcome::OutOfTime,
    }
}

/// Returns outcome records for attempts in flight whose messages have ended according to `known_end`, while the
/// settlement has no record of it yet.
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

/// Returns the lines of these partitions of a sealed journal, each with its source, and outcome records for messages
/// whose end is in the journal. `settled` are the partitions that the owner of the journal had adopted itself, if the
/// replicated state confirms the adoption.
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
