//! Days of mixed faults, drawn by seed.

use crate::world::{MILLI, SECOND, World};
use quillmount_test_support::digest::Counts;
use quillmount_wire::Micros;

/// What a day did.
pub struct RunSummary {
    pub commits: usize,
    pub reads: usize,
    pub faults: usize,
    /// What the stores and the core put out, for the digests.
    pub counts: Counts,
}

/// Plays a day: faults for some seconds, calm, a closing loss of power of everything, at times with a lost disk, and a
/// reading of all that was acknowledged.
pub fn run_seed(seed: u64) -> RunSummary {
    let tolerated_failures = if seed.is_multiple_of(4) { 2 } else { 1 };
    let stores = tolerated_failures as u32 + 2 + (seed % 3) as u32;
    run_faults(World::new(stores, tolerated_failures, seed))
}

/// The same with a core of real members, which has faults of its own.
pub fn run_seed_with_core(seed: u64) -> RunSummary {
    let tolerated_failures = if seed.is_multiple_of(4) { 2 } else { 1 };
    let stores = tolerated_failures as u32 + 2 + (seed % 3) as u32;
    run_faults(World::with_core(2 * tolerated_failures as u64 + 1, stores, tolerated_failures, seed))
}

fn run_faults(mut world: World) -> RunSummary {
    world.run(4 * SECOND);
    let mut faults = 0;
    for _ in 0..14 {
        if world.core.is_some() && world.random.chance(40) {
            inject_core_fault(&mut world);
        } else {
            inject_fault(&mut world);
        }
        faults += 1;
        let gap = world.random.next(900);
        world.run(gap * MILLI);
    }
    end_faults(&mut world);
    final_power_loss(&mut world);
    let mut counts = world.counts;
    if let Some(core) = &world.core {
        counts.set("core_messages", core.messages);
        counts.set("core_writes", core.writes);
        counts.set("core_elections", core.elections);
    }
    counts.set("view_epoch", world.control.placement.shards.first().map_or(0, |view| view.epoch));
    counts.set("placement_version", world.control.placement_version);
    counts.set("jobs_acknowledged", world.auditor.acknowledged.len() as u64);
    counts.set("audited_reads", world.auditor.reads as u64);
    counts.set("audited_commits", world.auditor.commits as u64);
    counts.set("end_time_us", world.now);
    RunSummary { commits: world.auditor.commits, reads: world.auditor.reads, faults, counts }
}

fn any_store(world: &mut World) -> u32 {
    let names: Vec<u32> =
        world.stores.values().filter(|store| !store.removed).map(|store| store.name).collect();
    let place = world.random.next(names.len() as u64) as usize;
    names[place]
}

fn primary_or_any(world: &mut World) -> u32 {
    match world.primary() {
        Some(primary) if world.random.chance(60) => primary,
        _ => any_store(world),
    }
}

fn span(world: &mut World, from: u64, below: u64) -> Micros {
    (from + world.random.next(below - from)) * MILLI
}

fn inject_fault(world: &mut World) {
    let store = primary_or_any(world);
    match world.random.next(13) {
        0 | 1 => {
            let (down, power) = (span(world, 50, 2500), world.random.chance(50));
            world.kill(store, power);
            world.restart_after(store, down);
        }
        2 | 3 => {
            let span = span(world, 100, 3500);
            let until = world.now + span;
            let store = world.stores.get_mut(&store).unwrap();
            store.frozen_until = store.frozen_until.max(until);
        }
        4 => kill_many(world),
        5 => cut_between(world, store),
        6 => {
            world.cut_from_core.insert(store);
        }
        7 => {
            world.cuts.clear();
            world.cut_from_core.clear();
        }
        8 => {
            let span = span(world, 100, 1200);
            let until = world.now + span;
            world.stores.get_mut(&store).unwrap().disk_fails_until = until;
        }
        9 => {
            let span = span(world, 500, 3000);
            let until = world.now + span;
            world.stores.get_mut(&store).unwrap().disk_slow_until = until;
        }
        10 => world.compact(store),
        11 => retire(world, store),
        _ => wipe(world, store),
    }
}

