//! The log file of the agreement: append-only records, each with a length and checksums.
//!
//! [`LogFile`] writes the file and reads it. A crash during a write leaves an incomplete last record, which is ignored;
//! any other damage is an error.

use quillmount_core::store::Store;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::io;
use std::sync::Arc;

use super::AgreementError;
use super::log::{HardState, LogEntry, StateSnapshot};
use crate::NodeId;

/// Length in bytes of the header of each record: the record's length, the CRC-32 of the length, and the CRC-32 of the
/// record, each as a little-endian `u32`. The length has a checksum of its own, which distinguishes a damaged length
/// from an incomplete record that a crash has left.
const HEADER_LEN: usize = 12;
/// Version of the file format. Files of another version are rejected.
const FORMAT_VERSION: u16 = 1;

/// A record of the file, encoded by postcard.
#[derive(Serialize, Deserialize)]
enum LogRecord<'a> {
    /// The first record of each file.
    Identity { format_version: u16, node_id: NodeId },
    /// `entries` replace all earlier entries from the index of the first one on. They share a record with the hard
    /// state, so an entry is never present without its commit index, which is needed to apply membership changes.
    Append { hard_state: HardState, entries: Cow<'a, [LogEntry]> },
    /// A snapshot replaces all records before it, except for the identity.
    Snapshot(Cow<'a, StateSnapshot>),
}

/// The contents of a log file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct PersistedLog {
    /// 0 if the file is empty.
    pub node_id: NodeId,
    pub hard_state: HardState,
    pub snapshot: StateSnapshot,
    pub entries: Vec<LogEntry>,
}

impl PersistedLog {
    fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Applies a record; `None` if the record can't follow the records before it.
    fn apply(&mut self, record: LogRecord) -> Option<()> {
        if (self.node_id == 0) != matches!(record, LogRecord::Identity { .. }) {
            return None;
        }
        match record {
            LogRecord::Identity { format_version, node_id }
                if format_version == FORMAT_VERSION && node_id != 0 =>
            {
                self.node_id = node_id;
            }
            LogRecord::Identity { .. } => return None,
            LogRecord::Append { hard_state, entries } => {
                if let Some(first) = entries.first() {
                    if first.index > self.last_index() + 1 {
                        return None;
                    }
                    let retained = first.index.checked_sub(self.snapshot.index + 1)?;
                    self.entries.truncate(usize::try_from(retained).ok()?);
                    self.entries.extend(entries.into_owned());
                }
                self.hard_state = hard_state;
            }
            LogRecord::Snapshot(snapshot) => {
                self.snapshot = snapshot.into_owned();
                self.entries.clear();
            }
        }
        Some(())
    }
}

/// Reads the complete records of a file, without an incomplete last record. Returns the contents and the total length
/// of the complete records in bytes.
///
/// # Errors
///
/// A complete record is damaged, or can't follow the records before it.
fn read_records(bytes: &[u8]) -> Result<(PersistedLog, usize), AgreementError> {
    let (mut persisted, mut offset) = (PersistedLog::default(), 0);
    while let Some((header, rest)) = bytes[offset..].split_at_checked(HEADER_LEN) {
        let read_u32 = |start: usize| {
            u32::from_le_bytes([header[start], header[start + 1], header[start + 2], header[start + 3]])
        };
        let damaged = || AgreementError::Damaged { offset: offset as u64 };
        if crc32fast::hash(&header[..4]) != read_u32(4) {
            return Err(damaged());
        }
        let Some(body) = rest.get(..read_u32(0) as usize) else { break };
        if crc32fast::hash(body) != read_u32(8) {
            return Err(damaged());
        }
        let record = postcard::from_bytes(body).map_err(|_| damaged())?;
        persisted.apply(record).ok_or_else(damaged)?;
        offset += HEADER_LEN + body.len();
    }
    // An entry is in the same record as the commit index that was written with it.
    if persisted.hard_state.commit > persisted.last_index() {
        return Err(AgreementError::Damaged { offset: offset as u64 });
    }
    Ok((persisted, offset))
}

/// Encodes a record with its header and appends it to `buffer`.
fn encode_record(record: &LogRecord, buffer: &mut Vec<u8>) -> Result<(), AgreementError> {
    let body = postcard::to_stdvec(record).map_err(|_| AgreementError::RecordTooLarge)?;
    let len = u32::try_from(body.len()).map_err(|_| AgreementError::RecordTooLarge)?.to_le_bytes();
    buffer.extend(len);
    buffer.extend(crc32fast::hash(&len).to_le_bytes());
    buffer.extend(crc32fast::hash(&body).to_le_bytes());
    buffer.extend(body);
    Ok(())
}

fn store_error(operation: &'static str, source: io::Error) -> AgreementError {
    AgreementError::Store { operation, source: Arc::new(source) }
}

/// An opened log file with its contents.
pub(super) struct OpenedLogFile<S> {
    pub file: LogFile<S>,
    /// The contents that were read from the file.
    pub persisted: PersistedLog,
    /// Whether the file was empty and was created with the fresh node id.
    pub created: bool,
}

/// The log file, in a store.
#[derive(Clone, Debug)]
pub(super) struct LogFile<S> {
    pub store: S,
    /// Length of the file in bytes after its last rewrite.
    pub rewritten_len: u64,
}

impl<S: Store> LogFile<S> {
    /// Reads the file and removes an incomplete last record. An empty file gets `fresh_node_id`.
    pub fn open(store: S, fresh_node_id: NodeId) -> Result<OpenedLogFile<S>, AgreementError> {
        let mut file = LogFile { store, rewritten_len: 0 };
        let bytes = file.store.read().map_err(|e| store_error("reading", e))?;
        let (mut persisted, complete_len) = read_records(&bytes)?;
        let created = persisted.node_id == 0;
        if created {
            if fresh_node_id == 0 {
                return Err(AgreementError::NoNodeId);
            }
            persisted.node_id = fresh_node_id;
            file.rewrite(&persisted)?;
        } else if complete_len < bytes.len() {
            // A record that is appended after an incomplete one would never be read.
            file.store
                .replace(&bytes[..complete_len])
                .map_err(|e| store_error("removing an incomplete record from", e))?;
        }
        Ok(OpenedLogFile { file, persisted, created })
    }

    /// Appends a record with the hard state and the entries.
    pub fn append(&mut self, hard_state: HardState, entries: &[LogEntry]) -> Result<(), AgreementError> {
        let mut bytes = Vec::new();
        encode_record(&LogRecord::Append { hard_state, entries: entries.into() }, &mut bytes)?;
        self.store.append(&bytes).map_err(|e| store_error("writing", e))
    }

    /// Replaces the whole file by the given contents.
    pub fn rewrite(&mut self, persisted: &PersistedLog) -> Result<(), AgreementError> {
        let mut bytes = Vec::new();
        encode_record(
            &LogRecord::Identity { format_version: FORMAT_VERSION, node_id: persisted.node_id },
            &mut bytes,
        )?;
        if persisted.snapshot.index > 0 {
            encode_record(&LogRecord::Snapshot(Cow::Borrowed(&persisted.snapshot)), &mut bytes)?;
        }
        if persisted.hard_state != HardState::default() || !persisted.entries.is_empty() {
            encode_record(
                &LogRecord::Append {
                    hard_state: persisted.hard_state,
                    entries: Cow::Borrowed(&persisted.entries),
                },
                &mut bytes,
            )?;
        }
        self.store.replace(&bytes).map_err(|e| store_error("rewriting", e))?;
        self.rewritten_len = bytes.len() as u64;
        Ok(())
    }
}
