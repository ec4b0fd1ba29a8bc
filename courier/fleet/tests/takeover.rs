//! Messages survive the loss of their courier: another one takes them over, once. On a virtual clock, without sockets.

mod common;
use common::*;

fn fleet(n: usize, seed: u64) -> World {
    let mut world = World::new(n, seed);
    world.start_all();
    let up = world.run_until(world.now + 10 * SEC, |w| (0..n).all(|i| w.ready(i)));
    assert!(up, "{:#?}", world.observed.notices);
    world
}

#[test]
fn three_couriers_become_a_fleet_and_take_on() {
    let mut world = fleet(3, 7);
    assert!(world.submit(0, "m1", 1, true));
    let done = world.run_until(world.now + SEC, |w| w.observed.ends.contains_key("m1"));
    assert!(done && world.observed.accepted.contains("m1"), "{:#?}", world.observed);
}

/// The smallest takeover: of two accepted messages whose calls are out, the debit is ended and the other one called once
/// more.
#[test]
fn messages_of_a_lost_courier_are_adopted_once() {
    for seed in 0..20 {
        let mut world = fleet(3, seed);
        world.call_duration = 60 * SEC;
        assert!(world.submit(0, "debit", 1, true) && world.submit(0, "notice", 2, false));
        let taken = world.run_until(world.now + SEC, |w| w.observed.calls.len() == 2);
        assert!(taken, "{:#?}", world.observed);
        world.kill(0);
        world.call_duration = 20 * MS;
        let ended = world.run_until(world.now + 10 * SEC, |w| w.observed.ends.len() == 2);
        assert!(ended, "seed {seed}: {:#?}", world.observed);
        assert_eq!(world.observed.calls["debit"].len(), 1, "it was out, and may have run");
        assert_eq!(world.observed.ends["debit"], [(world.observed.ends["debit"][0].0, false)]);
        assert_eq!(world.observed.calls["notice"].len(), 2);
        world.run(5 * SEC);
        let state = world.processes[1].as_ref().unwrap().member.state();
        assert_eq!(state.journals.len(), 2, "the sealed book is over: {state:#?}");
    }
}

/// A courier that is fenced with a page in flight, and goes on for a while as at a planned stop, is not woken in a loop.
#[test]
fn a_fenced_courier_is_not_woken_for_replication() {
    let mut world = fleet(3, 3);
    world.stays_after_fencing = true;
    (1..3).for_each(|i| world.cut.extend([(0, i), (i, 0)]));
    assert!(world.submit(0, "m", 1, false));
    world.run(5 * SEC);
    world.cut.clear();
    assert!(world.run_until(world.now + 5 * SEC, |w| w.fenced.contains(&0)));
    for _ in 0..100 {
        let wakes = world.processes[0].as_ref().unwrap().member.wake_at().unwrap();
        world.now = world.now.max(wakes);
        world.step(0, MemberInput::Tick);
        let next = world.processes[0].as_ref().unwrap().member.wake_at().unwrap();
        assert!(next > world.now, "it would be woken in a loop");
    }
}

/// A replica that has everything does not lag when the next record comes, however long there was none.
#[test]
fn a_replica_does_not_lag_while_no_record_is_written() {
    let mut world = fleet(3, 4);
    for n in 0..3 {
        assert!(world.submit(0, &format!("m{n}"), 1, false));
        world.run(30 * SEC);
    }
    let late = world.observed.notices.iter().find(|(_, _, note)| note.contains("late"));
    assert_eq!(late, None);
}

/// Other voters are configured while the fleet serves, without the leader. They vote from then on, and the fleet survives
/// the loss of a former voter and of a present one.
#[test]
fn voters_are_replaced_while_serving() {
    for seed in 0..5 {
        let mut world = fleet(5, seed);
        let named: Vec<_> = world.names[2..5].to_vec();
        for p in world.processes.iter_mut().flatten() {
            p.member.config.voters.clone_from(&named);
        }
        let configured_ids = |w: &World| {
            let of = |i: usize| w.processes[i].as_ref().unwrap().member.agreement().node_id();
            let mut ids = vec![of(2), of(3), of(4)];
            ids.sort_unstable();
            ids
        };
        let wanted = configured_ids(&world);
        let exchanged = |w: &World| {
            let mut voters = w.processes[2].as_ref().unwrap().member.agreement().voters();
            voters.sort_unstable();
            voters == wanted
        };
        assert!(
            world.run_until(world.now + 10 * SEC, exchanged),
            "seed {seed}: {:#?}",
            world.observed.notices
        );
        world.kill(0);
        world.kill(3);
        let serves = |w: &World| w.ready(2) && w.ready(4) && w.ready(1);
        world.run(5 * SEC);
        assert!(world.run_until(world.now + 10 * SEC, serves), "seed {seed}: {:#?}", world.observed.notices);
    }
}

