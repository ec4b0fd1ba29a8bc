//! Calls that carry several messages: how a call counts, which messages join it, and what its outcome changes.

mod common;
use common::{SEC, World, entry, settings};
use quillmount_policy::*;

/// A destination whose calls carry up to `batch` messages, with a listed rate that lets one sender call every 1/6 s.
fn known(slots: u32, batch: u32) -> World {
    let mut set = settings(slots);
    set.kinds = vec![DestinationKind { separate_routes: false, batch }];
    set.weight_is_approximate = false;
    let mut w = World::new(set, 7);
    w.list(ListUpdate::Full, &[entry(0, 0)]);
    w
}

/// Submits `n` idempotent messages.
fn many(w: &mut World, n: u32) {
    for _ in 0..n {
        w.submit(0, 0);
    }
}

/// Sends so far, a call each with its messages.
fn calls(w: &World) -> Vec<Vec<MsgId>> {
    let mut calls: Vec<Vec<MsgId>> = Vec::new();
    for (_, action) in &w.log {
        match action {
            DispatchAction::Send { msg, joins_previous: true, .. } => {
                calls.last_mut().expect("it joins one").push(*msg);
            }
            DispatchAction::Send { msg, .. } => calls.push(vec![*msg]),
            _ => {}
        }
    }
    calls
}

/// Ends all of a call's messages in one step, as hosts do.
fn finish(w: &mut World, msgs: &[MsgId], outcome: Outcome, wait: Micros) -> Vec<DispatchAction> {
    let now = w.now;
    let ends: Vec<DispatchEvent> = msgs
        .iter()
        .map(|msg| {
            let attempt = w.attempts[msg] - 1;
            let (_, sent, _) = w.in_flight.remove(&(*msg, attempt)).expect("the attempt is out");
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
    w.step(&ends)
}

#[test]
fn a_message_at_a_free_destination_goes_at_once_and_those_behind_it_gather() {
    let mut w = known(8, 20);
    let first = w.submit(0, 0);
    assert_eq!(calls(&w), [[first]], "it waits for no company");
    let more: Vec<MsgId> = (0..5).map(|n| w.submit([0, 2][n % 2], 0)).collect();
    assert!(calls(&w).len() <= 2, "calls go out no faster than the limit lets this sender: {:?}", calls(&w));
    w.pass(400_000);
    let after = calls(&w);
    let sent: usize = after.iter().map(Vec::len).sum();
    assert_eq!(sent, 6, "{after:?}");
    assert!(after.len() <= 3, "gathered messages travel together, debits and repeatable ones: {after:?}");
    assert!(more.iter().all(|m| w.sends(*m) == 1));
}

#[test]
fn a_call_is_one_for_a_slot_and_in_the_window_whatever_it_carries() {
    let mut w = known(8, 20);
    many(&mut w, 40);
    w.pass(300_000);
    let seen = calls(&w);
    assert!(seen.iter().map(Vec::len).sum::<usize>() > 8, "eight slots carried {seen:?}");
    assert!(seen.iter().all(|c| c.len() <= 20), "{seen:?}");
    assert_eq!(w.dispatcher.route(0).unwrap().in_flight as usize, seen.len());
}

#[test]
fn where_a_call_carries_one_message_none_joins() {
    for batch in [0, 1] {
        let mut w = known(8, batch);
        for _ in 0..9 {
            w.submit(0, 0);
        }
        assert!(calls(&w).iter().all(|c| c.len() == 1) && calls(&w).len() >= 3, "{:?}", calls(&w));
    }
}

/// A slot is free, and the window one call wider, only when the last message of a call has its outcome.
#[test]
fn a_call_ends_with_its_last_message() {
    let mut w = known(8, 20);
    many(&mut w, 6);
    w.pass(400_000);
    let call = calls(&w).into_iter().find(|c| c.len() > 1).unwrap();
    let before = w.dispatcher.route(0).unwrap().in_flight;
    w.finish(call[0], Outcome::Ok, 0);
    assert_eq!(w.dispatcher.route(0).unwrap().in_flight, before);
    call[1..].iter().for_each(|m| drop(w.finish(*m, Outcome::Ok, 0)));
    assert_eq!(w.dispatcher.route(0).unwrap().in_flight, before - 1);
}

/// A call that fails for all of its messages: idempotent ones are retried, a debit fails and is never retried.
#[test]
fn of_a_call_that_fails_a_debit_is_ended_and_the_others_are_retried() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut w = known(8, 20);
        w.submit(0, 0);
        w.submit(0, 0);
        let (debit, safe) = (w.submit(2, 0), w.submit(0, 0));
        w.pass(400_000);
        let call = calls(&w).into_iter().find(|c| c.contains(&debit)).unwrap();
        assert!(call.contains(&safe), "{call:?}");
        finish(&mut w, &call, outcome, 0);
        w.pass(5 * SEC);
        assert_eq!((w.sends(debit), w.answers(debit).len()), (1, 1), "{outcome:?}");
        assert!(matches!(w.answers(debit)[..], [DispatchAction::Fail { .. }]), "{outcome:?}");
        assert!(w.sends(safe) > 1, "{outcome:?}");
    }
}

