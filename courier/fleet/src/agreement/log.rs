//! The agreement's log: a file of append-only records, each with its length and checksums, and its copy in
//! memory, which the Raft library reads.
//!
//! [`LogFile`] writes the file and [`read`] reads it back up to a record that a kill has cut short; any other
//! damage is an error. [`MemoryLog`] is the library's [`Storage`].

use quillmount_core::store::Store;
use raft::prelude::{ConfState, Entry as RaftEntry, EntryType, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::cell::Cell;
use std::io;
use std::sync::Arc;

use super::{AgreementError, MembershipChange};
use crate::NodeId;

/// Bytes before each record: its length, the CRC-32 of the length, and the CRC-32 of the record, each a
/// little-endian `u32`. The length has its own checksum, so that a damaged length differs from a record that a
/// kill has cut short.
const HEADER_LEN: usize = 12;
/// Version of the file format; files of another one are rejected.
const FORMAT_VERSION: u16 = 1;
/// Bytes counted for an entry's term, index and lengths, when a message's entries are limited by size.
const ENTRY_OVERHEAD: u64 = 16;

/// What a voter must have written before it sends anything (the persistent state of figure 2 of the Raft
/// paper, and the commit index).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct HardState {
    /// The latest term it has seen.
    pub term: u64,
    /// The candidate that got its vote in this term; 0 for none.
    pub vote: NodeId,
    /// Index up to which the log is known to be committed; more may be.
    pub commit: u64,
}

/// What a log entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Payload {
    /// Nothing: the first entry of a new leader's term.
    Noop,
    /// A command of the caller.
    Command(Vec<u8>),
    /// A change of the agreement's members.
    Membership(MembershipChange),
}

/// An entry of the log, in the form that is written and sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct LogEntry {
    pub term: u64,
    pub index: u64,
    pub payload: Payload,
}

