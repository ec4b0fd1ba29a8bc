//! Work in hand survives the loss of its courier: another takes it over, once. On a virtual clock, without sockets.

mod common;
use common::*;

fn fleet(n: usize, seed: u64) -> World {
    let mut world = World::new(n, seed);
    world.start_all();
    let up = world.until(world.now + 10 * SEC, |w| (0..n).all(|i| w.ready(i)));
    assert!(up, "{:#?}", world.seen.notes);
    world
}

#[test]
fn three_couriers_become_a_fleet_and_take_on() {
    let mut world = fleet(3, 7);
    assert!(world.hand_in(0, "m1", 1, true));
    let done = world.until(world.now + SEC, |w| w.seen.ends.contains_key("m1"));
    assert!(done && world.seen.taken_on.contains("m1"), "{:#?}", world.seen);
}

/// The thinnest takeover: a message that was taken on and whose call has not left is called by another courier.
#[test]
fn messages_of_a_lost_courier_are_adopted_once() {
    for seed in 0..20 {
        let mut world = fleet(3, seed);
        world.trip = 60 * SEC;
        assert!(world.hand_in(0, "debit", 1, true) && world.hand_in(0, "notice", 2, false));
        let taken = world.until(world.now + SEC, |w| w.seen.calls.len() == 2);
        assert!(taken, "{:#?}", world.seen);
        world.kill(0);
        world.trip = 20 * MS;
        let ended = world.until(world.now + 10 * SEC, |w| w.seen.ends.len() == 2);
        assert!(ended, "seed {seed}: {:#?}", world.seen);
        assert_eq!(world.seen.calls["debit"].len(), 1, "it was out, and may have run");
        assert_eq!(world.seen.ends["debit"], [(world.seen.ends["debit"][0].0, false)]);
        assert_eq!(world.seen.calls["notice"].len(), 2);
        world.run(5 * SEC);
        let state = world.processes[1].as_ref().unwrap().member.state();
        assert_eq!(state.journals.len(), 2, "the sealed book is over: {state:#?}");
    }
}

/// A courier that is replaced with a page on its way, and goes on for a while, as at a planned stop, sleeps between its looks.
#[test]
fn a_fenced_courier_is_not_woken_for_replication() {
    let mut world = fleet(3, 3);
    world.stays = true;
    (1..3).for_each(|i| world.cut.extend([(0, i), (i, 0)]));
    assert!(world.hand_in(0, "m", 1, false));
    world.run(5 * SEC);
    world.cut.clear();
    assert!(world.until(world.now + 5 * SEC, |w| w.replaced.contains(&0)));
    for _ in 0..100 {
        let wakes = world.processes[0].as_ref().unwrap().member.wake_at().unwrap();
        world.now = world.now.max(wakes);
        world.step(0, MemberInput::Tick);
        let next = world.processes[0].as_ref().unwrap().member.wake_at().unwrap();
        assert!(next > world.now, "it is to be woken at once, again and again");
    }
}

/// A copy that has all is not late when the next record comes, however long there was none.
#[test]
fn a_replica_does_not_lag_while_no_record_is_written() {
    let mut world = fleet(3, 4);
    for n in 0..3 {
        assert!(world.hand_in(0, &format!("m{n}"), 1, false));
        world.run(30 * SEC);
    }
    let late = world.seen.notes.iter().find(|(_, _, note)| note.contains("late"));
    assert_eq!(late, None);
}

/// The operators name other voters while the fleet serves, the leader not among them: those agree from then on, and the loss
/// of one that does not vote any more, and of one that does, is borne.
#[test]
fn voters_are_replaced_while_serving() {
    for seed in 0..5 {
        let mut world = fleet(5, seed);
        let named: Vec<_> = world.names[2..5].to_vec();
        for p in world.processes.iter_mut().flatten() {
            p.member.config.voters.clone_from(&named);
        }
        let tokens = |w: &World| {
            let of = |i: usize| w.processes[i].as_ref().unwrap().member.agreement().node_id();
            let mut tokens = vec![of(2), of(3), of(4)];
            tokens.sort_unstable();
            tokens
        };
        let wanted = tokens(&world);
        let exchanged = |w: &World| {
            let mut voters = w.processes[2].as_ref().unwrap().member.agreement().voters();
            voters.sort_unstable();
            voters == wanted
        };
        assert!(world.until(world.now + 10 * SEC, exchanged), "seed {seed}: {:#?}", world.seen.notes);
        world.kill(0);
        world.kill(3);
        let serves = |w: &World| w.ready(2) && w.ready(4) && w.ready(1);
        world.run(5 * SEC);
        assert!(world.until(world.now + 10 * SEC, serves), "seed {seed}: {:#?}", world.seen.notes);
    }
}