#[test]
fn a_rejected_call_blocks_the_destination_for_its_wait_and_then_all_are_retried() {
    let mut w = known(8, 20);
    w.submit(0, 0);
    for n in 0..19 {
        w.submit([0, 2][n % 2], 0);
    }
    w.pass(400_000);
    let call = calls(&w).into_iter().max_by_key(Vec::len).unwrap();
    let before = w.log.len();
    finish(&mut w, &call, Outcome::Full, 2 * SEC);
    w.pass(2 * SEC - 1_000);
    let early = w.log[before..].iter().any(|(_, a)| matches!(a, DispatchAction::Send { .. }));
    assert!(!early, "nothing leaves in a told wait");
    w.pass(SEC);
    assert!(call.iter().all(|m| w.sends(*m) == 2), "nothing had run: {call:?}");
}

/// It would shorten the others' time-out, and its own value is small.
#[test]
fn a_message_with_little_time_left_goes_alone() {
    let mut w = known(8, 20);
    w.submit(0, 0);
    let soon = w.now + 500_000;
    let late = w.submit_with(0, 0, |m| m.deadline = soon);
    many(&mut w, 19);
    w.pass(480_000);
    assert!(calls(&w).iter().all(|c| !c.contains(&late) || c.len() == 1), "{:?}", calls(&w));
    assert!(w.in_flight.iter().filter(|((m, _), _)| *m != late).all(|(_, (.., timeout))| *timeout > SEC));
}

#[test]
fn a_call_is_bounded_in_bytes() {
    let mut w = known(8, 20);
    w.submit(0, 0);
    for _ in 0..12 {
        w.submit_with(0, 0, |m| m.size = MAX_CALL_BYTES / 3);
    }
    w.pass(900_000);
    let seen = calls(&w);
    assert!(seen.iter().any(|c| c.len() > 1) && seen.iter().all(|c| c.len() <= 4), "{seen:?}");
}

/// For a destination that opens at a time that it announced: all senders call then, with all waiting messages.
#[test]
fn a_wait_longer_than_any_limit_is_an_outage_and_binds_the_guard() {
    let mut w = known(8, 20);
    let first = w.submit(0, 0);
    w.finish_after(first, 300_000, Outcome::Ok);
    let second = w.submit(0, 0);
    w.pass(100_000);
    w.finish(second, Outcome::Full, 9 * SEC);
    assert!(w.dispatcher.route(0).unwrap().in_outage);
    // A limit's span is not an outage.
    let mut w = known(8, 20);
    let first = w.submit(0, 0);
    w.finish_after(first, 300_000, Outcome::Full);
    assert!(!w.dispatcher.route(0).unwrap().in_outage);
}
