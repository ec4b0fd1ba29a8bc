//! A fault at every step of a small run with three members and at least two primaries: each message lost, delayed
//! or duplicated, a kill before or after each sync, and pairs of these.

use crate::world::{Fault, World};
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};

/// Time at which the first primary is killed.
const KILL_AT: Time = 100 * MILLI;
/// Time from that kill to the restart.
const PRIMARY_DOWNTIME: Time = 300 * MILLI;
/// Time that the run continues after the restart.
const RECOVERY_TIME: Time = 1400 * MILLI;
/// Downtime of a member that is killed by an injected fault.
const KILL_DOWNTIME: Time = 60 * MILLI;
/// Stride through the kills that are the first fault of a pair.
const KILL_STRIDE: usize = 3;
/// Stride through all faults that are the second fault of a pair.
const FAULT_STRIDE: usize = 7;

/// Runs the cluster with injected faults; the audit of the world panics at the first violation.
fn run_with_faults(faults: &[Fault]) -> World {
    let mut world = World::new(3, 1, 11);
    world.faults = faults.to_vec();
    world.run(KILL_AT);
    world.kill(1);
    world.run(PRIMARY_DOWNTIME);
    world.start(1);
    world.run(RECOVERY_TIME);
    world
}

/// Runs the cluster with injected faults, and checks that it acknowledges changes afterwards.
fn run_and_recover(faults: &[Fault]) {
    let mut world = run_with_faults(faults);
    world.faults.clear();
    for disk in 1..=3 {
        if !world.nodes[&disk].process.is_up() {
            world.start(disk);
        }
    }
    let acknowledged_before = world.acknowledged.len();
    let deadline = world.now() + 3 * SECOND;
    while world.acknowledged.len() <= acknowledged_before && world.now() < deadline {
        world.run(20 * MILLI);
    }
    assert!(world.primary().is_some(), "no primary after {faults:?}");
    assert!(world.acknowledged.len() > acknowledged_before, "no change is acknowledged after {faults:?}");
}

/// Returns every kind of fault at each of the first `messages` messages.
fn message_faults(messages: usize) -> Vec<Fault> {
    let faults_at = |step| {
        [
            Fault::Lose(step),
            Fault::Delay(step, 40 * MILLI),
            Fault::Delay(step, 900 * MILLI),
            Fault::Repeat(step, 500 * MILLI),
        ]
    };
    (0..messages).flat_map(faults_at).collect()
}

/// Returns every kind of fault at each of the first `syncs` syncs.
fn sync_faults(syncs: usize) -> Vec<Fault> {
    let faults_at = |step| [Fault::KillBefore(step, KILL_DOWNTIME), Fault::KillAfter(step, KILL_DOWNTIME)];
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
    let second_faults: Vec<Fault> =
        message_faults(faultless.messages).into_iter().chain(kills.clone()).step_by(FAULT_STRIDE).collect();
    let mut cases = 0;
    for first in kills.iter().step_by(KILL_STRIDE) {
        for second in second_faults.iter().filter(|fault| *fault != first) {
            run_and_recover(&[*first, *second]);
            cases += 1;
        }
    }
    println!("{cases} pairs");
    assert!(cases > 10_000);
}
