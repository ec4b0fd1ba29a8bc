//! Takeover tests on a virtual clock, without sockets: after the loss of a courier, another one takes over its messages
//! exactly once.

mod common;
use common::*;

fn fleet(n: usize, seed: u64) -> World {
    let mut world = World::new(n, seed);
    world.start_all();
    let up = world.run_until(world.now + 10 * SEC, |w| (0..n).all(|i| w.is_ready(i)));
    assert!(up, "{:#?}", world.observed.notices);
    world
}

#[test]
fn three_couriers_become_a_fleet_and_accept_messages() {
    let mut world = fleet(3, 7);
    assert!(world.submit(0, "m1", 1, true));
    let done = world.run_until(world.now + SEC, |w| w.observed.ends.contains_key("m1"));
    assert!(done && world.observed.accepted.contains("m1"), "{:#?}", world.observed);
}

/// The minimal takeover: two accepted messages have calls in flight when their courier is lost. The debit may have been
/// executed, so it is ended; the other message is called once more.
#[test]
fn messages_of_a_lost_courier_are_adopted_once() {
    for seed in 0..20 {
        let mut world = fleet(3, seed);
        world.call_duration = 60 * SEC;
        assert!(world.submit(0, "debit", 1, true) && world.submit(0, "notice", 2, false));
        let called = world.run_until(world.now + SEC, |w| w.observed.calls.len() == 2);
        assert!(called, "{:#?}", world.observed);
        world.kill(0);
        world.call_duration = 20 * MS;
        let ended = world.run_until(world.now + 10 * SEC, |w| w.observed.ends.len() == 2);
        assert!(ended, "seed {seed}: {:#?}", world.observed);
        assert_eq!(
            world.observed.calls["debit"].len(),
            1,
            "the call was in flight and may have been executed"
        );
        assert_eq!(world.observed.ends["debit"], [(world.observed.ends["debit"][0].0, false)]);
        assert_eq!(world.observed.calls["notice"].len(), 2);
        world.run(5 * SEC);
        let state = world.processes[1].as_ref().unwrap().member.state();
        assert_eq!(state.journals.len(), 2, "the sealed journal is retired: {state:#?}");
    }
}

/// Guards against a busy loop: a fenced courier that has a page in flight and continues for a while, as at a planned
/// stop, must not get a wake-up time that never advances.
#[test]
fn a_fenced_courier_is_not_woken_for_replication() {
    let mut world = fleet(3, 3);
    world.stays_after_fencing = true;
    (1..3).for_each(|i| world.cut_links.extend([(0, i), (i, 0)]));
    assert!(world.submit(0, "m", 1, false));
    world.run(5 * SEC);
    world.cut_links.clear();
    assert!(world.run_until(world.now + 5 * SEC, |w| w.fenced.contains(&0)));
    for _ in 0..100 {
        let wakes = world.processes[0].as_ref().unwrap().member.wake_at().unwrap();
        world.now = world.now.max(wakes);
        world.step(0, MemberInput::Tick);
        let next = world.processes[0].as_ref().unwrap().member.wake_at().unwrap();
        assert!(next > world.now, "the wake-up time does not advance");
    }
}

/// A replica that has all records does not count as lagging when the next record is written, even after a long idle
/// time.
#[test]
fn a_replica_does_not_lag_while_no_record_is_written() {
    let mut world = fleet(3, 4);
    for n in 0..3 {
        assert!(world.submit(0, &format!("m{n}"), 1, false));
        world.run(30 * SEC);
    }
    let lagging =
        world.observed.notices.iter().find(|(_, _, notice)| notice.contains("lags and is replaced"));
    assert_eq!(lagging, None);
}