/// The courier that a copy is to be at serves and can't be reached by the owner, from the first: another is chosen.
#[test]
fn a_replica_that_never_catches_up_is_replaced() {
    let mut world = World::new(7, 5);
    world.start_all();
    let best = |w: &World, i: usize| {
        let config = &w.processes[i].as_ref().unwrap().member.config;
        let first = config.replica_order(&w.names.iter().cloned().collect()).remove(0);
        w.names.iter().position(|name| *name == first).unwrap()
    };
    // Neither has a part in the agreement that the other needs.
    let (owner, copy) = (3..7).map(|i| (i, best(&world, i))).find(|(_, copy)| *copy != 0).unwrap();
    world.cut.extend([(owner, copy), (copy, owner)]);
    let up = world.until(world.now + 20 * SEC, |w| (0..7).all(|i| w.ready(i)));
    assert!(up, "{owner} at {copy}: {:#?}", world.seen.notes);
}

/// A courier is lost before its book ever had a copy: the book is nobody else's when it is back.
#[test]
fn a_journal_without_a_replica_stays_with_its_owner() {
    let mut world = fleet(3, 6);
    world.kill(0);
    world.run(5 * SEC);
    // Its new book gets no copy.
    (1..3).for_each(|i| world.cut_pages.extend([(0, i)]));
    world.start(0);
    assert!(world.until(world.now + 5 * SEC, |w| w.processes[0].as_ref().is_some_and(|p| p.joined)));
    let line = world.processes[0].as_ref().unwrap().member.agreed_lineage();
    world.kill(0);
    world.run(5 * SEC);
    world.cut_pages.clear();
    world.start(0);
    assert!(world.until(world.now + 5 * SEC, |w| w.ready(0)));
    assert_eq!(world.processes[0].as_ref().unwrap().member.agreed_lineage(), line);
}

/// A day of faults: couriers killed, paused, cut off one way and both, started again with their folder and, where `folders`
/// may be lost, without; words lost, late, doubled and out of order. Then all is healed.
fn faults(n: usize, seed: u64, folders: bool) -> World {
    let mut world = fleet(n, seed);
    let mut draws = seed ^ 0x5eed;
    let mut pick = move |most: usize| (quillmount_containers::random_unit(&mut draws) * most as f64) as usize;
    (world.loss, world.doubled) = (0.02, 0.02);
    // Whose fault is under way: one more than a fleet with one copy of each book has to bear is never begun.
    for step in 0..60 {
        for k in 0..3 {
            world.hand_in(pick(n), &format!("m{step}.{k}"), pick(9) as u64, k != 0);
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
                // Its book has one copy left, and so have those that it held copies of: nothing else is lost before the
                // fleet has made up for it.
                world.cut.clear();
                world.start(who);
                world.until(world.now + 15 * SEC, |w| (0..n).all(|i| w.ready(i)));
            }
            _ => {}
        }
        world.run((50 + 50 * pick(20)) as u64 * MS);
    }
    (world.loss, world.doubled) = (0.0, 0.0);
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

/// Each message that was taken on has an end; no debit is called twice.
fn wrong(world: &World) -> Option<String> {
    let seen = &world.seen;
    let mut debits = seen.calls.iter().filter(|(id, _)| !id.ends_with(".0"));
    let twice =
        debits.find(|(_, calls)| calls.len() > 1).map(|(id, calls)| format!("{id} called twice: {calls:?}"));
    let endless = || seen.taken_on.iter().find(|id| !seen.ends.contains_key(*id));
    twice.or_else(|| endless().map(|id| format!("{id} has no end")))
}

/// Days of faults with these seeds; messages taken on.
fn days(seeds: std::ops::Range<u64>, folders: bool) -> usize {
    let day = |seed| {
        let world = faults(5, seed, folders);
        let wrong = wrong(&world);
        assert!(wrong.is_none(), "seed {seed}: {wrong:?} {:#?}", world.seen.notes);
        world.seen.taken_on.len()
    };
    seeds.map(day).sum()
}

#[test]
fn no_fault_loses_a_message_or_repeats_a_debit() {
    let taken = days(0..16, false);
    assert!(taken > 16 * 30, "only {taken} messages were taken on");
}

#[test]
fn losing_a_folder_loses_no_message() {
    let taken = days(100..110, true);
    assert!(taken > 10 * 30, "only {taken} messages were taken on");
}
