//! Runs with random faults, drawn by seed.

use crate::core_faults::inject_core_fault;
use crate::recovery::{end_faults, final_power_loss};
use crate::world::World;
use quillmount_test_support::digest::Counts;
use quillmount_test_support::network::Isolation;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};

/// Number of faults in each run.
const FAULTS_PER_RUN: usize = 14;
/// Percentage of faults that affect the core, in worlds with a core.
const CORE_FAULT_PERCENT: u64 = 40;
/// Statistics of a run.
pub struct RunSummary {
    pub commits: usize,
    pub reads: usize,
    /// Trace of the actions of the stores and the core, for the digests.
    pub counts: Counts,
}

/// Runs the stores of a shard through faults for some seconds, then without faults, then through a final power loss
/// of all stores that half of the time loses a disk, and reads everything that was acknowledged.
pub fn run_seed(seed: u64) -> RunSummary {
    let tolerated_failures = if seed.is_multiple_of(4) { 2 } else { 1 };
    let stores = tolerated_failures as u32 + 2 + (seed % 3) as u32;
    run_faults(World::new(stores, tolerated_failures, seed))
}

/// Runs the same with a core of several members, which has faults of its own.
pub fn run_seed_with_core(seed: u64) -> RunSummary {
    let tolerated_failures = if seed.is_multiple_of(4) { 2 } else { 1 };
    let stores = tolerated_failures as u32 + 2 + (seed % 3) as u32;
    run_faults(World::with_core(2 * tolerated_failures as u64 + 1, stores, tolerated_failures, seed))
}

fn run_faults(mut world: World) -> RunSummary {
    world.run(4 * SECOND);
    for _ in 0..FAULTS_PER_RUN {
        if world.core.is_some() && world.random.chance(CORE_FAULT_PERCENT) {
            inject_core_fault(&mut world);
        } else {
            inject_fault(&mut world);
        }
        let gap = world.random.below(900);
        world.run(gap * MILLI);
    }
    end_faults(&mut world);
    final_power_loss(&mut world);
    let end_time = world.now();
    let mut counts = world.counts;
    if let Some(core) = &world.core {
        counts.set("core_messages", core.messages);
        counts.set("core_writes", core.writes);
        counts.set("core_elections", core.elections);
    }
    counts.set("view_epoch", world.control.placement.shards.first().map_or(0, |view| view.epoch));
    counts.set("placement_version", world.control.placement_version);
    counts.set("jobs_acknowledged", world.auditor.acknowledged.len() as u64);
    counts.set("audited_reads", world.auditor.reads as u64);
    counts.set("audited_commits", world.auditor.commits as u64);
    counts.set("end_time_us", end_time);
    RunSummary { commits: world.auditor.commits, reads: world.auditor.reads, counts }
}

/// Draws a store that was not removed.
pub fn any_store(world: &mut World) -> u32 {
    let store_numbers: Vec<u32> =
        world.stores.values().filter(|store| !store.removed).map(|store| store.number).collect();
    let index = world.random.index(store_numbers.len());
    store_numbers[index]
}

/// Draws the primary with a probability of 60 % if there is one, otherwise any store.
fn primary_or_any(world: &mut World) -> u32 {
    match world.primary() {
        Some(primary) if world.random.chance(60) => primary,
        _ => any_store(world),
    }
}

/// Draws a duration from `from` to below `below`, both in milliseconds.
pub fn draw_span(world: &mut World, from: u64, below: u64) -> Time {
    (from + world.random.below(below - from)) * MILLI
}

/// Injects a random fault at a store or between stores.
fn inject_fault(world: &mut World) {
    let store = primary_or_any(world);
    match world.random.below(13) {
        0 | 1 => {
            let (downtime, power_loss) = (draw_span(world, 50, 2500), world.random.chance(50));
            world.kill(store, power_loss);
            world.restart_after(store, downtime);
        }
        2 | 3 => {
            let span = draw_span(world, 100, 3500);
            let until = world.now() + span;
            world.stores.get_mut(&store).unwrap().process.freeze_until(until);
        }
        4 => kill_many(world),
        5 => partition_store(world, store),
        6 => {
            world.isolated_from_core.insert(store);
        }
        7 => {
            world.partitions.heal();
            world.isolated_from_core.clear();
        }
        8 => {
            let span = draw_span(world, 100, 1200);
            let until = world.now() + span;
            world.stores.get_mut(&store).unwrap().disk_fails_until = until;
        }
        9 => {
            let span = draw_span(world, 500, 3000);
            let until = world.now() + span;
            world.stores.get_mut(&store).unwrap().disk_slow_until = until;
        }
        10 => world.compact(store),
        11 => retire(world, store),
        _ => wipe(world, store),
    }
}

/// Kills the processes of all stores at the same moment; with a probability of 30 % one is spared.
fn kill_many(world: &mut World) {
    let power_loss = world.random.chance(50);
    let store_numbers: Vec<u32> = world.stores.keys().copied().collect();
    let spared = world.random.chance(30).then(|| any_store(world));
    for store_number in store_numbers.into_iter().filter(|number| Some(*number) != spared) {
        let downtime = draw_span(world, 50, 1500);
        world.kill(store_number, power_loss);
        world.restart_after(store_number, downtime);
    }
}

/// Isolates a store from all others or from one of them, in one direction or both.
fn partition_store(world: &mut World, store: u32) {
    let others: Vec<u32> =
        world.stores.keys().copied().filter(|store_number| *store_number != store).collect();
    let directions = match world.random.below(3) {
        0 => Isolation::INBOUND,
        1 => Isolation::OUTBOUND,
        _ => Isolation::BOTH,
    };
    let from_one = world.random.chance(40);
    let count = if from_one { others.len().min(1) } else { others.len() };
    world.partitions.isolate(&[store], &others[..count], directions);
}

/// Retires a store, and adds an empty one so that enough stores remain.
fn retire(world: &mut World, store: u32) {
    let new_store = world.stores.keys().max().copied().unwrap_or(0) + 1;
    if new_store <= 9 {
        world.add_store(new_store);
        world.retire(store);
    }
}

/// Replaces a store's disk by an empty one, if the shard has recovered from every earlier loss.
pub fn wipe(world: &mut World, store: u32) {
    if !world.is_healed() {
        return;
    }
    world.kill(store, true);
    world.add_store(store);
    let downtime = draw_span(world, 100, 1500);
    let until = world.now() + downtime;
    world.stores.get_mut(&store).unwrap().process.freeze_until(until);
}
