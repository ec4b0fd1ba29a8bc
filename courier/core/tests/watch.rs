//! The watch on discovery: when it sends requests, how often a fleet does, and that a list arrives in time once discovery can
//! be reached, whatever failed before.

use quillmount_containers::random_unit;
use quillmount_core::machine::watch::{
    ANSWER_WITHIN, HEARTBEAT, HEARTBEAT_SLACK, HEED_MAX, NOTIFIED_WITHIN, REQUEST_INTERVAL_MAX, SILENCE,
    Watch, WatchInput, WatchOutput, WatchState,
};
use quillmount_policy::Micros;

const FLEETS: [u32; 4] = [3, 100, 300, 5_000];
const HEEDS: [Micros; 2] = [500_000, 1_000_000];
/// In larger fleets a lost request costs more time, so that discovery can answer the others.
const FEW: u32 = 10;
const TICK: WatchInput = WatchInput::Tick { moved: false };
const BROKEN: WatchInput = WatchInput::Broken { moved: false };
const HEARD: WatchInput = WatchInput::Heard { moved: false };

fn courier(fleet: u32, me: u32, starts: bool, heed: Micros) -> Watch {
    Watch::of_fleet(0, fleet, u64::from(me) * 77, starts, heed)
}

/// Waits for as long as the machine does; true: it sends a request, at the time returned.
fn tick(watch: &mut Watch) -> (Micros, bool) {
    let now = watch.wake_at().unwrap();
    (now, matches!(watch.step(TICK, now), WatchOutput::Request | WatchOutput::Hedge { .. }))
}

fn next_ask(watch: &mut Watch) -> Micros {
    loop {
        if let (at, true) = tick(watch) {
            return at;
        }
    }
}

/// A watch followed from 0 on, with a line every 2 s; returns the time of the last one.
fn followed(watch: &mut Watch) -> Micros {
    watch.step(WatchInput::Answered, 0);
    for beat in 0..=3 {
        watch.step(HEARD, beat * HEARTBEAT);
    }
    3 * HEARTBEAT
}

/// The most requests within any second.
fn busiest(mut asked: Vec<Micros>) -> usize {
    asked.sort_unstable();
    let begun = |end: usize| asked.partition_point(|at| at + 1_000_000 <= asked[end]);
    (0..asked.len()).map(|end| end + 1 - begun(end)).max().unwrap_or(0)
}

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
                assert!(first + ANSWER_WITHIN <= told - 1_000_000, "{fleet} couriers, {heed}: {first}");
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

/// What happens to one request, by the time since it was sent.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// Refused, reset, another status: it fails at this time.
    Fails(Micros),
    /// No byte is ever received.
    Silent,
    /// Its connection is not established yet: the system repeats the first packet after 1, 3, 7 and 15 s.
    Hangs,
    /// The head is received, and a list if `list` is set; then nothing, or bytes that never complete a list.
    Head { at: Micros, list: bool },
    /// The head and a list; then malformed bytes, a reset or the end.
    Ends { at: Micros, end: Micros },
    /// So many lines are received, then no more data.
    Beats { at: Micros, lines: u64 },
}

const REPEATS: [Micros; 4] = [1_000_000, 3_000_000, 7_000_000, 15_000_000];

fn fate(seed: &mut u64, silent: bool) -> Fate {
    let kind = if silent { 1 } else { (random_unit(seed) * 9.0) as u32 };
    let mut upto = |most: f64| (random_unit(seed) * most) as Micros;
    match kind {
        0 => Fate::Fails(upto(5e4)),
        1 | 2 => Fate::Silent,
        3 => Fate::Hangs,
        4 => Fate::Head { at: upto(1e6), list: false },
        5 => Fate::Head { at: upto(1e6), list: true },
        6 => Fate::Ends { at: upto(1e6), end: upto(2e6) },
        7 => Fate::Beats { at: upto(1e6), lines: upto(4.0) },
        // Or later, as when discovery is back and resets what it no longer knows.
        _ => Fate::Fails(upto(12e6)),
    }
}

/// A request in flight, and when it was sent.
type Out = Option<(Micros, Fate)>;

