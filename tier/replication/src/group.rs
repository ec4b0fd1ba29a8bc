//! The members of a shard from the point of view of its primary: which of them have to sync a batch before it is
//! committed.
//!
//! The core decides the view (primary, in-sync set, joining members), in increasing epochs. The primary adopts each
//! view ([`ReplicaGroup::follow`]), records which members caught up, answered or did not answer (`mark_*`), reports
//! these to the core ([`ReplicaGroup::report`]), and commits a batch only once every member that may count as in
//! sync has synced it ([`ReplicaGroup::commit`]).
//!
//! This is the primary's part of primary-backup replication with a configuration manager (Lin et al., "PacificA:
//! Replication in Log-Based Distributed Storage Systems", 2008).

use quillmount_wire::messages::{DiskId, Epoch, ShardReport, ShardView};
use std::collections::BTreeSet;

/// The state of a shard's members, kept by the primary for one term.
#[derive(Clone, Debug)]
pub struct ReplicaGroup {
    view: ShardView,
    tolerated_failures: usize,
    /// Members that have all operations and receive every new batch.
    caught_up: BTreeSet<DiskId>,
    /// Members that did not answer the last call.
    unresponsive: BTreeSet<DiskId>,
    /// Joining members that were reported to the core as caught up in this epoch. The core may count them as in
    /// sync at any moment, so nothing is committed without them from then on.
    reported: BTreeSet<DiskId>,
}

impl ReplicaGroup {
    /// Creates the group of a new primary; `tolerated_failures` is the number of disks that may be lost at once.
    pub fn new(view: ShardView, tolerated_failures: usize) -> ReplicaGroup {
        ReplicaGroup {
            view,
            tolerated_failures,
            caught_up: BTreeSet::new(),
            unresponsive: BTreeSet::new(),
            reported: BTreeSet::new(),
        }
    }

    /// Creates the group of a primary that restarted during its term. It may have reported any joining member as
    /// caught up before, so all of them count as reported.
    pub fn resume(view: ShardView, tolerated_failures: usize) -> ReplicaGroup {
        let reported = view.joining.iter().copied().collect();
        ReplicaGroup { reported, ..ReplicaGroup::new(view, tolerated_failures) }
    }

    /// Returns the view last adopted.
    #[must_use]
    pub fn view(&self) -> &ShardView {
        &self.view
    }

    /// Returns the epoch of the view last adopted.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.view.epoch
    }

    /// Adopts a newer view that names the same primary.
    pub fn follow(&mut self, view: ShardView) {
        let is_member = |member: &DiskId| view.in_sync.contains(member) || view.joining.contains(member);
        self.caught_up.retain(is_member);
        self.unresponsive.retain(is_member);
        // The core ignores reports of an older epoch.
        self.reported.clear();
        self.view = view;
    }

    /// Returns the members, in sync or joining, that have not caught up with this primary.
    #[must_use]
    pub fn lagging(&self) -> Vec<DiskId> {
        let all = self.backups().into_iter().chain(self.view.joining.iter().copied());
        all.filter(|member| !self.caught_up.contains(member)).collect()
    }

    /// Returns whether a member has all operations and receives every new batch.
    #[must_use]
    pub fn is_caught_up(&self, member: DiskId) -> bool {
        self.caught_up.contains(&member)
    }

    /// Records that a member has caught up; this also marks it as responsive.
    pub fn mark_caught_up(&mut self, member: DiskId) {
        self.unresponsive.remove(&member);
        self.caught_up.insert(member);
    }

    /// Records that a member lost data or missed a batch, so that it has to catch up again.
    pub fn mark_behind(&mut self, member: DiskId) {
        self.caught_up.remove(&member);
    }

    /// Records that a member answered, so that it is no longer reported as unresponsive.
    pub fn mark_responsive(&mut self, member: DiskId) {
        self.unresponsive.remove(&member);
    }

    /// Records that a member did not answer; returns whether it was responsive before. A joining member that was
    /// not reported as caught up delays no batch from then on.
    pub fn mark_unresponsive(&mut self, member: DiskId) -> bool {
        if self.view.joining.contains(&member) && !self.reported.contains(&member) {
            self.caught_up.remove(&member);
        }
        self.unresponsive.insert(member)
    }

    /// Returns whether every member in sync has caught up, and enough disks receive new batches to commit them.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let all_caught_up = self.backups().iter().all(|member| self.caught_up.contains(member));
        all_caught_up && self.has_enough_copies(&self.caught_up)
    }

    /// Returns the members that have to sync a batch before it is committed.
    #[must_use]
    pub fn required(&self) -> BTreeSet<DiskId> {
        self.backups().into_iter().chain(self.reported.iter().copied()).collect()
    }

    /// Returns the members that a batch is sent to and that are not in `synced`. A `stalled` batch, which a member
    /// did not answer, is also sent to joining members that have not caught up: a lost member can be replaced only
    /// once they have.
    #[must_use]
    pub fn waiting(&self, synced: &BTreeSet<DiskId>, stalled: bool) -> Vec<DiskId> {
        let joining =
            self.view.joining.iter().copied().filter(|member| stalled || self.caught_up.contains(member));
        let all: BTreeSet<DiskId> = self.required().into_iter().chain(joining).collect();
        all.difference(synced).copied().collect()
    }

    /// Commits a batch that the primary and the `synced` members have synced, if these are enough; returns whether
    /// it is committed. A member that has missed the batch no longer counts as caught up.
    pub fn commit(&mut self, synced: &BTreeSet<DiskId>) -> bool {
        if !self.has_enough_copies(synced) || !self.required().is_subset(synced) {
            return false;
        }
        self.caught_up.retain(|member| synced.contains(member));
        true
    }

    /// Returns the report to the core; `None` if there is nothing to report. Members that are reported as caught up
    /// are required for every commit from then on.
    pub fn report(&mut self, shard: u32) -> Option<ShardReport> {
        let is_caught_up = |member: &DiskId| self.caught_up.contains(member);
        let caught_up: Vec<DiskId> = self.view.joining.iter().copied().filter(is_caught_up).collect();
        self.reported.extend(&caught_up);
        let unresponsive: Vec<DiskId> = self.unresponsive.iter().copied().collect();
        if caught_up.is_empty() && unresponsive.is_empty() {
            return None;
        }
        Some(ShardReport { shard, epoch: self.view.epoch, unresponsive, caught_up })
    }

    /// Returns the members in sync except the primary.
    fn backups(&self) -> Vec<DiskId> {
        self.view.in_sync.iter().copied().filter(|member| *member != self.view.primary).collect()
    }

    /// Returns whether these members and the primary are more disks than may be lost at once.
    fn has_enough_copies(&self, members: &BTreeSet<DiskId>) -> bool {
        members.len() + 1 > self.tolerated_failures
    }
}
