//! Lists that are pushed to an agent on each courier's machine: after an outage of the agent its list is received in time.

use crate::fleet::{
    BROKEN, DRAIN_GRACES, FLEET_SIZES, SMALL_FLEET, TICK, courier, follow_until_silence, next_request,
};
use quillmount_containers::random_unit;
use quillmount_core::machine::watch::{ANSWER_TIME_MAX, SILENCE_TIMEOUT, Watch, WatchInput, WatchOutput};
use quillmount_policy::Micros;

/// What an agent does with the requests of its outage as soon as it is available again.
#[derive(Clone, Copy, Debug)]
enum AgentReturn {
    Answers,
    Resets,
}

/// Returns the time from the agent's return to the reception of its list. `in_flight` is the number of requests in flight,
/// and an answer is received `answer_delay` after the agent sent it.
fn time_to_list_after_return(
    watch: &mut Watch,
    in_flight: &mut usize,
    returned_at: Micros,
    agent_return: AgentReturn,
    answer_delay: Micros,
) -> Micros {
    /// Advances to the time of the next tick and applies it. Returns that time, and whether a request was sent.
    fn advance(watch: &mut Watch, in_flight: &mut usize) -> (Micros, bool) {
        let now = watch.wake_at().unwrap();
        let keep = match watch.step(TICK, now) {
            WatchOutput::Request => 0,
            WatchOutput::Hedge { keep } => keep,
            WatchOutput::BackOff(_) => {
                *in_flight = 0;
                return (now, false);
            }
            other => panic!("{other:?} at a tick"),
        };
        *in_flight = keep.min(*in_flight) + 1;
        (now, true)
    }
    while watch.wake_at().is_some_and(|at| at <= returned_at) {
        advance(watch, in_flight);
    }
    if *in_flight > 0 {
        match agent_return {
            // The oldest request is answered. If it is cancelled before, the one that replaces it is answered.
            AgentReturn::Answers => {
                let mut answered_at = returned_at + answer_delay;
                while watch.wake_at().is_some_and(|at| at < answered_at) {
                    let (now, was_sent) = advance(watch, in_flight);
                    assert!(was_sent, "a watch without an answer sends requests");
                    if *in_flight == 1 {
                        answered_at = now + answer_delay;
                    }
                }
                return answered_at - returned_at;
            }
            AgentReturn::Resets => {
                (1..*in_flight).for_each(|_| {
                    assert_eq!(watch.step(WatchInput::Lost, returned_at), WatchOutput::Nothing);
                });
                assert!(matches!(watch.step(BROKEN, returned_at), WatchOutput::BackOff(_)));
                *in_flight = 0;
            }
        }
    }
    loop {
        if let (now, true) = advance(watch, in_flight) {
            return now + answer_delay - returned_at;
        }
    }
}

/// With pushed lists, an agent's list counts as received as soon as the agent is available again, in a fleet of any size.
/// Therefore a request must be in flight, or be sent in time, from the time at which the outage can be detected.
#[test]
fn with_pushed_lists_the_update_of_a_silent_agent_arrives_in_time() {
    for (fleet, drain_grace) in
        FLEET_SIZES.into_iter().flat_map(|fleet| DRAIN_GRACES.map(|drain_grace| (fleet, drain_grace)))
    {
        for (index, agent_return) in (0..fleet.min(300)).flat_map(|index| {
            [AgentReturn::Answers, AgentReturn::Resets].map(|agent_return| (index, agent_return))
        }) {
            let mut seed = u64::from(index) * 31 + 7;
            for _ in 0..40 {
                let mut watch = courier(fleet, index, false, drain_grace).with_pushed_lists(true);
                let silent_since = follow_until_silence(&mut watch);
                let returned_at = silent_since + SILENCE_TIMEOUT + (random_unit(&mut seed) * 20e6) as Micros;
                let elapsed =
                    time_to_list_after_return(&mut watch, &mut 0, returned_at, agent_return, drain_grace / 8);
                assert!(
                    elapsed <= drain_grace,
                    "{fleet} couriers, {drain_grace}, {index} {agent_return:?}, back at {returned_at}: {elapsed}"
                );
            }
        }
    }
}

/// A process that starts during an outage of its agent, also after refused requests, receives the list in time.
#[test]
fn with_pushed_lists_a_process_started_in_a_silence_is_notified_at_its_end() {
    for (fleet, drain_grace) in
        FLEET_SIZES.into_iter().flat_map(|fleet| DRAIN_GRACES.map(|drain_grace| (fleet, drain_grace)))
    {
        for (index, agent_return) in (0..fleet.min(300)).flat_map(|index| {
            [AgentReturn::Answers, AgentReturn::Resets].map(|agent_return| (index, agent_return))
        }) {
            let mut seed = u64::from(index) * 31 + 7;
            for n in 0..40 {
                let mut watch = courier(fleet, index, true, drain_grace).with_pushed_lists(true);
                let returned_at = if n == 0 { 0 } else { (random_unit(&mut seed) * 20e6) as Micros };
                let elapsed =
                    time_to_list_after_return(&mut watch, &mut 0, returned_at, agent_return, drain_grace / 8);
                assert!(
                    elapsed <= drain_grace,
                    "{fleet} couriers, {drain_grace}, {index} {agent_return:?}, back at {returned_at}: {elapsed}"
                );
                // Some requests are refused, as by an agent that is starting; then no data is received.
                let mut watch = courier(fleet, index, true, drain_grace).with_pushed_lists(true);
                for _ in 0..n % 6 {
                    let at = next_request(&mut watch);
                    watch.step(BROKEN, at);
                }
                let sent_at = next_request(&mut watch);
                let outage = (random_unit(&mut seed) * 20e6) as Micros + ANSWER_TIME_MAX;
                let elapsed = time_to_list_after_return(
                    &mut watch,
                    &mut 1,
                    sent_at + outage,
                    agent_return,
                    drain_grace / 8,
                );
                assert!(
                    elapsed <= drain_grace,
                    "{fleet} couriers, {drain_grace}, {index} {agent_return:?}, refused, back after {outage}: {elapsed}"
                );
            }
        }
    }
}

/// The first request is sent as soon as the outage is detected. In a large fleet an agent gets no more requests than in a
/// fleet of ten couriers.
#[test]
fn with_pushed_lists_a_silent_agent_gets_requests_as_often_as_in_a_small_fleet() {
    for (fleet, drain_grace) in
        FLEET_SIZES.into_iter().flat_map(|fleet| DRAIN_GRACES.map(|drain_grace| (fleet, drain_grace)))
    {
        for index in 0..fleet.min(300) {
            let min_interval = |fleet: u32| {
                let mut watch = courier(fleet, index, false, drain_grace).with_pushed_lists(true);
                let silent_since = follow_until_silence(&mut watch);
                let sent: Vec<Micros> = (0..12).map(|_| next_request(&mut watch)).collect();
                assert_eq!(sent[0], silent_since + SILENCE_TIMEOUT, "{fleet} couriers");
                sent.windows(2).map(|pair| pair[1] - pair[0]).min().unwrap()
            };
            assert!(
                min_interval(fleet) >= min_interval(SMALL_FLEET).min(drain_grace * 3 / 8),
                "{fleet} couriers, {drain_grace}"
            );
        }
    }
}
