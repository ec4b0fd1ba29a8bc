//! Regression tests for faults that occurred only at full scale: many senders, many endpoints, few calls for each.

mod common;
use common::*;
use quillmount_policy::*;
use std::collections::BTreeSet;

fn world_of_sender(senders: u32, seed: u64) -> World {
    let mut set = settings(3);
    (set.sender_count, set.overload_span, set.overload_multiple) = (senders, 3 * SEC / 2, 2.0);
    (set.slow_start_share, set.slow_start) = (0.2, 11 * SEC);
    let mut world = World::new(set, seed);
    world.list(ListUpdate::Full, &[entry(0, 5), entry(1, 5)]);
    world
}

#[test]
fn senders_spread_over_the_endpoints_of_a_destination() {
    let mut first = BTreeSet::new();
    for seed in 0..20 {
        let mut world = world_of_sender(20, seed);
        let id = world.submit(0, 5);
        first.insert(world.in_flight[&(id, 0)].0);
    }
    assert_eq!(first.len(), 2, "all senders chose the same endpoint");
}

fn closes(world: &World) -> usize {
    world.log.iter().filter(|(_, action)| matches!(action, DispatchAction::CloseIdle { .. })).count()
}

#[test]
fn a_reset_or_a_failed_connect_closes_no_other_idle_connections() {
    let mut world = World::new(settings(8), 1);
    world.list(ListUpdate::Full, &[entry(0, 0), entry(1, 1)]);
    for (bad, outcome) in [(1, Outcome::ConnectFailed), (0, Outcome::Ok), (0, Outcome::Reset)] {
        let id = world.submit(0, 0);
        world.finish(id, Outcome::Ok, 0);
        let id = world.submit(0, bad);
        world.finish(id, outcome, 0);
        world.pass(20 * SEC);
    }
    assert_eq!(closes(&world), 0, "one refusal or reset gives no information about the other connections");
}

#[test]
fn after_two_failed_connects_between_answers_each_connection_is_closed_after_its_call_for_some_time() {
    let mut world = World::new(settings(8), 1);
    world.list(ListUpdate::Full, &[entry(0, 0)]);
    for closed in [0, 1] {
        let id = world.submit(0, 0);
        world.finish(id, Outcome::ConnectFailed, 0);
        world.finish_after(id, 1_000, Outcome::Ok);
        assert_eq!(closes(&world), closed);
        world.pass(SEC);
    }
    world.pass(20 * SEC);
    let id = world.submit(0, 0);
    world.finish(id, Outcome::Ok, 0);
    assert_eq!(closes(&world), 1, "the connection table is no longer considered full");
}

#[test]
fn a_reset_of_an_idle_connection_does_not_affect_the_window() {
    let mut world = World::new(settings(8), 1);
    world.list(ListUpdate::Full, &[entry(0, 0)]);
    let id = world.submit(0, 0);
    world.finish(id, Outcome::Ok, 0);
    let before = world.dispatcher.route(0).unwrap();
    let id = world.submit(0, 0);
    world.finish(id, Outcome::Reset, 0);
    assert_eq!(world.sends(id), 2, "an idempotent message is retried at once");
    let after = world.dispatcher.route(0).unwrap();
    assert_eq!((before.window, before.smoothed_latency), (after.window, after.smoothed_latency));
    assert_eq!(closes(&world), 0, "the only connection was in use, so no idle one is left to close");
}

#[test]
fn a_non_idempotent_message_reset_on_an_idle_connection_is_not_retried() {
    let mut world = World::new(settings(8), 1);
    world.list(ListUpdate::Full, &[entry(0, 0)]);
    let id = world.submit(0, 0);
    world.finish(id, Outcome::Ok, 0);
    let id = world.submit(2, 0);
    world.finish(id, Outcome::Reset, 0);
    world.pass(20 * SEC);
    assert_eq!(world.sends(id), 1);
    assert_eq!(world.answers(id), [DispatchAction::Fail { msg: id }]);
}

#[test]
fn with_one_free_slot_the_faster_destination_is_served_first() {
    let mut world = World::new(settings(2), 1);
    world.list(ListUpdate::Full, &[entry(0, 0), entry(1, 1), entry(2, 2)]);
    for (dest, latency) in [(0, SEC), (1, SEC / 10), (2, SEC / 10)] {
        let id = world.submit(0, dest);
        world.finish_after(id, latency, Outcome::Ok);
    }
    let busy = [world.submit(0, 2), world.submit(0, 1)];
    let (slow, quick) = (world.submit(0, 0), world.submit(0, 1));
    assert_eq!((world.sends(slow), world.sends(quick)), (0, 0), "both slots are in use");
    world.finish_after(busy[1], SEC / 10, Outcome::Ok);
    assert_eq!((world.sends(slow), world.sends(quick)), (0, 1));
}