/// A fault at the core: a member killed, all killed, one frozen, one or half cut off, or all cuts healed.
fn inject_core_fault(world: &mut World) {
    let now = world.now;
    let (choice, down, draw) = (world.random.next(7), span(world, 50, 2500), world.random.next(1 << 20));
    let Some(core) = &mut world.core else { return };
    let disks: Vec<u64> = core.machines.keys().copied().collect();
    let any = disks[draw as usize % disks.len()];
    let one = core.serving(now).first().copied().filter(|_| draw % 2 == 0).unwrap_or(any);
    match choice {
        0 | 1 => {
            core.kill(one);
            core.restart_at(one, now + down);
        }
        2 => {
            for disk in disks {
                core.kill(disk);
                core.restart_at(disk, now + down / 2 + disk * 10 * MILLI);
            }
        }
        3 | 4 => {
            let machine = core.machines.get_mut(&one).unwrap();
            machine.frozen_until = machine.frozen_until.max(now + down);
        }
        5 => {
            let here: Vec<u64> = if draw % 3 == 0 { disks[..disks.len() / 2].to_vec() } else { vec![one] };
            for here_one in &here {
                for other in disks.iter().filter(|other| !here.contains(other)) {
                    core.cuts.insert((*here_one, *other));
                    if draw % 5 > 0 {
                        core.cuts.insert((*other, *here_one));
                    }
                }
            }
        }
        _ => core.cuts.clear(),
    }
}

/// Many processes end at the same moment.
fn kill_many(world: &mut World) {
    let power = world.random.chance(50);
    let names: Vec<u32> = world.stores.keys().copied().collect();
    let spared = world.random.chance(30).then(|| any_store(world));
    for name in names.into_iter().filter(|name| Some(*name) != spared) {
        let down = span(world, 50, 1500);
        world.kill(name, power);
        world.restart_after(name, down);
    }
}

/// A store is cut off from the others, or only one way, or from one of them.
fn cut_between(world: &mut World, store: u32) {
    let others: Vec<u32> = world.stores.keys().copied().filter(|name| *name != store).collect();
    let (into, out) = match world.random.next(3) {
        0 => (true, false),
        1 => (false, true),
        _ => (true, true),
    };
    let one = world.random.chance(40);
    for other in others.into_iter().take(if one { 1 } else { usize::MAX }) {
        if into {
            world.cuts.insert((other, store));
        }
        if out {
            world.cuts.insert((store, other));
        }
    }
}

/// Empties a store while another, empty one is added, so that enough remain.
fn retire(world: &mut World, store: u32) {
    let next = world.stores.keys().max().copied().unwrap_or(0) + 1;
    if next <= 9 {
        world.add_store(next);
        world.retire(store);
    }
}

/// Loses a disk, if every earlier loss has been made up for.
pub fn wipe(world: &mut World, store: u32) {
    if !world.is_healed() {
        return;
    }
    world.kill(store, true);
    world.add_store(store);
    let down = span(world, 100, 1500);
    let until = world.now + down;
    world.stores.get_mut(&store).unwrap().frozen_until = until;
}

/// Takes the power of every store, for so long.
pub fn power_off_all(world: &mut World, down: Micros) {
    let names: Vec<u32> = world.stores.keys().copied().collect();
    for name in names {
        world.kill(name, true);
        world.restart_after(name, down);
    }
}

/// Ends all faults and waits until the shard is healthy.
pub fn end_faults(world: &mut World) {
    world.cuts.clear();
    world.cut_from_core.clear();
    if let Some(core) = &mut world.core {
        core.cuts.clear();
    }
    for _ in 0..120 {
        world.run(250 * MILLI);
        if world.is_healed() {
            return;
        }
    }
    panic!("STUCK: the shard is not whole 30 s after the last fault: {:?}", world.view());
}

/// Everything loses power, at times with one disk; then all that was acknowledged is read.
fn final_power_loss(world: &mut World) {
    let lost = world.random.chance(50).then(|| any_store(world));
    let names: Vec<u32> = world.stores.keys().copied().collect();
    for name in names.into_iter().filter(|name| !world.stores[name].removed).collect::<Vec<_>>() {
        world.kill(name, true);
        if Some(name) == lost {
            world.add_store(name);
        } else {
            let down = span(world, 100, 1500);
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

fn compare_members(world: &World) {
    let Some(view) = world.view() else { return };
    let members: Vec<_> = world.stores.values().filter(|store| view.in_sync.contains(&store.disk)).collect();
    for pair in members.windows(2) {
        world.auditor.members_agree(pair[0].replica.jobs(), pair[1].replica.jobs());
    }
}
