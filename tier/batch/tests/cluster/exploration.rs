//! Small cases with a fault at every moment of them.

use crate::random_faults::wipe;
use crate::recovery::{end_faults, power_off_all, read_back};
use crate::world::World;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation};

/// A world in which clients submit and read, always the same.
fn busy_world(stores: u32) -> World {
    let mut world = World::new(stores, 1, 5);
    world.run(2 * SECOND);
    assert!(world.is_healed());
    world
}

/// Waits until the shard has recovered, and reads all that was acknowledged.
fn recover_and_read_back(world: &mut World) {
    world.run(SECOND);
    end_faults(world);
    read_back(world);
}

/// All stores lose power at each millisecond of a busy span: the rings have what was committed, and any part of what was not.
#[test]
fn a_loss_of_power_at_every_moment_of_a_busy_span() {
    for moment in 0..200 {
        let mut world = busy_world(3);
        world.run(moment * MILLI);
        power_off_all(&mut world, 300 * MILLI);
        recover_and_read_back(&mut world);
    }
}

/// A disk is lost, and at each moment of the repair that follows another store, or the primary of that moment, loses power.
#[test]
fn a_second_loss_at_every_moment_of_a_repair() {
    for moment in 0..120 {
        for second in 0..3 {
            let mut world = busy_world(4);
            let primary = world.primary().unwrap();
            wipe(&mut world, primary);
            world.run(moment * 20 * MILLI);
            let names: Vec<u32> = world.stores.keys().copied().filter(|name| *name != primary).collect();
            let victim = names[second];
            world.kill(victim, true);
            world.restart_after(victim, 900 * MILLI);
            recover_and_read_back(&mut world);
        }
    }
}

/// The primary is killed at each moment of a busy span, and restarts before its lease ends: the same view, another incarnation.
#[test]
fn a_restart_within_the_lease_at_every_moment() {
    for moment in 0..100 {
        let mut world = busy_world(3);
        world.run(moment * 2 * MILLI);
        let primary = world.primary().unwrap();
        world.kill(primary, true);
        world.restart_after(primary, 40 * MILLI);
        world.run(400 * MILLI);
        power_off_all(&mut world, 300 * MILLI);
        recover_and_read_back(&mut world);
    }
}
