//! Views of shards: which members may be primary, which count as in sync, and when one may be removed.

use quillmount_control::{Admission, ControlState, Retirement, SHARDS, ShardPlanInputs, shard_of};
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, ShardReport, ShardView};
use std::collections::BTreeSet;

/// A store whose name and address contain its disk.
fn store(disk: DiskId) -> NodeInfo {
    NodeInfo {
        name: format!("store-{disk}"),
        disk,
        internal: format!("10.0.0.{disk}:7360"),
        admin: None,
        zone: "z".to_owned(),
        role: NodeRole::Store,
    }
}

/// Inputs of the planner with these live stores, no reports and one tolerated failure.
fn inputs(live: &[DiskId]) -> ShardPlanInputs {
    ShardPlanInputs {
        live: live.iter().copied().collect(),
        tolerated_failures: 1,
        ..ShardPlanInputs::default()
    }
}

/// A state with these stores and with shards spread over them.
fn state_with_shards(disks: &[DiskId]) -> ControlState {
    let mut state = ControlState::default();
    disks.iter().for_each(|disk| assert_eq!(state.admit_store(&store(*disk)), Admission::Admitted));
    assert!(state.plan_shards(&inputs(disks)));
    state
}

/// Runs the planner until nothing changes; joining members catch up between two runs.
fn plan_until_stable(state: &mut ControlState, mut inputs: ShardPlanInputs) {
    for _ in 0..20 {
        inputs.reports = reports(state, &inputs.live);
        if !state.plan_shards(&inputs) {
            return;
        }
    }
    panic!("the views never become stable");
}

/// Reports of all primaries, in which every live joining member has caught up.
fn reports(state: &ControlState, live: &BTreeSet<DiskId>) -> Vec<ShardReport> {
    let report = |(shard, view): (usize, &ShardView)| ShardReport {
        shard: shard as u32,
        epoch: view.epoch,
        unresponsive: Vec::new(),
        caught_up: view.joining.iter().copied().filter(|disk| live.contains(disk)).collect(),
    };
    state.placement.shards.iter().enumerate().map(report).collect()
}

#[test]
fn shards_are_created_and_spread_once_there_are_enough_stores() {
    let mut state = ControlState::default();
    state.admit_store(&store(1));
    assert!(!state.plan_shards(&inputs(&[1])), "one store cannot tolerate the loss of one");
    let state = state_with_shards(&[1, 2, 3]);
    assert_eq!(state.placement.shards.len(), SHARDS);
    for disk in [1, 2, 3] {
        let led = state.placement.shards.iter().filter(|view| view.primary == disk).count();
        assert!((5..=6).contains(&led), "store {disk} leads {led}");
    }
}

#[test]
fn a_dead_primary_is_replaced_by_an_in_sync_member_in_a_higher_epoch() {
    let mut state = state_with_shards(&[1, 2, 3]);
    let before = state.placement.shards.clone();
    state.plan_shards(&inputs(&[2, 3]));
    for (old, new) in before.iter().zip(&state.placement.shards) {
        assert!(new.epoch > old.epoch);
        assert!(old.in_sync.contains(&new.primary) && new.primary != 1);
        assert_eq!(new.primary_since == new.epoch, old.primary != new.primary);
    }
}

#[test]
fn the_in_sync_set_never_shrinks_below_the_required_replicas() {
    let mut state = state_with_shards(&[1, 2, 3]);
    state.plan_shards(&inputs(&[2, 3]));
    state.plan_shards(&inputs(&[3]));
    assert!(state.placement.shards.iter().all(|view| view.in_sync.len() >= 2));
    let unchanged = state.placement.shards.clone();
    state.plan_shards(&inputs(&[]));
    assert_eq!(state.placement.shards, unchanged, "without a live store no view changes");
}

#[test]
fn tolerated_losses_are_replaced_even_while_the_lost_members_count() {
    let disks: Vec<DiskId> = (1..=6).collect();
    let mut state = ControlState::default();
    disks.iter().for_each(|disk| assert_eq!(state.admit_store(&store(*disk)), Admission::Admitted));
    let all = ShardPlanInputs { tolerated_failures: 2, ..inputs(&disks) };
    assert!(state.plan_shards(&all));
    // Two stores are lost, and one more is retired.
    state.retire("store-3", 2);
    let remaining = ShardPlanInputs { tolerated_failures: 2, ..inputs(&[3, 4, 5, 6]) };
    plan_until_stable(&mut state, remaining);
    for view in &state.placement.shards {
        assert!(view.in_sync.len() >= 3, "{view:?}");
        assert!(!view.in_sync.contains(&1) && !view.in_sync.contains(&2), "{view:?}");
    }
}

