//! The file of the agreement's log: append-only records, each with its length and checksums.
//!
//! [`LogFile`] writes the file and reads it back up to a record that a kill has cut short; any other damage is an
//! error.

use quillmount_core::store::Store;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::io;
use std::sync::Arc;

use super::AgreementError;
use super::log::{HardState, LogEntry, StateSnapshot};
use crate::NodeId;

/// Bytes before each record: its length, the CRC-32 of the length, and the CRC-32 of the record, each a
/// little-endian `u32`. The length has its own checksum, so that a damaged length differs from a record that a
/// kill has cut short.
const HEADER_LEN: usize = 12;
/// Version of the file format; files of another one are rejected.
const FORMAT_VERSION: u16 = 1;

/// A record of the file, in postcard's encoding.
#[derive(Serialize, Deserialize)]
enum LogRecord<'a> {
    /// The first record of each file.
    Identity { form: u16, node_id: NodeId },
    /// `entries` replace those from the first one's index on. They share a record with the hard state, so that
    /// no entry is there without the commit index that came with it: membership changes are found by that.
    Append { hard_state: HardState, entries: Cow<'a, [LogEntry]> },
    /// Replaces all records before it, except for the identity.
    Snapshot(Cow<'a, StateSnapshot>),
}

/// The contents of a log file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct PersistedLog {
    /// 0: the file is empty.
    pub node_id: NodeId,
    pub hard_state: HardState,
    pub snapshot: StateSnapshot,
    pub entries: Vec<LogEntry>,
}

impl PersistedLog {
    fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Applies a record; `None`: it can't follow the records before it.
    fn apply(&mut self, record: LogRecord) -> Option<()> {
        if (self.node_id == 0) != matches!(record, LogRecord::Identity { .. }) {
            return None;
        }
        match record {
            LogRecord::Identity { form, node_id } if form == FORMAT_VERSION && node_id != 0 => {
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

/// Reads a file up to a record that a kill has cut short. Returns its contents and the length of its complete
/// records in bytes.
///
/// # Errors
///
/// A complete record is damaged, or can't follow those before it.
fn read(bytes: &[u8]) -> Result<(PersistedLog, usize), AgreementError> {
    let (mut persisted, mut at) = (PersistedLog::default(), 0);
    while let Some((header, rest)) = bytes[at..].split_at_checked(HEADER_LEN) {
        let read_u32 =
            |n: usize| u32::from_le_bytes([header[n], header[n + 1], header[n + 2], header[n + 3]]);
        let damaged = || AgreementError::Damaged { at: at as u64 };
        if crc32fast::hash(&header[..4]) != read_u32(4) {
            return Err(damaged());
        }
        let Some(body) = rest.get(..read_u32(0) as usize) else { break };
        if crc32fast::hash(body) != read_u32(8) {
            return Err(damaged());
        }
        let record = postcard::from_bytes(body).map_err(|_| damaged())?;
        persisted.apply(record).ok_or_else(damaged)?;
        at += HEADER_LEN + body.len();
    }
    // An entry is in the same record as the commit index that came with it.
    if persisted.hard_state.commit > persisted.last_index() {
        return Err(AgreementError::Damaged { at: at as u64 });
    }
    Ok((persisted, at))
}

/// Appends a record with its header to `into`.
fn frame(record: &LogRecord, into: &mut Vec<u8>) -> Result<(), AgreementError> {
    let body = postcard::to_stdvec(record).map_err(|_| AgreementError::Unwritable)?;
    let len = u32::try_from(body.len()).map_err(|_| AgreementError::Unwritable)?.to_le_bytes();
    into.extend(len);
    into.extend(crc32fast::hash(&len).to_le_bytes());
    into.extend(crc32fast::hash(&body).to_le_bytes());
    into.extend(body);
    Ok(())
}

fn store_error(what: &'static str, source: io::Error) -> AgreementError {
    AgreementError::Store { what, source: Arc::new(source) }
}

/// A log file that was opened.
pub(super) struct OpenedLogFile<S> {
    pub file: LogFile<S>,
    /// Its contents.
    pub persisted: PersistedLog,
    /// The file was empty, and has a fresh node id now.
    pub is_new: bool,
}

/// The log file.
#[derive(Clone, Debug)]
pub(super) struct LogFile<S> {
    pub store: S,
    /// Its length in bytes when it was last rewritten.
    pub base: u64,
}

impl<S: Store> LogFile<S> {
    /// Reads the file and drops a record that a kill has cut short. An empty file gets `fresh_node_id`.
    pub fn open(store: S, fresh_node_id: NodeId) -> Result<OpenedLogFile<S>, AgreementError> {
        let mut file = LogFile { store, base: 0 };
        let bytes = file.store.read().map_err(|e| store_error("reading", e))?;
        let (mut persisted, complete_len) = read(&bytes)?;
        let is_new = persisted.node_id == 0;
        if is_new {
            if fresh_node_id == 0 {
                return Err(AgreementError::NoNodeId);
            }
            persisted.node_id = fresh_node_id;
            file.rewrite(&persisted)?;
        } else if complete_len < bytes.len() {
            // A record after a torn one would never be read.
            file.store
                .replace(&bytes[..complete_len])
                .map_err(|e| store_error("cutting off a torn record", e))?;
        }
        Ok(OpenedLogFile { file, persisted, is_new })
    }

    /// Writes a record of these at the end.
    pub fn append(&mut self, hard_state: HardState, entries: &[LogEntry]) -> Result<(), AgreementError> {
        let mut bytes = Vec::new();
        frame(&LogRecord::Append { hard_state, entries: entries.into() }, &mut bytes)?;
        self.store.append(&bytes).map_err(|e| store_error("writing", e))
    }

    /// Replaces the whole file by these contents.
    pub fn rewrite(&mut self, persisted: &PersistedLog) -> Result<(), AgreementError> {
        let mut bytes = Vec::new();
        frame(&LogRecord::Identity { form: FORMAT_VERSION, node_id: persisted.node_id }, &mut bytes)?;
        if persisted.snapshot.index > 0 {
            frame(&LogRecord::Snapshot(Cow::Borrowed(&persisted.snapshot)), &mut bytes)?;
        }
        if persisted.hard_state != HardState::default() || !persisted.entries.is_empty() {
            frame(
                &LogRecord::Append {
                    hard_state: persisted.hard_state,
                    entries: Cow::Borrowed(&persisted.entries),
                },
                &mut bytes,
            )?;
        }
        self.store.replace(&bytes).map_err(|e| store_error("rewriting", e))?;
        self.base = bytes.len() as u64;
        Ok(())
    }
}
