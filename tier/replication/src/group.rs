//! The members of a group as its primary sees them: who has to sync a batch before it is committed.
//!
//! The view (primary, in-sync set, joining members) is decided elsewhere, by the core; the primary follows it, tells of
//! members that fell silent or caught up, and commits only what every member that may count as in sync has synced.

use crate::quorum;
use quillmount_wire::messages::{DiskId, Epoch, ShardReport, ShardView};
use std::collections::BTreeSet;

/// A primary's knowledge of its group, in the epochs of one term.
#[derive(Clone, Debug)]
pub struct ReplicaGroup {
    view: ShardView,
    tolerated_failures: usize,
    /// Members that are level and receive every operation.
    caught_up: BTreeSet<DiskId>,
    unresponsive: BTreeSet<DiskId>,
    /// Joining members that the core was told of as level in this epoch: it may count them as in sync at any moment, so
    /// that nothing is committed without them from then on.
    reported: BTreeSet<DiskId>,
}

impl ReplicaGroup {
    /// A primary begins; `tolerated_failures` disks may be lost at once.
    pub fn new(view: ShardView, tolerated_failures: usize) -> ReplicaGroup {
        ReplicaGroup {
            view,
            tolerated_failures,
            caught_up: BTreeSet::new(),
            unresponsive: BTreeSet::new(),
            reported: BTreeSet::new(),
        }
    }

    /// A primary that may have reported in this term before its process, or its work, was interrupted: every joining
    /// member may have been told of as level, so that all of them count.
    pub fn resume(view: ShardView, tolerated_failures: usize) -> ReplicaGroup {
        let reported = view.joining.iter().copied().collect();
        ReplicaGroup { reported, ..ReplicaGroup::new(view, tolerated_failures) }
    }

    pub fn view(&self) -> &ShardView {
        &self.view
    }

    pub fn epoch(&self) -> Epoch {
        self.view.epoch
    }

    /// Follows a newer view of the same term.
    pub fn follow(&mut self, view: ShardView) {
        let is_member = |member: &DiskId| view.in_sync.contains(member) || view.joining.contains(member);
        self.caught_up.retain(is_member);
        self.unresponsive.retain(is_member);
        // The core takes no report of an older epoch.
        self.reported.clear();
        self.view = view;
    }

    /// Members in sync, this one aside.
    pub fn in_sync(&self) -> Vec<DiskId> {
        self.view.in_sync.iter().copied().filter(|member| *member != self.view.primary).collect()
    }

    /// Members that are not level.
    pub fn lagging(&self) -> Vec<DiskId> {
        let all = self.in_sync().into_iter().chain(self.view.joining.iter().copied());
        all.filter(|member| !self.caught_up.contains(member)).collect()
    }

    pub fn is_caught_up(&self, member: DiskId) -> bool {
        self.caught_up.contains(&member)
    }

    /// A member is level and answers.
    pub fn mark_caught_up(&mut self, member: DiskId) {
        self.unresponsive.remove(&member);
        self.caught_up.insert(member);
    }

    /// A member has lost what it had: it has to be brought level again.
    pub fn mark_behind(&mut self, member: DiskId) {
        self.caught_up.remove(&member);
    }

    /// A member answered.
    pub fn mark_responsive(&mut self, member: DiskId) {
        self.unresponsive.remove(&member);
    }

    /// A member did not answer; whether that is new. One that only joins delays nothing from now on.
    pub fn mark_unresponsive(&mut self, member: DiskId) -> bool {
        if self.view.joining.contains(&member) && !self.reported.contains(&member) {
            self.caught_up.remove(&member);
        }
        self.unresponsive.insert(member)
    }

    /// Whether every member in sync is level, and enough disks receive what comes.
    pub fn is_ready(&self) -> bool {
        let all_caught_up = self.in_sync().iter().all(|member| self.caught_up.contains(member));
        all_caught_up
            && self.caught_up.len() + 1 >= quorum::required_copies(self.tolerated_failures, usize::MAX)
    }

    /// Members that have to sync a batch before it is committed.
    pub fn required(&self) -> BTreeSet<DiskId> {
        self.in_sync().into_iter().chain(self.reported.iter().copied()).collect()
    }

    /// Members that are sent a batch and have not synced it. A batch that is `stuck` goes to joining members that are not
    /// level as well: only once they are can a lost member leave.
    pub fn waiting(&self, synced: &BTreeSet<DiskId>, stuck: bool) -> Vec<DiskId> {
        let joined =
            self.view.joining.iter().copied().filter(|member| stuck || self.caught_up.contains(member));
        let all: BTreeSet<DiskId> = self.required().into_iter().chain(joined).collect();
        all.difference(synced).copied().collect()
    }

    /// Whether a batch that these members have synced, besides this one, is committed. A joining member that has missed
    /// it is level no more.
    pub fn commit(&mut self, synced: &BTreeSet<DiskId>) -> bool {
        let enough = synced.len() + 1 >= quorum::required_copies(self.tolerated_failures, usize::MAX);
        if !enough || !self.required().is_subset(synced) {
            return false;
        }
        self.caught_up.retain(|member| synced.contains(member));
        true
    }

    /// What the core is to know; nothing while all is well.
    pub fn report(&mut self, shard: u32) -> Option<ShardReport> {
        let is_caught_up = |member: &DiskId| self.caught_up.contains(member);
        let caught_up: Vec<DiskId> = self.view.joining.iter().copied().filter(is_caught_up).collect();
        self.reported.extend(&caught_up);
        let unresponsive: Vec<DiskId> = self.unresponsive.iter().copied().collect();
        let nothing_to_report = caught_up.is_empty() && unresponsive.is_empty();
        (!nothing_to_report).then_some(ShardReport { shard, epoch: self.view.epoch, unresponsive, caught_up })
    }
}
