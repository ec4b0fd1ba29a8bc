//! Exhaustive runs of small cases, with a fault at each moment.

use crate::random_faults::wipe;
use crate::recovery::{end_faults, power_off_all, read_back};
use crate::world::World;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation};

/// Creates a world with client load that is the same in every run.
fn loaded_world(stores: u32) -> World {
    let mut world = World::new(stores, 1, 5);
    world.run(2 * SECOND);
    assert!(world.is_healed());
    world
}

/// Waits until the shard has recovered, and reads everything that was acknowledged.
fn recover_and_read_back(world: &mut World) {
    world.run(SECOND);
    end_faults(world);
    read_back(world);
}

/// All stores lose power at each millisecond of a span under load: their logs have every committed operation, and
/// any part of the uncommitted ones.
#[test]
fn a_power_loss_at_every_moment_of_a_loaded_span() {
    for moment in 0..200 {
        let mut world = loaded_world(3);
        world.run(moment * MILLI);
        power_off_all(&mut world, 300 * MILLI);
        recover_and_read_back(&mut world);
    }
}

/// A disk is lost, and at each moment of the repair that follows another store loses power, also one that has
/// become primary.
#[test]
fn a_second_loss_at_every_moment_of_a_repair() {
    for moment in 0..120 {
        for victim_index in 0..3 {
            let mut world = loaded_world(4);
            let primary = world.primary().unwrap();
            wipe(&mut world, primary);
            world.run(moment * 20 * MILLI);
            let store_numbers: Vec<u32> =
                world.stores.keys().copied().filter(|store_number| *store_number != primary).collect();
            let victim = store_numbers[victim_index];
            world.kill(victim, true);
            world.restart_after(victim, 900 * MILLI);
            recover_and_read_back(&mut world);
        }
    }
}

/// The primary is killed at each moment of a span under load and restarts before its lease ends: the same view with
/// another incarnation of the process.
#[test]
fn a_restart_within_the_lease_at_every_moment() {
    for moment in 0..100 {
        let mut world = loaded_world(3);
        world.run(moment * 2 * MILLI);
        let primary = world.primary().unwrap();
        world.kill(primary, true);
        world.restart_after(primary, 40 * MILLI);
        world.run(400 * MILLI);
        power_off_all(&mut world, 300 * MILLI);
        recover_and_read_back(&mut world);
    }
}
