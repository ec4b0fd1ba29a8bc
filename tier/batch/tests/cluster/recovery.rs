//! End of the faults of a run: the shard has to recover, and everything that was acknowledged is read.

use crate::random_faults::{any_store, draw_span};
use crate::world::World;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};

/// Time within which the shard has to recover once all faults have ended.
const RECOVERY_LIMIT: Time = 30 * SECOND;
/// Interval between checks whether the shard has recovered.
const RECOVERY_CHECK_INTERVAL: Time = 250 * MILLI;

/// Cuts the power of every store; they restart after `downtime`.
pub fn power_off_all(world: &mut World, downtime: Time) {
    let store_numbers: Vec<u32> = world.stores.keys().copied().collect();
    for store_number in store_numbers {
        world.kill(store_number, true);
        world.restart_after(store_number, downtime);
    }
}

/// Ends all faults and waits until the shard is healthy.
pub fn end_faults(world: &mut World) {
    world.partitions.heal();
    world.isolated_from_core.clear();
    if let Some(core) = &mut world.core {
        core.partitions.heal();
    }
    let recovered = world.run_until(RECOVERY_CHECK_INTERVAL, RECOVERY_LIMIT, World::is_healed);
    assert!(recovered, "STUCK: the shard has not recovered 30 s after the last fault: {:?}", world.view());
}

/// Cuts the power of every store, half of the time together with the loss of one disk; then reads everything that
/// was acknowledged.
pub fn final_power_loss(world: &mut World) {
    let store_losing_disk = world.random.chance(50).then(|| any_store(world));
    let store_numbers: Vec<u32> = world.stores.keys().copied().collect();
    for store_number in store_numbers
        .into_iter()
        .filter(|store_number| !world.stores[store_number].removed)
        .collect::<Vec<_>>()
    {
        world.kill(store_number, true);
        if Some(store_number) == store_losing_disk {
            world.add_store(store_number);
        } else {
            let downtime = draw_span(world, 100, 1500);
            world.restart_after(store_number, downtime);
        }
    }
    world.run(3 * SECOND);
    end_faults(world);
    read_back(world);
}

/// Reads everything that was acknowledged, and compares the members.
pub fn read_back(world: &mut World) {
    world.clients_active = false;
    world.run(SECOND);
    let reads_before = world.auditor.reads;
    for _ in 0..10 {
        world.read_all();
        world.run(SECOND);
        if world.auditor.reads >= reads_before + world.auditor.acknowledged.len() {
            return compare_members(world);
        }
    }
    panic!("STUCK: the acknowledged jobs could not all be read within 10 s");
}

/// Checks that all members in sync have the same jobs.
fn compare_members(world: &World) {
    let Some(view) = world.view() else { return };
    let members: Vec<_> = world.stores.values().filter(|store| view.in_sync.contains(&store.disk)).collect();
    for pair in members.windows(2) {
        world.auditor.check_members(pair[0].replica.jobs(), pair[1].replica.jobs());
    }
}
