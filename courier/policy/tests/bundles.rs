//! Calls that carry several messages: how a call counts, which messages join it, and the effects of its outcome.

mod common;
use common::{SEC, World, entry, settings};
use quillmount_policy::*;

/// A world with one destination whose calls carry up to `batch` messages. Its listed rate allows one sender a call
/// every 1/6 s.
fn batching_world(slots: u32, batch: u32) -> World {
    let mut set = settings(slots);
    set.kinds = vec![DestinationKind { separate_routes: false, batch }];
    set.weight_is_approximate = false;
    let mut world = World::new(set, 7);
    world.list(ListUpdate::Full, &[entry(0, 0)]);
    world
}

/// Submits `n` idempotent messages.
fn submit_many(world: &mut World, n: u32) {
    for _ in 0..n {
        world.submit(0, 0);
    }
}

/// The messages of each call sent so far.
fn calls(world: &World) -> Vec<Vec<MsgId>> {
    let mut calls: Vec<Vec<MsgId>> = Vec::new();
    for (_, action) in &world.log {
        match action {
            DispatchAction::Send { msg, joins_previous: true, .. } => {
                calls.last_mut().expect("a joining message follows another one of its call").push(*msg);
            }
            DispatchAction::Send { msg, .. } => calls.push(vec![*msg]),
            _ => {}
        }
    }
    calls
}

/// Ends all messages of a call in one step, as hosts do.
fn finish(world: &mut World, msgs: &[MsgId], outcome: Outcome, wait: Micros) -> Vec<DispatchAction> {
    let now = world.now;
    let completions: Vec<DispatchEvent> = msgs
        .iter()
        .map(|msg| {
            let attempt = world.attempts[msg] - 1;
            let (_, sent, _) = world.in_flight.remove(&(*msg, attempt)).expect("the attempt is in flight");
            let (finished, elapsed) = (outcome == Outcome::Ok, now - sent);
            let (msg, load_report) = (*msg, Vec::new());
            DispatchEvent::Completed(Completion {
                msg,
                attempt,
                outcome,
                elapsed,
                finished,
                wait,
                load_report,
            })
        })
        .collect();
    world.step(&completions)
}

#[test]
fn the_first_message_to_an_idle_destination_is_sent_at_once_and_later_ones_are_batched() {
    let mut world = batching_world(8, 20);
    let first = world.submit(0, 0);
    assert_eq!(calls(&world), [[first]], "the first message does not wait for others");
    let more: Vec<MsgId> = (0..5).map(|n| world.submit([0, 2][n % 2], 0)).collect();
    assert!(
        calls(&world).len() <= 2,
        "no more calls than this sender's share of the limit allows: {:?}",
        calls(&world)
    );
    world.pass(400_000);
    let after = calls(&world);
    let sent: usize = after.iter().map(Vec::len).sum();
    assert_eq!(sent, 6, "{after:?}");
    assert!(after.len() <= 3, "waiting messages share a call, idempotent or not: {after:?}");
    assert!(more.iter().all(|id| world.sends(*id) == 1));
}

#[test]
fn a_call_counts_once_for_slots_and_window_whatever_its_number_of_messages() {
    let mut world = batching_world(8, 20);
    submit_many(&mut world, 40);
    world.pass(300_000);
    let sent_calls = calls(&world);
    assert!(sent_calls.iter().map(Vec::len).sum::<usize>() > 8, "eight slots carried {sent_calls:?}");
    assert!(sent_calls.iter().all(|c| c.len() <= 20), "{sent_calls:?}");
    assert_eq!(world.dispatcher.route(0).unwrap().in_flight as usize, sent_calls.len());
}

#[test]
fn with_a_batch_limit_of_one_every_call_has_one_message() {
    for batch in [0, 1] {
        let mut world = batching_world(8, batch);
        for _ in 0..9 {
            world.submit(0, 0);
        }
        assert!(
            calls(&world).iter().all(|c| c.len() == 1) && calls(&world).len() >= 3,
            "{:?}",
            calls(&world)
        );
    }
}

