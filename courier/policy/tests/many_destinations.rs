//! Failures that showed only at full size: many senders, many endpoints, few calls each.

mod common;
use common::*;
use quillmount_policy::*;
use std::collections::BTreeSet;

fn senders_of_one_kind(senders: u32, seed: u64) -> World {
    let mut set = settings(3);
    (set.sender_count, set.overload_span, set.overload_multiple) = (senders, 3 * SEC / 2, 2.0);
    (set.slow_start_share, set.slow_start) = (0.2, 11 * SEC);
    let mut w = World::new(set, seed);
    w.list(ListUpdate::Full, &[entry(0, 5), entry(1, 5)]);
    w
}

#[test]
fn senders_spread_over_the_endpoints_of_a_destination() {
    let mut first = BTreeSet::new();
    for seed in 0..20 {
        let mut w = senders_of_one_kind(20, seed);
        let m = w.submit(0, 5);
        first.insert(w.in_flight[&(m, 0)].0);
    }
    assert_eq!(first.len(), 2, "all senders took the same endpoint");
}

fn closes(w: &World) -> usize {
    w.log.iter().filter(|(_, a)| matches!(a, DispatchAction::CloseIdle { .. })).count()
}

#[test]
fn a_reset_or_a_failed_connect_closes_nothing_elsewhere() {
    let mut w = World::new(settings(8), 1);
    w.list(ListUpdate::Full, &[entry(0, 0), entry(1, 1)]);
    for (bad, outcome) in [(1, Outcome::ConnectFailed), (0, Outcome::Ok), (0, Outcome::Reset)] {
        let m = w.submit(0, 0);
        w.finish(m, Outcome::Ok, 0);
        let m = w.submit(0, bad);
        w.finish(m, outcome, 0);
        w.pass(20 * SEC);
    }
    assert_eq!(closes(&w), 0, "one refusal or reset in many calls tells nothing of the other connections");
}

#[test]
fn where_connects_fail_twice_beside_answers_each_connection_is_closed_after_its_call_for_a_while() {
    let mut w = World::new(settings(8), 1);
    w.list(ListUpdate::Full, &[entry(0, 0)]);
    for closed in [0, 1] {
        let m = w.submit(0, 0);
        w.finish(m, Outcome::ConnectFailed, 0);
        w.finish_after(m, 1_000, Outcome::Ok);
        assert_eq!(closes(&w), closed);
        w.pass(SEC);
    }
    w.pass(20 * SEC);
    let m = w.submit(0, 0);
    w.finish(m, Outcome::Ok, 0);
    assert_eq!(closes(&w), 1, "the table may have room again");
}

#[test]
fn a_reset_of_an_idle_connection_says_nothing_about_the_destination() {
    let mut w = World::new(settings(8), 1);
    w.list(ListUpdate::Full, &[entry(0, 0)]);
    let m = w.submit(0, 0);
    w.finish(m, Outcome::Ok, 0);
    let before = w.dispatcher.route(0).unwrap();
    let m = w.submit(0, 0);
    w.finish(m, Outcome::Reset, 0);
    assert_eq!(w.sends(m), 2, "a repeatable message goes again at once");
    let after = w.dispatcher.route(0).unwrap();
    assert_eq!((before.window, before.smoothed_latency), (after.window, after.smoothed_latency));
    assert_eq!(closes(&w), 0, "the one connection was in use, and is gone");
}

#[test]
fn a_non_idempotent_message_reset_on_an_idle_connection_is_not_retried() {
    let mut w = World::new(settings(8), 1);
    w.list(ListUpdate::Full, &[entry(0, 0)]);
    let m = w.submit(0, 0);
    w.finish(m, Outcome::Ok, 0);
    let m = w.submit(2, 0);
    w.finish(m, Outcome::Reset, 0);
    w.pass(20 * SEC);
    assert_eq!(w.sends(m), 1);
    assert_eq!(w.answers(m), [DispatchAction::Fail { msg: m }]);
}

