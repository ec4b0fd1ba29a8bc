//! A list arrives in time once discovery can be reached, whatever happened to the requests before.

use crate::fleet::{BROKEN, FEW, HEARD, HEEDS, SIZES, TICK, courier};
use quillmount_containers::random_unit;
use quillmount_core::machine::watch::{
    ANSWER_TIME_MAX, DRAIN_GRACE_MAX, HEARTBEAT, NOTIFICATION_DEADLINE, REQUEST_INTERVAL_MAX, Watch,
    WatchInput, WatchOutput, WatchState,
};
use quillmount_policy::Micros;

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
            let watch = courier(fleet, me, seed % 5 == 0, heed).with_pushed_lists(seed >= 400);
            let late = ANSWER_TIME_MAX * (seed % 4) / 4;
            for calm in 0..40 {
                let took = told_after(watch, seed * 7_919 + 1, calm, late, false);
                assert!(
                    took <= NOTIFICATION_DEADLINE - DRAIN_GRACE_MAX,
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
            let watch = watch.with_pushed_lists(fleet > FEW || seed % 4 < 2);
            for calm in 0..60 {
                let took = told_after(watch, seed, calm, heed / 8, true);
                assert!(took <= heed, "{fleet} couriers, seed {seed}, {calm}: {took}");
            }
        }
    }
}