/// Runs one courier until it has a list that it requested when discovery could be reached again, which is from just after
/// the `calm`th event on. From then on a request is answered `late` after it, and earlier requests continue as they would:
/// if one of them receives more bytes, the time counts from its last byte, as for any watch without data. Returns how long
/// it took.
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn told_after(mut watch: Watch, seed: u64, calm: u32, late: Micros, silent: bool) -> Micros {
    let (mut seed, mut now, mut back) = (seed | 1, 0, None::<Micros>);
    let first = |seed: &mut u64| Some((0, fate(seed, silent)));
    let pauses = matches!(watch.state(), WatchState::BackingOff { .. });
    let mut out: Vec<Out> = if pauses { vec![] } else { vec![first(&mut seed)] };
    // The remaining data of the current answer: lines, then its end.
    let mut says: Vec<(Micros, WatchInput)> = Vec::new();
    let mut follows = false;
    let mut moments = 0;
    loop {
        if moments == calm {
            back = Some(now + 1);
        }
        moments += 1;
        assert!(
            moments < calm + 1_000,
            "never told: {watch:?}, {out:?}, {says:?}, back at {back:?}, now {now}"
        );
        let reached = |asked: Micros| back.is_some_and(|back| asked >= back);
        // A connect that hangs counts as a request that is sent when the system repeats it.
        let arrives = |(asked, fate): (Micros, Fate)| match fate {
            Fate::Hangs if !reached(asked) => REPEATS.iter().map(|r| asked + r).find(|at| reached(*at)),
            _ => Some(asked).filter(|at| reached(*at)),
        };
        let happens = |question: (Micros, Fate)| match (arrives(question), question) {
            (Some(at), _) => Some(at + late),
            (None, (asked, Fate::Fails(at) | Fate::Head { at, .. })) => Some(asked + at),
            (None, (asked, Fate::Ends { at, .. } | Fate::Beats { at, .. })) => Some(asked + at),
            (None, (_, Fate::Silent | Fate::Hangs)) => None,
        };
        let next = out.iter().enumerate().filter_map(|(n, q)| Some((happens((*q)?)?, n))).min();
        let wake = watch.wake_at().unwrap();
        let said = says.first().copied();
        if let (true, Some((at, input))) = (follows, said.filter(|(at, _)| *at <= wake)) {
            now = at;
            says.remove(0);
            follows = input == HEARD;
            back = back.map(|back| if follows { now } else { back });
            watch.step(input, now);
        } else if let (false, Some((at, n))) = (follows, next.filter(|(at, _)| *at <= wake)) {
            now = at.max(now);
            let question = out[n].take().unwrap();
            if let (Some(_), Some(back)) = (arrives(question), back) {
                assert_eq!(watch.step(WatchInput::Answered, now), WatchOutput::Nothing);
                assert_eq!(watch.step(HEARD, now), WatchOutput::EndOlderWatches);
                return now - back;
            }
            says = match question.1 {
                Fate::Fails(_) => {
                    let others = out.iter().any(Option::is_some);
                    watch.step(if others { WatchInput::Lost } else { BROKEN }, now);
                    continue;
                }
                Fate::Head { list, .. } => list.then_some((now, HEARD)).into_iter().collect(),
                Fate::Ends { end, .. } => vec![(now, HEARD), (now + end, BROKEN)],
                Fate::Beats { lines, .. } => (0..=lines).map(|n| (now + n * HEARTBEAT, HEARD)).collect(),
                Fate::Silent | Fate::Hangs => unreachable!(),
            };
            watch.step(WatchInput::Answered, now);
            back = back.map(|_| now);
            follows = true;
            out.clear();
        } else {
            now = wake.max(now);
            match watch.step(TICK, now) {
                WatchOutput::Request => out.clear(),
                WatchOutput::Hedge { keep } => out.truncate(keep),
                WatchOutput::BackOff(_) => {
                    out.clear();
                    follows = false;
                    continue;
                }
                other => panic!("{other:?} at a tick"),
            }
            out.push(Some((now, fate(&mut seed, silent))));
        }
    }
}

/// Refused, reset, no data before the head, after it and in the middle of a list, ended at once, followed and then without
/// data, connects that hang: in any order, and discovery can be reached again just after any of them.
#[test]
fn changes_arrive_in_time_whatever_failed_before() {
    let mut worst = 0;
    for (fleet, heed) in [1, 3, 30, 300].into_iter().flat_map(|fleet| HEEDS.map(|heed| (fleet, heed))) {
        for seed in 0..800_u64 {
            let me = (seed % u64::from(fleet)) as u32;
            let watch = courier(fleet, me, seed % 5 == 0, heed).where_pushed(seed >= 400);
            let late = ANSWER_WITHIN * (seed % 4) / 4;
            for calm in 0..40 {
                let took = told_after(watch, seed * 7_919 + 1, calm, late, false);
                assert!(
                    took <= NOTIFIED_WITHIN - HEED_MAX,
                    "{fleet} couriers, seed {seed}, {calm}, {late}: {took}"
                );
                worst = worst.max(took);
            }
        }
    }
    // The bound is reached, not only respected.
    assert!(worst > REQUEST_INTERVAL_MAX, "{worst}");
}

/// An agent may announce a drain as soon as it is back after an outage, and answer only requests that are sent from then on:
/// the requests of a few couriers are in time, and those of all where lists are pushed to an agent on each one's machine.
#[test]
fn couriers_receive_the_list_of_an_agent_at_once_after_an_outage() {
    for (fleet, heed) in SIZES.into_iter().flat_map(|fleet| HEEDS.map(|heed| (fleet, heed))) {
        for seed in 0..200_u64 {
            let watch = courier(fleet, (seed % u64::from(fleet)) as u32, seed % 2 == 0, heed);
            let watch = watch.where_pushed(fleet > FEW || seed % 4 < 2);
            for calm in 0..60 {
                let took = told_after(watch, seed, calm, heed / 8, true);
                assert!(took <= heed, "{fleet} couriers, seed {seed}, {calm}: {took}");
            }
        }
    }
}

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

