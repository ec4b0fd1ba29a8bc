//! Regression tests for faults that were discovered in simulated runs.

mod common;
use common::*;
use quillmount_policy::*;
use std::collections::VecDeque;

/// A world with destinations 0 to n - 1 of one endpoint each, all of which have answered a call in 100 ms.
fn world_with_answered_calls(slots: u32, n: u32) -> World {
    let mut world = World::new(settings(slots), 3);
    let entries: Vec<EndpointEntry> = (0..n).map(|e| entry(e, u64::from(e))).collect();
    world.list(ListUpdate::Full, &entries);
    for d in 0..n {
        let id = world.submit(0, u64::from(d));
        world.finish_after(id, 100_000, Outcome::Ok);
    }
    world
}

#[test]
fn slots_of_routes_that_do_not_answer_are_reclaimed_for_others() {
    let mut world = world_with_answered_calls(4, 5);
    let stuck: Vec<MsgId> = (0..4).map(|d| world.submit(2, d)).collect();
    let other = world.submit(0, 4);
    assert_eq!(world.sends(other), 0, "all slots are in use");
    world.pass(4 * SEC);
    let cancels: Vec<MsgId> = world
        .log
        .iter()
        .filter_map(|(_, a)| if let DispatchAction::Cancel { msg, .. } = a { Some(*msg) } else { None })
        .collect();
    assert!(!cancels.is_empty() && cancels.iter().all(|id| stuck.contains(id)));
    world.finish(cancels[0], Outcome::Cancelled, 0);
    assert_eq!(world.answers(cancels[0]), [DispatchAction::Fail { msg: cancels[0] }]);
    assert_eq!(world.sends(other), 1);
}

#[test]
fn without_free_slots_a_call_is_cancelled_at_eight_times_the_usual_latency() {
    let mut world = world_with_answered_calls(2, 3);
    let stuck = [world.submit(0, 0), world.submit(0, 1)];
    let other = world.submit(0, 2);
    let cancel = DispatchAction::Cancel { msg: stuck[0], attempt: 0 };
    world.pass(750_000);
    assert!(
        world.log.iter().all(|(_, action)| *action != cancel),
        "no call is cancelled before eight times the usual 100 ms"
    );
    world.pass(100_000);
    assert!(world.log.iter().any(|(_, action)| *action == cancel));
    world.finish(stuck[0], Outcome::Cancelled, 0);
    assert_eq!(world.sends(other) + world.sends(stuck[0]), 2);
}

#[test]
fn calls_that_hang_while_later_ones_are_answered_are_no_outage() {
    let mut world = world_with_answered_calls(16, 1);
    let mut hung: VecDeque<(Micros, MsgId)> = VecDeque::new();
    for n in 0..300 {
        let id = world.submit(2, 0);
        assert_eq!(world.sends(id), 1, "call {n} waits");
        if n % 3 == 0 {
            hung.push_back((world.now + 400_000, id));
            world.pass(100_000);
        } else {
            world.finish_after(id, 100_000, Outcome::Ok);
        }
        while hung.front().is_some_and(|(at, _)| *at <= world.now) {
            let (_, id) = hung.pop_front().unwrap();
            world.finish(id, Outcome::Timeout, 0);
        }
        let route = world.dispatcher.route(0).unwrap();
        assert!(!route.in_outage);
        assert!((route.smoothed_latency.unwrap() - 100_000.0).abs() < 1.0, "{route:?}");
    }
}

#[test]
fn a_wait_requested_by_a_call_sent_before_a_success_still_applies() {
    let mut world = world_with_answered_calls(8, 1);
    let early = world.submit(2, 0);
    world.pass(10_000);
    let later = world.submit(2, 0);
    world.finish_after(later, 100_000, Outcome::Ok);
    world.finish(early, Outcome::Error, 2 * SEC);
    let id = world.submit(0, 0);
    world.pass(2 * SEC - 10_000);
    assert_eq!(world.sends(id), 0);
    world.pass(20_000);
    assert_eq!(world.sends(id), 1);
}

#[test]
fn waiting_messages_expire_early_enough_for_a_second_notice() {
    let mut world = World::new(settings(8), 1);
    let id = world.submit(0, 5);
    let deadline = world.now + 20 * SEC;
    world.pass(21 * SEC);
    let end_times: Vec<Micros> =
        world.log.iter().filter(|(_, a)| world.answers(id).contains(a)).map(|(at, _)| *at).collect();
    assert!(matches!(end_times[..], [at] if at + 100_000 < deadline && at + SEC > deadline), "{end_times:?}");
}

#[test]
fn without_permission_to_cancel_non_idempotent_calls_time_out_instead() {
    let mut set = settings(4);
    set.cancel = false;
    let mut world = World::new(set, 3);
    world.list(ListUpdate::Full, &[entry(0, 0)]);
    let id = world.submit(2, 0);
    let (_, _, timeout) = world.in_flight[&(id, 0)];
    assert!(timeout < 10 * SEC);
    world.pass(9 * SEC);
    assert!(!world.log.iter().any(|(_, action)| matches!(action, DispatchAction::Cancel { .. })));
}