/// A call frees its slot and its place in the window only when its last message has an outcome.
#[test]
fn a_call_ends_with_its_last_message() {
    let mut world = batching_world(8, 20);
    submit_many(&mut world, 6);
    world.pass(400_000);
    let call = calls(&world).into_iter().find(|c| c.len() > 1).unwrap();
    let before = world.dispatcher.route(0).unwrap().in_flight;
    world.finish(call[0], Outcome::Ok, 0);
    assert_eq!(world.dispatcher.route(0).unwrap().in_flight, before);
    call[1..].iter().for_each(|id| drop(world.finish(*id, Outcome::Ok, 0)));
    assert_eq!(world.dispatcher.route(0).unwrap().in_flight, before - 1);
}

/// When a call fails for all of its messages, idempotent ones are retried; one that is not idempotent fails without a
/// retry.
#[test]
fn after_a_failed_call_idempotent_messages_are_retried_and_others_fail() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut world = batching_world(8, 20);
        world.submit(0, 0);
        world.submit(0, 0);
        let (non_idempotent, idempotent) = (world.submit(2, 0), world.submit(0, 0));
        world.pass(400_000);
        let call = calls(&world).into_iter().find(|c| c.contains(&non_idempotent)).unwrap();
        assert!(call.contains(&idempotent), "{call:?}");
        finish(&mut world, &call, outcome, 0);
        world.pass(5 * SEC);
        assert_eq!((world.sends(non_idempotent), world.answers(non_idempotent).len()), (1, 1), "{outcome:?}");
        assert!(matches!(world.answers(non_idempotent)[..], [DispatchAction::Fail { .. }]), "{outcome:?}");
        assert!(world.sends(idempotent) > 1, "{outcome:?}");
    }
}

#[test]
fn a_refused_call_blocks_the_destination_for_the_requested_wait_and_then_all_messages_are_retried() {
    let mut world = batching_world(8, 20);
    world.submit(0, 0);
    for n in 0..19 {
        world.submit([0, 2][n % 2], 0);
    }
    world.pass(400_000);
    let call = calls(&world).into_iter().max_by_key(Vec::len).unwrap();
    let before = world.log.len();
    finish(&mut world, &call, Outcome::Full, 2 * SEC);
    world.pass(2 * SEC - 1_000);
    let early = world.log[before..].iter().any(|(_, action)| matches!(action, DispatchAction::Send { .. }));
    assert!(!early, "no call is made during the requested wait");
    world.pass(SEC);
    assert!(
        call.iter().all(|id| world.sends(*id) == 2),
        "a refused call did not run, so all messages are retried: {call:?}"
    );
}

/// In a shared call it would shorten the time-out of the other messages, although its own value is small.
#[test]
fn a_message_close_to_its_deadline_is_sent_alone() {
    let mut world = batching_world(8, 20);
    world.submit(0, 0);
    let near_deadline = world.now + 500_000;
    let late = world.submit_with(0, 0, |message| message.deadline = near_deadline);
    submit_many(&mut world, 19);
    world.pass(480_000);
    assert!(calls(&world).iter().all(|c| !c.contains(&late) || c.len() == 1), "{:?}", calls(&world));
    assert!(
        world.in_flight.iter().filter(|((id, _), _)| *id != late).all(|(_, (.., timeout))| *timeout > SEC)
    );
}

#[test]
fn the_size_of_a_call_is_limited() {
    let mut world = batching_world(8, 20);
    world.submit(0, 0);
    for _ in 0..12 {
        world.submit_with(0, 0, |message| message.size = MAX_CALL_BYTES / 3);
    }
    world.pass(900_000);
    let sent_calls = calls(&world);
    assert!(
        sent_calls.iter().any(|c| c.len() > 1) && sent_calls.iter().all(|c| c.len() <= 4),
        "{sent_calls:?}"
    );
}

/// Guards against an overload when a destination reopens at an announced time and all senders send all waiting
/// messages then.
#[test]
fn a_wait_longer_than_any_limit_span_is_an_outage_and_activates_the_guard() {
    let mut world = batching_world(8, 20);
    let first = world.submit(0, 0);
    world.finish_after(first, 300_000, Outcome::Ok);
    let second = world.submit(0, 0);
    world.pass(100_000);
    world.finish(second, Outcome::Full, 9 * SEC);
    assert!(world.dispatcher.route(0).unwrap().in_outage);
    // A refusal without a long wait is due to a limit, not to an outage.
    let mut world = batching_world(8, 20);
    let first = world.submit(0, 0);
    world.finish_after(first, 300_000, Outcome::Full);
    assert!(!world.dispatcher.route(0).unwrap().in_outage);
}
