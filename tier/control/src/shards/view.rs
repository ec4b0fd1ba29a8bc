//! Rules for the view of one shard: the size of its in-sync set and which members may be removed from it.
//!
//! The in-sync set is that of primary-backup replication with a configuration manager (Lin et al., "PacificA:
//! Replication in Log-Based Distributed Storage Systems", 2008). An operation is acknowledged once every member of the
//! set has synced it, so any of them can become primary.

use crate::breaks::{self, Break};
use quillmount_wire::messages::{DiskId, ShardView};

/// Whether a store has a replica of the shard or is building one.
pub(super) fn has_replica(view: &ShardView, disk: DiskId) -> bool {
    view.in_sync.contains(&disk) || view.joining.contains(&disk)
}

/// Target number of replicas: one more than the required `tolerated_failures + 1`, so that after the loss of one
/// replica the others can continue without waiting for a replacement.
pub(super) fn target_replicas(tolerated_failures: usize, stores: usize) -> usize {
    (tolerated_failures + 2).min(stores)
}

/// Members that remain in the in-sync set; all of them if too few would remain. `None` if no member is alive.
///
/// If too many of the other members are unresponsive to the primary, the primary itself is removed instead of them.
pub(super) fn remaining_members(
    view: &ShardView,
    alive: impl Fn(DiskId) -> bool,
    unresponsive: impl Fn(DiskId) -> bool,
    tolerated_failures: usize,
) -> Option<Vec<DiskId>> {
    let alive_members: Vec<DiskId> = view.in_sync.iter().copied().filter(|disk| alive(*disk)).collect();
    if alive_members.is_empty() {
        return None;
    }
    if breaks::is_enabled(Break::ShrinksBelowMinimum) {
        return Some(alive_members);
    }
    let is_enough = |members: &[DiskId]| members.len() > tolerated_failures;
    let is_primary = |disk: DiskId| disk == view.primary;
    let responsive: Vec<DiskId> =
        alive_members.iter().copied().filter(|disk| is_primary(*disk) || !unresponsive(*disk)).collect();
    if is_enough(&responsive) {
        return Some(responsive);
    }
    let others: Vec<DiskId> = alive_members.iter().copied().filter(|disk| !is_primary(*disk)).collect();
    let any_unresponsive = alive_members.iter().any(|disk| unresponsive(*disk));
    if any_unresponsive && is_enough(&others) {
        return Some(others);
    }
    if is_enough(&alive_members) {
        return Some(alive_members);
    }
    Some(view.in_sync.clone())
}

/// Restores the former order if the joining members are the same as before. Another order alone would count as a change
/// of the view, and with each change the primary restarts all repairs.
pub(super) fn preserve_order(joining: &mut Vec<DiskId>, former_order: &[DiskId]) {
    let same_members =
        joining.len() == former_order.len() && joining.iter().all(|disk| former_order.contains(disk));
    if same_members {
        *joining = former_order.to_vec();
    }
}