#[test]
fn time_outs_double_the_next_time_out_at_most_twice() {
    let mut world = world_with_answered_calls(8, 1);
    for _ in 0..6 {
        let id = world.submit(0, 0);
        for _ in 0..400 {
            if world.attempts.contains_key(&id) {
                break;
            }
            world.pass(50_000);
        }
        let (_, _, timeout) = world.in_flight[&(id, world.attempts[&id] - 1)];
        // The minimum time-out is two thirds of the deduplication span of 5 s.
        assert!(timeout <= 4 * 10 * SEC / 3, "the time-out is {timeout} us");
        world.pass(timeout);
        world.finish(id, Outcome::Timeout, 0);
        world.step(&[DispatchEvent::Hangup { msg: id }]);
        world.in_flight.clear();
        world.pass(3 * SEC);
    }
}

#[test]
fn a_trial_in_an_outage_times_out_after_a_second_at_first() {
    let mut world = world_with_answered_calls(8, 1);
    let calls: Vec<MsgId> = (0..3).map(|_| world.submit(0, 0)).collect();
    assert_eq!(world.in_flight[&(calls[0], 0)].2, 10 * SEC / 3, "before the outage");
    calls.iter().for_each(|id| drop(world.finish(*id, Outcome::Error, 0)));
    assert!(world.dispatcher.route(0).unwrap().in_outage);
    world.pass(5 * SEC);
    let (_, _, timeout) = world.in_flight.values().max_by_key(|(_, sent, _)| *sent).unwrap();
    assert_eq!(*timeout, SEC);
}

#[test]
fn refusals_of_an_exhausted_limit_halve_the_window_once_a_second() {
    let mut world = world_with_answered_calls(8, 1);
    let before = world.dispatcher.route(0).unwrap().window;
    world.pass(2 * SEC);
    let id = world.submit(0, 0);
    let first = world.now;
    world.finish_after(id, 10_000, Outcome::Full);
    while world.now < first + 900_000 {
        world.pass(10_000);
        if world.in_flight.contains_key(&(id, world.attempts[&id] - 1)) {
            world.finish(id, Outcome::Full, 0);
        }
    }
    assert!(world.sends(id) >= 2, "the message was refused more than once");
    assert_eq!(world.dispatcher.route(0).unwrap().window, before / 2.0);
}

#[test]
fn the_back_off_grows_with_each_refusal() {
    let mut world = world_with_answered_calls(8, 1);
    let id = world.submit(0, 0);
    let mut gaps = Vec::new();
    for n in 0..3 {
        let refused_at = world.now;
        world.finish(id, Outcome::Full, 0);
        while world.sends(id) == n + 1 {
            world.pass(5_000);
        }
        gaps.push(world.now - refused_at);
    }
    assert!(gaps[0] >= 300_000 && gaps[2] > gaps[0], "{gaps:?}");
}

#[test]
fn refusals_within_one_limit_span_are_no_outage_but_longer_lasting_ones_are() {
    let mut world = world_with_answered_calls(8, 1);
    let id = world.submit(0, 0);
    let start = world.now;
    let mut outage_at = None;
    while world.now < start + 8 * SEC {
        world.pass(20_000);
        if world.in_flight.contains_key(&(id, world.attempts[&id] - 1)) {
            world.finish(id, Outcome::Full, 0);
        }
        if world.dispatcher.route(0).unwrap().in_outage {
            outage_at.get_or_insert(world.now);
        }
    }
    let outage_at = outage_at.expect("eight seconds of refusals are an outage");
    assert!(outage_at >= start + 2 * SEC);
}

#[test]
fn an_overdue_call_reduces_the_window_of_its_route() {
    let mut world = world_with_answered_calls(8, 1);
    world.submit(0, 0);
    world.pass(2_200_000);
    let (a, b) = (world.submit(0, 0), world.submit(0, 0));
    assert_eq!(world.sends(a) + world.sends(b), 1, "the full window of three calls would allow both");
}

#[test]
fn a_message_bound_to_a_zone_without_endpoints_blocks_no_other() {
    let mut set = settings(8);
    set.classes[1].effect = Effect::Deduplicated { span: 5 * SEC, by_zone: true };
    let mut world = World::new(set, 1);
    world.list(ListUpdate::Full, &[entry(0, 5)]);
    let bound = world.submit(1, 5);
    world.list(ListUpdate::Full, &[EndpointEntry { zone: 1, ..entry(1, 5) }]);
    world.finish_after(bound, 500_000, Outcome::Timeout);
    let free = world.submit(0, 5);
    world.pass(2 * SEC);
    assert_eq!((world.sends(bound), world.sends(free)), (1, 1));
}

#[test]
fn before_the_open_message_limit_the_least_valuable_is_rejected_with_a_retry_time() {
    let mut set = settings(8);
    set.max_open_messages = 10;
    set.classes[0].value = 5.0;
    let mut world = World::new(set, 1);
    let cheap = world.submit(1, 5);
    for _ in 0..9 {
        world.submit(0, 5);
    }
    assert!(matches!(world.answers(cheap)[..], [DispatchAction::Reject { after, .. }] if after > 0));
    assert_eq!(
        world.log.iter().filter(|(_, action)| matches!(action, DispatchAction::Reject { .. })).count(),
        1
    );
}

#[test]
fn a_failed_connect_closes_idle_connections_to_the_endpoint() {
    let mut world = world_with_answered_calls(8, 1);
    let id = world.submit(0, 0);
    let n = world.submit(0, 0);
    world.finish_after(id, 1_000, Outcome::Ok);
    let actions = world.finish_after(n, 1_000, Outcome::ConnectFailed);
    assert!(actions.contains(&DispatchAction::CloseIdle { endpoint: 0 }));
}