const SIZES: [u32; 9] = [1, 3, 10, 11, 30, 64, 100, 300, 5_000];

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
                let mut watch = courier(fleet, me, false, heed).where_pushed(true);
                let silent = followed(&mut watch);
                let back = silent + SILENCE + (random_unit(&mut seed) * 20e6) as Micros;
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
                let mut watch = courier(fleet, me, true, heed).where_pushed(true);
                let back = if n == 0 { 0 } else { (random_unit(&mut seed) * 20e6) as Micros };
                let took = told_at_return(&mut watch, &mut 0, back, how, heed / 8);
                assert!(took <= heed, "{fleet} couriers, {heed}, {me} {how:?}, back at {back}: {took}");
                // Refused, as by an agent that is starting; then there is no data.
                let mut watch = courier(fleet, me, true, heed).where_pushed(true);
                for _ in 0..n % 6 {
                    let at = next_ask(&mut watch);
                    watch.step(BROKEN, at);
                }
                let asked = next_ask(&mut watch);
                let long = (random_unit(&mut seed) * 20e6) as Micros + ANSWER_WITHIN;
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
                let mut watch = courier(fleet, me, false, heed).where_pushed(true);
                let silent = followed(&mut watch);
                let asked: Vec<Micros> = (0..12).map(|_| next_ask(&mut watch)).collect();
                assert_eq!(asked[0], silent + SILENCE, "{fleet} couriers");
                asked.windows(2).map(|pair| pair[1] - pair[0]).min().unwrap()
            };
            assert!(between(fleet) >= between(FEW).min(heed * 3 / 8), "{fleet} couriers, {heed}");
        }
    }
}

/// Counted from the last heartbeat, from the last request that failed, and from the last one that was sent, the next answer
/// arrives `HEED_MAX` before discovery's list counts as notified.
#[test]
fn no_two_requests_are_further_apart_than_the_bound_allows() {
    const { assert!(REQUEST_INTERVAL_MAX + ANSWER_WITHIN + HEED_MAX <= NOTIFIED_WITHIN) }
    for (fleet, heed) in
        [1, 3, 10, 11, 30, 63, 64, 300, 5_000].into_iter().flat_map(|f| HEEDS.map(|h| (f, h)))
    {
        for me in 0..fleet.min(200) {
            let mut watch = courier(fleet, me, false, heed).where_pushed(me % 2 == 0);
            let last = followed(&mut watch);
            assert!(next_ask(&mut watch) <= last + REQUEST_INTERVAL_MAX, "{fleet} couriers after a silence");
            let mut refused = courier(fleet, me, false, heed).where_pushed(me % 2 == 0);
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

/// The request that would be answered is not cancelled for each new one.
#[test]
fn a_hedged_request_stays_in_flight_for_as_long_as_its_answer_may_take() {
    let mut watch = courier(3, 1, false, 500_000);
    let mut out = vec![0];
    for _ in 0..60 {
        let at = watch.wake_at().unwrap();
        match watch.step(TICK, at) {
            WatchOutput::Request => out.clear(),
            WatchOutput::Hedge { keep } => {
                assert!(keep == 1 || keep == 2, "three are out at most");
                let given_up = out.split_off(keep.min(out.len()));
                // The last of three is cancelled, or the second, whose time has passed.
                let second = given_up.first().filter(|_| keep == 1);
                assert!(second.is_none_or(|asked| at - asked >= ANSWER_WITHIN), "{second:?} at {at}");
            }
            other => panic!("{other:?}"),
        }
        out.push(at);
        assert!(out.first().is_some_and(|first| at - first < NOTIFIED_WITHIN + 500_000), "{out:?} at {at}");
    }
}

/// One of two requests fails: the other may be answered, and the next one is sent at the same time as without the failure.
#[test]
fn a_failed_request_leaves_the_others_in_flight() {
    let mut watch = courier(100, 7, false, 500_000);
    next_ask(&mut watch);
    let until = watch.wake_at();
    assert_eq!(watch.step(WatchInput::Lost, until.unwrap() - 1), WatchOutput::Nothing);
    assert_eq!(watch.wake_at(), until);
    watch.step(WatchInput::Answered, until.unwrap() - 1);
    assert_eq!(watch.step(HEARD, until.unwrap()), WatchOutput::EndOlderWatches);
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

/// Discovery moved to another address and back: the other address's answer does not end the watch at the current one.
#[test]
fn only_a_watch_at_the_present_address_ends_the_others_and_only_once_it_received_something() {
    let mut watch = courier(3, 1, false, 500_000);
    assert_eq!(watch.step(WatchInput::Answered, 1), WatchOutput::Nothing, "a head says nothing of the list");
    assert_eq!(watch.step(WatchInput::Heard { moved: true }, 2), WatchOutput::Nothing);
    assert_eq!(watch.step(HEARD, 3), WatchOutput::EndOlderWatches);
    assert_eq!(watch.step(WatchInput::Tick { moved: true }, 3 + SILENCE), WatchOutput::Stop);
}
