//! Which batches the primary of a shard may commit, also across changes of its view.

use quillmount_replication::ReplicaGroup;
use quillmount_wire::messages::{DiskId, Epoch, ShardView};
use std::collections::BTreeSet;

/// Returns a view in which member 1 is the primary.
fn view(epoch: Epoch, in_sync: &[DiskId], joining: &[DiskId]) -> ShardView {
    ShardView { epoch, primary: 1, primary_since: 1, in_sync: in_sync.to_vec(), joining: joining.to_vec() }
}

fn disks(members: &[DiskId]) -> BTreeSet<DiskId> {
    members.iter().copied().collect()
}

/// Returns a group in which these members have caught up.
fn caught_up_group(view: ShardView, members: &[DiskId]) -> ReplicaGroup {
    let mut group = ReplicaGroup::new(view, 1);
    members.iter().for_each(|member| group.mark_caught_up(*member));
    group
}

#[test]
fn a_batch_is_committed_once_every_member_in_sync_has_synced_it() {
    let mut group = caught_up_group(view(1, &[1, 2, 3], &[]), &[2, 3]);
    assert!(group.is_ready());
    assert_eq!(group.waiting(&disks(&[2]), false), [3]);
    assert!(!group.commit(&disks(&[2])));
    assert!(group.commit(&disks(&[2, 3])));
}

#[test]
fn a_batch_is_not_committed_with_a_single_copy() {
    let mut group = caught_up_group(view(1, &[1], &[]), &[]);
    assert!(!group.is_ready());
    assert!(!group.commit(&disks(&[])));
    // A joining member that has caught up provides the second copy.
    group.follow(view(2, &[1], &[4]));
    group.mark_caught_up(4);
    assert!(group.is_ready());
    assert!(group.commit(&disks(&[4])));
}

#[test]
fn a_joining_member_delays_nothing_until_it_is_reported() {
    let mut group = caught_up_group(view(1, &[1, 2], &[4]), &[2, 4]);
    assert!(group.commit(&disks(&[2])), "a joining member that is not reported delays the commit");
    assert!(!group.is_caught_up(4), "a member that missed a batch counts as caught up");
    assert_eq!(group.report(0), None);
}

#[test]
fn nothing_is_committed_without_a_member_reported_as_caught_up() {
    let mut group = caught_up_group(view(1, &[1, 2], &[4]), &[2, 4]);
    assert_eq!(group.report(0).unwrap().caught_up, [4]);
    assert!(!group.commit(&disks(&[2])));
    group.mark_unresponsive(4);
    assert!(!group.commit(&disks(&[2])), "committed without a member that the core may have made primary");
    assert!(group.commit(&disks(&[2, 4])));
}

#[test]
fn a_stuck_batch_lets_joining_members_catch_up_so_that_a_lost_one_can_leave() {
    let mut group = caught_up_group(view(1, &[1, 2], &[4]), &[2]);
    assert_eq!(group.waiting(&disks(&[]), false), [2]);
    assert_eq!(group.waiting(&disks(&[]), true), [2, 4]);
    group.mark_unresponsive(2);
    group.mark_caught_up(4);
    assert!(!group.commit(&disks(&[4])));
    assert_eq!(group.report(0).unwrap().caught_up, [4]);
    group.follow(view(2, &[1, 4], &[]));
    assert!(group.commit(&disks(&[4])));
}

#[test]
fn a_new_view_replaces_earlier_reports() {
    let mut group = caught_up_group(view(1, &[1, 2], &[4]), &[2, 4]);
    group.report(0);
    group.follow(view(2, &[1, 2], &[]));
    assert!(group.commit(&disks(&[2])));
    let mut promoted = caught_up_group(view(1, &[1, 2], &[4]), &[2, 4]);
    promoted.report(0);
    promoted.follow(view(2, &[1, 2, 4], &[]));
    assert!(!promoted.commit(&disks(&[2])));
    assert!(promoted.commit(&disks(&[2, 4])));
}

#[test]
fn an_unresponsive_member_is_reported_until_it_answers_or_leaves() {
    let mut group = caught_up_group(view(1, &[1, 2, 3], &[]), &[2, 3]);
    assert!(group.mark_unresponsive(3));
    assert!(!group.mark_unresponsive(3));
    assert_eq!(group.report(7).unwrap().unresponsive, [3]);
    group.mark_responsive(3);
    assert_eq!(group.report(7), None);
    group.mark_unresponsive(3);
    group.follow(view(2, &[1, 2], &[]));
    assert_eq!(group.report(7), None);
}