#[test]
fn with_two_slots_a_destination_that_does_not_answer_does_not_block_others() {
    let mut world = World::new(settings(2), 1);
    world.list(ListUpdate::Full, &[entry(0, 0), entry(1, 1)]);
    let silent = [world.submit(0, 0), world.submit(0, 0)];
    assert_eq!(world.sends(silent[0]) + world.sends(silent[1]), 1, "one destination gets one slot of two");
    for _ in 0..20 {
        let id = world.submit(0, 1);
        assert_eq!(world.sends(id), 1);
        world.finish_after(id, 100_000, Outcome::Ok);
    }
}

/// Checks the number of actions, not the time that they take.
#[test]
fn a_list_of_a_thousand_endpoints_serves_thousands_of_messages() {
    let mut set = settings(3);
    (set.sender_count, set.max_open_messages) = (300, 50);
    let mut world = World::new(set, 1);
    let all: Vec<EndpointEntry> = (0..1_000).map(|e| entry(e, u64::from(e / 2))).collect();
    world.list(ListUpdate::Full, &all);
    let mut sent = 0;
    for n in 0..5_000u64 {
        let id = world.submit(0, (n * 7) % 500);
        sent += world.sends(id);
        world.finish_after(id, 50_000, Outcome::Ok);
    }
    assert_eq!(sent, 5_000);
    let timers =
        world.log.iter().filter(|(_, action)| matches!(action, DispatchAction::Timer { .. })).count();
    assert!(world.log.len() - timers == 5_000, "one send for each message and no other action");
    assert!(timers <= 10_000, "{timers} timers");
}

#[test]
fn removed_idle_endpoints_are_forgotten_but_requested_waits_are_retained() {
    let mut world = World::new(settings(8), 1);
    world.list(ListUpdate::Full, &[entry(0, 5)]);
    let id = world.submit(0, 5);
    world.finish(id, Outcome::Full, 3_000_000);
    world.list(ListUpdate::Full, &[entry(1, 6)]);
    assert!(world.dispatcher.route(0).is_some(), "the requested wait has not ended");
    world.list(ListUpdate::Full, &[entry(2, 5)]);
    world.pass(2 * SEC);
    assert_eq!(world.sends(id), 1, "the wait applies to the replacement endpoint");
    world.pass(2 * SEC);
    assert_eq!(world.sends(id), 2);
    world.list(ListUpdate::Full, &[entry(1, 6)]);
    assert!(world.dispatcher.route(2).is_some(), "a call to it is in flight");
    world.finish(id, Outcome::Ok, 0);
    world.list(ListUpdate::Full, &[entry(1, 6)]);
    assert!(world.dispatcher.route(0).is_none() && world.dispatcher.route(2).is_none());
}

#[test]
fn messages_wait_for_a_replacement_endpoint_and_are_sent_to_it() {
    let mut world = World::new(settings(8), 1);
    world.list(ListUpdate::Full, &[entry(0, 5)]);
    world.list(ListUpdate::Delta, &[EndpointEntry { state: EndpointState::Draining, ..entry(0, 5) }]);
    let id = world.submit(0, 5);
    world.list(ListUpdate::Delta, &[EndpointEntry { state: EndpointState::Gone, ..entry(0, 5) }]);
    world.pass(9 * SEC);
    assert_eq!((world.sends(id), world.answers(id).len()), (0, 0));
    world.list(ListUpdate::Delta, &[entry(3, 5)]);
    assert_eq!(world.sends(id), 1);
}

#[test]
fn a_connect_that_fails_slowly_closes_no_other_connections() {
    let mut world = World::new(settings(8), 1);
    world.list(ListUpdate::Full, &[entry(0, 0), entry(1, 1)]);
    let id = world.submit(0, 0);
    world.finish(id, Outcome::Ok, 0);
    let id = world.submit(0, 1);
    world.finish_after(id, SEC, Outcome::ConnectFailed);
    assert_eq!(closes(&world), 0, "the destination is down, and no connection table is full");
}
