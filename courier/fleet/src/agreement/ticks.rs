//! Ticks, election timeouts, and the timeout of snapshot transfers.

use quillmount_core::store::Store;
use quillmount_policy::Micros;
use raft::{ProgressState, SnapshotStatus, StateRole};

use super::{Agreement, AgreementOutput};

impl<S: Store> Agreement<S> {
    /// Runs the ticks that are due. After the process was suspended, a leader runs enough ticks at once to step down if
    /// it has lost its quorum. A follower runs a single tick, so that it reads the leader's queued messages before it
    /// starts an election.
    pub(super) fn run_due_ticks(&mut self, now: Micros, out: &mut Vec<AgreementOutput>) {
        if self.halted {
            return;
        }
        let tick = self.limits.tick_interval;
        // The clock may have been set to an earlier time.
        self.next_tick = self.next_tick.min(now + tick);
        if now < self.next_tick {
            return;
        }
        let due = (now - self.next_tick) / tick + 1;
        self.next_tick += due * tick;
        let max_ticks = if self.is_leader() { 2 * self.limits.election_ticks as u64 } else { 1 };
        for _ in 0..due.min(max_ticks) {
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
            // The library starts an election at this tick. A learner never starts one and keeps waiting.
            if self.voters().binary_search(&self.node_id).is_ok() {
                self.node.tick();
                self.redraw_election_timeout();
            }
        } else {
            // The library's random election timeout is fixed to its minimum, so the remaining ticks are counted here
            // without a call of the library.
            self.node.raft.election_elapsed += 1;
        }
    }

    /// Reports snapshots that were not confirmed within the election timeout as failed. The library itself has no
    /// timeout for a snapshot transfer.
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

    /// Draws the random part of the election timeout: SplitMix64 of the seed, the node id and the number of the draw.
    pub(super) fn redraw_election_timeout(&mut self) {
        self.random_draws += 1;
        let mut x = self.limits.seed
            ^ self.node_id.rotate_left(17)
            ^ self.random_draws.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        self.election_jitter = ((x ^ (x >> 31)) % (self.limits.election_ticks as u64 + 1)) as usize;
    }
}
