//! The guard of a returning destination: what senders that saw a failure may send it together.

mod common;
use common::*;
use quillmount_policy::*;

const FALL: Micros = 3 * SEC / 2;
const COLD: Micros = 11 * SEC;
/// A sender of 270 whose first turn at a destination of six calls a second comes after most of a minute.
const FAR: u32 = 250;

fn set(senders: u32, me: u32) -> Settings {
    let mut set = settings(8);
    (set.sender_count, set.sender_index, set.overload_span, set.overload_multiple) = (senders, me, FALL, 2.0);
    (set.slow_start_share, set.slow_start, set.weight_is_approximate) = (0.2, COLD, true);
    set
}

fn world(senders: u32, me: u32, weight: f64) -> World {
    let mut w = World::new(set(senders, me), u64::from(me));
    w.list(
        ListUpdate::Full,
        &[EndpointEntry { weight, ..entry(0, 5) }, EndpointEntry { weight, ..entry(1, 5) }],
    );
    w
}

/// Full calls in any overload span: two thirds of N + 2 root N + 2, N being multiple x cold share x true rate x
/// span, where the listed rate may be half too high.
fn bound(weight: f64) -> usize {
    let n = 2.0 * 0.2 * (weight / 1.5) * 1.5;
    (2.0 / 3.0 * (n + 2.0 * f64::sqrt(n) + 2.0)) as usize
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum FaultKind {
    Refused,
    Silent,
    NoConnect,
    /// One call in twelve succeeds.
    Errors,
}

/// A sender as the test sees it, independent of the policy.
#[derive(Default, Clone)]
struct Seen {
    failed: Option<Micros>,
    proven: Option<Micros>,
}

impl Seen {
    fn binds(&self, now: Micros) -> bool {
        self.failed.is_some() && self.proven.is_none_or(|t| now < t + COLD)
    }

    /// A call that was sent at `sent` ended.
    fn record(&mut self, now: Micros, sent: Micros, outcome: Outcome) {
        if outcome != Outcome::Ok {
            (self.failed, self.proven) = (Some(now), None);
        } else if self.failed.is_some_and(|failed| sent >= failed) {
            self.proven = self.proven.or(Some(now));
        }
    }
}

/// All senders have a message every two seconds and call in the outage's first second. Returns the
/// times of the calls of senders that had seen a failure, until the destination is warm.
fn calls_of_senders(
    senders: u32,
    weight: f64,
    kind: FaultKind,
    outages: &[(Micros, Micros)],
    clocks: bool,
) -> Vec<Micros> {
    let offset = |n: u64| if clocks { 0 } else { n * 7_654_321 % (600 * SEC) };
    let mut worlds: Vec<World> = (0..senders).map(|n| world(senders, n, weight)).collect();
    for (n, w) in (0..).zip(worlds.iter_mut()) {
        w.pass(offset(n));
    }
    let start: Vec<Micros> = worlds.iter().map(|w| w.now).collect();
    let mut seen = vec![Seen::default(); worlds.len()];
    let (mut calls_of_informed_senders, mut calls) = (Vec::new(), 0u64);
    let end = outages.last().unwrap().1 + COLD;
    let mut due: Vec<Vec<(Micros, MsgId, Outcome)>> = vec![Vec::new(); worlds.len()];
    for now in (0..end).step_by(20_000) {
        let down = outages.iter().any(|(from, to)| (*from..*to).contains(&now));
        for (n, w) in worlds.iter_mut().enumerate() {
            let before = w.log.len();
            w.pass(start[n] + now - w.now);
            let (over, later) = due[n].iter().partition(|(at, ..)| *at <= now);
            due[n] = later;
            let over: Vec<(Micros, MsgId, Outcome)> = over;
            let binds = seen[n].binds(now);
            for (_, m, outcome) in over {
                let sent = w.in_flight[&(m, w.attempts[&m] - 1)].1 - start[n];
                w.finish(m, outcome, 0);
                seen[n].record(now, sent, outcome);
            }
            if (now + n as u64 * 20_000) % (2 * SEC) < 20_000 || (now == 0 && outages[0].0 == 0) {
                w.submit(0, 5);
            }
            let sends: Vec<(MsgId, Micros)> = w.log[before..]
                .iter()
                .filter_map(|(_, a)| match a {
                    DispatchAction::Send { msg, timeout, .. } => Some((*msg, *timeout)),
                    _ => None,
                })
                .collect();
            for (msg, timeout) in sends {
                calls += 1;
                if binds {
                    calls_of_informed_senders.push(now);
                }
                due[n].push(match kind {
                    _ if !down => (now + 100_000, msg, Outcome::Ok),
                    FaultKind::Refused => (now + 20_000, msg, Outcome::Full),
                    FaultKind::Silent => (now + timeout, msg, Outcome::Timeout),
                    FaultKind::NoConnect => (now + SEC, msg, Outcome::ConnectFailed),
                    FaultKind::Errors if calls % 12 == 0 => (now + 40_000, msg, Outcome::Ok),
                    FaultKind::Errors => (now + 40_000, msg, Outcome::Error),
                });
            }
        }
    }
    assert!(seen.iter().filter(|s| s.failed.is_some()).count() * 10 >= worlds.len() * 9);
    calls_of_informed_senders
}

fn worst(calls: &[Micros]) -> usize {
    calls.iter().map(|t| calls.iter().filter(|u| (*t..t + FALL).contains(u)).count()).max().unwrap_or(0)
}

fn assert_bound_holds(senders: u32, weight: f64, kind: FaultKind, outage: Micros) {
    let calls = calls_of_senders(senders, weight, kind, &[(0, outage)], true);
    let (worst, most) = (worst(&calls), bound(weight));
    assert!(
        worst <= most,
        "{senders} senders, {weight}/s, {kind:?} for {outage}: {worst} of {most} in a span"
    );
    assert!(!calls.is_empty(), "somebody must try");
}

#[test]
fn forty_senders_keep_to_the_bound() {
    for kind in [FaultKind::Refused, FaultKind::Silent, FaultKind::NoConnect, FaultKind::Errors] {
        for outage in [6, 14, 27] {
            assert_bound_holds(40, 6.0, kind, outage * SEC);
        }
    }
}

#[test]
fn two_hundred_and_seventy_senders_keep_to_the_bound() {
    for kind in [FaultKind::Refused, FaultKind::Silent, FaultKind::NoConnect, FaultKind::Errors] {
        assert_bound_holds(270, 6.0, kind, 9 * SEC);
        assert_bound_holds(270, 45.0, kind, 16 * SEC);
    }
}

#[test]
fn a_thousand_senders_keep_to_the_bound() {
    for (kind, outage) in
        [(FaultKind::Refused, 12), (FaultKind::Silent, 9), (FaultKind::NoConnect, 5), (FaultKind::Errors, 12)]
    {
        assert_bound_holds(1_000, 6.0, kind, outage * SEC);
    }
    assert_bound_holds(1_000, 100.0, FaultKind::Refused, 8 * SEC);
}

#[test]
fn a_destination_that_stops_and_returns_twice_is_not_pushed_over() {
    let calls = calls_of_senders(270, 20.0, FaultKind::Refused, &[(0, 8 * SEC), (14 * SEC, 24 * SEC)], true);
    assert!(worst(&calls) <= bound(20.0), "{} in a span", worst(&calls));
}

/// Clocks that do not agree leave the mean as it is; calls then meet by chance only.
#[test]
fn senders_whose_clocks_differ_are_spread() {
    let calls = calls_of_senders(270, 45.0, FaultKind::Refused, &[(0, 20 * SEC)], false);
    let most = bound(45.0) as f64;
    let spans = 31.0 / 1.5;
    assert!(calls.len() as f64 <= spans * (most + 1.0), "{} calls", calls.len());
    assert!(worst(&calls) as f64 <= most + 3.0 * most.sqrt(), "{} in a span", worst(&calls));
}

/// A sender among `senders` that saw one call fail after a good one.
fn failed_once(senders: u32) -> World {
    let mut w = world(senders, if senders > 40 { FAR } else { 3 }, 6.0);
    for outcome in [Outcome::Ok, Outcome::Full] {
        let m = w.submit(0, 5);
        w.finish(m, outcome, 0);
    }
    w
}

fn sends_in(w: &mut World, span: Micros) -> usize {
    let before = w.log.len();
    for _ in 0..span / SEC {
        w.submit(0, 5);
        w.pass(SEC);
    }
    w.log[before..].iter().filter(|(_, a)| matches!(a, DispatchAction::Send { .. })).count()
}

#[test]
fn weights_that_say_nothing_take_the_strict_side_and_shut_nobody_out() {
    for weight in [0.0, -4.0, f64::NAN, f64::INFINITY] {
        let mut w = world(40, 3, weight);
        let m = w.submit(0, 5);
        w.finish(m, Outcome::Error, 0);
        // One call a second, half too high: three calls a span of all forty, a turn in 21 s.
        let sends = sends_in(&mut w, 300 * SEC);
        assert!((1..=15).contains(&sends), "{sends} calls at a weight of {weight}");
    }
}

#[test]
fn an_approximate_weight_is_taken_to_be_half_too_high() {
    let calls = |rough: bool| {
        let mut s = set(270, FAR);
        s.weight_is_approximate = rough;
        let mut w = World::new(s, 1);
        w.list(ListUpdate::Full, &[EndpointEntry { weight: 30.0, ..entry(0, 5) }]);
        let m = w.submit(0, 5);
        w.finish(m, Outcome::Error, 0);
        let mut n = 0;
        for _ in 0..200 {
            n += sends_in(&mut w, SEC);
            let out: Vec<MsgId> = w.in_flight.keys().map(|k| k.0).collect();
            out.into_iter().for_each(|m| drop(w.finish(m, Outcome::Error, 0)));
        }
        n
    };
    assert!(calls(true) < calls(false), "{} and {}", calls(true), calls(false));
}

#[test]
fn a_success_of_a_call_sent_before_the_failure_was_seen_opens_nothing() {
    let mut w = world(270, FAR, 6.0);
    let early = w.submit(0, 5);
    let failing = w.submit(0, 5);
    w.finish(failing, Outcome::Error, 0);
    w.finish_after(early, SEC, Outcome::Ok);
    assert_eq!(sends_in(&mut w, 40 * SEC), 0);
}

#[test]
fn the_guard_ends_one_slow_start_after_a_success_and_a_failure_meanwhile_restarts_it() {
    for disturbed in [false, true] {
        let mut w = failed_once(40);
        let mut probe = None;
        for _ in 0..200 {
            let m = w.submit(0, 5);
            w.pass(SEC);
            probe = w.in_flight.keys().next().map(|k| k.0);
            if probe.is_some() || w.answers(m).is_empty() && w.sends(m) > 0 {
                break;
            }
        }
        w.finish(probe.expect("its turn comes"), Outcome::Ok, 0);
        assert_eq!(sends_in(&mut w, 10 * SEC), 0, "cold for eleven seconds");
        if disturbed {
            // The route is free; after one failure it is not.
            w.pass(2 * SEC);
            let m = w.in_flight.keys().next().map(|k| k.0).expect("what was held goes");
            w.finish(m, Outcome::Error, 0);
            let out: Vec<MsgId> = w.in_flight.keys().map(|k| k.0).collect();
            out.into_iter().for_each(|m| drop(w.finish(m, Outcome::Ok, 0)));
            assert!(sends_in(&mut w, 12 * SEC) <= 1, "bound anew");
        } else {
            w.pass(2 * SEC);
            assert!(sends_in(&mut w, 2 * SEC) > 0 || !w.in_flight.is_empty(), "then free");
        }
    }
}

#[test]
fn a_route_that_leaves_and_returns_and_a_replaced_endpoint_stay_bound() {
    let mut s = set(270, FAR);
    s.kinds = vec![Routes::APART];
    let mut w = World::new(s, 1);
    w.list(ListUpdate::Full, &[entry(0, 5)]);
    let m = w.submit(0, 5);
    w.finish(m, Outcome::ConnectFailed, 0);
    w.list(ListUpdate::Full, &[entry(7, 9)]);
    w.pass(5 * SEC);
    w.list(ListUpdate::Full, &[entry(0, 5)]);
    assert_eq!(sends_in(&mut w, 30 * SEC), 0, "the route is known");
    let mut w = failed_once(270);
    w.list(ListUpdate::Full, &[entry(8, 5)]);
    assert_eq!(sends_in(&mut w, 30 * SEC), 0, "the destination is known");
}

struct Routes;
impl Routes {
    const APART: quillmount_policy::DestinationKind =
        quillmount_policy::DestinationKind { separate_routes: true, batch: 1 };
}

#[test]
fn a_reset_of_a_reused_connection_counts_as_a_failure_seen() {
    let mut w = world(270, FAR, 6.0);
    let m = w.submit(0, 5);
    w.finish(m, Outcome::Ok, 0);
    let m = w.submit(0, 5);
    w.finish(m, Outcome::Reset, 0);
    assert_eq!(sends_in(&mut w, 30 * SEC), 0);
}

#[test]
fn few_senders_do_not_rest_long_after_one_error_or_one_refusal() {
    for (senders, weight) in [(2, 6.0), (3, 6.0), (5, 60.0)] {
        for outcome in [Outcome::Error, Outcome::Full] {
            let mut w = world(senders, 1, weight);
            let m = w.submit(0, 5);
            w.finish(m, Outcome::Ok, 0);
            let m = w.submit(0, 5);
            w.finish(m, outcome, 0);
            w.pass(2 * SEC);
            assert_eq!(w.sends(m), 2, "{senders} senders after {outcome:?}");
        }
    }
}

/// Ends all calls but `one` well.
fn answer_all_but(w: &mut World, one: Option<MsgId>) {
    let out: Vec<MsgId> = w.in_flight.keys().map(|k| k.0).filter(|m| Some(*m) != one).collect();
    out.into_iter().for_each(|m| drop(w.finish(m, Outcome::Ok, 0)));
}

/// One of two senders just after an outage, with a call out that was sent before it.
fn returning() -> (World, MsgId) {
    let mut w = world(2, 1, 6.0);
    let early = w.submit(0, 5);
    for _ in 0..3 {
        let m = w.submit(0, 5);
        w.finish_after(m, 1_000, Outcome::Error);
        w.step(&[DispatchEvent::Hangup { msg: m }]);
        w.pass(2 * SEC);
    }
    assert!(w.dispatcher.route(0).unwrap().in_outage);
    w.submit(0, 5);
    while w.dispatcher.route(0).unwrap().in_outage {
        w.pass(SEC);
        answer_all_but(&mut w, Some(early));
    }
    (w, early)
}

/// Whether three calls go one right after the other when the guard should have lifted.
fn is_free(w: &mut World) -> bool {
    w.pass(COLD);
    answer_all_but(w, None);
    w.pass(2 * SEC);
    (0..3).all(|_| {
        let m = w.submit(0, 5);
        answer_all_but(w, None);
        w.sends(m) == 1
    })
}

#[test]
fn neither_a_refusal_between_successes_nor_a_call_from_before_renews_the_guard() {
    let (mut w, early) = returning();
    w.finish(early, Outcome::Timeout, 0);
    assert!(is_free(&mut w), "a call sent in the outage tells nothing of what came after");
    let (mut w, early) = returning();
    w.step(&[DispatchEvent::Hangup { msg: early }]);
    w.finish(early, Outcome::Moot, 0);
    w.pass(2 * SEC);
    let m = w.submit(0, 5);
    w.finish_after(m, 1_000, Outcome::Full);
    assert!(is_free(&mut w), "one refusal among successes is a limit's");
    let (mut w, early) = returning();
    w.step(&[DispatchEvent::Hangup { msg: early }]);
    w.finish(early, Outcome::Moot, 0);
    w.pass(2 * SEC);
    let m = w.submit(0, 5);
    w.finish_after(m, 1_000, Outcome::Error);
    assert!(!is_free(&mut w), "an error is a failure seen");
}

#[test]
fn a_message_that_cannot_be_sent_in_time_is_rejected_at_once() {
    let mut s = set(270, FAR);
    s.classes[1].effect = Effect::Deduplicated { span: 5 * SEC, by_zone: true };
    let mut w = World::new(s, 1);
    w.list(ListUpdate::Full, &[entry(0, 5)]);
    let m = w.submit(0, 5);
    let keyed = w.submit(1, 5);
    w.finish(m, Outcome::Error, 0);
    assert!(matches!(w.answers(m)[..], [DispatchAction::Reject { after, .. }] if after > 0));
    w.finish(keyed, Outcome::Error, 0);
    assert_eq!(w.answers(keyed), [DispatchAction::Fail { msg: keyed }], "it may have run in one zone");
    for class in [0, 1, 2] {
        let m = w.submit(class, 5);
        assert!(
            matches!(w.answers(m)[..], [DispatchAction::Reject { after, .. }] if after > 0),
            "class {class}"
        );
    }
}

#[test]
fn a_reported_wait_and_the_guard_both_bind() {
    let mut w = world(40, 3, 6.0);
    let m = w.submit(0, 5);
    let report_limit = w.now + 100 * SEC;
    w.finish(m, Outcome::Full, 100 * SEC);
    while w.now + SEC < report_limit {
        w.submit(0, 5);
        w.pass(SEC);
    }
    assert_eq!(w.attempts.len(), 1, "the wait outlasts a turn");
    let mut w = world(270, FAR, 6.0);
    let m = w.submit(0, 5);
    w.finish(m, Outcome::Full, 200_000);
    assert_eq!(sends_in(&mut w, 20 * SEC), 0, "the guard outlasts the wait");
}

fn report_limit(w: &mut World, left: f64) {
    let m = w.submit(0, 5);
    let load_report = vec![left, 6.0];
    w.in_flight.remove(&(m, 0));
    w.step(&[DispatchEvent::Completed(Completion {
        msg: m,
        attempt: 0,
        outcome: Outcome::Full,
        elapsed: 20_000,
        finished: false,
        wait: 0,
        load_report,
    })]);
}

#[test]
fn a_limit_reported_as_used_up_is_no_outage() {
    for (left, none) in [(0.1, false), (0.95, true), (f64::NAN, true)] {
        let mut s = set(270, FAR);
        s.limit_report = Some(LimitReportFields { left: 0, rate: 1 });
        let mut w = World::new(s, 1);
        w.list(ListUpdate::Full, &[entry(0, 5)]);
        report_limit(&mut w, left);
        assert_eq!(sends_in(&mut w, 25 * SEC) == 0, none, "{left} of the allowance left");
    }
}

/// A third time-out would take as long as the first two: all waiting messages would be sent at once.
#[test]
fn with_few_senders_two_time_outs_in_a_row_bind_the_guard_and_two_errors_do_not() {
    let calls = |outcome| {
        let mut w = World::new(Settings { slots: 64, ..set(3, 0) }, 0);
        w.list(ListUpdate::Full, &[EndpointEntry { weight: 30.0, ..entry(0, 5) }]);
        let first = [w.submit(0, 5), w.submit(0, 5)];
        w.pass(SEC);
        for m in first {
            w.step(&[DispatchEvent::Hangup { msg: m }]);
        }
        for m in first {
            w.finish(m, outcome, 0);
        }
        w.pass(3 * SEC);
        let before = w.log.len();
        for _ in 1..FALL / 15_000 {
            w.submit(0, 5);
            w.pass(15_000);
            answer_all_but(&mut w, None);
        }
        w.log[before..].iter().filter(|(_, a)| matches!(a, DispatchAction::Send { .. })).count()
    };
    let (silent, errors) = (calls(Outcome::Timeout), calls(Outcome::Error));
    assert!(silent == 4 && errors > 10, "{silent} calls in a span after silence, {errors} after errors");
}

/// Operators have enabled an endpoint again: no sender saw a failure, and it is cold nevertheless.
#[test]
fn an_endpoint_put_back_counts_as_back_from_an_outage() {
    let calls = |cold| {
        let mut w = World::new(Settings { slots: 64, ..set(3, 0) }, 0);
        w.list(ListUpdate::Full, &[EndpointEntry { weight: 30.0, ..entry(0, 5) }]);
        w.list(
            ListUpdate::Delta,
            &[EndpointEntry { state: EndpointState::Draining, weight: 30.0, ..entry(0, 5) }],
        );
        w.list(ListUpdate::Delta, &[EndpointEntry { returning: cold, weight: 30.0, ..entry(0, 5) }]);
        for _ in 0..20 {
            w.submit(0, 5);
        }
        w.in_flight.len()
    };
    // A third of what three senders may send within a span: 2 x 0.2 x (30 / 1.5) a second x 1.5 s.
    assert_eq!((calls(true), calls(false)), (4, 20));
}
