//! One test for each failure that a simulated day showed.

mod common;
use common::*;
use quillmount_policy::*;
use std::collections::VecDeque;

/// Destinations 0 to n - 1 of one endpoint each, all having answered in 100 ms.
fn known(slots: u32, n: u32) -> World {
    let mut w = World::new(settings(slots), 3);
    let entries: Vec<EndpointEntry> = (0..n).map(|e| entry(e, u64::from(e))).collect();
    w.list(ListUpdate::Full, &entries);
    for d in 0..n {
        let m = w.submit(0, u64::from(d));
        w.finish_after(m, 100_000, Outcome::Ok);
    }
    w
}

#[test]
fn silent_routes_give_their_slots_up_to_others() {
    let mut w = known(4, 5);
    let stuck: Vec<MsgId> = (0..4).map(|d| w.submit(2, d)).collect();
    let other = w.submit(0, 4);
    assert_eq!(w.sends(other), 0, "all slots are taken");
    w.pass(4 * SEC);
    let cancels: Vec<MsgId> = w
        .log
        .iter()
        .filter_map(|(_, a)| if let DispatchAction::Cancel { msg, .. } = a { Some(*msg) } else { None })
        .collect();
    assert!(!cancels.is_empty() && cancels.iter().all(|m| stuck.contains(m)));
    w.finish(cancels[0], Outcome::Cancelled, 0);
    assert_eq!(w.answers(cancels[0]), [DispatchAction::Fail { msg: cancels[0] }]);
    assert_eq!(w.sends(other), 1);
}

#[test]
fn where_slots_are_short_a_call_gives_its_own_up_at_eight_times_the_usual_latency() {
    let mut w = known(2, 3);
    let stuck = [w.submit(0, 0), w.submit(0, 1)];
    let other = w.submit(0, 2);
    let cancel = DispatchAction::Cancel { msg: stuck[0], attempt: 0 };
    w.pass(750_000);
    assert!(w.log.iter().all(|(_, a)| *a != cancel), "100 ms are usual");
    w.pass(100_000);
    assert!(w.log.iter().any(|(_, a)| *a == cancel));
    w.finish(stuck[0], Outcome::Cancelled, 0);
    assert_eq!(w.sends(other) + w.sends(stuck[0]), 2);
}

#[test]
fn calls_that_hang_beside_later_ones_that_are_answered_are_no_outage() {
    let mut w = known(16, 1);
    let mut hung: VecDeque<(Micros, MsgId)> = VecDeque::new();
    for n in 0..300 {
        let m = w.submit(2, 0);
        assert_eq!(w.sends(m), 1, "call {n} waits");
        if n % 3 == 0 {
            hung.push_back((w.now + 400_000, m));
            w.pass(100_000);
        } else {
            w.finish_after(m, 100_000, Outcome::Ok);
        }
        while hung.front().is_some_and(|(at, _)| *at <= w.now) {
            let (_, m) = hung.pop_front().unwrap();
            w.finish(m, Outcome::Timeout, 0);
        }
        let route = w.dispatcher.route(0).unwrap();
        assert!(!route.in_outage);
        assert!((route.smoothed_latency.unwrap() - 100_000.0).abs() < 1.0, "{route:?}");
    }
}

#[test]
fn a_wait_reported_by_a_call_sent_before_a_success_still_binds() {
    let mut w = known(8, 1);
    let early = w.submit(2, 0);
    w.pass(10_000);
    let later = w.submit(2, 0);
    w.finish_after(later, 100_000, Outcome::Ok);
    w.finish(early, Outcome::Error, 2 * SEC);
    let m = w.submit(0, 0);
    w.pass(2 * SEC - 10_000);
    assert_eq!(w.sends(m), 0);
    w.pass(20_000);
    assert_eq!(w.sends(m), 1);
}

#[test]
fn waiting_messages_expire_early_enough_to_be_reported_twice() {
    let mut w = World::new(settings(8), 1);
    let m = w.submit(0, 5);
    let deadline = w.now + 20 * SEC;
    w.pass(21 * SEC);
    let ends: Vec<Micros> =
        w.log.iter().filter(|(_, a)| w.answers(m).contains(a)).map(|(at, _)| *at).collect();
    assert!(matches!(ends[..], [at] if at + 100_000 < deadline && at + SEC > deadline), "{ends:?}");
}

#[test]
fn without_permission_to_cancel_unsafe_calls_time_out_instead() {
    let mut set = settings(4);
    set.cancel = false;
    let mut w = World::new(set, 3);
    w.list(ListUpdate::Full, &[entry(0, 0)]);
    let m = w.submit(2, 0);
    let (_, _, timeout) = w.in_flight[&(m, 0)];
    assert!(timeout < 10 * SEC);
    w.pass(9 * SEC);
    assert!(!w.log.iter().any(|(_, a)| matches!(a, DispatchAction::Cancel { .. })));
}

