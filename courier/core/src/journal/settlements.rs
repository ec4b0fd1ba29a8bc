//! The lines of settlements that a journal holds.

use super::record::{JournalRecord, SettlementLine, Source};
use std::collections::BTreeMap;

/// The most that the record of a line takes in addition to its variable parts, in bytes.
const LINE_OVERHEAD: u64 = 48;
/// The most that a line's source takes in addition to its owner's name, in bytes.
const SOURCE_OVERHEAD: usize = 32;

/// The lines of each settlement by its id, in the order in which they were written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settlements(pub BTreeMap<String, Vec<SettlementLine>>);

impl Settlements {
    /// Applies a record; true if the record concerns settlements alone.
    pub fn apply(&mut self, record: &JournalRecord) -> bool {
        match record {
            JournalRecord::Settlement { of, line } => {
                let lines = self.0.entry(of.clone()).or_default();
                if line.first && line.source.is_none() {
                    lines.retain(|line| line.source.is_some());
                }
                lines.push(line.clone());
                true
            }
            JournalRecord::SettlementEnded { of } => {
                self.0.remove(of);
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

    /// The sources of lines whose owner the fleet has not decided yet.
    pub fn unsettled(&self) -> impl Iterator<Item = &Source> {
        self.0.values().flatten().filter_map(|line| line.source.as_ref())
    }

    /// The records that restore these lines.
    pub(super) fn records(self) -> impl Iterator<Item = JournalRecord> {
        self.0.into_iter().flat_map(|(of, lines)| {
            lines.into_iter().map(move |line| JournalRecord::Settlement { of: of.clone(), line })
        })
    }

    /// The most that the records of all lines take in a journal, in bytes.
    pub(super) fn encoded_len_max(&self) -> u64 {
        self.0.iter().flat_map(|(of, lines)| lines.iter().map(move |line| line_len_max(of, line))).sum()
    }
}

fn line_len_max(of: &str, line: &SettlementLine) -> u64 {
    let source = line.source.as_ref().map_or(0, |source| source.owner.len() + SOURCE_OVERHEAD);
    (of.len() + line.bytes.len() + source) as u64 + LINE_OVERHEAD
}
