//! The settlement lines in a journal.

use super::record::{JournalRecord, SettlementLine, Source};
use std::collections::BTreeMap;

/// Upper bound of the size of a line's record without its variable parts, in bytes.
const LINE_RECORD_OVERHEAD: u64 = 48;
/// Upper bound of the size of a line's source without the owner's name, in bytes.
const SOURCE_OVERHEAD: usize = 32;

/// The lines of each settlement by the settlement's id, in the order in which they were written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settlements(pub BTreeMap<String, Vec<SettlementLine>>);

impl Settlements {
    /// Applies a record; returns true if the record affects nothing but settlements.
    pub fn apply(&mut self, record: &JournalRecord) -> bool {
        match record {
            JournalRecord::Settlement { settlement_id, line } => {
                let lines = self.0.entry(settlement_id.clone()).or_default();
                if line.first && line.source.is_none() {
                    lines.retain(|line| line.source.is_some());
                }
                lines.push(line.clone());
                true
            }
            JournalRecord::SettlementEnded { settlement_id } => {
                self.0.remove(settlement_id);
                true
            }
            JournalRecord::Settled { source, accepted } => {
                for lines in self.0.values_mut() {
                    if *accepted {
                        let from_source =
                            lines.iter_mut().filter(|line| line.source.as_ref() == Some(source));
                        from_source.for_each(|line| line.source = None);
                    } else {
                        lines.retain(|line| line.source.as_ref() != Some(source));
                    }
                }
                self.0.retain(|_, lines| !lines.is_empty());
                false
            }
            _ => false,
        }
    }

    /// The sources of lines for which the fleet has not yet decided the owner.
    pub fn unsettled(&self) -> impl Iterator<Item = &Source> {
        self.0.values().flatten().filter_map(|line| line.source.as_ref())
    }

    /// The records that restore these lines.
    pub(super) fn records(self) -> impl Iterator<Item = JournalRecord> {
        self.0.into_iter().flat_map(|(settlement_id, lines)| {
            lines
                .into_iter()
                .map(move |line| JournalRecord::Settlement { settlement_id: settlement_id.clone(), line })
        })
    }

    /// Upper bound of the size of all lines' records in a journal, in bytes.
    pub(super) fn max_encoded_len(&self) -> u64 {
        self.0
            .iter()
            .flat_map(|(settlement_id, lines)| {
                lines.iter().map(move |line| max_line_record_len(settlement_id, line))
            })
            .sum()
    }
}

fn max_line_record_len(settlement_id: &str, line: &SettlementLine) -> u64 {
    let source = line.source.as_ref().map_or(0, |source| source.owner.len() + SOURCE_OVERHEAD);
    (settlement_id.len() + line.bytes.len() + source) as u64 + LINE_RECORD_OVERHEAD
}
