//! Runs with random faults by seed, at one node at a time: kills, partitions in one or both directions, freezes,
//! and lost disks.

use crate::world::{World, encode};
use quillmount_test_support::network::Isolation;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation};
use quillmount_wire::messages::{DiskId, Register};

/// Number of faults in each run.
const FAULTS_PER_RUN: usize = 12;
/// Identities of replacement disks are greater than this one.
const FIRST_NEW_DISK: DiskId = 1000;

/// Runs a cluster through random faults, and returns the world at the end.
pub fn run_with_random_faults(members: u64, tolerated_failures: usize, seed: u64) -> World {
    let mut world = World::new(members, tolerated_failures, seed);
    world.run(SECOND);
    let mut last_disk = FIRST_NEW_DISK;
    for _ in 0..FAULTS_PER_RUN {
        let disks: Vec<DiskId> = world.nodes.keys().copied().collect();
        let victim = disks[world.random.index(disks.len())];
        match world.random.below(6) {
            0 => kill_and_restart(&mut world, victim),
            1 => freeze(&mut world, victim),
            2 | 3 => partition(&mut world, victim, &disks),
            4 => restart_all(&mut world, &disks),
            _ => {
                last_disk += 1;
                replace(&mut world, victim, last_disk);
            }
        }
        let gap = world.random.below(2500);
        world.run((1500 + gap) * MILLI);
    }
    world.run(4 * SECOND);
    world
}

/// Kills a node, and restarts it after a random time.
fn kill_and_restart(world: &mut World, disk: DiskId) {
    world.kill(disk);
    let downtime = world.random.below(1500);
    world.run(downtime * MILLI);
    world.start(disk);
}

/// Freezes a node for a random time, and runs until it has resumed.
fn freeze(world: &mut World, disk: DiskId) {
    let until = world.now() + world.random.below(2500) * MILLI;
    world.nodes.get_mut(&disk).unwrap().process.freeze_until(until);
    world.run(2600 * MILLI);
}

/// Isolates a node from the others for a random time: in both directions, in one, or in none.
fn partition(world: &mut World, disk: DiskId, disks: &[DiskId]) {
    let inbound = world.random.below(3) > 0;
    let outbound = world.random.below(3) > 0;
    world.partitions.isolate(&[disk], disks, Isolation { inbound, outbound });
    let duration = world.random.below(3000);
    world.run(duration * MILLI);
    world.partitions.heal();
}

/// Kills all nodes, and restarts them after 20 ms.
fn restart_all(world: &mut World, disks: &[DiskId]) {
    disks.iter().for_each(|disk| world.kill(*disk));
    world.run(20 * MILLI);
    disks.iter().for_each(|disk| world.start(*disk));
}

/// Replaces the disk of a member: the machine comes back with a new identity, which the primary admits as a member.
pub fn replace(world: &mut World, old: DiskId, new: DiskId) {
    world.kill(old);
    world.nodes.remove(&old);
    world.add_node(new, Register::default());
    for _ in 0..400 {
        world.run(10 * MILLI);
        let now = world.now();
        let Some(primary) = world.primary() else { continue };
        let node = world.nodes.get_mut(&primary).unwrap();
        if node.replica.members().contains(&new) {
            return;
        }
        if !node.replica.can_propose() {
            continue;
        }
        let members =
            node.replica.members().iter().map(|member| if *member == old { new } else { *member }).collect();
        let payload = encode(&node.committed.clone().unwrap());
        let actions = node.replica.propose(members, payload, now);
        world.perform(primary, actions);
    }
    panic!("disk {new} was not admitted in place of disk {old} within 4 s");
}
