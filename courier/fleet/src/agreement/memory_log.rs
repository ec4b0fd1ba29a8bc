//! The in-memory copy of the log, which the Raft library reads as its storage.

use raft::prelude::{ConfState, Entry as RaftEntry, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;

use super::log::{HardState, LogEntry, StateSnapshot};
use super::log_file::PersistedLog;

/// Bytes counted for the term, the index and the lengths of an entry when the entries of a message are limited by size.
const ENTRY_OVERHEAD: u64 = 16;

/// The in-memory copy of the log. It contains only data that has been written to the log file.
#[derive(Clone, Debug, Default)]
pub(super) struct MemoryLog {
    pub hard_state: HardState,
    pub snapshot: StateSnapshot,
    /// The members of the Raft group as of the last applied entry.
    pub membership: ConfState,
    /// The log entries after the snapshot, without gaps.
    pub entries: Vec<RaftEntry>,
    /// The library requested a snapshot to send, and the current one is too old: it lacks required entries, or does not
    /// list the receiver as a member. A `Cell`, because the library accesses its storage by `&self`.
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

    /// Adds entries that were written to the file. They replace all entries from the index of the first one on.
    pub fn append(&mut self, entries: &[RaftEntry]) {
        let Some(first) = entries.first() else { return };
        let retained = first.index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(usize::try_from(retained).unwrap_or(usize::MAX));
        self.entries.extend_from_slice(entries);
    }

    /// Removes the entries up to the snapshot's index and stores the snapshot.
    pub fn compact(&mut self, snapshot: StateSnapshot) {
        let compacted = snapshot.index.saturating_sub(self.snapshot.index).min(self.entries.len() as u64);
        self.entries.drain(..usize::try_from(compacted).unwrap_or(usize::MAX));
        self.snapshot = snapshot;
    }

    /// Replaces the whole log by a snapshot of the leader.
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
        let max_bytes = max_size.into().unwrap_or(u64::MAX);
        let (mut size, mut selected) = (0, Vec::new());
        for entry in (low..high).filter_map(|index| self.entry_at(index)) {
            size += (entry.data.len() + entry.context.len()) as u64 + ENTRY_OVERHEAD;
            if size > max_bytes && !selected.is_empty() {
                break;
            }
            selected.push(entry.clone());
        }
        Ok(selected)
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
        // The receiver rejects a snapshot that does not list it as a member.
        let is_member = self.snapshot.voters.contains(&to) || self.snapshot.learners.contains(&to);
        if self.snapshot.index == 0 || self.snapshot.index < min_index || !is_member {
            self.snapshot_needed.set(true);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.to_raft())
    }
}
