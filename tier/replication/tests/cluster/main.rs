//! Simulated clusters on virtual time: scenarios, random faults by seed, and a fault at every step of a small run.

mod digest;
mod exploration;
mod faults;
mod world;

use faults::{replace, run_with_random_faults};
use quillmount_test_support::network::Isolation;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};
use quillmount_wire::messages::{Register, RegisterMessage};
use world::{World, encode};

#[test]
fn an_undisturbed_cluster_elects_once_and_commits() {
    let mut world = World::new(3, 1, 1);
    world.run(3 * SECOND);
    assert!(world.acknowledged.len() > 20, "{}", world.acknowledged.len());
    assert!(world.reads_confirmed > 20);
    assert_eq!(world.nodes[&1].replica.primary_epoch(), Some(1));
}

#[test]
fn a_killed_primary_is_replaced_within_two_seconds() {
    let mut world = World::new(3, 1, 2);
    world.run(SECOND);
    let acknowledged_before = world.acknowledged.len();
    world.kill(1);
    world.run(2 * SECOND);
    assert!(world.primary().is_some());
    assert!(world.acknowledged.len() > acknowledged_before);
}

#[test]
fn a_primary_that_is_partitioned_in_any_direction_steps_down_and_another_serves() {
    for directions in [Isolation::INBOUND, Isolation::OUTBOUND, Isolation::BOTH] {
        let mut world = World::new(3, 1, 3);
        world.run(SECOND);
        world.partitions.isolate(&[1], &[2, 3], directions);
        let acknowledged_before = world.acknowledged.len();
        world.run(3 * SECOND);
        assert!(world.nodes[&1].committed.is_none(), "{directions:?}");
        assert!(world.acknowledged.len() > acknowledged_before + 20, "{directions:?}");
    }
}

#[test]
fn a_resignation_transfers_leadership_without_an_election_timeout() {
    let mut world = World::new(3, 1, 4);
    world.run(SECOND);
    let now = world.now();
    let actions = world.nodes.get_mut(&1).unwrap().replica.resign(now);
    world.perform(1, actions);
    world.run(100 * MILLI);
    assert!(world.primary().is_some_and(|primary| primary != 1));
}

#[test]
fn with_too_few_replicas_nothing_is_acknowledged() {
    let mut world = World::new(3, 1, 5);
    world.run(SECOND);
    world.kill(2);
    world.kill(3);
    world.run(100 * MILLI);
    let acknowledged_before = world.acknowledged.len();
    world.run(3 * SECOND);
    assert_eq!(world.acknowledged.len(), acknowledged_before);
}

#[test]
fn members_killed_all_at_once_lose_nothing_acknowledged() {
    for seed in 0..20 {
        let mut world = World::new(3, 1, seed);
        world.run(SECOND + seed * 7 * MILLI);
        (1..=3).for_each(|disk| world.kill(disk));
        world.run(50 * MILLI);
        (1..=3).for_each(|disk| world.start(disk));
        let acknowledged_before = world.acknowledged.len();
        world.run(3 * SECOND);
        assert!(world.acknowledged.len() > acknowledged_before);
    }
}

/// Returns the time from the simultaneous restart of all members until one serves.
fn restart_time(members: u64, seed: u64) -> Time {
    let mut world = World::new(members, 1, seed);
    world.run(SECOND + seed * 7 * MILLI);
    (1..=members).for_each(|disk| world.kill(disk));
    world.run(50 * MILLI);
    for disk in 1..=members {
        world.start(disk);
        let start_gap = world.random.below(3) * MILLI;
        world.run(start_gap);
    }
    let started_at = world.now();
    while world.primary().is_none() && world.now() < started_at + 10 * SECOND {
        world.run(MILLI);
    }
    world.now() - started_at
}

#[test]
fn members_that_start_together_elect_one_without_a_second_round() {
    for members in [3, 6] {
        let mut times: Vec<Time> = (0..200).map(|seed| restart_time(members, seed)).collect();
        times.sort_unstable();
        let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
        println!(
            "{members} members: median {median}, 9 of 10 {}, longest {longest}",
            times[times.len() * 9 / 10]
        );
        assert!(median <= 150 * MILLI, "{members} members: median {median} us");
        assert!(longest <= 400 * MILLI, "{members} members: longest {longest} us");
    }
}

