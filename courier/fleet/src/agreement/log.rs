//! The agreement's part of the lasting folder: append-only records, each with its length and checksums, and
//! the same in memory, as the engine reads it.

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

/// Before each record: its length, the checksum of that, and the checksum of the record. The length has its
/// own, so that a damaged one is told from a record that a kill has cut short.
const HEADER_LEN: usize = 12;
/// The file's form; another one is refused.
const FORMAT_VERSION: u16 = 1;

/// What a voter may never take back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct HardState {
    pub term: u64,
    /// Whom it has voted for in this term; 0 for none.
    pub vote: NodeId,
    /// At least so far all is agreed.
    pub commit: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Payload {
    /// A new leader's mark, which carries nothing.
    Noop,
    Command(Vec<u8>),
    Membership(MembershipChange),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct LogEntry {
    pub term: u64,
    pub index: u64,
    pub payload: Payload,
}

/// The agreed state after `index`, in the place of all entries up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct StateSnapshot {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<NodeId>,
    pub learners: Vec<NodeId>,
    pub state: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
enum LogRecord<'a> {
    Identity {
        form: u16,
        node_id: NodeId,
    },
    /// `entries` take the place of those from the first one's index on. One record, so that no entry is there
    /// without the commit that came with it: a change of voters is looked for by that.
    Append {
        hard_state: HardState,
        entries: Cow<'a, [LogEntry]>,
    },
    Snapshot(Cow<'a, StateSnapshot>),
}

/// What a file tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct PersistedLog {
    /// 0: the file has yet to be begun.
    pub node_id: NodeId,
    pub hard_state: HardState,
    pub snapshot: StateSnapshot,
    pub entries: Vec<LogEntry>,
}

impl PersistedLog {
    fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// `None`: this can't follow what was there.
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
                    let at = first
                        .index
                        .checked_sub(self.snapshot.index + 1)
                        .filter(|_| first.index <= self.last_index() + 1)?;
                    self.entries.truncate(usize::try_from(at).ok()?);
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

/// What the bytes tell up to a record that a kill has cut short, and how many of them are sound.
pub(super) fn read(bytes: &[u8]) -> Result<(PersistedLog, usize), AgreementError> {
    let (mut persisted, mut at) = (PersistedLog::default(), 0);
    while let Some((head, rest)) = bytes[at..].split_at_checked(HEADER_LEN) {
        let read_u32 = |n: usize| u32::from_le_bytes([head[n], head[n + 1], head[n + 2], head[n + 3]]);
        let damaged = || AgreementError::Damaged { at: at as u64 };
        if crc32fast::hash(&head[..4]) != read_u32(4) {
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
    // Entries and the commit that they came with are one record.
    if persisted.hard_state.commit > persisted.last_index() {
        return Err(AgreementError::Damaged { at: at as u64 });
    }
    Ok((persisted, at))
}

fn frame(record: &LogRecord, into: &mut Vec<u8>) -> Result<(), AgreementError> {
    let body = postcard::to_stdvec(record).map_err(|_| AgreementError::Unwritable)?;
    let len = u32::try_from(body.len()).map_err(|_| AgreementError::Unwritable)?.to_le_bytes();
    into.extend(len);
    into.extend(crc32fast::hash(&len).to_le_bytes());
    into.extend(crc32fast::hash(&body).to_le_bytes());
    into.extend(body);
    Ok(())
}

fn failed(what: &'static str, source: io::Error) -> AgreementError {
    AgreementError::Store { what, source: Arc::new(source) }
}

/// The file, with the length that it had when it was last written anew.
#[derive(Clone, Debug)]
pub(super) struct LogFile<S> {
    pub store: S,
    pub base: u64,
}

impl<S: Store> LogFile<S> {
    /// Reads it, drops what a kill has cut short, and begins it under `fresh` if it is empty.
    pub fn open(store: S, fresh: NodeId) -> Result<(Self, PersistedLog, bool), AgreementError> {
        let mut file = LogFile { store, base: 0 };
        let bytes = file.store.read().map_err(|e| failed("reading", e))?;
        let (mut persisted, sound) = read(&bytes)?;
        let new = persisted.node_id == 0;
        if new {
            if fresh == 0 {
                return Err(AgreementError::NoNodeId);
            }
            persisted.node_id = fresh;
            file.rewrite(&persisted)?;
        } else if sound < bytes.len() {
            // A record behind a torn one would never be read again.
            file.store.replace(&bytes[..sound]).map_err(|e| failed("cutting off a torn record", e))?;
        }
        Ok((file, persisted, new))
    }

    pub fn append(&mut self, hard_state: HardState, entries: &[LogEntry]) -> Result<(), AgreementError> {
        let mut bytes = Vec::new();
        frame(&LogRecord::Append { hard_state, entries: entries.into() }, &mut bytes)?;
        self.store.append(&bytes).map_err(|e| failed("writing", e))
    }

    /// Puts this in the place of all that was there.
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
        self.store.replace(&bytes).map_err(|e| failed("writing anew", e))?;
        self.base = bytes.len() as u64;
        Ok(())
    }
}

/// The log in memory, as the engine reads it.
#[derive(Clone, Debug, Default)]
pub(super) struct MemoryLog {
    pub hard_state: HardState,
    pub snapshot: StateSnapshot,
    /// Those who take part after what was last applied.
    pub membership: ConfState,
    pub entries: Vec<RaftEntry>,
    /// A snapshot was asked for that the image can't serve: it knows nothing of the one who is to get it.
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

    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Written entries; they follow what is there.
    pub fn append(&mut self, entries: &[RaftEntry]) {
        let Some(first) = entries.first() else { return };
        let at = first.index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(usize::try_from(at).unwrap_or(usize::MAX));
        self.entries.extend_from_slice(entries);
    }

    /// The image takes the place of entries up to its index.
    pub fn compact(&mut self, snapshot: StateSnapshot) {
        let compacted = snapshot.index.saturating_sub(self.snapshot.index).min(self.entries.len() as u64);
        self.entries.drain(..usize::try_from(compacted).unwrap_or(usize::MAX));
        self.snapshot = snapshot;
    }

    /// Another's image takes the place of everything.
    pub fn restore(&mut self, snapshot: StateSnapshot) {
        self.membership = snapshot.membership();
        self.snapshot = snapshot;
        self.entries.clear();
    }

    pub fn at(&self, index: u64) -> Option<&RaftEntry> {
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
        for entry in (low..high).filter_map(|i| self.at(i)) {
            size += (entry.data.len() + entry.context.len()) as u64 + 16;
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
        self.at(index).map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_index())
    }

    fn snapshot(&self, least: u64, to: u64) -> raft::Result<Snapshot> {
        // One who is not in it would not take it.
        let knows = self.snapshot.voters.contains(&to) || self.snapshot.learners.contains(&to);
        if self.snapshot.index == 0 || self.snapshot.index < least || !knows {
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

/// Voters and learners, each in order.
pub(super) fn voters_and_learners(membership: &ConfState) -> (Vec<NodeId>, Vec<NodeId>) {
    let (mut voters, mut learners) = (membership.voters.clone(), membership.learners.clone());
    voters.sort_unstable();
    learners.sort_unstable();
    (voters, learners)
}

impl LogEntry {
    /// A change rides in the engine's context: its own form of it is read by nobody.
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
            // The engine puts a mark in the place of a change that it does not take.
            _ => MembershipChange::decoded(&entry.context).map_or(Payload::Noop, Payload::Membership),
        };
        LogEntry { term: entry.term, index: entry.index, payload }
    }
}
