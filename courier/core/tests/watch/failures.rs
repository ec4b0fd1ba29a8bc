//! A list is received in time once discovery is reachable, whatever happened to earlier requests.

use crate::fleet::{BROKEN, DRAIN_GRACES, FLEET_SIZES, RECEIVED, SMALL_FLEET, TICK, courier};
use quillmount_containers::random_unit;
use quillmount_core::machine::watch::{
    ANSWER_TIME_MAX, DRAIN_GRACE_MAX, HEARTBEAT, NOTIFICATION_DEADLINE, REQUEST_INTERVAL_MAX, Watch,
    WatchInput, WatchOutput, WatchState,
};
use quillmount_policy::Micros;

/// The outcome of a request. Times count from the time at which it was sent.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// The request fails at this time: refused, reset or answered with another status.
    Fails(Micros),
    /// No byte is ever received.
    Silent,
    /// The connection is not established. The operating system retries the first packet after 1, 3, 7 and 15 s.
    ConnectHangs,
    /// The head is received, and a list if `list` is set. After that no complete list is received.
    Head { at: Micros, list: bool },
    /// The head and a list are received, then malformed bytes, a reset or the end.
    Ends { at: Micros, end: Micros },
    /// The head and this number of heartbeats are received, then no more data.
    Heartbeats { at: Micros, heartbeats: u64 },
}

const CONNECT_RETRIES: [Micros; 4] = [1_000_000, 3_000_000, 7_000_000, 15_000_000];

fn outcome(seed: &mut u64, silent: bool) -> Outcome {
    let kind = if silent { 1 } else { (random_unit(seed) * 9.0) as u32 };
    let mut random_up_to = |max: f64| (random_unit(seed) * max) as Micros;
    match kind {
        0 => Outcome::Fails(random_up_to(5e4)),
        1 | 2 => Outcome::Silent,
        3 => Outcome::ConnectHangs,
        4 => Outcome::Head { at: random_up_to(1e6), list: false },
        5 => Outcome::Head { at: random_up_to(1e6), list: true },
        6 => Outcome::Ends { at: random_up_to(1e6), end: random_up_to(2e6) },
        7 => Outcome::Heartbeats { at: random_up_to(1e6), heartbeats: random_up_to(4.0) },
        // A late failure, as when discovery is available again and resets requests of the time before.
        _ => Outcome::Fails(random_up_to(12e6)),
    }
}

/// A request in flight: the time at which it was sent, and its outcome.
type InFlight = Option<(Micros, Outcome)>;

