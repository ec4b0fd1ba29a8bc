//! Clones and digests of a running agreement, with which tests explore its state space.

use quillmount_core::store::Store;
use quillmount_policy::Micros;
use raft::RawNode;
use std::collections::{BTreeMap, BTreeSet};

use super::log::{self, HardState, LogEntry};
use super::memory_log::MemoryLog;
use super::{Agreement, new_raft_node};

impl<S: Store> Agreement<S> {
    /// Encodes everything that determines the next steps, with times relative to `now`. Two agreements with equal
    /// digests behave in the same way.
    pub fn digest(&self, now: Micros) -> Vec<u8> {
        let raft = &self.node.raft;
        let mut progress: Vec<_> = raft.prs().iter().map(|(id, p)| (*id, format!("{p:?}"))).collect();
        progress.sort();
        let votes: BTreeMap<_, _> = raft.prs().votes().iter().collect();
        let reads: Vec<_> = raft
            .read_only
            .read_index_queue
            .iter()
            .map(|ctx| {
                let status = raft.read_only.pending_read_index.get(ctx);
                (ctx, status.map(|s| (s.index, s.acks.iter().collect::<BTreeSet<_>>())))
            })
            .collect();
        let memory = self.node.store();
        let entries: Vec<_> = memory.entries.iter().map(LogEntry::from_raft).collect();
        let since_heard: Vec<_> =
            self.last_heard.iter().map(|(id, heard_at)| (id, now.saturating_sub(*heard_at))).collect();
        let parts = (
            (self.node_id, raft.term, raft.vote, raft.leader_id, raft.state as u8, raft.lead_transferee),
            (
                raft.raft_log.committed,
                raft.raft_log.applied,
                raft.raft_log.persisted,
                raft.pending_conf_index,
            ),
            (raft.election_elapsed, raft.heartbeat_elapsed(), self.election_jitter, self.random_draws),
            (progress, votes, reads),
            (&memory.snapshot, log::MemberIds::of(&memory.membership), entries),
            (
                self.next_tick.saturating_sub(now),
                &self.pending_proposals,
                &self.pending_reads,
                self.next_read,
                &self.snapshot_ticks,
                since_heard,
            ),
            (
                self.delivered_index,
                self.file.store.len(),
                self.snapshot_threshold,
                self.snapshot_requested,
                self.halted,
            ),
        );
        postcard::to_stdvec(&parts).unwrap_or_default()
    }

    /// Builds a copy of the library's node, which has no `Clone`: a new node reads the same log, and this function sets
    /// the state that the log does not contain. Between two steps the library has nothing ready, and all its other
    /// fields are public.
    fn clone_node(&self) -> RawNode<MemoryLog> {
        let original = &self.node.raft;
        let log = &original.raft_log;
        let mut memory = self.node.store().clone();
        let applied = if self.halted {
            memory.hard_state.commit =
                memory.hard_state.commit.clamp(memory.snapshot.index, memory.last_index());
            memory.membership = memory.snapshot.membership();
            memory.snapshot.index
        } else {
            memory.hard_state = HardState::from_raft(&original.hard_state());
            log.applied
        };
        let mut node = match new_raft_node(&self.limits, self.node_id, memory, applied) {
            Ok(node) => node,
            Err(error) => unreachable!("the same configuration was valid before: {error}"),
        };
        if self.halted {
            return node;
        }
        let raft = &mut node.raft;
        *raft.mut_prs() = original.prs().clone();
        raft.r.state = original.state;
        raft.r.leader_id = original.leader_id;
        raft.r.lead_transferee = original.lead_transferee;
        raft.r.pending_conf_index = original.pending_conf_index;
        raft.r.read_only = original.read_only.clone();
        raft.r.raft_log.persisted = log.persisted;
        raft.r.election_elapsed = 0;
        // Ticks are the only way to set the heartbeat counter. There are too few of them here to send a heartbeat.
        for _ in 0..original.heartbeat_elapsed() {
            node.tick();
        }
        node.raft.r.election_elapsed = original.election_elapsed;
        let ready = node.ready();
        let _ = node.advance(ready);
        node
    }
}

impl<S: Store + Clone> Clone for Agreement<S> {
    fn clone(&self) -> Self {
        Agreement {
            limits: self.limits.clone(),
            node_id: self.node_id,
            file: self.file.clone(),
            node: self.clone_node(),
            next_tick: self.next_tick,
            election_jitter: self.election_jitter,
            random_draws: self.random_draws,
            reported: self.reported,
            pending_proposals: self.pending_proposals.clone(),
            pending_reads: self.pending_reads.clone(),
            next_read: self.next_read,
            snapshot_ticks: self.snapshot_ticks.clone(),
            last_heard: self.last_heard.clone(),
            delivered_index: self.delivered_index,
            snapshot_threshold: self.snapshot_threshold,
            snapshot_requested: self.snapshot_requested,
            membership_changed: self.membership_changed,
            halted: self.halted,
        }
    }
}