/// The state after the entry `index`, which takes the place of all entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct StateSnapshot {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<NodeId>,
    pub learners: Vec<NodeId>,
    pub state: Vec<u8>,
}

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
                self.node_id = node_id
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
pub(super) fn read(bytes: &[u8]) -> Result<(PersistedLog, usize), AgreementError> {
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

/// The log file.
#[derive(Clone, Debug)]
pub(super) struct LogFile<S> {
    pub store: S,
    /// Its length in bytes when it was last rewritten.
    pub base: u64,
}

impl<S: Store> LogFile<S> {
    /// Reads the file and drops a record that a kill has cut short. An empty file gets `fresh_node_id`. Also
    /// returns its contents, and whether it was empty.
    pub fn open(store: S, fresh_node_id: NodeId) -> Result<(Self, PersistedLog, bool), AgreementError> {
        let mut file = LogFile { store, base: 0 };
        let bytes = file.store.read().map_err(|e| store_error("reading", e))?;
        let (mut persisted, complete_len) = read(&bytes)?;
        let new = persisted.node_id == 0;
        if new {
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
        Ok((file, persisted, new))
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
        self.store.replace(&bytes).map_err(|e| store_error("writing anew", e))?;
        self.base = bytes.len() as u64;
        Ok(())
    }
}

/// The log in memory, as the Raft library reads it.
#[derive(Clone, Debug, Default)]
pub(super) struct MemoryLog {
    pub hard_state: HardState,
    pub snapshot: StateSnapshot,
    /// The members of the agreement after the entry that was last applied.
    pub membership: ConfState,
    /// The entries after the snapshot.
    pub entries: Vec<RaftEntry>,
    /// The library wanted to send a snapshot, and this one is too old: it lacks the entries needed, or the
    /// receiver among its members. A `Cell`, as the library reads its storage by `&self`.
    pub snapshot_needed: Cell<bool>,
}

impl MemoryLog {
    pub fn from_persisted(persisted: &PersistedLog) -> Self {
        MemoryLog {
            hard_state: persisted.hard_state,
            membership: persisted.snapshot.membership(),
            snapshot: persisted.snapshot.clone(),
            entries: persisted.entries.iter().map(LogEntry::to_raft).collect(),
            snapshot_needed: Cell::new(false),
        }
    }

    /// Index of the last entry, or of the snapshot if there is none.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Adds entries that were written; they replace those from the first one's index on.
    pub fn append(&mut self, entries: &[RaftEntry]) {
        let Some(first) = entries.first() else { return };
        let retained = first.index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(usize::try_from(retained).unwrap_or(usize::MAX));
        self.entries.extend_from_slice(entries);
    }

    /// Replaces the entries up to the snapshot's index by it.
    pub fn compact(&mut self, snapshot: StateSnapshot) {
        let compacted = snapshot.index.saturating_sub(self.snapshot.index).min(self.entries.len() as u64);
        self.entries.drain(..usize::try_from(compacted).unwrap_or(usize::MAX));
        self.snapshot = snapshot;
    }

    /// Replaces the whole log by the leader's snapshot.
    pub fn restore(&mut self, snapshot: StateSnapshot) {
        self.membership = snapshot.membership();
        self.snapshot = snapshot;
        self.entries.clear();
    }

    fn entry_at(&self, index: u64) -> Option<&RaftEntry> {
        self.entries.get(usize::try_from(index.checked_sub(self.snapshot.index + 1)?).ok()?)
    }
}

impl Storage for MemoryLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard_state.to_raft(), self.membership.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<RaftEntry>> {
        let first = self.snapshot.index + 1;
        if low < first {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last_index() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let most = max_size.into().unwrap_or(u64::MAX);
        let (mut size, mut found) = (0, Vec::new());
        for entry in (low..high).filter_map(|index| self.entry_at(index)) {
            size += (entry.data.len() + entry.context.len()) as u64 + ENTRY_OVERHEAD;
            if size > most && !found.is_empty() {
                break;
            }
            found.push(entry.clone());
        }
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot.index {
            return Ok(self.snapshot.term);
        }
        if index < self.snapshot.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.entry_at(index).map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_index())
    }

    fn snapshot(&self, min_index: u64, to: u64) -> raft::Result<Snapshot> {
        // A courier rejects a snapshot that does not list it among the members.
        let is_member = self.snapshot.voters.contains(&to) || self.snapshot.learners.contains(&to);
        if self.snapshot.index == 0 || self.snapshot.index < min_index || !is_member {
            self.snapshot_needed.set(true);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.to_raft())
    }
}

impl HardState {
    pub fn from_raft(state: &raft::prelude::HardState) -> Self {
        HardState { term: state.term, vote: state.vote, commit: state.commit }
    }

    fn to_raft(self) -> raft::prelude::HardState {
        let mut state = raft::prelude::HardState::default();
        (state.term, state.vote, state.commit) = (self.term, self.vote, self.commit);
        state
    }
}

impl StateSnapshot {
    pub fn membership(&self) -> ConfState {
        ConfState::from((self.voters.clone(), self.learners.clone()))
    }

    pub fn to_raft(&self) -> Snapshot {
        let mut snapshot = Snapshot { data: self.state.clone().into(), ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (self.index, self.term);
        metadata.set_conf_state(self.membership());
        snapshot
    }

    pub fn from_raft(snapshot: &Snapshot) -> Self {
        let metadata = snapshot.get_metadata();
        let (voters, learners) = voters_and_learners(metadata.get_conf_state());
        StateSnapshot {
            index: metadata.index,
            term: metadata.term,
            voters,
            learners,
            state: snapshot.data.to_vec(),
        }
    }
}

/// Voters and learners, each in the order of their ids.
pub(super) fn voters_and_learners(membership: &ConfState) -> (Vec<NodeId>, Vec<NodeId>) {
    let (mut voters, mut learners) = (membership.voters.clone(), membership.learners.clone());
    voters.sort_unstable();
    learners.sort_unstable();
    (voters, learners)
}

impl LogEntry {
    /// A membership change is in the entry's context, in this module's encoding. The library's own encoding of
    /// it, in the entry's data, is not used.
    pub fn to_raft(&self) -> RaftEntry {
        let mut entry = RaftEntry::default();
        (entry.term, entry.index) = (self.term, self.index);
        match &self.payload {
            Payload::Noop => {}
            Payload::Command(command) => entry.data = command.clone().into(),
            Payload::Membership(change) => {
                entry.set_entry_type(EntryType::EntryConfChange);
                entry.context = change.encoded().into();
            }
        }
        entry
    }

    pub fn from_raft(entry: &RaftEntry) -> Self {
        let payload = match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => Payload::Noop,
            EntryType::EntryNormal => Payload::Command(entry.data.to_vec()),
            // The library replaces a change that it rejects by an empty entry.
            _ => MembershipChange::decoded(&entry.context).map_or(Payload::Noop, Payload::Membership),
        };
        LogEntry { term: entry.term, index: entry.index, payload }
    }
}