/// Runs one courier until it receives a list for a request that it sent after discovery became reachable, which happens just
/// after the event with the number `recovery_event`. From then on requests are answered after `answer_delay`, and earlier
/// requests continue with their outcomes. If one of them receives more bytes, the time counts from its last byte, as for any
/// watch without data. Returns the time until the list is received.
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn time_to_list(
    mut watch: Watch,
    seed: u64,
    recovery_event: u32,
    answer_delay: Micros,
    silent: bool,
) -> Micros {
    let (mut seed, mut now, mut recovered_at) = (seed | 1, 0, None::<Micros>);
    let first = |seed: &mut u64| Some((0, outcome(seed, silent)));
    let starts_delayed = matches!(watch.state(), WatchState::BackingOff { .. });
    let mut in_flight: Vec<InFlight> = if starts_delayed { vec![] } else { vec![first(&mut seed)] };
    // The remaining data of the current answer: heartbeats, then its end.
    let mut pending_data: Vec<(Micros, WatchInput)> = Vec::new();
    let mut is_following = false;
    let mut events = 0;
    loop {
        if events == recovery_event {
            recovered_at = Some(now + 1);
        }
        events += 1;
        assert!(
            events < recovery_event + 1_000,
            "no list is received: {watch:?}, {in_flight:?}, {pending_data:?}, recovered at {recovered_at:?}, now {now}"
        );
        let is_reachable = |sent_at: Micros| recovered_at.is_some_and(|recovered_at| sent_at >= recovered_at);
        // A hanging connect counts as a request that is sent when the operating system retries it.
        let effective_time = |(sent_at, outcome): (Micros, Outcome)| match outcome {
            Outcome::ConnectHangs if !is_reachable(sent_at) => {
                CONNECT_RETRIES.iter().map(|delay| sent_at + delay).find(|at| is_reachable(*at))
            }
            _ => Some(sent_at).filter(|at| is_reachable(*at)),
        };
        let event_time = |request: (Micros, Outcome)| match (effective_time(request), request) {
            (Some(at), _) => Some(at + answer_delay),
            (None, (sent_at, Outcome::Fails(at) | Outcome::Head { at, .. })) => Some(sent_at + at),
            (None, (sent_at, Outcome::Ends { at, .. } | Outcome::Heartbeats { at, .. })) => {
                Some(sent_at + at)
            }
            (None, (_, Outcome::Silent | Outcome::ConnectHangs)) => None,
        };
        let next =
            in_flight.iter().enumerate().filter_map(|(n, request)| Some((event_time((*request)?)?, n))).min();
        let wake = watch.wake_at().unwrap();
        let next_data = pending_data.first().copied();
        if let (true, Some((at, input))) = (is_following, next_data.filter(|(at, _)| *at <= wake)) {
            now = at;
            pending_data.remove(0);
            is_following = input == RECEIVED;
            recovered_at = recovered_at.map(|recovered_at| if is_following { now } else { recovered_at });
            watch.step(input, now);
        } else if let (false, Some((at, n))) = (is_following, next.filter(|(at, _)| *at <= wake)) {
            now = at.max(now);
            let request = in_flight[n].take().unwrap();
            if let (Some(_), Some(recovered_at)) = (effective_time(request), recovered_at) {
                assert_eq!(watch.step(WatchInput::Answered, now), WatchOutput::Nothing);
                assert_eq!(watch.step(RECEIVED, now), WatchOutput::EndOlderWatches);
                return now - recovered_at;
            }
            pending_data = match request.1 {
                Outcome::Fails(_) => {
                    let others = in_flight.iter().any(Option::is_some);
                    watch.step(if others { WatchInput::Lost } else { BROKEN }, now);
                    continue;
                }
                Outcome::Head { list, .. } => list.then_some((now, RECEIVED)).into_iter().collect(),
                Outcome::Ends { end, .. } => vec![(now, RECEIVED), (now + end, BROKEN)],
                Outcome::Heartbeats { heartbeats, .. } => {
                    (0..=heartbeats).map(|n| (now + n * HEARTBEAT, RECEIVED)).collect()
                }
                Outcome::Silent | Outcome::ConnectHangs => unreachable!(),
            };
            watch.step(WatchInput::Answered, now);
            recovered_at = recovered_at.map(|_| now);
            is_following = true;
            in_flight.clear();
        } else {
            now = wake.max(now);
            match watch.step(TICK, now) {
                WatchOutput::Request => in_flight.clear(),
                WatchOutput::Hedge { keep } => in_flight.truncate(keep),
                WatchOutput::BackOff(_) => {
                    in_flight.clear();
                    is_following = false;
                    continue;
                }
                other => panic!("{other:?} at a tick"),
            }
            in_flight.push(Some((now, outcome(&mut seed, silent))));
        }
    }
}

/// Failures in any order: refused or reset requests, no data before the head, after it or in a list, answers that end at
/// once, heartbeats that stop, and connects that hang. Discovery becomes reachable just after any of them.
#[test]
fn changes_arrive_in_time_whatever_failed_before() {
    let mut worst = 0;
    for (fleet, drain_grace) in
        [1, 3, 30, 300].into_iter().flat_map(|fleet| DRAIN_GRACES.map(|drain_grace| (fleet, drain_grace)))
    {
        for seed in 0..800_u64 {
            let index = (seed % u64::from(fleet)) as u32;
            let watch = courier(fleet, index, seed % 5 == 0, drain_grace).with_pushed_lists(seed >= 400);
            let answer_delay = ANSWER_TIME_MAX * (seed % 4) / 4;
            for recovery_event in 0..40 {
                let elapsed = time_to_list(watch, seed * 7_919 + 1, recovery_event, answer_delay, false);
                assert!(
                    elapsed <= NOTIFICATION_DEADLINE - DRAIN_GRACE_MAX,
                    "{fleet} couriers, seed {seed}, {recovery_event}, {answer_delay}: {elapsed}"
                );
                worst = worst.max(elapsed);
            }
        }
    }
    // The check is tight: the worst case comes close to the bound.
    assert!(worst > REQUEST_INTERVAL_MAX, "{worst}");
}

/// An agent may announce a drain as soon as it is available again after an outage, and answer only requests that are sent
/// from then on. Small fleets send a request in time, and with pushed lists fleets of any size do.
#[test]
fn couriers_receive_the_list_of_an_agent_at_once_after_an_outage() {
    for (fleet, drain_grace) in
        FLEET_SIZES.into_iter().flat_map(|fleet| DRAIN_GRACES.map(|drain_grace| (fleet, drain_grace)))
    {
        for seed in 0..200_u64 {
            let watch = courier(fleet, (seed % u64::from(fleet)) as u32, seed % 2 == 0, drain_grace);
            let watch = watch.with_pushed_lists(fleet > SMALL_FLEET || seed % 4 < 2);
            for recovery_event in 0..60 {
                let elapsed = time_to_list(watch, seed, recovery_event, drain_grace / 8, true);
                assert!(elapsed <= drain_grace, "{fleet} couriers, seed {seed}, {recovery_event}: {elapsed}");
            }
        }
    }
}