#[test]
fn timeouts_double_the_next_timeout_at_most_twice() {
    let mut w = known(8, 1);
    for _ in 0..6 {
        let m = w.submit(0, 0);
        for _ in 0..400 {
            if w.attempts.contains_key(&m) {
                break;
            }
            w.pass(50_000);
        }
        let (_, _, timeout) = w.in_flight[&(m, w.attempts[&m] - 1)];
        // The least is two thirds of five seconds.
        assert!(timeout <= 4 * 10 * SEC / 3, "a time-out of {timeout} us");
        w.pass(timeout);
        w.finish(m, Outcome::Timeout, 0);
        w.step(&[DispatchEvent::Hangup { msg: m }]);
        w.in_flight.clear();
        w.pass(3 * SEC);
    }
}

#[test]
fn a_trial_in_an_outage_times_out_after_a_second_at_first() {
    let mut w = known(8, 1);
    let calls: Vec<MsgId> = (0..3).map(|_| w.submit(0, 0)).collect();
    assert_eq!(w.in_flight[&(calls[0], 0)].2, 10 * SEC / 3, "before the outage");
    calls.iter().for_each(|m| drop(w.finish(*m, Outcome::Error, 0)));
    assert!(w.dispatcher.route(0).unwrap().in_outage);
    w.pass(5 * SEC);
    let (_, _, timeout) = w.in_flight.values().max_by_key(|(_, sent, _)| *sent).unwrap();
    assert_eq!(*timeout, SEC);
}

#[test]
fn a_used_up_span_halves_the_window_once_a_second() {
    let mut w = known(8, 1);
    let before = w.dispatcher.route(0).unwrap().window;
    w.pass(2 * SEC);
    let m = w.submit(0, 0);
    let first = w.now;
    w.finish_after(m, 10_000, Outcome::Full);
    while w.now < first + 900_000 {
        w.pass(10_000);
        if w.in_flight.contains_key(&(m, w.attempts[&m] - 1)) {
            w.finish(m, Outcome::Full, 0);
        }
    }
    assert!(w.sends(m) >= 2, "it was refused more than once");
    assert_eq!(w.dispatcher.route(0).unwrap().window, before / 2.0);
}

#[test]
fn after_a_refusal_the_route_pauses_for_longer_each_time() {
    let mut w = known(8, 1);
    let m = w.submit(0, 0);
    let mut gaps = Vec::new();
    for n in 0..3 {
        let at = w.now;
        w.finish(m, Outcome::Full, 0);
        while w.sends(m) == n + 1 {
            w.pass(5_000);
        }
        gaps.push(w.now - at);
    }
    assert!(gaps[0] >= 300_000 && gaps[2] > gaps[0], "{gaps:?}");
}

#[test]
fn refusals_of_one_span_are_no_outage_but_lasting_ones_are() {
    let mut w = known(8, 1);
    let m = w.submit(0, 0);
    let start = w.now;
    let mut out_at = None;
    while w.now < start + 8 * SEC {
        w.pass(20_000);
        if w.in_flight.contains_key(&(m, w.attempts[&m] - 1)) {
            w.finish(m, Outcome::Full, 0);
        }
        if w.dispatcher.route(0).unwrap().in_outage {
            out_at.get_or_insert(w.now);
        }
    }
    let out_at = out_at.expect("eight seconds of refusals are an outage");
    assert!(out_at >= start + 2 * SEC);
}

#[test]
fn an_overdue_call_reduces_the_window_of_its_route() {
    let mut w = known(8, 1);
    w.submit(0, 0);
    w.pass(2_200_000);
    let (a, b) = (w.submit(0, 0), w.submit(0, 0));
    assert_eq!(w.sends(a) + w.sends(b), 1, "a window of three would have sent both");
}

#[test]
fn a_message_bound_to_a_zone_without_endpoints_blocks_no_other() {
    let mut set = settings(8);
    set.classes[1].effect = Effect::Deduplicated { span: 5 * SEC, by_zone: true };
    let mut w = World::new(set, 1);
    w.list(ListUpdate::Full, &[entry(0, 5)]);
    let bound = w.submit(1, 5);
    w.list(ListUpdate::Full, &[EndpointEntry { zone: 1, ..entry(1, 5) }]);
    w.finish_after(bound, 500_000, Outcome::Timeout);
    let free = w.submit(0, 5);
    w.pass(2 * SEC);
    assert_eq!((w.sends(bound), w.sends(free)), (1, 1));
}

#[test]
fn before_the_open_message_limit_the_least_valuable_is_rejected_with_a_retry_time() {
    let mut set = settings(8);
    set.max_open_messages = 10;
    set.classes[0].value = 5.0;
    let mut w = World::new(set, 1);
    let cheap = w.submit(1, 5);
    for _ in 0..9 {
        w.submit(0, 5);
    }
    assert!(matches!(w.answers(cheap)[..], [DispatchAction::Reject { after, .. }] if after > 0));
    assert_eq!(w.log.iter().filter(|(_, a)| matches!(a, DispatchAction::Reject { .. })).count(), 1);
}

#[test]
fn a_failed_connect_closes_idle_connections_there() {
    let mut w = known(8, 1);
    let m = w.submit(0, 0);
    let n = w.submit(0, 0);
    w.finish_after(m, 1_000, Outcome::Ok);
    let acts = w.finish_after(n, 1_000, Outcome::ConnectFailed);
    assert!(acts.contains(&DispatchAction::CloseIdle { endpoint: 0 }));
}
