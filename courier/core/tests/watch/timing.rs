//! The times of a courier's requests and the request rate of a fleet: after a timeout, after rejections and at the start.

use crate::fleet::{
    BROKEN, DRAIN_GRACES, FLEETS, RECEIVED, SMALL_FLEET, TICK, courier, follow_until_silence,
    max_requests_per_second, next_request,
};
use quillmount_core::machine::watch::{
    ANSWER_TIME_MAX, DRAIN_GRACE_MAX, HEARTBEAT, HEARTBEAT_SLACK, NOTIFICATION_DEADLINE,
    REQUEST_INTERVAL_MAX, WatchInput, WatchOutput,
};

/// The outage may begin at any time between the last heartbeat and the time at which the next one is due. In small fleets
/// the hedged request is also in time if the first one is lost.
#[test]
fn a_silent_watch_is_renewed_and_answered_before_its_missed_changes_count() {
    for (fleet, drain_grace) in
        FLEETS.into_iter().flat_map(|fleet| DRAIN_GRACES.map(|drain_grace| (fleet, drain_grace)))
    {
        let mut sent = Vec::new();
        for index in 0..fleet {
            let mut watch = courier(fleet, index, false, drain_grace);
            let last = follow_until_silence(&mut watch);
            // A heartbeat may be half a second late.
            assert_eq!(watch.step(TICK, last + HEARTBEAT + HEARTBEAT_SLACK - 1), WatchOutput::Nothing);
            let first = next_request(&mut watch);
            let hedged = next_request(&mut watch);
            sent.push(first);
            for phase in 0..=20 {
                let notified_at = last + phase * HEARTBEAT / 20 + 6_000_000;
                assert!(
                    first + ANSWER_TIME_MAX <= notified_at - 1_000_000,
                    "{fleet} couriers, {drain_grace}: {first}"
                );
                let in_time = hedged + drain_grace * 3 / 8 <= notified_at - 1_000_000;
                assert!(in_time || fleet > SMALL_FLEET, "{fleet} couriers, {drain_grace}: {hedged}");
            }
        }
        // All couriers stopped receiving data at the same time, and their requests are spread evenly.
        let (max_rate, even_rate) = (max_requests_per_second(sent), fleet as usize * 2 / 3);
        assert!(
            fleet < 100 || max_rate <= even_rate * 6 / 5,
            "{fleet} couriers: {max_rate} requests in a second"
        );
    }
}

/// An agent that does not answer while discovery is unavailable may get a list at any time. Whether it answers earlier
/// requests or only those sent from then on, a courier of a small fleet receives the list within the drain grace period.
#[test]
fn after_an_outage_of_any_length_an_agent_gets_a_request_in_time() {
    for (fleet, drain_grace) in
        FLEETS.into_iter().flat_map(|fleet| DRAIN_GRACES.map(|drain_grace| (fleet, drain_grace)))
    {
        let mut all = Vec::new();
        for index in 0..fleet {
            let mut watch = courier(fleet, index, false, drain_grace);
            let last = follow_until_silence(&mut watch);
            let mut sent = vec![next_request(&mut watch)];
            while sent.last().is_some_and(|at| *at < last + 16_000_000) {
                sent.push(next_request(&mut watch));
            }
            for pair in sent.windows(2) {
                // Three eighths of the drain grace period remain for the answer.
                let max_interval =
                    if fleet > SMALL_FLEET { REQUEST_INTERVAL_MAX } else { drain_grace * 5 / 8 };
                assert!(pair[1] - pair[0] <= max_interval, "{fleet} couriers, {drain_grace}: {pair:?}");
            }
            // The first request of each courier was sent when the timeout was detected.
            all.extend(sent.into_iter().skip(1));
        }
        let max_rate = max_requests_per_second(all);
        let requests_per_courier = 8 * 1_000_000 / (3 * drain_grace) + 1;
        let rate_limit = if fleet > SMALL_FLEET {
            fleet as usize * 4 / 5
        } else {
            fleet as usize * requests_per_courier as usize
        };
        assert!(max_rate <= rate_limit, "{fleet} couriers: {max_rate} requests in a second");
    }
}

/// At the start of a process the list counts as received at once, and one request may fail or be lost. After discovery has
/// moved the list counts 4 s later, and three requests may fail.
#[test]
fn a_starting_process_sends_its_first_request_in_time() {
    for (fleet, drain_grace) in
        FLEETS.into_iter().flat_map(|fleet| DRAIN_GRACES.map(|drain_grace| (fleet, drain_grace)))
    {
        for index in 0..fleet {
            let mut watch = courier(fleet, index, true, drain_grace);
            let first = next_request(&mut watch);
            assert!(first <= drain_grace / 4, "{fleet} couriers, {drain_grace}: {first}");
            let mut unanswered = watch;
            let hedged = next_request(&mut unanswered);
            if fleet > SMALL_FLEET {
                assert!(hedged <= first + REQUEST_INTERVAL_MAX, "{fleet} couriers, {drain_grace}: {hedged}");
                continue;
            }
            assert!(hedged <= drain_grace * 7 / 8, "{fleet} couriers, {drain_grace}: {hedged}");
            watch.step(BROKEN, first);
            let second = next_request(&mut watch);
            assert!(second <= first + drain_grace / 2, "{fleet}, {drain_grace}: {second}");
            let (mut moved, mut last_request) = (courier(fleet, index, false, drain_grace), 0);
            for _ in 0..3 {
                moved.step(BROKEN, last_request);
                last_request = next_request(&mut moved);
            }
            assert!(
                last_request + drain_grace / 2 <= 4_000_000,
                "{fleet} couriers, {drain_grace}: {last_request}"
            );
        }
    }
}

