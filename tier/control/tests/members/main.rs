//! Orders and reads of operators at core members on virtual time: kills, partitions, freezes and lost disks by seed, lost answers,
//! repeated orders. Every history is checked against one linearizable register. `SEEDS=N` runs so many seeds.

mod digest;
mod disks;
mod faults;
mod history;
mod world;

use faults::{disks, end_faults, restart_all, run_seed};
use quillmount_test_support::network::Isolation;
use quillmount_test_support::seeds;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation};
use quillmount_wire::messages::DiskId;
use world::World;

/// Seeds that are run unless `SEEDS` names another number.
const DEFAULT_SEEDS: u64 = 120;

#[test]
fn every_history_of_operators_is_linearizable() {
    let count = seeds::count(DEFAULT_SEEDS);
    let answers = seeds::run_each(count, |seed| run_seed(seed).history.clear_answers());
    let answers: usize = answers.into_iter().sum();
    println!("{count} runs: {answers} clear answers");
    assert!(answers as u64 > 20 * count, "{answers} clear answers");
}

/// A primary that is partitioned serves no state and confirms nothing from then on, while the others go on.
#[test]
fn a_partitioned_member_gives_no_uncertain_answer() {
    for seed in 1..=20 {
        let mut world = World::new(3, 1, 3, seed);
        world.run(3 * SECOND);
        let old = world.primary().unwrap();
        let others: Vec<DiskId> = world.machines.keys().copied().filter(|disk| *disk != old).collect();
        world.partitions.isolate(&[old], &others, Isolation::BOTH);
        let before = world.history.newest_version();
        // After half a second it serves no state, and another is primary within twenty.
        world.run(600 * MILLI);
        let now = world.now();
        assert!(world.machines[&old].member.committed_if_recent(now).is_none(), "seed {seed}");
        world.run(20 * SECOND);
        assert_ne!(world.primary(), Some(old), "seed {seed}");
        assert!(world.history.newest_version() > before, "seed {seed}: the others go on");
        end_faults(&mut world);
        world.history.check();
    }
}

#[test]
fn a_frozen_primary_serves_no_stale_state_when_it_resumes() {
    for seed in 1..=20 {
        let mut world = World::new(3, 1, 3, seed);
        world.run(3 * SECOND);
        let old = world.primary().unwrap();
        let until = world.now() + 3 * SECOND;
        world.machines.get_mut(&old).unwrap().process.freeze_until(until);
        world.run(2_999 * MILLI);
        // Before anything that waited for it is handled, and before its next tick.
        let now = world.now();
        assert!(world.machines[&old].member.committed_if_recent(now).is_none(), "seed {seed}");
        world.run(2 * SECOND);
        end_faults(&mut world);
        world.history.check();
    }
}

/// A member that was down for a thousand changes is up to date soon after its restart, and may lead then.
#[test]
fn a_member_that_missed_a_thousand_changes_catches_up_within_a_second() {
    let mut world = World::new(3, 1, 8, 7);
    world.run(2 * SECOND);
    let away = *world.machines.keys().find(|disk| Some(**disk) != world.primary()).unwrap();
    world.kill(away);
    let mut orders = 0;
    while orders < 1_000 {
        world.run(10 * SECOND);
        orders = world.history.versions();
    }
    world.busy = false;
    world.run(3 * SECOND);
    world.restart_after(away, 0);
    world.run(SECOND);
    assert!(world.is_healed());
    // One of the others is lost, and the other one restarts: whoever leads has the newest version.
    let newest = world.history.newest_version();
    let others: Vec<DiskId> = world.machines.keys().copied().filter(|disk| *disk != away).collect();
    world.kill(others[0]);
    world.kill(others[1]);
    world.restart_after(others[1], 100 * MILLI);
    world.run(3 * SECOND);
    let primary = world.primary().expect("a primary");
    assert_eq!(world.machines[&primary].member.committed().unwrap().version, newest);
    world.history.check();
}

