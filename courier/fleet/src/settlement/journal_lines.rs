//! A settlement's lines in the journal: what its home writes there, and what a taker gets of a sealed book.

use super::{Outcome, SettlementId, SettlementProgress, SettlementRecord};
use crate::state::{PartitionId, partition_of};
use bytes::Bytes;
use quillmount_core::Submission;
use quillmount_core::journal::{End, JournalContents, JournalRecord, SettlementLine, Settlements};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a courier keeps of a message until its turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessagePayload {
    pub class: String,
    pub key: Option<String>,
    pub tenant: Option<String>,
    pub body: Bytes,
}

impl MessagePayload {
    /// Of a message as its consumer handed it in.
    pub fn from_message(invocation: &Submission) -> MessagePayload {
        let Submission { class, key, tenant, body, .. } = invocation.clone();
        MessagePayload { class, key, tenant, body }
    }

    /// The message again, with the time that is left for it.
    pub fn to_message(&self, id: &str, dest: u64, time_left: Micros) -> Submission {
        let MessagePayload { class, key, tenant, body } = self.clone();
        Submission { id: id.into(), class, key, dest, tenant, time_left, body }
    }

    /// A checksum of what is to be sent: one position has one.
    pub fn checksum(&self) -> u64 {
        let parts = (&self.class, &self.key, &self.body);
        u64::from(crc32fast::hash(&postcard::to_allocvec(&parts).unwrap_or_default()))
    }
}

/// A line of the journal about a settlement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JournalLine {
    Record(SettlementRecord),
    /// With what is to be sent.
    Submitted(SettlementRecord, MessagePayload),
    /// The same behind a copy of all that was written before.
    Payload {
        position: u64,
        payload: MessagePayload,
    },
}

impl JournalLine {
    /// As the journal has it; `None`: it can't be written.
    pub fn line(&self, id: &SettlementId) -> Option<JournalRecord> {
        let first = matches!(self, JournalLine::Record(SettlementRecord::Snapshot { .. }));
        let bytes = Bytes::from(postcard::to_allocvec(self).ok()?);
        Some(JournalRecord::Settlement {
            of: settlement_key(id),
            line: SettlementLine { dest: id.dest, first, bytes, source: None },
        })
    }

    /// `None`: the journal's line is none of these.
    pub fn read(line: &SettlementLine) -> Option<JournalLine> {
        postcard::from_bytes(&line.bytes).ok()
    }

    /// What it says to the settlement itself.
    pub fn record(self) -> Option<SettlementRecord> {
        match self {
            JournalLine::Record(record) | JournalLine::Submitted(record, _) => Some(record),
            JournalLine::Payload { .. } => None,
        }
    }
}

/// A settlement's name in the journal: none of its parts has the divider in it.
pub fn settlement_key(id: &SettlementId) -> String {
    format!("{}\u{1f}{}\u{1f}{}", id.tenant, id.name, id.dest)
}

/// What the journal's end of a message says of its attempt.
pub fn outcome_of(end: End) -> Outcome {
    match end {
        End::Delivered => Outcome::Delivered,
        End::Undeliverable => Outcome::Failed,
        // Told so, it is over under this id, and never ran.
        End::Deferred { .. } => Outcome::OutOfTime,
    }
}

/// What became of positions that were out, where that is known and not written.
pub fn known_outcomes(
    id: &SettlementId,
    records: &[SettlementRecord],
    known_end: impl Fn(&str) -> Option<End>,
) -> Vec<SettlementRecord> {
    let progress = SettlementProgress::read(id, &[records.to_vec()]);
    let out = progress.positions.iter().filter(|(_, state)| state.sent_at.is_some() && state.end.is_none());
    let known = out.filter_map(|(position, state)| {
        let outcome = outcome_of(known_end(&state.sequenced.message_id)?);
        Some(SettlementRecord::Outcome { id: id.clone(), position: *position, outcome })
    });
    known.collect()
}

/// The lines of these parts of a sealed book, each with where it comes from, and what the book knows of their
/// messages' ends.
pub fn adopted_lines(
    partitions: &[PartitionId],
    settled: &BTreeSet<PartitionId>,
    book: &JournalContents,
) -> Settlements {
    let ends: BTreeMap<&str, End> = book.ended.iter().map(|(id, end, _)| (id.as_str(), *end)).collect();
    let mut taken = Settlements::default();
    for (of, lines) in &book.settlements.0 {
        let own = |line: &&SettlementLine| {
            line.source.as_ref().is_none_or(|from| settled.contains(&PartitionId::from(from)))
        };
        let mut mine = Vec::new();
        for line in lines.iter().filter(own) {
            let partition = partition_of(line.dest);
            let source = partitions.iter().find(|source| source.partition == partition);
            mine.extend(source.map(|source| SettlementLine { source: Some(source.into()), ..line.clone() }));
        }
        let Some(template) = mine.first().cloned() else { continue };
        let records: Vec<SettlementRecord> =
            mine.iter().filter_map(JournalLine::read).filter_map(JournalLine::record).collect();
        if let Some(id) = records.first().map(|record| record.id().clone()) {
            for record in known_outcomes(&id, &records, |message_id| ends.get(message_id).copied()) {
                let bytes =
                    Bytes::from(postcard::to_allocvec(&JournalLine::Record(record)).unwrap_or_default());
                mine.push(SettlementLine { first: false, bytes, ..template.clone() });
            }
        }
        taken.0.insert(of.clone(), mine);
    }
    taken
}
