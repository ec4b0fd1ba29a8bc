//! The members of a group as its primary sees them: who has to sync a batch before it is committed.
//!
//! The view (primary, in-sync set, joining members) is decided elsewhere, by the core; the primary follows it, tells of
//! members that fell silent or caught up, and commits only what every member that may count as in sync has synced.

use crate::quorum;
use quillmount_wire::messages::{DiskId, Epoch, ShardReport, ShardView};
use std::collections::BTreeSet;

/// A primary's knowledge of its group, in the epochs of one reign.
#[derive(Clone, Debug)]
pub struct Group {
    view: ShardView,
    survivable: usize,
    /// Members that are level and receive every operation.
    attached: BTreeSet<DiskId>,
    unresponsive: BTreeSet<DiskId>,
    /// Joining members that the core was told of as level in this epoch: it may count them as in sync at any moment, so
    /// that nothing is committed without them from then on.
    promised: BTreeSet<DiskId>,
}

impl Group {
    /// A primary begins; `survivable` disks may be lost at once.
    pub fn new(view: ShardView, survivable: usize) -> Group {
        Group {
            view,
            survivable,
            attached: BTreeSet::new(),
            unresponsive: BTreeSet::new(),
            promised: BTreeSet::new(),
        }
    }

    /// A primary that may have reported in this reign before its process, or its work, was interrupted: every joining
    /// member may have been told of as level, so that all of them count.
    pub fn resume(view: ShardView, survivable: usize) -> Group {
        let promised = view.joining.iter().copied().collect();
        Group { promised, ..Group::new(view, survivable) }
    }

    pub fn view(&self) -> &ShardView {
        &self.view
    }

    pub fn epoch(&self) -> Epoch {
        self.view.epoch
    }

    /// Follows a newer view of the same reign.
    pub fn follow(&mut self, view: ShardView) {
        let stays = |member: &DiskId| view.in_sync.contains(member) || view.joining.contains(member);
        self.attached.retain(stays);
        self.unresponsive.retain(stays);
        // The core takes no report of an older epoch.
        self.promised.clear();
        self.view = view;
    }

    /// Members in sync, this one aside.
    pub fn in_sync(&self) -> Vec<DiskId> {
        self.view.in_sync.iter().copied().filter(|member| *member != self.view.primary).collect()
    }

    /// Members that are not level.
    pub fn unattached(&self) -> Vec<DiskId> {
        let all = self.in_sync().into_iter().chain(self.view.joining.iter().copied());
        all.filter(|member| !self.attached.contains(member)).collect()
    }

    pub fn is_attached(&self, member: DiskId) -> bool {
        self.attached.contains(&member)
    }

    /// A member is level and answers.
    pub fn attach(&mut self, member: DiskId) {
        self.unresponsive.remove(&member);
        self.attached.insert(member);
    }

    /// A member has lost what it had: it has to be brought level again.
    pub fn detach(&mut self, member: DiskId) {
        self.attached.remove(&member);
    }

    /// A member answered.
    pub fn heard(&mut self, member: DiskId) {
        self.unresponsive.remove(&member);
    }

    /// A member did not answer; whether that is new. One that only joins delays nothing from now on.
    pub fn silent(&mut self, member: DiskId) -> bool {
        if self.view.joining.contains(&member) && !self.promised.contains(&member) {
            self.attached.remove(&member);
        }
        self.unresponsive.insert(member)
    }

    /// Whether every member in sync is level, and enough disks receive what comes.
    pub fn is_ready(&self) -> bool {
        let level = self.in_sync().iter().all(|member| self.attached.contains(member));
        level && self.attached.len() + 1 >= quorum::copies(self.survivable, usize::MAX)
    }

    /// Members that have to sync a batch before it is committed.
    pub fn required(&self) -> BTreeSet<DiskId> {
        self.in_sync().into_iter().chain(self.promised.iter().copied()).collect()
    }

    /// Members that are sent a batch and have not synced it. A batch that is `stuck` goes to joining members that are not
    /// level as well: only once they are can a lost member leave.
    pub fn waiting(&self, synced: &BTreeSet<DiskId>, stuck: bool) -> Vec<DiskId> {
        let joined =
            self.view.joining.iter().copied().filter(|member| stuck || self.attached.contains(member));
        let all: BTreeSet<DiskId> = self.required().into_iter().chain(joined).collect();
        all.difference(synced).copied().collect()
    }

    /// Whether a batch that these members have synced, besides this one, is committed. A joining member that has missed
    /// it is level no more.
    pub fn commit(&mut self, synced: &BTreeSet<DiskId>) -> bool {
        let enough = synced.len() + 1 >= quorum::copies(self.survivable, usize::MAX);
        if !enough || !self.required().is_subset(synced) {
            return false;
        }
        self.attached.retain(|member| synced.contains(member));
        true
    }

    /// What the core is to know; nothing while all is well.
    pub fn report(&mut self, shard: u32) -> Option<ShardReport> {
        let level = |member: &DiskId| self.attached.contains(member);
        let caught_up: Vec<DiskId> = self.view.joining.iter().copied().filter(level).collect();
        self.promised.extend(&caught_up);
        let unresponsive: Vec<DiskId> = self.unresponsive.iter().copied().collect();
        let nothing = caught_up.is_empty() && unresponsive.is_empty();
        (!nothing).then_some(ShardReport { shard, epoch: self.view.epoch, unresponsive, caught_up })
    }
}