#[test]
fn a_wiped_member_counts_only_after_its_admission() {
    let mut world = World::new(3, 1, 6);
    world.run(SECOND);
    replace(&mut world, 3, 103);
    world.run(SECOND);
    // The new member replaces the lost one, so the cluster survives another failure.
    world.kill(1);
    let acknowledged_before = world.acknowledged.len();
    world.run(3 * SECOND);
    assert!(world.acknowledged.len() > acknowledged_before);
}

#[test]
fn a_blank_member_never_stands_and_accepts_no_value_that_does_not_name_it() {
    let mut world = World::new(3, 1, 7);
    world.run(SECOND);
    let value = world.nodes[&1].replica.register().accepted.clone().unwrap();
    world.add_node(9, Register::default());
    let now = world.now();
    let node = world.nodes.get_mut(&9).unwrap();
    assert!(node.replica.tick(now + 60 * SECOND).is_empty());
    assert!(node.replica.receive(1, RegisterMessage::Accept { accepted: value }, now).is_empty());
    assert!(node.replica.is_blank());
}

/// Creates a cluster whose third member is down while a fourth, which is not connected yet, is proposed as a
/// member. A quorum needs three of the four.
fn with_unconnected_new_member(seed: u64) -> World {
    let mut world = World::new(3, 1, seed);
    world.run(SECOND);
    world.kill(3);
    world.run(SECOND);
    world.add_node(4, Register::default());
    world.partitions.isolate(&[4], &[1, 2], Isolation::INBOUND);
    let now = world.now();
    let node = world.nodes.get_mut(&1).unwrap();
    let payload = encode(&node.committed.clone().unwrap());
    let actions = node.replica.propose(vec![1, 2, 3, 4], payload, now);
    assert!(!actions.is_empty());
    world.perform(1, actions);
    world
}

#[test]
fn a_primary_stays_while_a_new_member_does_not_answer_yet() {
    let mut world = with_unconnected_new_member(8);
    world.run(300 * MILLI);
    world.partitions.heal();
    let acknowledged_before = world.acknowledged.len();
    world.run(SECOND);
    assert_eq!(world.primary(), Some(1));
    assert!(world.acknowledged.len() > acknowledged_before);
}

#[test]
fn a_change_of_members_that_the_new_one_missed_does_not_block_the_next_primary() {
    let mut world = with_unconnected_new_member(9);
    world.run(50 * MILLI);
    // Both running old members have accepted the membership change and restart; the new member has accepted
    // nothing.
    [1, 2].into_iter().for_each(|disk| world.kill(disk));
    [1, 2].into_iter().for_each(|disk| world.start(disk));
    world.partitions.heal();
    let acknowledged_before = world.acknowledged.len();
    world.run(4 * SECOND);
    assert!(
        world.acknowledged.len() > acknowledged_before,
        "no commit after the restart: the election waits for the promise of the new member"
    );
}

#[test]
fn nothing_acknowledged_is_lost_through_mixed_faults() {
    for seed in 0..40 {
        let world = run_with_random_faults(3, 1, seed);
        assert!(world.acknowledged.len() > 300, "seed {seed}: {}", world.acknowledged.len());
    }
}

#[test]
fn six_members_that_tolerate_two_failures_lose_nothing() {
    for seed in 0..12 {
        let world = run_with_random_faults(6, 2, seed);
        assert!(world.acknowledged.len() > 300, "seed {seed}: {}", world.acknowledged.len());
    }
}

#[test]
fn a_seed_always_gives_the_same_run() {
    let (first, second) = (run_with_random_faults(3, 1, 77), run_with_random_faults(3, 1, 77));
    assert_eq!(first.acknowledged, second.acknowledged);
    assert_eq!(first.reads_confirmed, second.reads_confirmed);
}
