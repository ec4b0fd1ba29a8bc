//! The end of faults: the shard recovers, and all that was acknowledged is read.

use crate::random_faults::{any_store, draw_span};
use crate::world::World;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};

/// How long the shard may take to recover once all faults have ended.
const RECOVERY_LIMIT: Time = 30 * SECOND;
/// How often it is checked whether the shard has recovered.
const RECOVERY_CHECK_INTERVAL: Time = 250 * MILLI;

/// Takes the power of every store, for so long.
pub fn power_off_all(world: &mut World, down: Time) {
    let names: Vec<u32> = world.stores.keys().copied().collect();
    for name in names {
        world.kill(name, true);
        world.restart_after(name, down);
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

/// Everything loses power, at times with one disk; then all that was acknowledged is read.
pub fn final_power_loss(world: &mut World) {
    let lost = world.random.chance(50).then(|| any_store(world));
    let names: Vec<u32> = world.stores.keys().copied().collect();
    for name in names.into_iter().filter(|name| !world.stores[name].removed).collect::<Vec<_>>() {
        world.kill(name, true);
        if Some(name) == lost {
            world.add_store(name);
        } else {
            let down = draw_span(world, 100, 1500);
            world.restart_after(name, down);
        }
    }
    world.run(3 * SECOND);
    end_faults(world);
    read_back(world);
}

/// Reads all that was acknowledged, and compares the members.
pub fn read_back(world: &mut World) {
    world.busy = false;
    world.run(SECOND);
    let before = world.auditor.reads;
    for _ in 0..10 {
        world.read_all();
        world.run(SECOND);
        if world.auditor.reads >= before + world.auditor.acknowledged.len() {
            return compare_members(world);
        }
    }
    panic!("STUCK: what was acknowledged can't be read");
}

/// Checks that all members in sync have the same jobs.
fn compare_members(world: &World) {
    let Some(view) = world.view() else { return };
    let members: Vec<_> = world.stores.values().filter(|store| view.in_sync.contains(&store.disk)).collect();
    for pair in members.windows(2) {
        world.auditor.members_agree(pair[0].replica.jobs(), pair[1].replica.jobs());
    }
}
