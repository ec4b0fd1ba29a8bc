//! Builds log files record by record.

use crate::fleet::SECOND;
use quillmount_core::store::Memory;
use quillmount_fleet::agreement::{Agreement, AgreementError, AgreementLimits, CommittedCommand};

/// The records of version 1 of the file format that these tests use.
#[derive(serde::Serialize)]
pub enum FileRecord {
    Identity { format_version: u16, node_id: u64 },
    Append { hard_state: HardState, entries: Vec<Entry> },
}

/// Term, vote and commit.
pub type HardState = (u64, u64, u64);

/// Term, index and payload.
pub type Entry = (u64, u64, Payload);

#[derive(serde::Serialize)]
#[allow(dead_code)]
pub enum Payload {
    Noop,
    Command(Vec<u8>),
}

pub fn entry(index: u64, term: u64) -> Entry {
    (term, index, Payload::Command(vec![index as u8, term as u8]))
}

/// Opens a file of the given records, which are valid individually. Returns the entries that are known to be committed.
pub fn open_with_records(
    written: Vec<(HardState, Vec<Entry>)>,
) -> Result<Vec<CommittedCommand>, AgreementError> {
    let appends = written.into_iter().map(|(hard_state, entries)| FileRecord::Append { hard_state, entries });
    let mut bytes = Vec::new();
    for record in std::iter::once(FileRecord::Identity { format_version: 1, node_id: 5 }).chain(appends) {
        let body = postcard::to_stdvec(&record).unwrap();
        let len = u32::try_from(body.len()).unwrap().to_le_bytes();
        bytes.extend(
            [len, crc32fast::hash(&len).to_le_bytes(), crc32fast::hash(&body).to_le_bytes()].concat(),
        );
        bytes.extend(body);
    }
    let (agreement, opened) =
        Agreement::open(Memory::from_bytes(bytes), 99, AgreementLimits::default(), SECOND)?;
    assert_eq!((agreement.node_id(), opened.is_new), (5, false));
    Ok(opened.committed)
}