#[test]
fn only_a_member_that_caught_up_in_this_epoch_is_promoted() {
    let mut state = state_with_shards(&[1, 2, 3]);
    plan_until_stable(&mut state, inputs(&[2, 3]));
    state.plan_shards(&inputs(&[1, 2, 3]));
    assert!(state.placement.shards.iter().all(|view| view.joining == [1]));
    let stale = ShardReport { shard: 0, epoch: 1, unresponsive: Vec::new(), caught_up: vec![1] };
    state.plan_shards(&ShardPlanInputs { reports: vec![stale], ..inputs(&[1, 2, 3]) });
    assert_eq!(state.placement.shards[0].joining, [1]);
    plan_until_stable(&mut state, inputs(&[1, 2, 3]));
    assert!(state.placement.shards.iter().all(|view| view.in_sync.len() == 3));
}

/// A joining member that is unresponsive is not removed if no other store can replace it. A change of the view would
/// only make the primary restart its repairs.
#[test]
fn slow_joining_members_do_not_change_views_repeatedly() {
    let mut state = ControlState::default();
    (1..=4).for_each(|disk| assert_eq!(state.admit_store(&store(disk)), Admission::Admitted));
    let plan_inputs =
        |live: &[DiskId], reports| ShardPlanInputs { tolerated_failures: 2, reports, ..inputs(live) };
    assert!(state.plan_shards(&plan_inputs(&[1, 2, 3, 4], Vec::new())));
    // Two disks are lost at the same time, and both machines return with empty disks.
    for (disk, former) in [(33, 3), (34, 4)] {
        state.admit_store(&NodeInfo { disk, ..store(former) });
    }
    let live = [1, 2, 33, 34];
    while state.plan_shards(&plan_inputs(&live, Vec::new())) {}
    let before = state.placement.shards.clone();
    for unresponsive in [33, 34] {
        let report = |(shard, view): (usize, &ShardView)| ShardReport {
            shard: shard as u32,
            epoch: view.epoch,
            unresponsive: vec![unresponsive],
            caught_up: Vec::new(),
        };
        let reports = state.placement.shards.iter().enumerate().map(report).collect();
        state.plan_shards(&plan_inputs(&live, reports));
        assert_eq!(state.placement.shards, before, "{unresponsive}");
    }
}

#[test]
fn a_primary_that_hears_too_few_others_is_replaced() {
    let mut state = state_with_shards(&[1, 2, 3]);
    let view = state.placement.shards[0].clone();
    let others: Vec<DiskId> = view.in_sync.iter().copied().filter(|disk| *disk != view.primary).collect();
    let report =
        ShardReport { shard: 0, epoch: view.epoch, unresponsive: others.clone(), caught_up: Vec::new() };
    state.plan_shards(&ShardPlanInputs { reports: vec![report], ..inputs(&[1, 2, 3]) });
    let next = &state.placement.shards[0];
    assert!(others.contains(&next.primary));
    assert!(!next.in_sync.contains(&view.primary));
}

#[test]
fn a_wiped_store_joins_as_a_new_empty_one() {
    let mut state = state_with_shards(&[1, 2, 3]);
    let wiped = NodeInfo { disk: 31, ..store(3) };
    assert_eq!(state.admit_store(&wiped), Admission::Admitted);
    assert_eq!(state.admit_store(&wiped), Admission::Known);
    state.plan_shards(&inputs(&[1, 2, 31]));
    for view in &state.placement.shards {
        assert!(!view.in_sync.contains(&3) && !view.in_sync.contains(&31));
        assert_eq!(view.joining, [31]);
    }
}

#[test]
fn a_store_is_retired_only_when_every_replica_is_elsewhere() {
    let mut state = state_with_shards(&[1, 2, 3]);
    assert_eq!(state.retire("store-9", 1), Retirement::Unknown);
    assert_eq!(state.retire("store-1", 1), Retirement::Serving);
    assert_eq!(state.retirement("store-1"), Retirement::Serving);
    plan_until_stable(&mut state, inputs(&[1, 2, 3]));
    assert_eq!(state.retirement("store-1"), Retirement::Done);
    assert!(state.placement.shards.iter().all(|view| !view.in_sync.contains(&1) && view.in_sync.len() == 2));
    assert_eq!(state.retire("store-2", 1), Retirement::TooFew);
}

