//! Ticks, election time-outs and the expiry of snapshots in transfer.

use quillmount_core::store::Store;
use quillmount_policy::Micros;
use raft::{ProgressState, SnapshotStatus, StateRole};

use super::{Agreement, AgreementOutput};

impl<S: Store> Agreement<S> {
    /// Does the ticks that are due. After the process was stopped for a while, a leader does enough of them at
    /// once to doubt its leadership; a follower does one, so that messages of the leader that have queued up
    /// meanwhile are read before it starts an election.
    pub(super) fn run_due_ticks(&mut self, now: Micros, out: &mut Vec<AgreementOutput>) {
        if self.halted {
            return;
        }
        let tick = self.limits.tick;
        // The clock may have been set back.
        self.next_tick = self.next_tick.min(now + tick);
        if now < self.next_tick {
            return;
        }
        let due = (now - self.next_tick) / tick + 1;
        self.next_tick += due * tick;
        let most = if self.leads() { 2 * self.limits.election_ticks as u64 } else { 1 };
        for _ in 0..due.min(most) {
            self.tick();
            self.drain_ready(out);
            if self.halted {
                return;
            }
        }
    }

    fn tick(&mut self) {
        let election_timeout = self.limits.election_ticks + self.election_jitter;
        if self.node.raft.state == StateRole::Leader {
            self.node.tick();
            self.expire_unconfirmed_snapshots();
        } else if self.node.raft.election_elapsed + 1 >= election_timeout {
            // The library starts an election at this tick. A learner just goes on waiting.
            if self.voters().binary_search(&self.node_id).is_ok() {
                self.node.tick();
                self.redraw_election_timeout();
            }
        } else {
            // The library's own random time-out is fixed to its minimum: the rest of the wait is counted here,
            // without its knowledge.
            self.node.raft.election_elapsed += 1;
        }
    }

    /// The library waits without limit for the end of a snapshot's transfer. One that is not confirmed within
    /// the election time-out counts as lost.
    fn expire_unconfirmed_snapshots(&mut self) {
        let in_transfer: Vec<_> = self
            .node
            .raft
            .prs()
            .iter()
            .filter(|(_, progress)| progress.state == ProgressState::Snapshot)
            .map(|(id, _)| *id)
            .collect();
        self.snapshot_ticks.retain(|id, _| in_transfer.contains(id));
        for id in in_transfer {
            let ticks = self.snapshot_ticks.entry(id).or_default();
            *ticks += 1;
            if *ticks >= self.limits.election_ticks {
                self.snapshot_ticks.remove(&id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Draws the random part of the election time-out: SplitMix64 of the seed, the node id and the number of
    /// the draw.
    pub(super) fn redraw_election_timeout(&mut self) {
        self.draws += 1;
        let mut x =
            self.limits.seed ^ self.node_id.rotate_left(17) ^ self.draws.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        self.election_jitter = ((x ^ (x >> 31)) % (self.limits.election_ticks as u64 + 1)) as usize;
    }
}
