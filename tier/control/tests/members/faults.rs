//! Seeded runs with random faults: kills, partitions, freezes and lost disks.

use crate::world::World;
use quillmount_test_support::network::Isolation;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};
use quillmount_wire::messages::DiskId;

/// Time within which the core recovers once all faults have ended.
const RECOVERY_LIMIT: Time = 30 * SECOND;
/// Interval between checks whether the core has recovered.
const RECOVERY_CHECK_INTERVAL: Time = 250 * MILLI;

/// Runs core members with random faults, checks the history, and returns the world at the end of the run.
pub fn run_seed(seed: u64) -> World {
    let (members, tolerated_failures) = match seed % 3 {
        0 => (3, 1),
        1 => (4, 1),
        _ => (5, 2),
    };
    let mut world = World::new(members, tolerated_failures, 4, seed);
    world.run(2 * SECOND);
    for _ in 0..14 {
        inject_fault(&mut world);
        let gap = world.random.below(900);
        world.run(gap * MILLI);
    }
    end_faults(&mut world);
    // All machines are killed shortly after some order.
    restart_all(&mut world, 300 * MILLI);
    world.run(2 * SECOND);
    end_faults(&mut world);
    world.run(SECOND);
    check_at_rest(&mut world);
    world
}

/// Stops the operators, then checks the history and that its newest version is in force.
pub fn check_at_rest(world: &mut World) {
    world.busy = false;
    world.run(3 * SECOND);
    world.history.check();
    let primary = world.primary().expect("a primary serves once all faults have ended");
    let state = world.machines[&primary].member.committed().unwrap();
    assert_eq!(
        state.version,
        world.history.newest_version(),
        "LOST: the state of the primary is not the newest committed version"
    );
}

/// Disks of all machines, in ascending order.
pub fn disks(world: &World) -> Vec<DiskId> {
    world.machines.keys().copied().collect()
}

/// Kills all machines at once and restarts them together after `down`.
pub fn restart_all(world: &mut World, down: Time) {
    for disk in disks(world) {
        world.kill(disk);
        world.restart_after(disk, down);
    }
}

/// A random machine; with a probability of 50 % the primary.
fn any_machine(world: &mut World) -> DiskId {
    let disks = disks(world);
    let any = disks[world.random.index(disks.len())];
    if world.random.chance(50) { world.primary().unwrap_or(any) } else { any }
}

/// Injects a random fault.
fn inject_fault(world: &mut World) {
    let disk = any_machine(world);
    let span = (100 + world.random.below(2_500)) * MILLI;
    match world.random.below(9) {
        0 | 1 => {
            world.kill(disk);
            world.restart_after(disk, span);
        }
        2 | 3 => {
            let until = world.now() + span;
            world.machines.get_mut(&disk).unwrap().process.freeze_until(until);
        }
        4 => {
            for disk in disks(world) {
                world.kill(disk);
                let down = (50 + world.random.below(1_000)) * MILLI;
                world.restart_after(disk, down);
            }
        }
        5 | 6 => partition(world, disk),
        7 => world.partitions.heal(),
        _ if world.is_healed() => {
            let new = world.wipe(disk);
            let until = world.now() + span / 2;
            world.machines.get_mut(&new).unwrap().process.freeze_until(until);
        }
        _ => {}
    }
}

/// Isolates one machine or half of the machines from the others, in both directions or in one.
fn partition(world: &mut World, disk: DiskId) {
    let disks = disks(world);
    let half = world.random.chance(30);
    let directions = match world.random.below(4) {
        0 => Isolation::INBOUND,
        1 => Isolation::OUTBOUND,
        _ => Isolation::BOTH,
    };
    let isolated = if half { disks[..disks.len() / 2].to_vec() } else { vec![disk] };
    world.partitions.isolate(&isolated, &disks, directions);
}

/// Heals all partitions and waits until the core has recovered.
pub fn end_faults(world: &mut World) {
    world.partitions.heal();
    let recovered = world.run_until(RECOVERY_CHECK_INTERVAL, RECOVERY_LIMIT, World::is_healed);
    assert!(recovered, "STUCK: the core has not recovered 30 s after the last fault");
}
