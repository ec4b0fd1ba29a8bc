//! Runs by name, each of which brings one of the operators' worst days about.

use crate::day::{calm, read_back, wipe};
use crate::world::{MILLI, SECOND, World};

fn started(stores: u32, survivable: usize, seed: u64) -> World {
    let mut world = World::new(stores, survivable, seed);
    world.run(3 * SECOND);
    assert!(world.is_healed());
    world
}

fn power_off_all(world: &mut World) {
    let names: Vec<u32> = world.stores.keys().copied().collect();
    for name in names {
        world.kill(name, true);
        world.restart_after(name, 700 * MILLI);
    }
}

#[test]
fn a_batch_that_was_not_committed_shows_at_no_position_after_a_restart_of_everything() {
    // The primary is cut off while batches are under way, is replaced, joins again, and everything is killed.
    for seed in 1..=30 {
        let mut world = started(3, 1, seed);
        let old = world.primary().unwrap();
        for other in (1..=3).filter(|name| *name != old) {
            world.cuts.insert((old, other));
            world.cuts.insert((other, old));
        }
        world.cut_from_core.insert(old);
        world.run(4 * SECOND);
        assert_ne!(world.primary(), Some(old), "seed {seed}");
        calm(&mut world);
        world.run(SECOND);
        power_off_all(&mut world);
        world.run(2 * SECOND);
        calm(&mut world);
        read_back(&mut world);
    }
}

#[test]
fn a_frozen_primary_that_wakes_answers_nothing_after_its_successor_serves() {
    for seed in 1..=30 {
        let mut world = started(3, 1, seed);
        let old = world.primary().unwrap();
        world.stores.get_mut(&old).unwrap().frozen_until = world.now + 3 * SECOND;
        world.run(2_500 * MILLI);
        // The others forget all that is only in memory, just before it wakes.
        for other in (1..=3).filter(|name| *name != old) {
            world.kill(other, true);
            world.restart_after(other, 480 * MILLI);
        }
        world.run(2 * SECOND);
        calm(&mut world);
        read_back(&mut world);
    }
}

#[test]
fn disks_lost_one_after_the_other_lose_nothing_once_each_was_made_up_for() {
    for seed in 1..=20 {
        let mut world = started(4, 1, seed);
        for _ in 0..4 {
            let primary = world.primary().unwrap();
            wipe(&mut world, primary);
            world.run(SECOND);
            calm(&mut world);
        }
        power_off_all(&mut world);
        world.run(2 * SECOND);
        calm(&mut world);
        read_back(&mut world);
    }
}

#[test]
fn a_disk_lost_while_all_others_lose_power_loses_nothing() {
    for seed in 1..=30 {
        let mut world = started(3, 1, seed);
        let lost = world.primary().unwrap();
        power_off_all(&mut world);
        world.add_store(lost);
        world.run(3 * SECOND);
        calm(&mut world);
        read_back(&mut world);
    }
}

#[test]
fn a_member_whose_disk_failed_counts_only_once_all_of_it_is_written_again() {
    for seed in 1..=30 {
        let mut world = started(3, 1, seed);
        let names: Vec<u32> = world.stores.keys().copied().collect();
        for name in names {
            world.stores.get_mut(&name).unwrap().disk_fails_until = world.now + 600 * MILLI;
            world.run(300 * MILLI);
        }
        world.run(SECOND);
        power_off_all(&mut world);
        world.run(2 * SECOND);
        calm(&mut world);
        read_back(&mut world);
    }
}
