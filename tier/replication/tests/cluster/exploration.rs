//! A fault at every step of a small case: three members, two primaries or more, each message lost, late or repeated, each
//! sync cut by a kill before or after it, and pairs of these.

use crate::world::{Fault, MILLI, SECOND, Time, World};

/// When the first primary is killed, how long it is down, and when the case ends.
const KILL_AT: Time = 100 * MILLI;
const DOWN: Time = 300 * MILLI;
const SETTLE_TIME: Time = 1400 * MILLI;
/// A member that a fault kills is back after so long.
const RESTART: Time = 60 * MILLI;
/// Every how many of a kind of fault are paired.
const KILL_STRIDE: usize = 3;
const FAULT_STRIDE: usize = 7;

/// Plays the case; the auditor of the world ends it at the first broken promise.
fn run_with_faults(faults: &[Fault]) -> World {
    let mut world = World::new(3, 1, 11);
    world.faults = faults.to_vec();
    world.run(KILL_AT);
    world.kill(1);
    world.run(DOWN);
    world.start(1);
    world.run(SETTLE_TIME);
    world
}

/// Plays the case and sees that the members serve and acknowledge again after it.
fn run_to_the_end(faults: &[Fault]) {
    let mut world = run_with_faults(faults);
    world.faults.clear();
    (1..=3)
        .filter(|disk| !world.nodes[disk].up)
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|disk| world.start(disk));
    let before = world.acknowledged.len();
    let until = world.now + 3 * SECOND;
    while world.acknowledged.len() <= before && world.now < until {
        world.run(20 * MILLI);
    }
    assert!(world.primary().is_some(), "no primary after {faults:?}");
    assert!(world.acknowledged.len() > before, "nothing is acknowledged any more after {faults:?}");
}

fn message_faults(messages: usize) -> Vec<Fault> {
    let of = |at| {
        [
            Fault::Lose(at),
            Fault::Delay(at, 40 * MILLI),
            Fault::Delay(at, 900 * MILLI),
            Fault::Repeat(at, 500 * MILLI),
        ]
    };
    (0..messages).flat_map(of).collect()
}

fn sync_faults(syncs: usize) -> Vec<Fault> {
    let of = |at| [Fault::KillBefore(at, RESTART), Fault::KillAfter(at, RESTART)];
    (0..syncs).flat_map(of).collect()
}

#[test]
fn a_fault_at_any_one_step_loses_nothing_and_the_cluster_recovers() {
    let calm = run_with_faults(&[]);
    assert!(calm.nodes.values().any(|node| node.replica.primary_epoch().is_some_and(|epoch| epoch >= 2)));
    let faults: Vec<Fault> =
        message_faults(calm.messages).into_iter().chain(sync_faults(calm.syncs)).collect();
    println!("{} messages, {} syncs, {} cases", calm.messages, calm.syncs, faults.len());
    faults.iter().for_each(|fault| run_to_the_end(&[*fault]));
}

#[test]
fn two_kills_or_a_kill_and_a_lost_message_lose_nothing_and_the_cluster_recovers() {
    let calm = run_with_faults(&[]);
    let kills = sync_faults(calm.syncs);
    let second: Vec<Fault> =
        message_faults(calm.messages).into_iter().chain(kills.clone()).step_by(FAULT_STRIDE).collect();
    let mut cases = 0;
    for one in kills.iter().step_by(KILL_STRIDE) {
        for other in second.iter().filter(|other| *other != one) {
            run_to_the_end(&[*one, *other]);
            cases += 1;
        }
    }
    println!("{cases} pairs");
    assert!(cases > 10_000);
}
