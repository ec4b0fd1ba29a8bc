//! Where the shards of the batch store are kept. Every change raises the shard's epoch.

use crate::breaks::{self, Break};
use crate::state::ControlState;
use quillmount_wire::messages::{DiskId, NodeInfo, ShardReport, ShardView};
use std::collections::{BTreeMap, BTreeSet};

/// Number of shards.
pub const SHARDS: usize = 16;
/// A store that leads this many shards more than another gives one to it.
const IMBALANCE: usize = 3;

/// The shard that keeps a job.
pub fn shard_of(job: &str, shards: usize) -> u32 {
    let digest = job.bytes().fold(0xcbf2_9ce4_8422_2325u64, |digest, byte| {
        (digest ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    (digest % shards.max(1) as u64) as u32
}

/// What the primary of the core knows of the stores.
#[derive(Clone, Debug, Default)]
pub struct ShardPlanInputs {
    /// Stores whose lease runs.
    pub live: BTreeSet<DiskId>,
    /// Stores that are about to stop.
    pub draining: BTreeSet<DiskId>,
    pub reports: Vec<ShardReport>,
    /// Disks that may be lost at once.
    pub tolerated_failures: usize,
}

/// What became of an order to empty a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retirement {
    Unknown,
    TooFew,
    Serving,
    Done,
}

impl ControlState {
    /// Changes views that the inputs make wrong; whether anything changed.
    pub fn plan_shards(&mut self, inputs: &ShardPlanInputs) -> bool {
        if self.placement.shards.is_empty() {
            return self.create_shards(inputs);
        }
        let before = self.placement.shards.clone();
        let mut primary_counts = self.count_primaries();
        for shard in 0..self.placement.shards.len() {
            let planned =
                self.plan_shard(shard as u32, &self.placement.shards[shard], inputs, &primary_counts);
            let view = &mut self.placement.shards[shard];
            if planned != *view {
                *primary_counts.entry(planned.primary).or_default() += 1;
                *primary_counts.entry(view.primary).or_default() =
                    primary_counts[&view.primary].saturating_sub(1);
                let epoch = view.epoch + 1;
                let since = if planned.primary == view.primary { view.since } else { epoch };
                *view = ShardView { epoch, since, ..planned };
            }
        }
        self.drop_empty_stores(inputs);
        let changed = before != self.placement.shards;
        if changed {
            self.placement_changed();
        }
        changed
    }

    fn count_primaries(&self) -> BTreeMap<DiskId, usize> {
        let mut primary_counts: BTreeMap<DiskId, usize> =
            self.placement.stores.iter().map(|store| (store.disk, 0)).collect();
        for view in &self.placement.shards {
            *primary_counts.entry(view.primary).or_default() += 1;
        }
        primary_counts
    }

    /// Stores that may take copies.
    fn usable(&self, inputs: &ShardPlanInputs) -> Vec<&NodeInfo> {
        let usable = |store: &&NodeInfo| {
            inputs.live.contains(&store.disk)
                && !inputs.draining.contains(&store.disk)
                && !self.retiring.contains(&store.disk)
        };
        self.placement.stores.iter().filter(usable).collect()
    }

    fn create_shards(&mut self, inputs: &ShardPlanInputs) -> bool {
        let stores: Vec<DiskId> = self.usable(inputs).iter().map(|store| store.disk).collect();
        if stores.len() <= inputs.tolerated_failures {
            return false;
        }
        let replicas = target_replicas(inputs.tolerated_failures, stores.len());
        let view = |shard: usize| {
            let in_sync: Vec<DiskId> =
                (0..replicas).map(|replica| stores[(shard + replica) % stores.len()]).collect();
            ShardView { epoch: 1, primary: in_sync[0], since: 1, in_sync, joining: Vec::new() }
        };
        self.placement.shards = (0..SHARDS).map(view).collect();
        self.placement_changed();
        true
    }

    fn plan_shard(
        &self,
        shard: u32,
        view: &ShardView,
        inputs: &ShardPlanInputs,
        primary_counts: &BTreeMap<DiskId, usize>,
    ) -> ShardView {
        let exists = |disk: &DiskId| self.placement.stores.iter().any(|store| store.disk == *disk);
        let reports: Vec<&ShardReport> = inputs
            .reports
            .iter()
            .filter(|report| report.shard == shard)
            .filter(|report| report.epoch == view.epoch || breaks::on(Break::ReportOfOlderEpoch))
            .collect();
        let unresponsive = |disk: &DiskId| reports.iter().any(|report| report.unresponsive.contains(disk));
        let alive = |disk: &DiskId| exists(disk) && inputs.live.contains(disk);
        let mut next = view.clone();
        // A promoted member has everything: it counts from now on.
        let at_once = breaks::on(Break::JoiningAtOnce);
        let caught_up =
            |disk: &DiskId| at_once || reports.iter().any(|report| report.caught_up.contains(disk));
        let promoted: Vec<DiskId> =
            view.joining.iter().copied().filter(|disk| caught_up(disk) && alive(disk)).collect();
        next.joining.retain(|disk| !promoted.contains(disk) && alive(disk) && !unresponsive(disk));
        next.in_sync.extend(&promoted);
        let Some(remaining) = remaining_members(&next, &alive, &unresponsive, inputs.tolerated_failures)
        else {
            return next;
        };
        next.in_sync = remaining;
        let target = target_replicas(inputs.tolerated_failures, self.usable(inputs).len());
        self.remove_retiring(&mut next, inputs, target);
        self.choose_primary(&mut next, inputs, primary_counts);
        self.add_joining(&mut next, inputs, target);
        preserve_order(&mut next.joining, &view.joining);
        next
    }

    /// Takes a member that retires out, once the others are enough.
    fn remove_retiring(&self, next: &mut ShardView, inputs: &ShardPlanInputs, target: usize) {
        let remaining: Vec<DiskId> =
            next.in_sync.iter().copied().filter(|disk| !self.retiring.contains(disk)).collect();
        // Members that are gone make up for nothing: theirs may be the disks that were lost.
        let counts = |disk: &&DiskId| inputs.live.contains(*disk) || breaks::on(Break::RetiringCountsGone);
        let present = remaining.iter().filter(counts).count();
        let enough = present > inputs.tolerated_failures && present >= target;
        if remaining.len() < next.in_sync.len() && enough {
            next.in_sync = remaining;
        }
        next.joining.retain(|disk| !self.retiring.contains(disk));
    }

    fn choose_primary(
        &self,
        next: &mut ShardView,
        inputs: &ShardPlanInputs,
        primary_counts: &BTreeMap<DiskId, usize>,
    ) {
        let load = |disk: &DiskId| primary_counts.get(disk).copied().unwrap_or(0);
        let eligible = |disk: &DiskId| !inputs.draining.contains(disk) && !self.retiring.contains(disk);
        let alive: Vec<DiskId> =
            next.in_sync.iter().copied().filter(|disk| inputs.live.contains(disk)).collect();
        let best = alive.iter().copied().filter(eligible).min_by_key(load);
        let candidate = best.or_else(|| alive.first().copied());
        let Some(candidate) = candidate else { return };
        let primary_stays = alive.contains(&next.primary) && (eligible(&next.primary) || best.is_none());
        let none_joining = next.joining.is_empty();
        let imbalanced = load(&next.primary) >= load(&candidate) + IMBALANCE;
        if !primary_stays || (none_joining && imbalanced) {
            next.primary = candidate;
        }
    }

    fn add_joining(&self, next: &mut ShardView, inputs: &ShardPlanInputs, target: usize) {
        let has_replica = |disk: &DiskId| next.in_sync.contains(disk) || next.joining.contains(disk);
        // A member that is gone makes up for none: others have to catch up before it may leave.
        let counts = |disk: &&DiskId| inputs.live.contains(*disk) && !self.retiring.contains(*disk);
        let present = next.in_sync.iter().chain(&next.joining).filter(counts).count();
        let load = |disk: &DiskId| {
            let names_disk = |view: &&ShardView| view.in_sync.contains(disk) || view.joining.contains(disk);
            self.placement.shards.iter().filter(names_disk).count()
        };
        let mut others: Vec<DiskId> =
            self.usable(inputs).iter().map(|store| store.disk).filter(|disk| !has_replica(disk)).collect();
        others.sort_by_key(load);
        next.joining.extend(others.into_iter().take(target.saturating_sub(present)));
    }

    /// A store that was replaced or emptied, and that no shard names, is forgotten with its order.
    fn drop_empty_stores(&mut self, inputs: &ShardPlanInputs) {
        let stores = &self.placement.stores;
        self.retiring
            .retain(|disk| stores.iter().any(|store| store.disk == *disk) || inputs.live.contains(disk));
    }

    /// Orders a store to be emptied.
    pub fn retire(&mut self, name: &str, tolerated_failures: usize) -> Retirement {
        let Some(store) = self.placement.stores.iter().find(|store| store.name == name) else {
            return Retirement::Unknown;
        };
        let disk = store.disk;
        if self.retiring.contains(&disk) {
            return self.retirement(name);
        }
        let left = self
            .placement
            .stores
            .iter()
            .filter(|store| store.disk != disk && !self.retiring.contains(&store.disk))
            .count();
        if left <= tolerated_failures {
            return Retirement::TooFew;
        }
        self.retiring.push(disk);
        self.placement_changed();
        Retirement::Serving
    }

    /// How far the emptying of a store is: done when no shard has a copy there.
    pub fn retirement(&self, name: &str) -> Retirement {
        let Some(store) = self.placement.stores.iter().find(|store| store.name == name) else {
            return Retirement::Unknown;
        };
        let has_replica =
            |view: &ShardView| view.in_sync.contains(&store.disk) || view.joining.contains(&store.disk);
        let emptied = self.retiring.contains(&store.disk) && !self.placement.shards.iter().any(has_replica);
        if emptied { Retirement::Done } else { Retirement::Serving }
    }
}

/// Members that stay in sync, never fewer than have to be synced: otherwise none leaves. `None`: no member is alive.
///
/// A primary that hears none of enough others is itself the one that goes.
fn remaining_members(
    view: &ShardView,
    alive: &dyn Fn(&DiskId) -> bool,
    unresponsive: &dyn Fn(&DiskId) -> bool,
    tolerated_failures: usize,
) -> Option<Vec<DiskId>> {
    let alive_members: Vec<DiskId> = view.in_sync.iter().copied().filter(alive).collect();
    if alive_members.is_empty() {
        return None;
    }
    let responsive: Vec<DiskId> =
        alive_members.iter().copied().filter(|disk| *disk == view.primary || !unresponsive(disk)).collect();
    let without_primary: Vec<DiskId> =
        alive_members.iter().copied().filter(|disk| *disk != view.primary).collect();
    let candidates = [responsive, without_primary, alive_members.clone()];
    let any_unresponsive = alive_members.iter().any(unresponsive);
    if breaks::on(Break::ShrinksBelowMinimum) {
        return Some(alive_members);
    }
    let chosen = candidates
        .into_iter()
        .enumerate()
        .find(|(rank, members)| members.len() > tolerated_failures && (*rank != 1 || any_unresponsive))
        .map(|(_, members)| members);
    Some(chosen.unwrap_or_else(|| view.in_sync.clone()))
}

/// Members that went and came in one plan stay where they were: another order alone is no change, and each change of a view
/// makes its primary begin all repairs anew.
fn preserve_order(joining: &mut Vec<DiskId>, before: &[DiskId]) {
    let same = joining.len() == before.len() && joining.iter().all(|disk| before.contains(disk));
    if same {
        *joining = before.to_vec();
    }
}

/// One copy more than has to be synced, so that the loss of one delays nothing.
fn target_replicas(tolerated_failures: usize, stores: usize) -> usize {
    (tolerated_failures + 2).min(stores)
}