/// A disk that is lost right after the replacement of another, while nothing else changes, leaves a majority.
#[test]
fn a_second_loss_right_after_a_replacement_leaves_a_majority() {
    for seed in 1..=20 {
        let mut world = World::new(4, 1, 2, seed);
        world.run(2 * SECOND);
        world.busy = false;
        world.run(2 * SECOND);
        let disks = disks(&world);
        let new = world.wipe(disks[2]);
        end_faults(&mut world);
        // The next one is lost for good; then everything else is restarted.
        let lost = disks[3];
        world.kill(lost);
        for disk in [disks[0], disks[1], new] {
            world.kill(disk);
            world.restart_after(disk, 200 * MILLI);
        }
        world.run(3 * SECOND);
        assert!(world.primary().is_some(), "seed {seed}");
        world.history.check();
    }
}

/// Two candidates may be promised the same epoch: a member that promised it to the loser follows the winner.
#[test]
fn after_restarts_of_all_members_every_member_follows() {
    for seed in 1..=60 {
        let mut world = World::new(4, 1, 2, seed);
        world.run(SECOND);
        for _ in 0..3 {
            restart_all(&mut world, 100 * MILLI);
            world.run(SECOND);
            end_faults(&mut world);
        }
        world.history.check();
    }
}

/// Four operators at work, and the primary killed, frozen or partitioned at each millisecond of a busy span: also between the
/// write of an order and its answer.
#[test]
fn a_failover_at_any_millisecond_loses_no_order() {
    for moment in 0..300 {
        for fault in 0..3 {
            let mut world = World::new(3, 1, 4, 11);
            world.run(2 * SECOND + moment * MILLI);
            let primary = world.primary().unwrap();
            match fault {
                0 => {
                    world.kill(primary);
                    world.restart_after(primary, 1_500 * MILLI);
                }
                1 => {
                    let until = world.now() + 1_500 * MILLI;
                    world.machines.get_mut(&primary).unwrap().process.freeze_until(until);
                }
                _ => {
                    let all = disks(&world);
                    world.partitions.isolate(&[primary], &all, Isolation::OUTBOUND);
                }
            }
            world.run(2 * SECOND);
            end_faults(&mut world);
            world.busy = false;
            world.run(3 * SECOND);
            world.history.check();
        }
    }
}

/// Each deliberate fault of members and orders is detected by one of a few hundred runs, or by a scenario.
#[cfg(feature = "breaks")]
#[test]
fn each_break_of_members_and_orders_is_found() {
    use quillmount_control::breaks::{self, Break};
    const RUNS: u64 = 300;
    let detected_by_runs = [
        Break::ReadWithoutRound,
        Break::AnsweredBeforeSync,
        Break::ConfirmedWhenProposed,
        Break::DigestWithoutBase,
        Break::OrderForgotten,
        Break::BaseIgnored,
    ];
    let silenced = seeds::SilencedPanics::begin();
    let mut missed = Vec::new();
    for one in detected_by_runs {
        breaks::set(Some(one));
        let found = seeds::first_failing(1..=RUNS, |seed| _ = run_seed(seed));
        breaks::set(None);
        println!("{one:?}: found by seed {found:?}");
        if found.is_none() {
            missed.push(one);
        }
    }
    breaks::set(Some(Break::FailedWriteCounts));
    if seeds::first_failing(1..=RUNS, |seed| _ = disks::run_seed(seed)).is_none() {
        missed.push(Break::FailedWriteCounts);
    }
    breaks::set(Some(Break::PrimaryWithoutDisk));
    if !seeds::fails(disks::a_primary_whose_disk_is_full_hands_over) {
        missed.push(Break::PrimaryWithoutDisk);
    }
    breaks::set(Some(Break::StaleTables));
    if !seeds::fails(a_frozen_primary_serves_no_stale_state_when_it_resumes) {
        missed.push(Break::StaleTables);
    }
    breaks::set(None);
    drop(silenced);
    assert!(missed.is_empty(), "not found: {missed:?}");
}