#[test]
fn a_draining_store_with_the_only_live_replica_stays() {
    let mut state = state_with_shards(&[1, 2, 3]);
    // The other stores with replicas are lost, and two empty stores are added.
    assert_eq!(state.admit_store(&store(4)), Admission::Admitted);
    assert_eq!(state.admit_store(&store(5)), Admission::Admitted);
    assert_eq!(state.retire("store-1", 1), Retirement::Serving);
    for _ in 0..10 {
        state.plan_shards(&inputs(&[1, 4, 5]));
    }
    for view in &state.placement.shards {
        assert_eq!(view.primary, 1, "the only live replica leads: {view:?}");
        assert!(view.in_sync.contains(&1), "{view:?}");
    }
    assert_eq!(state.retirement("store-1"), Retirement::Serving);
    // It is removed once others have caught up.
    plan_until_stable(&mut state, inputs(&[1, 4, 5]));
    assert_eq!(state.retirement("store-1"), Retirement::Done);
    assert!(state.placement.shards.iter().all(|view| view.in_sync.contains(&4) && view.in_sync.contains(&5)));
}

#[test]
fn a_core_member_with_a_lost_disk_is_replaced_by_its_next_disk() {
    let mut state = ControlState::default();
    let core =
        |disk: DiskId, name: &str| NodeInfo { name: name.to_owned(), role: NodeRole::Core, ..store(disk) };
    for (disk, name) in [(1, "a"), (2, "b"), (3, "c")] {
        state.admit_core_member(&core(disk, name), &BTreeSet::new());
    }
    state.admit_core_member(&core(33, "c"), &BTreeSet::new());
    assert_eq!(state.core_disks(), [1, 2, 33]);
    // Another machine replaces a silent member, and is added if no member is silent.
    state.admit_core_member(&core(4, "d"), &BTreeSet::from([2]));
    assert_eq!(state.core_disks(), [1, 4, 33]);
    state.admit_core_member(&core(5, "e"), &BTreeSet::new());
    assert_eq!(state.core_disks(), [1, 4, 33, 5]);
}

#[test]
fn silent_core_members_are_removed_only_while_enough_others_stay() {
    let mut state = ControlState::default();
    let core = |disk: DiskId| NodeInfo { role: NodeRole::Core, ..store(disk) };
    (1..=4).for_each(|disk| {
        assert_eq!(state.admit_core_member(&core(disk), &BTreeSet::new()), Admission::Admitted);
    });
    assert!(!state.remove_silent_core_members(&BTreeSet::from([3, 4]), 1));
    assert!(state.remove_silent_core_members(&BTreeSet::from([3]), 1));
    assert_eq!(state.core_disks(), [1, 2, 4]);
    assert!(!state.remove_silent_core_members(&BTreeSet::from([4]), 1));
}

#[test]
fn jobs_are_spread_over_shards() {
    let mut counts = [0; SHARDS];
    (0..1600).for_each(|number| counts[shard_of(&format!("{:016x}", number * 7919), SHARDS) as usize] += 1);
    assert!(counts.iter().all(|count| (50..=160).contains(count)), "{counts:?}");
}

/// Each injected fault of the planner is detected by one of the tests above.
#[cfg(feature = "breaks")]
#[test]
fn each_break_of_views_is_found() {
    use quillmount_control::breaks::{self, Break};
    use quillmount_test_support::seeds;
    let found_by: [(Break, fn()); 4] = [
        (Break::RetiringCountsGone, a_draining_store_with_the_only_live_replica_stays),
        (Break::ReportOfOlderEpoch, only_a_member_that_caught_up_in_this_epoch_is_promoted),
        (Break::JoiningAtOnce, only_a_member_that_caught_up_in_this_epoch_is_promoted),
        (Break::ShrinksBelowMinimum, the_in_sync_set_never_shrinks_below_the_required_replicas),
    ];
    for (one, test) in found_by {
        breaks::set(Some(one));
        let failed = seeds::fails(test);
        breaks::set(None);
        assert!(failed, "the tests do not detect {one:?}");
    }
}