/// The courier that should have the replica serves and is unreachable for the owner from the start: another one is chosen.
#[test]
fn a_replica_that_never_catches_up_is_replaced() {
    let mut world = World::new(7, 5);
    world.start_all();
    let best = |w: &World, i: usize| {
        let config = &w.processes[i].as_ref().unwrap().member.config;
        let first = config.replica_order(&w.names.iter().cloned().collect()).remove(0);
        w.names.iter().position(|name| *name == first).unwrap()
    };
    // Neither is a voter.
    let (owner, copy) = (3..7).map(|i| (i, best(&world, i))).find(|(_, copy)| *copy != 0).unwrap();
    world.cut.extend([(owner, copy), (copy, owner)]);
    let up = world.run_until(world.now + 20 * SEC, |w| (0..7).all(|i| w.ready(i)));
    assert!(up, "{owner} at {copy}: {:#?}", world.observed.notices);
}

/// A courier is lost before its journal ever had a replica: the journal is still its own when it is back.
#[test]
fn a_journal_without_a_replica_stays_with_its_owner() {
    let mut world = fleet(3, 6);
    world.kill(0);
    world.run(5 * SEC);
    // Its new journal gets no replica.
    (1..3).for_each(|i| world.cut_pages.extend([(0, i)]));
    world.start(0);
    assert!(world.run_until(world.now + 5 * SEC, |w| w.processes[0].as_ref().is_some_and(|p| p.joined)));
    let lineage = world.processes[0].as_ref().unwrap().member.agreed_lineage();
    world.kill(0);
    world.run(5 * SEC);
    world.cut_pages.clear();
    world.start(0);
    assert!(world.run_until(world.now + 5 * SEC, |w| w.ready(0)));
    assert_eq!(world.processes[0].as_ref().unwrap().member.agreed_lineage(), lineage);
}

/// A run with random faults: couriers are killed, paused, cut off in one direction and in both, and restarted with their
/// folder or, with `folders`, without; messages are lost, delayed, duplicated and reordered. Then all is healed.
fn faults(n: usize, seed: u64, folders: bool) -> World {
    let mut world = fleet(n, seed);
    let mut draws = seed ^ 0x5eed;
    let mut pick = move |most: usize| (quillmount_containers::random_unit(&mut draws) * most as f64) as usize;
    (world.loss, world.duplicated) = (0.02, 0.02);
    // No more faults at once than a fleet with one replica of each journal has to survive.
    for step in 0..60 {
        for k in 0..3 {
            world.submit(pick(n), &format!("m{step}.{k}"), pick(9) as u64, k != 0);
        }
        let (who, other) = (pick(n), pick(n));
        match pick(12) {
            0 => world.kill(who),
            1 if world.processes[who].is_none() => world.start(who),
            2 => world.pause(who, true),
            3 | 4 => (0..n).for_each(|i| world.pause(i, false)),
            5 => drop(world.cut.insert((who, other))),
            6 => (0..n).for_each(|i| world.cut.extend([(who, i), (i, who)])),
            7 | 8 => world.cut.clear(),
            9 if folders && (0..n).all(|i| world.ready(i)) => {
                world.kill(who);
                world.lose_folder(who);
                // Its journal has one copy left, and so have those that it had replicas of: nothing else is lost before the
                // fleet has repaired that.
                world.cut.clear();
                world.start(who);
                world.run_until(world.now + 15 * SEC, |w| (0..n).all(|i| w.ready(i)));
            }
            _ => {}
        }
        world.run((50 + 50 * pick(20)) as u64 * MS);
    }
    (world.loss, world.duplicated) = (0.0, 0.0);
    world.cut.clear();
    (0..n).for_each(|i| world.pause(i, false));
    for i in 0..n {
        if world.processes[i].is_none() {
            world.start(i);
        }
    }
    world.run(20 * SEC);
    world
}

/// Checks that each accepted message has ended and no debit is called twice. Returns the first violation.
fn violation(world: &World) -> Option<String> {
    let observed = &world.observed;
    let mut debits = observed.calls.iter().filter(|(id, _)| !id.ends_with(".0"));
    let called_twice =
        debits.find(|(_, calls)| calls.len() > 1).map(|(id, calls)| format!("{id} called twice: {calls:?}"));
    let without_end = || observed.accepted.iter().find(|id| !observed.ends.contains_key(*id));
    called_twice.or_else(|| without_end().map(|id| format!("{id} has no end")))
}

/// Runs with random faults for these seeds. Returns the number of accepted messages.
fn run_seeds(seeds: std::ops::Range<u64>, folders: bool) -> usize {
    let run = |seed| {
        let world = faults(5, seed, folders);
        let violation = violation(&world);
        assert!(violation.is_none(), "seed {seed}: {violation:?} {:#?}", world.observed.notices);
        world.observed.accepted.len()
    };
    seeds.map(run).sum()
}

#[test]
fn no_fault_loses_a_message_or_repeats_a_debit() {
    let taken = run_seeds(0..16, false);
    assert!(taken > 16 * 30, "only {taken} messages were taken on");
}

#[test]
fn losing_a_folder_loses_no_message() {
    let taken = run_seeds(100..110, true);
    assert!(taken > 10 * 30, "only {taken} messages were taken on");
}
