//! Scenarios, each of which reproduces one of the worst failures that an operator may meet.

use crate::random_faults::wipe;
use crate::recovery::{end_faults, power_off_all, read_back};
use crate::world::World;
use quillmount_test_support::network::Isolation;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation};

/// All tests of this module, which have to detect deliberate breaks.
#[cfg(feature = "breaks")]
pub const ALL: [fn(); 9] = [
    an_uncommitted_batch_is_never_listed_after_a_full_restart,
    a_frozen_primary_answers_nothing_once_its_successor_serves,
    successive_disk_losses_lose_nothing_once_each_was_repaired,
    a_disk_lost_while_all_others_lose_power_loses_nothing,
    a_member_with_a_failed_disk_counts_only_after_a_complete_rewrite,
    a_disk_loss_right_after_a_retirement_loses_nothing,
    a_draining_store_stays_while_it_has_the_only_copy,
    a_healed_partition_loses_nothing_that_was_confirmed,
    repeated_full_restarts_keep_exactly_what_was_confirmed,
];

/// Creates a world whose shard is healthy and serves.
fn started(stores: u32, tolerated_failures: usize, seed: u64) -> World {
    let mut world = World::new(stores, tolerated_failures, seed);
    world.run(3 * SECOND);
    assert!(world.is_healed());
    world
}

/// Cuts the power of all stores; then reads everything that was acknowledged.
fn power_off_and_read(world: &mut World) {
    power_off_all(world, 700 * MILLI);
    world.run(2 * SECOND);
    end_faults(world);
    read_back(world);
}

#[test]
fn an_uncommitted_batch_is_never_listed_after_a_full_restart() {
    // The primary is isolated while batches are in flight, is replaced and rejoins; then all stores lose power.
    for seed in 1..=30 {
        let mut world = started(3, 1, seed);
        let old_primary = world.primary().unwrap();
        world.partitions.isolate(&[old_primary], &[1, 2, 3], Isolation::BOTH);
        world.isolated_from_core.insert(old_primary);
        world.run(4 * SECOND);
        assert_ne!(world.primary(), Some(old_primary), "seed {seed}");
        end_faults(&mut world);
        world.run(SECOND);
        power_off_and_read(&mut world);
    }
}

#[test]
fn a_frozen_primary_answers_nothing_once_its_successor_serves() {
    for seed in 1..=30 {
        let mut world = started(3, 1, seed);
        let old_primary = world.primary().unwrap();
        let until = world.now() + 3 * SECOND;
        world.stores.get_mut(&old_primary).unwrap().process.freeze_until(until);
        world.run(2_500 * MILLI);
        // The other stores lose power, and with it their memory, just before the primary resumes.
        for other in (1..=3).filter(|store_number| *store_number != old_primary) {
            world.kill(other, true);
            world.restart_after(other, 480 * MILLI);
        }
        world.run(2 * SECOND);
        end_faults(&mut world);
        read_back(&mut world);
    }
}

#[test]
fn successive_disk_losses_lose_nothing_once_each_was_repaired() {
    for seed in 1..=20 {
        let mut world = started(4, 1, seed);
        for _ in 0..4 {
            let primary = world.primary().unwrap();
            wipe(&mut world, primary);
            world.run(SECOND);
            end_faults(&mut world);
        }
        power_off_and_read(&mut world);
    }
}

#[test]
fn a_disk_lost_while_all_others_lose_power_loses_nothing() {
    for seed in 1..=30 {
        let mut world = started(3, 1, seed);
        let lost = world.primary().unwrap();
        power_off_all(&mut world, 700 * MILLI);
        world.add_store(lost);
        world.run(3 * SECOND);
        end_faults(&mut world);
        read_back(&mut world);
    }
}

#[test]
fn a_member_with_a_failed_disk_counts_only_after_a_complete_rewrite() {
    for seed in 1..=30 {
        let mut world = started(3, 1, seed);
        let store_numbers: Vec<u32> = world.stores.keys().copied().collect();
        for store_number in store_numbers {
            world.stores.get_mut(&store_number).unwrap().disk_fails_until = world.now() + 600 * MILLI;
            world.run(300 * MILLI);
        }
        world.run(SECOND);
        power_off_and_read(&mut world);
    }
}

#[test]
fn a_disk_loss_right_after_a_retirement_loses_nothing() {
    for seed in 1..=30 {
        let mut world = started(4, 1, seed);
        let draining = world.primary().unwrap();
        world.retire(draining);
        world.wipe_behind_removal = true;
        world.run(6 * SECOND);
        assert!(world.stores[&draining].removed, "seed {seed}");
        end_faults(&mut world);
        power_off_and_read(&mut world);
    }
}

/// The members in sync fail one after the other, until only the retiring one is up.
#[test]
fn a_draining_store_stays_while_it_has_the_only_copy() {
    for seed in 1..=30 {
        let mut world = started(5, 1, seed);
        let view = world.view().unwrap().clone();
        let members: Vec<u32> = world
            .stores
            .values()
            .filter(|store| view.in_sync.contains(&store.disk))
            .map(|store| store.number)
            .collect();
        let draining = members[0];
        world.retire(draining);
        // One of the others loses its disk; the remaining ones are frozen for some seconds.
        world.kill(members[1], true);
        world.add_store(members[1]);
        for store_number in &members[2..] {
            let until = world.now() + 4 * SECOND;
            world.stores.get_mut(store_number).unwrap().process.freeze_until(until);
        }
        world.run(8 * SECOND);
        end_faults(&mut world);
        read_back(&mut world);
    }
}

/// The stores are partitioned into two halves for some seconds; neither half may confirm an operation that the
/// other does not have.
#[test]
fn a_healed_partition_loses_nothing_that_was_confirmed() {
    for seed in 1..=30 {
        let mut world = started(4, 1, seed);
        world.partitions.isolate(&[1, 2], &[3, 4], Isolation::BOTH);
        world.run(5 * SECOND);
        end_faults(&mut world);
        power_off_and_read(&mut world);
    }
}

/// All stores lose power repeatedly while jobs are submitted, so that their logs have uncommitted, superseded and
/// repaired records.
#[test]
fn repeated_full_restarts_keep_exactly_what_was_confirmed() {
    for seed in 1..=15 {
        let mut world = started(3, 1, seed);
        for round in 0..8u64 {
            power_off_all(&mut world, 700 * MILLI);
            world.run((900 + 150 * round) * MILLI);
        }
        end_faults(&mut world);
        read_back(&mut world);
    }
}
