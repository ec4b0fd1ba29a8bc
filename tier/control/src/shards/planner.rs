//! The planner of shard views: which store is primary of a shard, which stores are in sync, and which are joining.
//!
//! The primary of the core calls [`ControlState::plan_shards`] at intervals with the current leases and reports. A view
//! that no longer matches these inputs is replaced by one with a higher epoch. The new epoch fences the old view, because
//! stores reject messages of a lower epoch.

use super::partition::SHARDS;
use super::view::{has_replica, preserve_order, remaining_members, target_replicas};
use crate::breaks::{self, Break};
use crate::state::ControlState;
use quillmount_wire::messages::{DiskId, Placement, ShardReport, ShardView};
use std::collections::{BTreeMap, BTreeSet};

/// Difference in the number of led shards from which on a shard is handed over to the in-sync member that leads fewer.
const HANDOVER_IMBALANCE: usize = 3;

/// Inputs of the planner: what the primary of the core knows about the stores.
#[derive(Clone, Debug, Default)]
pub struct ShardPlanInputs {
    /// Stores whose lease has not expired.
    pub live: BTreeSet<DiskId>,
    /// Stores that are shutting down; they lead a shard only if no other member can.
    pub draining: BTreeSet<DiskId>,
    /// Newest reports of the shards' primaries; a report is ignored if its epoch is not that of the current view.
    pub reports: Vec<ShardReport>,
    /// Number of disks that may be lost at once.
    pub tolerated_failures: usize,
}

impl ControlState {
    /// Creates the shards once there are enough stores; afterwards replaces the views that no longer match the inputs.
    /// Returns whether anything changed.
    pub fn plan_shards(&mut self, inputs: &ShardPlanInputs) -> bool {
        let shards_exist = !self.placement.shards.is_empty();
        let mut planner = ShardPlanner::new(&mut self.placement, &self.retiring, inputs);
        let changed = if shards_exist { planner.update_views() } else { planner.create_views() };
        if shards_exist {
            self.forget_removed_stores(inputs);
        }
        if changed {
            self.placement_changed();
        }
        changed
    }

    /// Removes from the retiring stores those that the placement no longer contains and whose lease has expired.
    fn forget_removed_stores(&mut self, inputs: &ShardPlanInputs) {
        let stores = &self.placement.stores;
        let exists = |disk: DiskId| stores.iter().any(|store| store.disk == disk);
        self.retiring.retain(|disk| exists(*disk) || inputs.live.contains(disk));
    }
}

/// One run of the planner over all shards.
struct ShardPlanner<'a> {
    placement: &'a mut Placement,
    /// Retiring stores, whose replicas are moved to other stores.
    retiring: &'a [DiskId],
    inputs: &'a ShardPlanInputs,
    /// Number of shards that each store leads, updated with each view that this run replaces.
    primary_counts: BTreeMap<DiskId, usize>,
}

