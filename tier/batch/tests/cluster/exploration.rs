//! Small cases with a fault at every moment of them.

use crate::random_faults::{end_faults, power_off_all, read_back, wipe};
use crate::world::World;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation};

/// A world in which jobs are at work, always the same.
fn busy(stores: u32) -> World {
    let mut world = World::new(stores, 1, 5);
    world.run(2 * SECOND);
    assert!(world.is_healed());
    world
}

fn settle(world: &mut World) {
    world.run(SECOND);
    end_faults(world);
    read_back(world);
}

/// Everything loses power at each millisecond of a busy span: the rings hold what was committed, and any part of what was not.
#[test]
fn a_loss_of_power_at_every_moment_of_a_busy_span() {
    for moment in 0..200 {
        let mut world = busy(3);
        world.run(moment * MILLI);
        power_off_all(&mut world, 300 * MILLI);
        settle(&mut world);
    }
}

/// A disk is lost, and at each moment of the repair that follows another store, or the primary of that moment, loses power.
#[test]
fn a_second_loss_at_every_moment_of_a_repair() {
    for moment in 0..120 {
        for second in 0..3 {
            let mut world = busy(4);
            let primary = world.primary().unwrap();
            wipe(&mut world, primary);
            world.run(moment * 20 * MILLI);
            let names: Vec<u32> = world.stores.keys().copied().filter(|name| *name != primary).collect();
            let victim = names[second];
            world.kill(victim, true);
            world.restart_after(victim, 900 * MILLI);
            settle(&mut world);
        }
    }
}

/// The primary is killed at each moment of a busy span, and restarts before its lease ends: the same view, another incarnation.
#[test]
fn a_restart_within_the_lease_at_every_moment() {
    for moment in 0..100 {
        let mut world = busy(3);
        world.run(moment * 2 * MILLI);
        let primary = world.primary().unwrap();
        world.kill(primary, true);
        world.restart_after(primary, 40 * MILLI);
        world.run(400 * MILLI);
        power_off_all(&mut world, 300 * MILLI);
        settle(&mut world);
    }
}