#[test]
fn with_one_slot_free_the_quick_destination_goes_first() {
    let mut w = World::new(settings(2), 1);
    w.list(ListUpdate::Full, &[entry(0, 0), entry(1, 1), entry(2, 2)]);
    for (dest, latency) in [(0, SEC), (1, SEC / 10), (2, SEC / 10)] {
        let m = w.submit(0, dest);
        w.finish_after(m, latency, Outcome::Ok);
    }
    let busy = [w.submit(0, 2), w.submit(0, 1)];
    let (slow, quick) = (w.submit(0, 0), w.submit(0, 1));
    assert_eq!((w.sends(slow), w.sends(quick)), (0, 0), "both slots are taken");
    w.finish_after(busy[1], SEC / 10, Outcome::Ok);
    assert_eq!((w.sends(slow), w.sends(quick)), (0, 1));
}

#[test]
fn with_two_slots_a_silent_destination_does_not_stop_the_others() {
    let mut w = World::new(settings(2), 1);
    w.list(ListUpdate::Full, &[entry(0, 0), entry(1, 1)]);
    let silent = [w.submit(0, 0), w.submit(0, 0)];
    assert_eq!(w.sends(silent[0]) + w.sends(silent[1]), 1, "one destination has one slot of two");
    for _ in 0..20 {
        let m = w.submit(0, 1);
        assert_eq!(w.sends(m), 1);
        w.finish_after(m, 100_000, Outcome::Ok);
    }
}

/// A list of a thousand endpoints. What is asserted is the count of actions, not time.
#[test]
fn a_list_of_a_thousand_endpoints_serves_thousands_of_messages() {
    let mut set = settings(3);
    (set.sender_count, set.max_open_messages) = (300, 50);
    let mut w = World::new(set, 1);
    let all: Vec<EndpointEntry> = (0..1_000).map(|e| entry(e, u64::from(e / 2))).collect();
    w.list(ListUpdate::Full, &all);
    let mut sent = 0;
    for n in 0..5_000u64 {
        let m = w.submit(0, (n * 7) % 500);
        sent += w.sends(m);
        w.finish_after(m, 50_000, Outcome::Ok);
    }
    assert_eq!(sent, 5_000);
    let timers = w.log.iter().filter(|(_, a)| matches!(a, DispatchAction::Timer { .. })).count();
    assert!(w.log.len() - timers == 5_000, "a send a message and nothing else");
    assert!(timers <= 10_000, "{timers} timers");
}

#[test]
fn endpoints_gone_and_idle_are_forgotten_but_waits_are_not() {
    let mut w = World::new(settings(8), 1);
    w.list(ListUpdate::Full, &[entry(0, 5)]);
    let m = w.submit(0, 5);
    w.finish(m, Outcome::Full, 3_000_000);
    w.list(ListUpdate::Full, &[entry(1, 6)]);
    assert!(w.dispatcher.route(0).is_some(), "its wait is not over");
    w.list(ListUpdate::Full, &[entry(2, 5)]);
    w.pass(2 * SEC);
    assert_eq!(w.sends(m), 1, "the wait binds the replacement");
    w.pass(2 * SEC);
    assert_eq!(w.sends(m), 2);
    w.list(ListUpdate::Full, &[entry(1, 6)]);
    assert!(w.dispatcher.route(2).is_some(), "a call is out there");
    w.finish(m, Outcome::Ok, 0);
    w.list(ListUpdate::Full, &[entry(1, 6)]);
    assert!(w.dispatcher.route(0).is_none() && w.dispatcher.route(2).is_none());
}

#[test]
fn messages_wait_for_a_late_replacement_and_go_to_it() {
    let mut w = World::new(settings(8), 1);
    w.list(ListUpdate::Full, &[entry(0, 5)]);
    w.list(ListUpdate::Delta, &[EndpointEntry { state: EndpointState::Draining, ..entry(0, 5) }]);
    let m = w.submit(0, 5);
    w.list(ListUpdate::Delta, &[EndpointEntry { state: EndpointState::Gone, ..entry(0, 5) }]);
    w.pass(9 * SEC);
    assert_eq!((w.sends(m), w.answers(m).len()), (0, 0));
    w.list(ListUpdate::Delta, &[entry(3, 5)]);
    assert_eq!(w.sends(m), 1);
}

#[test]
fn a_connect_that_fails_slowly_leaves_other_connections_alone() {
    let mut w = World::new(settings(8), 1);
    w.list(ListUpdate::Full, &[entry(0, 0), entry(1, 1)]);
    let m = w.submit(0, 0);
    w.finish(m, Outcome::Ok, 0);
    let m = w.submit(0, 1);
    w.finish_after(m, SEC, Outcome::ConnectFailed);
    assert_eq!(closes(&w), 0, "the place is down, no table is full");
}