impl<'a> ShardPlanner<'a> {
    fn new(
        placement: &'a mut Placement,
        retiring: &'a [DiskId],
        inputs: &'a ShardPlanInputs,
    ) -> ShardPlanner<'a> {
        let mut primary_counts: BTreeMap<DiskId, usize> =
            placement.stores.iter().map(|store| (store.disk, 0)).collect();
        for view in &placement.shards {
            *primary_counts.entry(view.primary).or_default() += 1;
        }
        ShardPlanner { placement, retiring, inputs, primary_counts }
    }

    /// Creates all views, spread over the usable stores; returns false if there are too few stores.
    fn create_views(&mut self) -> bool {
        let stores = self.usable_stores();
        if stores.len() <= self.inputs.tolerated_failures {
            return false;
        }
        let replicas = target_replicas(self.inputs.tolerated_failures, stores.len());
        let view = |shard: usize| {
            let in_sync: Vec<DiskId> =
                (0..replicas).map(|replica| stores[(shard + replica) % stores.len()]).collect();
            ShardView { epoch: 1, primary: in_sync[0], primary_since: 1, in_sync, joining: Vec::new() }
        };
        self.placement.shards = (0..SHARDS).map(view).collect();
        true
    }

    /// Replaces the views that no longer match the inputs; returns whether there were any.
    fn update_views(&mut self) -> bool {
        let mut changed = false;
        for shard in 0..self.placement.shards.len() {
            let planned = self.plan_view(shard);
            if planned != self.placement.shards[shard] {
                self.replace_view(shard, planned);
                changed = true;
            }
        }
        changed
    }

    /// Replaces a shard's view with the planned one, in the next epoch.
    fn replace_view(&mut self, shard: usize, planned: ShardView) {
        let view = &mut self.placement.shards[shard];
        *self.primary_counts.entry(planned.primary).or_default() += 1;
        let former_primary = self.primary_counts.entry(view.primary).or_default();
        *former_primary = former_primary.saturating_sub(1);
        let epoch = view.epoch + 1;
        let primary_since = if planned.primary == view.primary { view.primary_since } else { epoch };
        *view = ShardView { epoch, primary_since, ..planned };
    }

    /// The view that a shard should have; its epochs are set by [`Self::replace_view`].
    fn plan_view(&self, shard: usize) -> ShardView {
        let view = &self.placement.shards[shard];
        let reports = self.current_reports(shard, view);
        let unresponsive = |disk: DiskId| reports.iter().any(|report| report.unresponsive.contains(&disk));
        let caught_up = |disk: DiskId| {
            breaks::is_enabled(Break::JoiningAtOnce)
                || reports.iter().any(|report| report.caught_up.contains(&disk))
        };
        let alive = |disk: DiskId| self.is_alive(disk);
        let mut next = view.clone();
        // A member that has caught up has all operations, so it is promoted to the in-sync set.
        let promoted: Vec<DiskId> =
            view.joining.iter().copied().filter(|disk| caught_up(*disk) && alive(*disk)).collect();
        next.joining.retain(|disk| !promoted.contains(disk) && alive(*disk) && !unresponsive(*disk));
        next.in_sync.extend(&promoted);
        let remaining = remaining_members(&next, alive, unresponsive, self.inputs.tolerated_failures);
        let Some(remaining) = remaining else { return next };
        next.in_sync = remaining;
        let target = target_replicas(self.inputs.tolerated_failures, self.usable_stores().len());
        self.remove_retiring(&mut next, target);
        self.choose_primary(&mut next);
        self.add_joining(&mut next, target);
        preserve_order(&mut next.joining, &view.joining);
        next
    }

    /// Reports on a shard that are of the epoch of its current view.
    fn current_reports(&self, shard: usize, view: &ShardView) -> Vec<&'a ShardReport> {
        let is_current = |report: &&ShardReport| {
            report.epoch == view.epoch || breaks::is_enabled(Break::ReportOfOlderEpoch)
        };
        self.inputs
            .reports
            .iter()
            .filter(|report| report.shard as usize == shard)
            .filter(is_current)
            .collect()
    }

    /// Removes retiring members from the in-sync set once enough others remain, and from the joining ones at once.
    fn remove_retiring(&self, next: &mut ShardView, target: usize) {
        let remaining: Vec<DiskId> =
            next.in_sync.iter().copied().filter(|disk| !self.retiring.contains(disk)).collect();
        // Members without a lease are not counted as replacements: their disks may be the ones that were lost.
        let is_counted = |disk: &&DiskId| {
            self.inputs.live.contains(*disk) || breaks::is_enabled(Break::RetiringCountsGone)
        };
        let counted_members = remaining.iter().filter(is_counted).count();
        let enough = counted_members > self.inputs.tolerated_failures && counted_members >= target;
        if remaining.len() < next.in_sync.len() && enough {
            next.in_sync = remaining;
        }
        next.joining.retain(|disk| !self.retiring.contains(disk));
    }

    /// Replaces a primary that is not alive, is draining or retiring, or leads too many shards, with the live in-sync
    /// member that leads the fewest.
    fn choose_primary(&self, next: &mut ShardView) {
        let alive: Vec<DiskId> =
            next.in_sync.iter().copied().filter(|disk| self.inputs.live.contains(disk)).collect();
        let preferred = alive
            .iter()
            .copied()
            .filter(|disk| self.is_staying(*disk))
            .min_by_key(|disk| self.primary_count(*disk));
        let Some(candidate) = preferred.or_else(|| alive.first().copied()) else { return };
        let primary_stays =
            alive.contains(&next.primary) && (self.is_staying(next.primary) || preferred.is_none());
        let imbalanced =
            self.primary_count(next.primary) >= self.primary_count(candidate) + HANDOVER_IMBALANCE;
        // Joining members would have to restart their catch-up after a handover.
        let may_rebalance = next.joining.is_empty();
        if !primary_stays || (may_rebalance && imbalanced) {
            next.primary = candidate;
        }
    }

    /// Adds the usable stores with the fewest replicas as joining members until the target is reached.
    fn add_joining(&self, next: &mut ShardView, target: usize) {
        // Members that are not live or are retiring are not counted: replacements have to catch up before these are
        // removed.
        let is_counted = |disk: &&DiskId| self.inputs.live.contains(*disk) && !self.retiring.contains(*disk);
        let counted_members = next.in_sync.iter().chain(&next.joining).filter(is_counted).count();
        let mut candidates = self.usable_stores();
        candidates.retain(|disk| !has_replica(next, *disk));
        candidates.sort_by_key(|disk| self.replica_count(*disk));
        next.joining.extend(candidates.into_iter().take(target.saturating_sub(counted_members)));
    }

    /// Stores that may get replicas: live, and neither draining nor retiring.
    fn usable_stores(&self) -> Vec<DiskId> {
        let disks = self.placement.stores.iter().map(|store| store.disk);
        disks.filter(|disk| self.inputs.live.contains(disk) && self.is_staying(*disk)).collect()
    }

    /// Whether the placement contains a store and its lease has not expired.
    fn is_alive(&self, disk: DiskId) -> bool {
        self.placement.stores.iter().any(|store| store.disk == disk) && self.inputs.live.contains(&disk)
    }

    /// Whether a store is neither draining nor retiring.
    fn is_staying(&self, disk: DiskId) -> bool {
        !self.inputs.draining.contains(&disk) && !self.retiring.contains(&disk)
    }

    fn primary_count(&self, disk: DiskId) -> usize {
        self.primary_counts.get(&disk).copied().unwrap_or(0)
    }

    /// Number of shards of which a store has a replica, in sync or joining.
    fn replica_count(&self, disk: DiskId) -> usize {
        self.placement.shards.iter().filter(|view| has_replica(view, disk)).count()
    }
}
