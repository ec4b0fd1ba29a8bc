//! A fault at every step of a small run with three members and at least two primaries: each message lost, late or repeated,
//! a kill before or after each sync, and pairs of these.

use crate::world::{Fault, World};
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};

/// When the first primary is killed.
const KILL_AT: Time = 100 * MILLI;
/// How long it stays down.
const DOWN: Time = 300 * MILLI;
/// How long the run goes on after its restart.
const RECOVERY_TIME: Time = 1400 * MILLI;
/// How long a member stays down that a fault kills.
const RESTART: Time = 60 * MILLI;
/// Of the kills one in so many is the first fault of a pair.
const KILL_STRIDE: usize = 3;
/// Of all faults one in so many is the second fault of a pair.
const FAULT_STRIDE: usize = 7;

/// Runs the cluster; the audit of the world ends the run at the first violation.
fn run_with_faults(faults: &[Fault]) -> World {
    let mut world = World::new(3, 1, 11);
    world.faults = faults.to_vec();
    world.run(KILL_AT);
    world.kill(1);
    world.run(DOWN);
    world.start(1);
    world.run(RECOVERY_TIME);
    world
}

/// Runs the cluster and checks that the cluster acknowledges changes after it.
fn run_and_recover(faults: &[Fault]) {
    let mut world = run_with_faults(faults);
    world.faults.clear();
    for disk in 1..=3 {
        if !world.nodes[&disk].process.is_up() {
            world.start(disk);
        }
    }
    let before = world.acknowledged.len();
    let until = world.now() + 3 * SECOND;
    while world.acknowledged.len() <= before && world.now() < until {
        world.run(20 * MILLI);
    }
    assert!(world.primary().is_some(), "no primary after {faults:?}");
    assert!(world.acknowledged.len() > before, "nothing is acknowledged any more after {faults:?}");
}

/// Every fault at each of so many messages.
fn message_faults(messages: usize) -> Vec<Fault> {
    let faults_at = |at| {
        [
            Fault::Lose(at),
            Fault::Delay(at, 40 * MILLI),
            Fault::Delay(at, 900 * MILLI),
            Fault::Repeat(at, 500 * MILLI),
        ]
    };
    (0..messages).flat_map(faults_at).collect()
}

/// Every fault at each of so many syncs.
fn sync_faults(syncs: usize) -> Vec<Fault> {
    let faults_at = |at| [Fault::KillBefore(at, RESTART), Fault::KillAfter(at, RESTART)];
    (0..syncs).flat_map(faults_at).collect()
}

#[test]
fn a_fault_at_any_one_step_loses_nothing_and_the_cluster_recovers() {
    let faultless = run_with_faults(&[]);
    assert!(
        faultless.nodes.values().any(|node| node.replica.primary_epoch().is_some_and(|epoch| epoch >= 2))
    );
    let faults: Vec<Fault> =
        message_faults(faultless.messages).into_iter().chain(sync_faults(faultless.syncs)).collect();
    println!("{} messages, {} syncs, {} cases", faultless.messages, faultless.syncs, faults.len());
    faults.iter().for_each(|fault| run_and_recover(&[*fault]));
}

#[test]
fn two_kills_or_a_kill_and_a_lost_message_lose_nothing_and_the_cluster_recovers() {
    let faultless = run_with_faults(&[]);
    let kills = sync_faults(faultless.syncs);
    let second: Vec<Fault> =
        message_faults(faultless.messages).into_iter().chain(kills.clone()).step_by(FAULT_STRIDE).collect();
    let mut cases = 0;
    for one in kills.iter().step_by(KILL_STRIDE) {
        for other in second.iter().filter(|other| *other != one) {
            run_and_recover(&[*one, *other]);
            cases += 1;
        }
    }
    println!("{cases} pairs");
    assert!(cases > 10_000);
}
