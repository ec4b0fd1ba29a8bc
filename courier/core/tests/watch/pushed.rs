//! Where lists are pushed to an agent on each courier's machine: the list of an agent that was silent arrives in time.

use crate::fleet::{BROKEN, FEW, HEEDS, SIZES, TICK, courier, followed, next_ask};
use quillmount_containers::random_unit;
use quillmount_core::machine::watch::{ANSWER_TIME_MAX, SILENCE_TIMEOUT, Watch, WatchInput, WatchOutput};
use quillmount_policy::Micros;

/// What an agent does, as soon as it is back, with the requests that arrived during its outage.
#[derive(Clone, Copy, Debug)]
enum Return {
    Answers,
    Resets,
}

/// How long after an agent's return its list arrives; `out`: the requests in flight. An answer arrives `late` after it was
/// sent.
fn told_at_return(watch: &mut Watch, out: &mut usize, back: Micros, how: Return, late: Micros) -> Micros {
    /// Sends a request or waits when the state's time is reached; true: a request was sent now.
    fn on(watch: &mut Watch, out: &mut usize) -> (Micros, bool) {
        let now = watch.wake_at().unwrap();
        let keep = match watch.step(TICK, now) {
            WatchOutput::Request => 0,
            WatchOutput::Hedge { keep } => keep,
            WatchOutput::BackOff(_) => {
                *out = 0;
                return (now, false);
            }
            other => panic!("{other:?} at a tick"),
        };
        *out = keep.min(*out) + 1;
        (now, true)
    }
    while watch.wake_at().is_some_and(|at| at <= back) {
        on(watch, out);
    }
    if *out > 0 {
        match how {
            // Unless it is cancelled before the answer arrives, for another one that is answered as late.
            Return::Answers => {
                let mut here = back + late;
                while watch.wake_at().is_some_and(|at| at < here) {
                    let (now, asks) = on(watch, out);
                    assert!(asks, "an agent that was silent is not followed");
                    if *out == 1 {
                        here = now + late;
                    }
                }
                return here - back;
            }
            Return::Resets => {
                (1..*out).for_each(|_| assert_eq!(watch.step(WatchInput::Lost, back), WatchOutput::Nothing));
                assert!(matches!(watch.step(BROKEN, back), WatchOutput::BackOff(_)));
                *out = 0;
            }
        }
    }
    loop {
        if let (now, true) = on(watch, out) {
            return now + late - back;
        }
    }
}

/// Where lists are pushed, an agent's list counts as notified as soon as it is back, in a fleet of any size: from the time at
/// which the outage can be detected, a request is in flight or is sent in time.
#[test]
fn with_pushed_lists_the_update_of_a_silent_agent_arrives_in_time() {
    for (fleet, heed) in SIZES.into_iter().flat_map(|fleet| HEEDS.map(|heed| (fleet, heed))) {
        for (me, how) in
            (0..fleet.min(300)).flat_map(|me| [Return::Answers, Return::Resets].map(|how| (me, how)))
        {
            let mut seed = u64::from(me) * 31 + 7;
            for _ in 0..40 {
                let mut watch = courier(fleet, me, false, heed).with_pushed_lists(true);
                let silent = followed(&mut watch);
                let back = silent + SILENCE_TIMEOUT + (random_unit(&mut seed) * 20e6) as Micros;
                let took = told_at_return(&mut watch, &mut 0, back, how, heed / 8);
                assert!(took <= heed, "{fleet} couriers, {heed}, {me} {how:?}, back at {back}: {took}");
            }
        }
    }
}

/// The same from the start of a process, which may start while its agent is down, and after a refusal.
#[test]
fn with_pushed_lists_a_process_started_in_a_silence_is_notified_at_its_end() {
    for (fleet, heed) in SIZES.into_iter().flat_map(|fleet| HEEDS.map(|heed| (fleet, heed))) {
        for (me, how) in
            (0..fleet.min(300)).flat_map(|me| [Return::Answers, Return::Resets].map(|how| (me, how)))
        {
            let mut seed = u64::from(me) * 31 + 7;
            for n in 0..40 {
                let mut watch = courier(fleet, me, true, heed).with_pushed_lists(true);
                let back = if n == 0 { 0 } else { (random_unit(&mut seed) * 20e6) as Micros };
                let took = told_at_return(&mut watch, &mut 0, back, how, heed / 8);
                assert!(took <= heed, "{fleet} couriers, {heed}, {me} {how:?}, back at {back}: {took}");
                // Refused, as by an agent that is starting; then there is no data.
                let mut watch = courier(fleet, me, true, heed).with_pushed_lists(true);
                for _ in 0..n % 6 {
                    let at = next_ask(&mut watch);
                    watch.step(BROKEN, at);
                }
                let asked = next_ask(&mut watch);
                let long = (random_unit(&mut seed) * 20e6) as Micros + ANSWER_TIME_MAX;
                let took = told_at_return(&mut watch, &mut 1, asked + long, how, heed / 8);
                assert!(
                    took <= heed,
                    "{fleet} couriers, {heed}, {me} {how:?}, refused, back after {long}: {took}"
                );
            }
        }
    }
}

/// The first request is sent as soon as the outage is detected, and in a large fleet the agent gets no more requests than in
/// one of ten.
#[test]
fn with_pushed_lists_a_silent_agent_gets_requests_as_often_as_in_a_small_fleet() {
    for (fleet, heed) in SIZES.into_iter().flat_map(|fleet| HEEDS.map(|heed| (fleet, heed))) {
        for me in 0..fleet.min(300) {
            let between = |fleet: u32| {
                let mut watch = courier(fleet, me, false, heed).with_pushed_lists(true);
                let silent = followed(&mut watch);
                let asked: Vec<Micros> = (0..12).map(|_| next_ask(&mut watch)).collect();
                assert_eq!(asked[0], silent + SILENCE_TIMEOUT, "{fleet} couriers");
                asked.windows(2).map(|pair| pair[1] - pair[0]).min().unwrap()
            };
            assert!(between(fleet) >= between(FEW).min(heed * 3 / 8), "{fleet} couriers, {heed}");
        }
    }
}