/// All couriers of a fleet lose discovery at the same time, and all their requests are rejected. The requests within any
/// second are limited, more strictly after 16 s. No backoff is longer than 4 s, so that the answer is received within 5 s of
/// the last request.
#[test]
fn a_rejected_fleet_sends_requests_less_and_less_often() {
    let request_rates = |fleet: u32| {
        let (mut early, mut late) = (Vec::new(), Vec::new());
        for index in 0..fleet {
            let mut watch = courier(fleet, index, false, 1_000_000);
            let mut before = follow_until_silence(&mut watch);
            watch.step(BROKEN, before);
            while before < 60_000_000 {
                let at = next_request(&mut watch);
                assert!(at - before <= 4_000_000, "{fleet} couriers: {}", at - before);
                if at < 16_000_000 {
                    early.push(at);
                } else {
                    late.push(at);
                }
                watch.step(BROKEN, at);
                before = at;
            }
        }
        (max_requests_per_second(early), max_requests_per_second(late))
    };
    for (fleet, first, later) in [(48, 108, 32), (100, 225, 60), (300, 675, 140), (5_000, 11_250, 1_900)] {
        let (early, late) = request_rates(fleet);
        assert!(early <= first && late <= later, "{fleet}: {early} in the busiest second, {late} later");
    }
    // In a small fleet the rate stays at two requests within a second or more.
    assert!(request_rates(3).1 >= 2);
}

/// A discovery service that rejects requests is overloaded, and must not get more of them when it then answers late.
#[test]
fn an_agent_that_rejected_a_request_gets_fewer_while_it_is_silent() {
    let mut watch = courier(300, 7, false, 1_000_000);
    for _ in 0..8 {
        watch.step(BROKEN, watch.wake_at().unwrap());
        next_request(&mut watch);
    }
    let first = next_request(&mut watch);
    let hedged = next_request(&mut watch);
    assert!(hedged - first >= 2_000_000, "{}", hedged - first);
}

/// Watches that end immediately after a list are not stable, so that the backoff grows.
#[test]
fn watches_that_end_at_once_are_renewed_less_and_less_often() {
    let mut watch = courier(300, 7, false, 1_000_000);
    let (mut now, mut requests) = (0, 0);
    while now < 30_000_000 {
        watch.step(WatchInput::Answered, now);
        watch.step(RECEIVED, now);
        watch.step(BROKEN, now);
        now = next_request(&mut watch);
        requests += 1;
    }
    assert!(requests <= 14, "{requests} requests in 30 s");
}

/// Counted from the last heartbeat, from the last failed request and from the last request sent, the next answer is received
/// `DRAIN_GRACE_MAX` before the courier counts as notified.
#[test]
fn no_two_requests_are_further_apart_than_the_bound_allows() {
    const { assert!(REQUEST_INTERVAL_MAX + ANSWER_TIME_MAX + DRAIN_GRACE_MAX <= NOTIFICATION_DEADLINE) }
    for (fleet, drain_grace) in
        [1, 3, 10, 11, 30, 63, 64, 300, 5_000].into_iter().flat_map(|f| DRAIN_GRACES.map(|h| (f, h)))
    {
        for index in 0..fleet.min(200) {
            let mut watch = courier(fleet, index, false, drain_grace).with_pushed_lists(index % 2 == 0);
            let last = follow_until_silence(&mut watch);
            assert!(
                next_request(&mut watch) <= last + REQUEST_INTERVAL_MAX,
                "{fleet} couriers after a silence"
            );
            let mut refused = courier(fleet, index, false, drain_grace).with_pushed_lists(index % 2 == 0);
            let mut before = 0;
            for n in 0..40 {
                // Refused, lost and unanswered requests in turn.
                if n % 3 == 0 {
                    refused.step(BROKEN, before);
                } else if n % 3 == 1 {
                    refused.step(WatchInput::Lost, before);
                }
                let at = next_request(&mut refused);
                assert!(at <= before + REQUEST_INTERVAL_MAX, "{fleet} couriers: {before} to {at}");
                before = at;
            }
        }
    }
}

/// A timeout is not a rejection: after repeated timeouts the next request is sent as early as after the first one.
#[test]
fn silence_after_each_renewal_delays_no_request() {
    for drain_grace in DRAIN_GRACES {
        let mut watch = courier(3, 1, false, drain_grace);
        let mut last_request = 0;
        for _ in 0..20 {
            watch.step(WatchInput::Answered, last_request);
            let next = next_request(&mut watch);
            assert!(next - last_request <= REQUEST_INTERVAL_MAX, "{last_request} to {next}");
            last_request = next;
        }
        let hedged = next_request(&mut watch);
        assert!(hedged - last_request <= drain_grace * 5 / 8, "{}", hedged - last_request);
    }
}
