//! A settlement's lines in the journal: what its home writes there, and what a taker gets of a sealed book.

use super::{Kept, Outcome, Record, SettlementId};
use crate::state::{Source, part_of};
use bytes::Bytes;
use quillmount_core::Submission;
use quillmount_core::journal::{End, JournalContents, JournalRecord as Line, SettlementLine, Settlements};
use serde::{Deserialize, Serialize};
use spurshore::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// What a courier keeps of a message until its turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parcel {
    pub class: String,
    pub key: Option<String>,
    pub tenant: Option<String>,
    pub body: Bytes,
}

impl Parcel {
    /// Of a message as its consumer handed it in.
    pub fn of(invocation: &Submission) -> Parcel {
        let Submission { class, key, tenant, body, .. } = invocation.clone();
        Parcel { class, key, tenant, body }
    }

    /// The message again, with the time that is left for it.
    pub fn invocation(&self, id: &str, dest: u64, time_left: Micros) -> Submission {
        let Parcel { class, key, tenant, body } = self.clone();
        Submission { id: id.into(), class, key, dest, tenant, time_left, body }
    }

    /// A checksum of what is to be sent: one position has one.
    pub fn print(&self) -> u64 {
        let parts = (&self.class, &self.key, &self.body);
        u64::from(crc32fast::hash(&postcard::to_allocvec(&parts).unwrap_or_default()))
    }
}

/// A line of the journal about a settlement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Written {
    Record(Record),
    /// With what is to be sent.
    HandIn(Record, Parcel),
    /// The same behind a copy of all that was written before.
    Parcel {
        position: u64,
        parcel: Parcel,
    },
}

impl Written {
    /// As the journal has it; `None`: it can't be written.
    pub fn line(&self, id: &SettlementId) -> Option<Line> {
        let first = matches!(self, Written::Record(Record::Copy { .. }));
        let bytes = Bytes::from(postcard::to_allocvec(self).ok()?);
        Some(Line::Settlement {
            of: name_of(id),
            line: SettlementLine { dest: id.dest, first, bytes, source: None },
        })
    }

    /// `None`: the journal's line is none of these.
    pub fn read(line: &SettlementLine) -> Option<Written> {
        postcard::from_bytes(&line.bytes).ok()
    }

    /// What it says to the settlement itself.
    pub fn record(self) -> Option<Record> {
        match self {
            Written::Record(record) | Written::HandIn(record, _) => Some(record),
            Written::Parcel { .. } => None,
        }
    }
}

/// A settlement's name in the journal: none of its parts has the divider in it.
pub fn name_of(id: &SettlementId) -> String {
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
pub fn outcomes(id: &SettlementId, records: &[Record], fate: impl Fn(&str) -> Option<End>) -> Vec<Record> {
    let kept = Kept::read(id, &[records.to_vec()]);
    let out = kept.hands.iter().filter(|(_, held)| held.out.is_some() && held.end.is_none());
    let known = out.filter_map(|(position, held)| {
        let outcome = outcome_of(fate(&held.hand.msg)?);
        Some(Record::Outcome { id: id.clone(), position: *position, outcome })
    });
    known.collect()
}

/// The lines of these parts of a sealed book, each with where it comes from, and what the book knows of their
/// messages' ends.
pub fn lines(parts: &[Source], settled: &BTreeSet<Source>, book: &JournalContents) -> Settlements {
    let ends: BTreeMap<&str, End> = book.ended.iter().map(|(id, end, _)| (id.as_str(), *end)).collect();
    let mut taken = Settlements::default();
    for (of, lines) in &book.settlements.0 {
        let own = |line: &&SettlementLine| {
            line.source.as_ref().is_none_or(|from| settled.contains(&Source::from(from)))
        };
        let mut mine = Vec::new();
        for line in lines.iter().filter(own) {
            let part = part_of(line.dest);
            let source = parts.iter().find(|source| source.part == part);
            mine.extend(source.map(|source| SettlementLine { source: Some(source.into()), ..line.clone() }));
        }
        let Some(like) = mine.first().cloned() else { continue };
        let records: Vec<Record> =
            mine.iter().filter_map(Written::read).filter_map(Written::record).collect();
        if let Some(id) = records.first().map(|record| record.id().clone()) {
            for record in outcomes(&id, &records, |msg| ends.get(msg).copied()) {
                let bytes = Bytes::from(postcard::to_allocvec(&Written::Record(record)).unwrap_or_default());
                mine.push(SettlementLine { first: false, bytes, ..like.clone() });
            }
        }
        taken.0.insert(of.clone(), mine);
    }
    taken
}
