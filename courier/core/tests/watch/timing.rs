//! When a courier sends requests, and how many of them a fleet sends: after a silence, after rejections and from its start.

use crate::fleet::{BROKEN, FEW, FLEETS, HEARD, HEEDS, TICK, busiest, courier, followed, next_ask};
use quillmount_core::machine::watch::{
    ANSWER_TIME_MAX, DRAIN_GRACE_MAX, HEARTBEAT, HEARTBEAT_SLACK, NOTIFICATION_DEADLINE,
    REQUEST_INTERVAL_MAX, WatchInput, WatchOutput,
};

/// The outage may begin at any time from the last line to the time at which the next is due; if the new request is lost,
/// the hedged one is in time too.
#[test]
fn a_silent_watch_is_renewed_and_answered_before_its_missed_changes_count() {
    for (fleet, heed) in FLEETS.into_iter().flat_map(|fleet| HEEDS.map(|heed| (fleet, heed))) {
        let mut asked = Vec::new();
        for me in 0..fleet {
            let mut watch = courier(fleet, me, false, heed);
            let last = followed(&mut watch);
            // A line may be half a second late.
            assert_eq!(watch.step(TICK, last + HEARTBEAT + HEARTBEAT_SLACK - 1), WatchOutput::Nothing);
            let first = next_ask(&mut watch);
            let beside = next_ask(&mut watch);
            asked.push(first);
            for phase in 0..=20 {
                let told = last + phase * HEARTBEAT / 20 + 6_000_000;
                assert!(first + ANSWER_TIME_MAX <= told - 1_000_000, "{fleet} couriers, {heed}: {first}");
                let in_time = beside + heed * 3 / 8 <= told - 1_000_000;
                assert!(in_time || fleet > FEW, "{fleet} couriers, {heed}: {beside}");
            }
        }
        // All of them stopped receiving data at the same time.
        let (most, even) = (busiest(asked), fleet as usize * 2 / 3);
        assert!(fleet < 100 || most <= even * 6 / 5, "{fleet} couriers: {most} a second");
    }
}

/// An agent that does not answer while discovery is down may have a list at any time: whether it answers earlier requests or
/// only those sent from then on, a courier has the list in time to heed it.
#[test]
fn after_an_outage_of_any_length_an_agent_gets_a_request_in_time() {
    for (fleet, heed) in FLEETS.into_iter().flat_map(|fleet| HEEDS.map(|heed| (fleet, heed))) {
        let mut all = Vec::new();
        for me in 0..fleet {
            let mut watch = courier(fleet, me, false, heed);
            let lost = followed(&mut watch);
            let mut asked = vec![next_ask(&mut watch)];
            while asked.last().is_some_and(|at| *at < lost + 16_000_000) {
                asked.push(next_ask(&mut watch));
            }
            for pair in asked.windows(2) {
                // Three eighths of it are left for the answer.
                let most = if fleet > FEW { REQUEST_INTERVAL_MAX } else { heed * 5 / 8 };
                assert!(pair[1] - pair[0] <= most, "{fleet} couriers, {heed}: {pair:?}");
            }
            // The first request of each was sent when the time-out was detected.
            all.extend(asked.into_iter().skip(1));
        }
        let most = busiest(all);
        let each = 8 * 1_000_000 / (3 * heed) + 1;
        let all = if fleet > FEW { fleet as usize * 4 / 5 } else { fleet as usize * each as usize };
        assert!(most <= all, "{fleet} couriers: {most} a second");
    }
}

/// Its list counts as notified at once, and one request may fail or be lost; after discovery has moved it counts 4 s later,
/// and three may fail.
#[test]
fn a_starting_process_sends_its_first_request_in_time() {
    for (fleet, heed) in FLEETS.into_iter().flat_map(|fleet| HEEDS.map(|heed| (fleet, heed))) {
        for me in 0..fleet {
            let mut watch = courier(fleet, me, true, heed);
            let first = next_ask(&mut watch);
            assert!(first <= heed / 4, "{fleet} couriers, {heed}: {first}");
            let mut lost = watch;
            let beside = next_ask(&mut lost);
            if fleet > FEW {
                assert!(beside <= first + REQUEST_INTERVAL_MAX, "{fleet} couriers, {heed}: {beside}");
                continue;
            }
            assert!(beside <= heed * 7 / 8, "{fleet} couriers, {heed}: {beside}");
            watch.step(BROKEN, first);
            let second = next_ask(&mut watch);
            assert!(second <= first + heed / 2, "{fleet}, {heed}: {second}");
            let (mut moved, mut asked) = (courier(fleet, me, false, heed), 0);
            for _ in 0..3 {
                moved.step(BROKEN, asked);
                asked = next_ask(&mut moved);
            }
            assert!(asked + heed / 2 <= 4_000_000, "{fleet} couriers, {heed}: {asked}");
        }
    }
}

