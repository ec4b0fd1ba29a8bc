//! Core members whose disks refuse writes for a while, and answers that come too late to count.

use crate::faults::{check_at_rest, disks, end_faults, restart_all};
use crate::world::World;
use quillmount_test_support::seeds;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};
use quillmount_wire::messages::{DiskId, RegisterMessage};

/// Seeds that are run unless `SEEDS` names another number.
const DEFAULT_SEEDS: u64 = 60;
/// Time in which operators send an order.
const ORDER_LIMIT: Time = 10 * SECOND;
/// Time in which another member serves once the primary handed over: an election timeout if a message of the hand-over is lost.
const HANDOVER_LIMIT: Time = 2 * SECOND;
/// Time in which a write that ended is reported.
const WRITE_LIMIT: Time = SECOND;

/// Runs core members whose disks refuse writes in turn and at the same time, with losses of power in between.
pub fn run_seed(seed: u64) -> World {
    let mut world = World::new(3 + (seed % 2) as u32 * 2, 1 + (seed % 2) as usize, 4, seed);
    world.run(2 * SECOND);
    for _ in 0..10 {
        let all = disks(&world);
        let full = all[world.random.index(all.len())];
        let full = if world.random.chance(50) { world.primary().unwrap_or(full) } else { full };
        fill(&mut world, full);
        match world.random.below(4) {
            0 => restart_all(&mut world, 100 * MILLI),
            1 => {
                world.kill(full);
                world.restart_after(full, 200 * MILLI);
            }
            _ => {}
        }
        let gap = world.random.below(800);
        world.run(gap * MILLI);
    }
    end_faults(&mut world);
    check_at_rest(&mut world);
    let all_ended =
        |world: &World| world.machines.values().all(|machine| machine.member.writes_in_flight() == 0);
    assert!(world.run_until(10 * MILLI, WRITE_LIMIT, all_ended), "a write that ended was not reported");
    world
}

/// The disk of a machine refuses writes for up to 1.5 s.
fn fill(world: &mut World, disk: DiskId) {
    let until = world.now() + (100 + world.random.below(1_400)) * MILLI;
    world.machines.get_mut(&disk).unwrap().refuses_writes_until = until;
}

#[test]
fn every_history_is_linearizable_while_disks_are_full() {
    let count = seeds::count(DEFAULT_SEEDS);
    let answers: usize =
        seeds::run_each(count, |seed| run_seed(seed).history.clear_answers()).into_iter().sum();
    println!("{count} runs: {answers} clear answers");
    assert!(answers as u64 > 10 * count, "{answers} clear answers");
}

/// A primary commits nothing without its own disk: with the first order another member serves, and orders go on while the disk stays
/// full. The member comes back by itself once there is room.
#[test]
pub fn a_primary_whose_disk_is_full_hands_over() {
    for seed in 1..=20 {
        let mut world = World::new(3, 1, 4, seed);
        world.run(2 * SECOND);
        let full = world.primary().unwrap();
        let room_at = world.now() + 20 * SECOND;
        world.machines.get_mut(&full).unwrap().refuses_writes_until = room_at;
        let stepped_down = |world: &World| world.machines[&full].member.serving().is_none();
        assert!(
            world.run_until(10 * MILLI, ORDER_LIMIT, stepped_down),
            "seed {seed}: it goes on without a disk"
        );
        let other_serves = |world: &World| world.primary().is_some_and(|primary| primary != full);
        let handed_over = world.run_until(10 * MILLI, HANDOVER_LIMIT, other_serves);
        assert!(handed_over, "seed {seed}: no other member serves");
        let before = world.history.newest_version();
        world.run(10 * SECOND);
        assert!(world.history.newest_version() > before + 3, "seed {seed}: orders go on");
        world.run(room_at - world.now());
        end_faults(&mut world);
        world.history.check();
    }
}

/// An answer to an older epoch says nothing about now: a member that sends only such is silent, and may be replaced.
#[test]
fn answers_of_an_older_epoch_are_no_signs_of_life() {
    let mut world = World::new(3, 1, 1, 3);
    world.run(2 * SECOND);
    let old = world.primary().unwrap();
    world.kill(old);
    world.run(5 * SECOND);
    let primary = world.primary().unwrap();
    let now = world.now();
    let epoch = world.machines[&primary].member.serving().unwrap();
    let member = &mut world.machines.get_mut(&primary).unwrap().member;
    assert!(member.silent_members(now).contains(&old));
    for message in [
        RegisterMessage::HeartbeatReply {
            epoch: epoch - 1,
            round: 1,
            accepted_epoch: 0,
            accepted_sequence: 0,
        },
        RegisterMessage::Acknowledge { epoch: epoch - 1, sequence: 1 },
    ] {
        member.receive(old, message, now);
        assert!(member.silent_members(now).contains(&old), "an answer of an older epoch");
    }
    let reply = RegisterMessage::HeartbeatReply { epoch, round: 1, accepted_epoch: 0, accepted_sequence: 0 };
    member.receive(old, reply, now);
    assert!(!member.silent_members(now).contains(&old), "an answer of this epoch");
}