/// The configured voters change while the fleet runs, and the leader is not among the new ones. The new voters take
/// over, and the fleet survives the loss of a former voter and of a current one.
#[test]
fn voters_are_replaced_while_serving() {
    for seed in 0..5 {
        let mut world = fleet(5, seed);
        let new_voters: Vec<_> = world.names[2..5].to_vec();
        for p in world.processes.iter_mut().flatten() {
            p.member.config.voters.clone_from(&new_voters);
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
        let serves = |w: &World| w.is_ready(2) && w.is_ready(4) && w.is_ready(1);
        world.run(5 * SEC);
        assert!(world.run_until(world.now + 10 * SEC, serves), "seed {seed}: {:#?}", world.observed.notices);
    }
}

/// The preferred courier for the replica runs but is unreachable for the owner from the start: another one is chosen.
#[test]
fn a_replica_that_never_catches_up_is_replaced() {
    let mut world = World::new(7, 5);
    world.start_all();
    let best = |w: &World, i: usize| {
        let config = &w.processes[i].as_ref().unwrap().member.config;
        let first = config.replica_order(&w.names.iter().cloned().collect()).remove(0);
        w.names.iter().position(|name| *name == first).unwrap()
    };
    // The owner is not a voter, and the replica is not the first voter.
    let (owner, copy) = (3..7).map(|i| (i, best(&world, i))).find(|(_, copy)| *copy != 0).unwrap();
    world.cut_links.extend([(owner, copy), (copy, owner)]);
    let up = world.run_until(world.now + 20 * SEC, |w| (0..7).all(|i| w.is_ready(i)));
    assert!(up, "{owner} at {copy}: {:#?}", world.observed.notices);
}

/// A courier is lost before its journal ever had a replica. It still owns the journal when it restarts.
#[test]
fn a_journal_without_a_replica_stays_with_its_owner() {
    let mut world = fleet(3, 6);
    world.kill(0);
    world.run(5 * SEC);
    // The courier's new journal gets no replica, as its pages are lost.
    (1..3).for_each(|i| world.cut_append_links.extend([(0, i)]));
    world.start(0);
    assert!(world.run_until(world.now + 5 * SEC, |w| w.processes[0].as_ref().is_some_and(|p| p.joined)));
    let lineage = world.processes[0].as_ref().unwrap().member.agreed_lineage();
    world.kill(0);
    world.run(5 * SEC);
    world.cut_append_links.clear();
    world.start(0);
    assert!(world.run_until(world.now + 5 * SEC, |w| w.is_ready(0)));
    assert_eq!(world.processes[0].as_ref().unwrap().member.agreed_lineage(), lineage);
}

/// Runs a fleet with random faults: couriers are killed, paused, disconnected in one direction or in both, and
/// restarted; messages are lost, delayed, duplicated and reordered. With `lose_folders`, couriers also lose their
/// data directories. Finally all faults are healed.
fn run_with_faults(n: usize, seed: u64, lose_folders: bool) -> World {
    let mut world = fleet(n, seed);
    let mut draws = seed ^ 0x5eed;
    let mut pick =
        move |below: usize| (quillmount_containers::random_unit(&mut draws) * below as f64) as usize;
    (world.loss_rate, world.duplicate_rate) = (0.02, 0.02);
    // There are never more faults at a time than a fleet with one replica of each journal has to survive.
    for step in 0..60 {
        for k in 0..3 {
            world.submit(pick(n), &format!("m{step}.{k}"), pick(9) as u64, k != 0);
        }
        let (courier, other) = (pick(n), pick(n));
        match pick(12) {
            0 => world.kill(courier),
            1 if world.processes[courier].is_none() => world.start(courier),
            2 => world.pause(courier, true),
            3 | 4 => (0..n).for_each(|i| world.pause(i, false)),
            5 => drop(world.cut_links.insert((courier, other))),
            6 => (0..n).for_each(|i| world.cut_links.extend([(courier, i), (i, courier)])),
            7 | 8 => world.cut_links.clear(),
            9 if lose_folders && (0..n).all(|i| world.is_ready(i)) => {
                world.kill(courier);
                world.lose_folder(courier);
                // The journal of this courier has one copy left, and so have the journals that it had replicas of.
                // There are no other faults until the fleet has restored the replicas.
                world.cut_links.clear();
                world.start(courier);
                world.run_until(world.now + 15 * SEC, |w| (0..n).all(|i| w.is_ready(i)));
            }
            _ => {}
        }
        world.run((50 + 50 * pick(20)) as u64 * MS);
    }
    (world.loss_rate, world.duplicate_rate) = (0.0, 0.0);
    world.cut_links.clear();
    (0..n).for_each(|i| world.pause(i, false));
    for i in 0..n {
        if world.processes[i].is_none() {
            world.start(i);
        }
    }
    world.run(20 * SEC);
    world
}

/// Checks that each accepted message has ended and that no debit is called twice. Returns the first violation.
fn violation(world: &World) -> Option<String> {
    let observed = &world.observed;
    let mut debits = observed.calls.iter().filter(|(id, _)| !id.ends_with(".0"));
    let called_twice =
        debits.find(|(_, calls)| calls.len() > 1).map(|(id, calls)| format!("{id} called twice: {calls:?}"));
    let without_end = || observed.accepted.iter().find(|id| !observed.ends.contains_key(*id));
    called_twice.or_else(|| without_end().map(|id| format!("{id} has not ended")))
}

/// Runs a fleet with random faults for each seed. Returns the total number of accepted messages.
fn run_seeds(seeds: std::ops::Range<u64>, lose_folders: bool) -> usize {
    let run = |seed| {
        let world = run_with_faults(5, seed, lose_folders);
        let violation = violation(&world);
        assert!(violation.is_none(), "seed {seed}: {violation:?} {:#?}", world.observed.notices);
        world.observed.accepted.len()
    };
    seeds.map(run).sum()
}

#[test]
fn no_fault_loses_a_message_or_repeats_a_debit() {
    let accepted = run_seeds(0..16, false);
    assert!(accepted > 16 * 30, "only {accepted} messages were accepted");
}

#[test]
fn losing_a_folder_loses_no_message() {
    let accepted = run_seeds(100..110, true);
    assert!(accepted > 10 * 30, "only {accepted} messages were accepted");
}