/// A fleet that loses discovery at one time, and whose requests are all rejected: how many requests it sends within any
/// second, at first and later. No backoff is so long that the answer would arrive later than 5 s after the last one.
#[test]
fn a_rejected_fleet_sends_requests_less_and_less_often() {
    let ask_on = |fleet: u32| {
        let (mut early, mut late) = (Vec::new(), Vec::new());
        for me in 0..fleet {
            let mut watch = courier(fleet, me, false, 1_000_000);
            let mut before = followed(&mut watch);
            watch.step(BROKEN, before);
            while before < 60_000_000 {
                let at = next_ask(&mut watch);
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
        (busiest(early), busiest(late))
    };
    for (fleet, first, later) in [(48, 108, 32), (100, 225, 60), (300, 675, 140), (5_000, 11_250, 1_900)] {
        let (early, late) = ask_on(fleet);
        assert!(early <= first && late <= later, "{fleet}: {early} in the busiest second, {late} later");
    }
    // A small fleet sends as many requests as before.
    assert!(ask_on(3).1 >= 2);
}

/// A discovery that rejects requests is overloaded, and does not get more of them when it answers late.
#[test]
fn an_agent_that_rejected_a_request_gets_fewer_while_it_is_silent() {
    let mut watch = courier(300, 7, false, 1_000_000);
    for _ in 0..8 {
        watch.step(BROKEN, watch.wake_at().unwrap());
        next_ask(&mut watch);
    }
    let first = next_ask(&mut watch);
    let beside = next_ask(&mut watch);
    assert!(beside - first >= 2_000_000, "{}", beside - first);
}

/// Each watch ends at once, with a list: it does not count as one that lasted.
#[test]
fn watches_that_end_at_once_are_renewed_less_and_less_often() {
    let mut watch = courier(300, 7, false, 1_000_000);
    let (mut now, mut asked) = (0, 0);
    while now < 30_000_000 {
        watch.step(WatchInput::Answered, now);
        watch.step(HEARD, now);
        watch.step(BROKEN, now);
        now = next_ask(&mut watch);
        asked += 1;
    }
    assert!(asked <= 14, "{asked} questions in 30 s");
}

/// Counted from the last heartbeat, from the last request that failed, and from the last one that was sent, the next answer
/// arrives `DRAIN_GRACE_MAX` before discovery's list counts as notified.
#[test]
fn no_two_requests_are_further_apart_than_the_bound_allows() {
    const { assert!(REQUEST_INTERVAL_MAX + ANSWER_TIME_MAX + DRAIN_GRACE_MAX <= NOTIFICATION_DEADLINE) }
    for (fleet, heed) in
        [1, 3, 10, 11, 30, 63, 64, 300, 5_000].into_iter().flat_map(|f| HEEDS.map(|h| (f, h)))
    {
        for me in 0..fleet.min(200) {
            let mut watch = courier(fleet, me, false, heed).with_pushed_lists(me % 2 == 0);
            let last = followed(&mut watch);
            assert!(next_ask(&mut watch) <= last + REQUEST_INTERVAL_MAX, "{fleet} couriers after a silence");
            let mut refused = courier(fleet, me, false, heed).with_pushed_lists(me % 2 == 0);
            let mut before = 0;
            for n in 0..40 {
                // Without data and refused alternately, and several at once.
                if n % 3 == 0 {
                    refused.step(BROKEN, before);
                } else if n % 3 == 1 {
                    refused.step(WatchInput::Lost, before);
                }
                let at = next_ask(&mut refused);
                assert!(at <= before + REQUEST_INTERVAL_MAX, "{fleet} couriers: {before} to {at}");
                before = at;
            }
        }
    }
}

/// A time-out is not a rejection: in the next outage a request is sent as soon as in the first.
#[test]
fn silence_after_each_renewal_delays_no_request() {
    for heed in HEEDS {
        let mut watch = courier(3, 1, false, heed);
        let mut asked = 0;
        for _ in 0..20 {
            watch.step(WatchInput::Answered, asked);
            let next = next_ask(&mut watch);
            assert!(next - asked <= REQUEST_INTERVAL_MAX, "{asked} to {next}");
            asked = next;
        }
        let beside = next_ask(&mut watch);
        assert!(beside - asked <= heed * 5 / 8, "{}", beside - asked);
    }
}
