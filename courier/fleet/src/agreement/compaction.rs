//! Compaction of the log: a snapshot replaces the entries that it contains.

use quillmount_core::store::Store;

use super::log::{self, HardState, LogEntry, StateSnapshot};
use super::log_file::PersistedLog;
use super::{Agreement, AgreementError, AgreementOutput};

/// After a failed compaction, the next snapshot is requested when the log file has grown by `log_bytes` divided by
/// this number.
const RETRY_GROWTH_DIVISOR: u64 = 8;

impl<S: Store> Agreement<S> {
    pub(super) fn handle_snapshot(&mut self, through: u64, state: Vec<u8>, out: &mut Vec<AgreementOutput>) {
        if let Err(error) = self.compact_log(through, state) {
            self.snapshot_requested = false;
            self.postpone_snapshot();
            out.push(AgreementOutput::Failed(error));
        }
    }

    /// Requests a snapshot if the log file has reached its threshold or if a lagging courier needs one.
    pub(super) fn request_snapshot_if_due(&mut self, out: &mut Vec<AgreementOutput>) {
        let snapshot_needed = self.node.store().snapshot_needed.replace(false);
        if self.halted
            || self.snapshot_requested
            || !(snapshot_needed || self.file.store.len() >= self.snapshot_threshold)
        {
            return;
        }
        if self.applied() > self.node.store().snapshot.index {
            self.snapshot_requested = true;
            out.push(AgreementOutput::SnapshotRequested);
        } else if !snapshot_needed {
            // No entry was committed since the last snapshot, so the file has grown by overwritten entries alone. The
            // rewrite removes them.
            let snapshot = self.node.store().snapshot.clone();
            if let Err(error) = self.rewrite_log(snapshot) {
                self.postpone_snapshot();
                out.push(AgreementOutput::Failed(error));
            }
        }
    }

    fn postpone_snapshot(&mut self) {
        self.snapshot_threshold = self.file.store.len() + self.limits.log_bytes / RETRY_GROWTH_DIVISOR;
    }

    fn compact_log(&mut self, through: u64, state: Vec<u8>) -> Result<(), AgreementError> {
        if through != self.delivered_index || self.halted {
            return Err(AgreementError::StaleSnapshot { through, applied: self.delivered_index });
        }
        if state.len() > self.limits.max_state_bytes {
            return Err(AgreementError::StateTooLarge {
                bytes: state.len(),
                limit: self.limits.max_state_bytes,
            });
        }
        let index = self.node.raft.raft_log.applied;
        let memory = self.node.store();
        let term =
            raft::Storage::term(memory, index).map_err(|e| AgreementError::RaftLibrary(e.to_string()))?;
        let log::MemberIds { voters, learners } = log::MemberIds::of(&memory.membership);
        self.rewrite_log(StateSnapshot { index, term, voters, learners, state })
    }

    /// Replaces the contents of the log file by the snapshot and the entries after it.
    fn rewrite_log(&mut self, snapshot: StateSnapshot) -> Result<(), AgreementError> {
        let memory = self.node.store();
        let later =
            memory.entries.iter().filter(|e| e.index > snapshot.index).map(LogEntry::from_raft).collect();
        let hard_state = HardState::from_raft(&self.node.raft.hard_state());
        let persisted = PersistedLog { node_id: self.node_id, hard_state, snapshot, entries: later };
        self.file.rewrite(&persisted)?;
        self.node.mut_store().compact(persisted.snapshot);
        // A courier that waits for a snapshot replies with its log position, so the leader sends the snapshot
        // immediately.
        self.node.ping();
        self.snapshot_requested = false;
        self.snapshot_threshold = self.file.rewritten_len + self.limits.log_bytes;
        Ok(())
    }
}
