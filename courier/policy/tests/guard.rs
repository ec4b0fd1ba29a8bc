//! The slow-start guard of a returning destination: the calls that informed senders, which observed a failure, may
//! make together.

mod common;
use common::*;
use quillmount_policy::*;

const OVERLOAD_SPAN: Micros = 3 * SEC / 2;
const SLOW_START: Micros = 11 * SEC;
/// Index of a sender among 270 whose first turn at a destination of six calls a second comes after most of a minute.
const LATE_TURN_INDEX: u32 = 250;

fn guard_settings(senders: u32, index: u32) -> Settings {
    let mut set = settings(8);
    (set.sender_count, set.sender_index, set.overload_span, set.overload_multiple) =
        (senders, index, OVERLOAD_SPAN, 2.0);
    (set.slow_start_share, set.slow_start, set.weight_is_approximate) = (0.2, SLOW_START, true);
    set
}

fn new_world(senders: u32, index: u32, weight: f64) -> World {
    let mut world = World::new(guard_settings(senders, index), u64::from(index));
    world.list(
        ListUpdate::Full,
        &[EndpointEntry { weight, ..entry(0, 5) }, EndpointEntry { weight, ..entry(1, 5) }],
    );
    world
}

/// Maximum number of calls in any overload span: two thirds of N + 2 sqrt(N) + 2, where N = overload multiple x
/// slow-start share x true rate x span. The listed rate may be half too high.
fn max_guarded_calls(weight: f64) -> usize {
    let allowed = 2.0 * 0.2 * (weight / 1.5) * 1.5;
    (2.0 / 3.0 * (allowed + 2.0 * f64::sqrt(allowed) + 2.0)) as usize
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum FaultKind {
    Refused,
    Silent,
    NoConnect,
    /// One call in twelve succeeds.
    Errors,
}

/// The test's own model of a sender's guard, independent of the policy.
#[derive(Default, Clone)]
struct GuardModel {
    failed_at: Option<Micros>,
    recovered_at: Option<Micros>,
}

impl GuardModel {
    fn is_guarded(&self, now: Micros) -> bool {
        self.failed_at.is_some() && self.recovered_at.is_none_or(|t| now < t + SLOW_START)
    }

    /// Records the end of a call that was sent at `sent`.
    fn record(&mut self, now: Micros, sent: Micros, outcome: Outcome) {
        if outcome != Outcome::Ok {
            (self.failed_at, self.recovered_at) = (Some(now), None);
        } else if self.failed_at.is_some_and(|failed| sent >= failed) {
            self.recovered_at = self.recovered_at.or(Some(now));
        }
    }
}

/// Simulates senders that each have a message every two seconds and call in the first second of the outage. Returns
/// the times of the calls by senders that had observed a failure, until the slow start has ended. `clocks_agree`: all
/// senders have the same clock.
fn calls_of_senders(
    senders: u32,
    weight: f64,
    kind: FaultKind,
    outages: &[(Micros, Micros)],
    clocks_agree: bool,
) -> Vec<Micros> {
    let offset = |n: u64| if clocks_agree { 0 } else { n * 7_654_321 % (600 * SEC) };
    let mut worlds: Vec<World> = (0..senders).map(|n| new_world(senders, n, weight)).collect();
    for (n, world) in (0..).zip(worlds.iter_mut()) {
        world.pass(offset(n));
    }
    let start: Vec<Micros> = worlds.iter().map(|world| world.now).collect();
    let mut models = vec![GuardModel::default(); worlds.len()];
    let (mut calls_of_informed_senders, mut calls) = (Vec::new(), 0u64);
    let end = outages.last().unwrap().1 + SLOW_START;
    let mut due: Vec<Vec<(Micros, MsgId, Outcome)>> = vec![Vec::new(); worlds.len()];
    for now in (0..end).step_by(20_000) {
        let down = outages.iter().any(|(from, to)| (*from..*to).contains(&now));
        for (n, world) in worlds.iter_mut().enumerate() {
            let before = world.log.len();
            world.pass(start[n] + now - world.now);
            let (ended, later) = due[n].iter().partition(|(at, ..)| *at <= now);
            due[n] = later;
            let ended: Vec<(Micros, MsgId, Outcome)> = ended;
            let is_guarded = models[n].is_guarded(now);
            for (_, id, outcome) in ended {
                let sent = world.in_flight[&(id, world.attempts[&id] - 1)].1 - start[n];
                world.finish(id, outcome, 0);
                models[n].record(now, sent, outcome);
            }
            if (now + n as u64 * 20_000) % (2 * SEC) < 20_000 || (now == 0 && outages[0].0 == 0) {
                world.submit(0, 5);
            }
            let sends: Vec<(MsgId, Micros)> = world.log[before..]
                .iter()
                .filter_map(|(_, a)| match a {
                    DispatchAction::Send { msg, timeout, .. } => Some((*msg, *timeout)),
                    _ => None,
                })
                .collect();
            for (msg, timeout) in sends {
                calls += 1;
                if is_guarded {
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
    assert!(models.iter().filter(|model| model.failed_at.is_some()).count() * 10 >= worlds.len() * 9);
    calls_of_informed_senders
}

fn max_calls_in_span(calls: &[Micros]) -> usize {
    calls
        .iter()
        .map(|t| calls.iter().filter(|u| (*t..t + OVERLOAD_SPAN).contains(u)).count())
        .max()
        .unwrap_or(0)
}

fn assert_within_limit(senders: u32, weight: f64, kind: FaultKind, outage: Micros) {
    let calls = calls_of_senders(senders, weight, kind, &[(0, outage)], true);
    let (max_in_span, limit) = (max_calls_in_span(&calls), max_guarded_calls(weight));
    assert!(
        max_in_span <= limit,
        "{senders} senders, {weight}/s, {kind:?} for {outage}: {max_in_span} calls in a span, {limit} allowed"
    );
    assert!(!calls.is_empty(), "at least one informed sender must call");
}

#[test]
fn forty_senders_keep_within_the_budget() {
    for kind in [FaultKind::Refused, FaultKind::Silent, FaultKind::NoConnect, FaultKind::Errors] {
        for outage in [6, 14, 27] {
            assert_within_limit(40, 6.0, kind, outage * SEC);
        }
    }
}

#[test]
fn two_hundred_and_seventy_senders_keep_within_the_budget() {
    for kind in [FaultKind::Refused, FaultKind::Silent, FaultKind::NoConnect, FaultKind::Errors] {
        assert_within_limit(270, 6.0, kind, 9 * SEC);
        assert_within_limit(270, 45.0, kind, 16 * SEC);
    }
}

#[test]
fn a_thousand_senders_keep_within_the_budget() {
    for (kind, outage) in
        [(FaultKind::Refused, 12), (FaultKind::Silent, 9), (FaultKind::NoConnect, 5), (FaultKind::Errors, 12)]
    {
        assert_within_limit(1_000, 6.0, kind, outage * SEC);
    }
    assert_within_limit(1_000, 100.0, FaultKind::Refused, 8 * SEC);
}

#[test]
fn a_destination_with_two_outages_is_not_overloaded() {
    let calls = calls_of_senders(270, 20.0, FaultKind::Refused, &[(0, 8 * SEC), (14 * SEC, 24 * SEC)], true);
    assert!(max_calls_in_span(&calls) <= max_guarded_calls(20.0), "{} in a span", max_calls_in_span(&calls));
}

/// If the senders' clocks differ, the mean rate stays the same and calls coincide only by chance.
#[test]
fn senders_whose_clocks_differ_are_spread() {
    let calls = calls_of_senders(270, 45.0, FaultKind::Refused, &[(0, 20 * SEC)], false);
    let limit = max_guarded_calls(45.0) as f64;
    let spans = 31.0 / 1.5;
    assert!(calls.len() as f64 <= spans * (limit + 1.0), "{} calls", calls.len());
    assert!(
        max_calls_in_span(&calls) as f64 <= limit + 3.0 * limit.sqrt(),
        "{} in a span",
        max_calls_in_span(&calls)
    );
}

/// One of `senders` senders, which observed one failed call after a successful one.
fn failed_once(senders: u32) -> World {
    let mut world = new_world(senders, if senders > 40 { LATE_TURN_INDEX } else { 3 }, 6.0);
    for outcome in [Outcome::Ok, Outcome::Full] {
        let id = world.submit(0, 5);
        world.finish(id, outcome, 0);
    }
    world
}

fn sends_in(world: &mut World, span: Micros) -> usize {
    let before = world.log.len();
    for _ in 0..span / SEC {
        world.submit(0, 5);
        world.pass(SEC);
    }
    world.log[before..].iter().filter(|(_, action)| matches!(action, DispatchAction::Send { .. })).count()
}

#[test]
fn unusable_weights_count_as_one_call_a_second_and_exclude_no_sender() {
    for weight in [0.0, -4.0, f64::NAN, f64::INFINITY] {
        let mut world = new_world(40, 3, weight);
        let id = world.submit(0, 5);
        world.finish(id, Outcome::Error, 0);
        // At one call a second, which may be half too high, all forty senders may make three calls a span: a turn
        // every 21 s.
        let sends = sends_in(&mut world, 300 * SEC);
        assert!((1..=15).contains(&sends), "{sends} calls at a weight of {weight}");
    }
}

#[test]
fn an_approximate_weight_is_assumed_to_be_half_too_high() {
    let calls = |is_approximate: bool| {
        let mut settings = guard_settings(270, LATE_TURN_INDEX);
        settings.weight_is_approximate = is_approximate;
        let mut world = World::new(settings, 1);
        world.list(ListUpdate::Full, &[EndpointEntry { weight: 30.0, ..entry(0, 5) }]);
        let id = world.submit(0, 5);
        world.finish(id, Outcome::Error, 0);
        let mut n = 0;
        for _ in 0..200 {
            n += sends_in(&mut world, SEC);
            let out: Vec<MsgId> = world.in_flight.keys().map(|k| k.0).collect();
            out.into_iter().for_each(|id| drop(world.finish(id, Outcome::Error, 0)));
        }
        n
    };
    assert!(calls(true) < calls(false), "{} and {}", calls(true), calls(false));
}

#[test]
fn a_success_of_a_call_sent_before_the_failure_does_not_end_the_guard() {
    let mut world = new_world(270, LATE_TURN_INDEX, 6.0);
    let early = world.submit(0, 5);
    let failing = world.submit(0, 5);
    world.finish(failing, Outcome::Error, 0);
    world.finish_after(early, SEC, Outcome::Ok);
    assert_eq!(sends_in(&mut world, 40 * SEC), 0);
}

#[test]
fn the_guard_ends_one_slow_start_after_a_success_and_a_failure_meanwhile_restarts_it() {
    for disturbed in [false, true] {
        let mut world = failed_once(40);
        let mut probe = None;
        for _ in 0..200 {
            let id = world.submit(0, 5);
            world.pass(SEC);
            probe = world.in_flight.keys().next().map(|k| k.0);
            if probe.is_some() || world.answers(id).is_empty() && world.sends(id) > 0 {
                break;
            }
        }
        world.finish(probe.expect("the sender has its turn"), Outcome::Ok, 0);
        assert_eq!(sends_in(&mut world, 10 * SEC), 0, "no call during the slow start of eleven seconds");
        if disturbed {
            // The guard has ended; one failure activates it again.
            world.pass(2 * SEC);
            let id = world.in_flight.keys().next().map(|k| k.0).expect("a waiting message is sent");
            world.finish(id, Outcome::Error, 0);
            let out: Vec<MsgId> = world.in_flight.keys().map(|k| k.0).collect();
            out.into_iter().for_each(|id| drop(world.finish(id, Outcome::Ok, 0)));
            assert!(sends_in(&mut world, 12 * SEC) <= 1, "the guard is active again");
        } else {
            world.pass(2 * SEC);
            assert!(
                sends_in(&mut world, 2 * SEC) > 0 || !world.in_flight.is_empty(),
                "no guard after the slow start"
            );
        }
    }
}

#[test]
fn a_route_that_is_removed_and_relisted_and_a_replaced_endpoint_stay_guarded() {
    let mut settings = guard_settings(270, LATE_TURN_INDEX);
    settings.kinds = vec![TestKinds::SEPARATE_ROUTES];
    let mut world = World::new(settings, 1);
    world.list(ListUpdate::Full, &[entry(0, 5)]);
    let id = world.submit(0, 5);
    world.finish(id, Outcome::ConnectFailed, 0);
    world.list(ListUpdate::Full, &[entry(7, 9)]);
    world.pass(5 * SEC);
    world.list(ListUpdate::Full, &[entry(0, 5)]);
    assert_eq!(sends_in(&mut world, 30 * SEC), 0, "the guard of the route is retained");
    let mut world = failed_once(270);
    world.list(ListUpdate::Full, &[entry(8, 5)]);
    assert_eq!(sends_in(&mut world, 30 * SEC), 0, "the guard of the destination is retained");
}

struct TestKinds;
impl TestKinds {
    const SEPARATE_ROUTES: quillmount_policy::DestinationKind =
        quillmount_policy::DestinationKind { separate_routes: true, batch: 1 };
}

#[test]
fn a_reset_of_a_reused_connection_activates_the_guard() {
    let mut world = new_world(270, LATE_TURN_INDEX, 6.0);
    let id = world.submit(0, 5);
    world.finish(id, Outcome::Ok, 0);
    let id = world.submit(0, 5);
    world.finish(id, Outcome::Reset, 0);
    assert_eq!(sends_in(&mut world, 30 * SEC), 0);
}

#[test]
fn few_senders_retry_soon_after_one_error_or_one_refusal() {
    for (senders, weight) in [(2, 6.0), (3, 6.0), (5, 60.0)] {
        for outcome in [Outcome::Error, Outcome::Full] {
            let mut world = new_world(senders, 1, weight);
            let id = world.submit(0, 5);
            world.finish(id, Outcome::Ok, 0);
            let id = world.submit(0, 5);
            world.finish(id, outcome, 0);
            world.pass(2 * SEC);
            assert_eq!(world.sends(id), 2, "{senders} senders after {outcome:?}");
        }
    }
}

/// Ends all calls successfully except that of `excluded`.
fn answer_all_but(world: &mut World, excluded: Option<MsgId>) {
    let out: Vec<MsgId> = world.in_flight.keys().map(|k| k.0).filter(|id| Some(*id) != excluded).collect();
    out.into_iter().for_each(|id| drop(world.finish(id, Outcome::Ok, 0)));
}

/// One of two senders just after an outage, with a call in flight that was sent before it.
fn world_after_outage() -> (World, MsgId) {
    let mut world = new_world(2, 1, 6.0);
    let early = world.submit(0, 5);
    for _ in 0..3 {
        let id = world.submit(0, 5);
        world.finish_after(id, 1_000, Outcome::Error);
        world.step(&[DispatchEvent::Hangup { msg: id }]);
        world.pass(2 * SEC);
    }
    assert!(world.dispatcher.route(0).unwrap().in_outage);
    world.submit(0, 5);
    while world.dispatcher.route(0).unwrap().in_outage {
        world.pass(SEC);
        answer_all_but(&mut world, Some(early));
    }
    (world, early)
}

/// Whether three calls are sent in immediate succession at a time when the guard should have ended.
fn is_unguarded(world: &mut World) -> bool {
    world.pass(SLOW_START);
    answer_all_but(world, None);
    world.pass(2 * SEC);
    (0..3).all(|_| {
        let id = world.submit(0, 5);
        answer_all_but(world, None);
        world.sends(id) == 1
    })
}

#[test]
fn neither_a_refusal_between_successes_nor_a_call_from_before_the_outage_restarts_the_guard() {
    let (mut world, early) = world_after_outage();
    world.finish(early, Outcome::Timeout, 0);
    assert!(
        is_unguarded(&mut world),
        "a call sent before the end of the outage gives no information about the time after it"
    );
    let (mut world, early) = world_after_outage();
    world.step(&[DispatchEvent::Hangup { msg: early }]);
    world.finish(early, Outcome::Moot, 0);
    world.pass(2 * SEC);
    let id = world.submit(0, 5);
    world.finish_after(id, 1_000, Outcome::Full);
    assert!(is_unguarded(&mut world), "one refusal among successes is due to a limit");
    let (mut world, early) = world_after_outage();
    world.step(&[DispatchEvent::Hangup { msg: early }]);
    world.finish(early, Outcome::Moot, 0);
    world.pass(2 * SEC);
    let id = world.submit(0, 5);
    world.finish_after(id, 1_000, Outcome::Error);
    assert!(!is_unguarded(&mut world), "an error restarts the guard");
}

#[test]
fn a_message_that_cannot_be_sent_in_time_is_rejected_at_once() {
    let mut settings = guard_settings(270, LATE_TURN_INDEX);
    settings.classes[1].effect = Effect::Deduplicated { span: 5 * SEC, by_zone: true };
    let mut world = World::new(settings, 1);
    world.list(ListUpdate::Full, &[entry(0, 5)]);
    let id = world.submit(0, 5);
    let keyed = world.submit(1, 5);
    world.finish(id, Outcome::Error, 0);
    assert!(matches!(world.answers(id)[..], [DispatchAction::Reject { after, .. }] if after > 0));
    world.finish(keyed, Outcome::Error, 0);
    assert_eq!(
        world.answers(keyed),
        [DispatchAction::Fail { msg: keyed }],
        "the message may have run in one zone"
    );
    for class in [0, 1, 2] {
        let id = world.submit(class, 5);
        assert!(
            matches!(world.answers(id)[..], [DispatchAction::Reject { after, .. }] if after > 0),
            "class {class}"
        );
    }
}

#[test]
fn a_requested_wait_and_the_guard_both_apply() {
    let mut world = new_world(40, 3, 6.0);
    let id = world.submit(0, 5);
    let wait_until = world.now + 100 * SEC;
    world.finish(id, Outcome::Full, 100 * SEC);
    while world.now + SEC < wait_until {
        world.submit(0, 5);
        world.pass(SEC);
    }
    assert_eq!(world.attempts.len(), 1, "no call is made at a turn during the wait");
    let mut world = new_world(270, LATE_TURN_INDEX, 6.0);
    let id = world.submit(0, 5);
    world.finish(id, Outcome::Full, 200_000);
    assert_eq!(sends_in(&mut world, 20 * SEC), 0, "no call is made after the wait while the guard is active");
}

fn refuse_with_report(world: &mut World, left: f64) {
    let id = world.submit(0, 5);
    let load_report = vec![left, 6.0];
    world.in_flight.remove(&(id, 0));
    world.step(&[DispatchEvent::Completed(Completion {
        msg: id,
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
    for (left, is_guarded) in [(0.1, false), (0.95, true), (f64::NAN, true)] {
        let mut settings = guard_settings(270, LATE_TURN_INDEX);
        settings.limit_report = Some(LimitReportFields { left: 0, rate: 1 });
        let mut world = World::new(settings, 1);
        world.list(ListUpdate::Full, &[entry(0, 5)]);
        refuse_with_report(&mut world, left);
        assert_eq!(sends_in(&mut world, 25 * SEC) == 0, is_guarded, "{left} of the allowance left");
    }
}

/// Guards against a burst of all waiting messages: a third time-out would take as long as the first two together.
#[test]
fn with_few_senders_two_consecutive_time_outs_activate_the_guard_and_two_errors_do_not() {
    let calls = |outcome| {
        let mut world = World::new(Settings { slots: 64, ..guard_settings(3, 0) }, 0);
        world.list(ListUpdate::Full, &[EndpointEntry { weight: 30.0, ..entry(0, 5) }]);
        let first = [world.submit(0, 5), world.submit(0, 5)];
        world.pass(SEC);
        for id in first {
            world.step(&[DispatchEvent::Hangup { msg: id }]);
        }
        for id in first {
            world.finish(id, outcome, 0);
        }
        world.pass(3 * SEC);
        let before = world.log.len();
        for _ in 1..OVERLOAD_SPAN / 15_000 {
            world.submit(0, 5);
            world.pass(15_000);
            answer_all_but(&mut world, None);
        }
        world.log[before..].iter().filter(|(_, action)| matches!(action, DispatchAction::Send { .. })).count()
    };
    let (after_time_outs, after_errors) = (calls(Outcome::Timeout), calls(Outcome::Error));
    assert!(
        after_time_outs == 4 && after_errors > 10,
        "{after_time_outs} calls in a span after time-outs, {after_errors} after errors"
    );
}

/// After operators enable an endpoint again it is cold, although no sender observed a failure.
#[test]
fn a_re_enabled_endpoint_counts_as_returning_from_an_outage() {
    let calls = |is_returning| {
        let mut world = World::new(Settings { slots: 64, ..guard_settings(3, 0) }, 0);
        world.list(ListUpdate::Full, &[EndpointEntry { weight: 30.0, ..entry(0, 5) }]);
        world.list(
            ListUpdate::Delta,
            &[EndpointEntry { state: EndpointState::Draining, weight: 30.0, ..entry(0, 5) }],
        );
        world.list(
            ListUpdate::Delta,
            &[EndpointEntry { returning: is_returning, weight: 30.0, ..entry(0, 5) }],
        );
        for _ in 0..20 {
            world.submit(0, 5);
        }
        world.in_flight.len()
    };
    // A third of the calls that three senders may make in a span, where N = 2 x 0.2 x (30 / 1.5) a second x 1.5 s.
    assert_eq!((calls(true), calls(false)), (4, 20));
}
