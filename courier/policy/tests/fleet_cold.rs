//! What a whole fleet does to a destination that returns cold, and what it gives back untried, on one virtual clock.

mod common;
use common::*;
use quillmount_containers::random_unit;
use quillmount_policy::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Time that a call takes, there and back.
const TRIP: Micros = 100_000;
const FALL: Micros = 3 * SEC;
const COLD: Micros = 8 * SEC;
const COLD_FROM: f64 = 0.25;
const LIFE: Micros = 16 * SEC;
/// A limit tells to wait no longer than this.
const LIMIT_WAIT: Micros = 5 * SEC / 2;
/// A listed rate may be half too high.
const ROUGH: f64 = 1.5;

/// What brings a destination of `rate` calls a second down, at this share of what it can do.
fn falls(rate: f64, share: f64) -> f64 {
    let n = 2.0 * share * rate * FALL as f64 / 1e6;
    n + 2.0 * n.sqrt() + 2.0
}

/// A day of a fleet. Each destination takes its true rate, the listed one over `rough`; one may be shut for a while.
struct Day<'a> {
    senders: u32,
    listed: &'a [f64],
    rough: f64,
    seconds: u64,
    /// Messages a second over the listed rate.
    load: f64,
    /// Destination 0 refuses all calls from the first to the second of these times, and is cold after.
    shut: (Micros, Micros),
    /// Refusals tell how long to wait: until it opens, or half a second at a limit.
    tells: bool,
    open_cap: u32,
    seed: u64,
    faults: Faults,
}

/// What goes wrong beside the outage.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Some senders get several times the mean.
    uneven: bool,
    /// While it is shut, destination 0 takes calls and never answers them, so that they are given up.
    silent: bool,
    /// So many senders are killed and start anew in the outage's last two seconds, each with its messages and with no
    /// list for up to a second.
    restarts: u32,
    /// One call in so many comes up a second and a half late, and counts when it does, though it was given up by then.
    laggards: u64,
    /// Operators take destination 0 off the list while it is shut and put it back as cold; every fifth sender hears of
    /// that up to two seconds late.
    listed_cold: bool,
}

/// What was counted over the fleet.
#[derive(Debug, Default)]
struct Sums {
    handed: u32,
    delivered: u32,
    /// What was delivered is worth, in full within three seconds, then half as much with each further three.
    worth: f64,
    refused: u32,
    /// Given back with no call that may have run, before seven tenths of their time, by the rule that gave them up;
    /// and the calls that the destination would still have taken in the rest of their time, one a message at most.
    untried: BTreeMap<&'static str, (u32, u32)>,
    /// The most calls of the cold time in one fall span, over what brings the destination down then: of all senders,
    /// and of those that saw it refuse while it was shut, which may be two thirds.
    worst: (f64, f64),
    /// Part of two thirds of the cold time's budget that knowing senders used.
    spent: f64,
}

/// When, at which sender: a message for a destination comes, or a call of it ends, taken or told to wait.
/// Or the sender restarts, or hears the list: then the message is a mark of its own.
type Due = (Micros, usize, Option<(MsgId, Option<Micros>)>, DestId);
const WAKE: MsgId = MsgId::MAX;
const RESTART: MsgId = MsgId::MAX - 1;
const LIST: MsgId = MsgId::MAX - 2;
const DRAIN: MsgId = MsgId::MAX - 3;
/// Ends a call by its time-out.
const LATE: Micros = Micros::MAX;

/// The sender's next life: its messages, their calls so far and nothing else.
fn next_life(old: &World, set: Settings, open: &[(MsgId, Micros, DestId)]) -> World {
    let mut w = World::new(set, old.now);
    (w.now, w.next) = (old.now, old.next);
    for &(id, at, dest) in open {
        let calls = old.attempts.get(&id).copied().unwrap_or(0);
        w.attempts.insert(id, calls);
        let past = vec![PastAttempt { zone: 0, sent: at, may_have_run: false }; calls as usize];
        let (deadline, class, stream, size) = (at + LIFE, 0, false, 0);
        let message =
            Message { id, class, tenant: None, key: None, deadline, work_hint: None, dest, stream, size };
        w.step(&[DispatchEvent::Restore { message, past }]);
    }
    w
}

/// Whether the latest call of the message is out, of this life, and no younger than its outcome.
fn is_out(w: &World, msg: MsgId, now: Micros) -> bool {
    let call = w.attempts.get(&msg).and_then(|n| w.out.get(&(msg, n.checked_sub(1)?)));
    call.is_some_and(|(_, sent, _)| *sent < now)
}

impl Day<'_> {
    fn settings(&self) -> Settings {
        let mut set = settings(5);
        (set.sender_count, set.overload_span, set.overload_multiple) = (self.senders, FALL, 2.0);
        (set.slow_start_share, set.slow_start, set.max_open_messages) = (COLD_FROM, COLD, self.open_cap);
        (set.max_attempts, set.decay) = (8, Decay::Halving);
        for class in &mut set.classes {
            (class.latency_target, class.deadline, class.late_value) = (3 * SEC, LIFE, 0.4);
        }
        set
    }

    fn share(&self, after: Micros) -> f64 {
        (COLD_FROM + (1.0 - COLD_FROM) * after as f64 / COLD as f64).min(1.0)
    }

    fn play(&self) -> Sums {
        let rates: Vec<f64> = self.listed.iter().map(|r| r / self.rough).collect();
        let list: Vec<EndpointEntry> = (0u32..)
            .zip(self.listed)
            .map(|(e, r)| EndpointEntry { weight: *r, ..entry(e, e.into()) })
            .collect();
        let mut worlds: Vec<World> = (0..self.senders)
            .map(|me| {
                let mut w = World::new(Settings { sender_index: me, ..self.settings() }, u64::from(me) + 1);
                w.list(ListUpdate::Full, &list);
                w
            })
            .collect();
        let (begin, mut seed, mut sums) = (worlds[0].now, self.seed, Sums::default());
        let (from, to) = (begin + self.shut.0, begin + self.shut.1);
        let end = begin + self.seconds * SEC;
        let mut due: BinaryHeap<Reverse<Due>> = BinaryHeap::new();
        for (dest, rate) in (0..).zip(self.listed) {
            let mut at = begin;
            while at < end {
                at += (-(1.0 - random_unit(&mut seed)).ln() / (rate * self.load) * 1e6) as Micros;
                let part = random_unit(&mut seed).powi(if self.faults.uneven { 2 } else { 1 });
                due.push(Reverse((at, (part * f64::from(self.senders)) as usize, None, dest)));
            }
        }
        let mut mark = |at, n, mark| due.push(Reverse((at, n, Some((mark, None)), 0)));
        let restarts = self.faults.restarts as usize;
        for n in 0..restarts {
            // Any of them, the busy ones too.
            let (n, at) =
                (n * worlds.len() / restarts, to - 2 * SEC + (random_unit(&mut seed) * 2e6) as Micros);
            mark(at, n, RESTART);
            mark(at + (random_unit(&mut seed) * 1e6) as Micros, n, LIST);
        }
        for n in 0..worlds.len() * usize::from(self.faults.listed_cold) {
            mark(from, n, DRAIN);
            mark(to + if n % 5 == 4 { (random_unit(&mut seed) * 2e6) as Micros } else { 0 }, n, LIST);
        }
        let (mut calls_made, mut fresh_life) = (0, vec![false; worlds.len()]);
        // Tokens and when they were counted; calls taken; calls of the cold time, and whether of a knowing sender.
        let mut tokens: Vec<(f64, Micros)> = rates.iter().map(|r| (r / 2.0, begin)).collect();
        let mut taken: Vec<Vec<Micros>> = vec![Vec::new(); rates.len()];
        let (mut cold, mut knows): (Vec<(Micros, bool)>, _) = (Vec::new(), vec![false; worlds.len()]);
        let (mut came, mut given, mut done) = (BTreeMap::new(), Vec::new(), BTreeSet::new());
        while let Some(Reverse((now, n, what, dest))) = due.pop() {
            let w = &mut worlds[n];
            let mut before = w.log.len();
            w.pass(now.saturating_sub(w.now));
            let mut fresh = None;
            match what {
                None if now < end => {
                    fresh = Some(w.with(0, dest, |m| m.deadline = now + LIFE));
                    came.insert((n, fresh.unwrap()), (now, dest));
                    sums.handed += 1;
                }
                Some((RESTART, _)) => {
                    let open: Vec<_> = came
                        .range((n, 0)..(n + 1, 0))
                        .filter(|(id, _)| !done.contains(*id))
                        .map(|((_, id), (at, dest))| (*id, *at, *dest))
                        .collect();
                    let me = u32::try_from(n).unwrap();
                    *w = next_life(w, Settings { sender_index: me, ..self.settings() }, &open);
                    (knows[n], fresh_life[n]) = (false, true);
                    before = 0;
                }
                Some((DRAIN, _)) => {
                    let entry = EndpointEntry { state: EndpointState::Draining, ..list[0].clone() };
                    w.list(ListUpdate::Delta, &[entry]);
                }
                Some((LIST, _)) => {
                    let gone = self.faults.listed_cold && now < to;
                    let state = if gone { EndpointState::Draining } else { EndpointState::Ready };
                    let cold = self.faults.listed_cold && !gone;
                    knows[n] |= cold;
                    let first = EndpointEntry { state, returning: cold, ..list[0].clone() };
                    let rest = list[1..].iter().cloned();
                    w.list(ListUpdate::Full, &std::iter::once(first).chain(rest).collect::<Vec<_>>());
                }
                // Its call was of an earlier life, or is over.
                Some((msg, _)) if msg != WAKE && !is_out(w, msg, now) => {}
                Some((msg, Some(LATE))) => {
                    w.finish(msg, Outcome::Timeout, 0);
                    knows[n] |= dest == 0 && (from..to).contains(&(now - 1));
                }
                Some((msg, None)) if msg != WAKE => {
                    w.finish(msg, Outcome::Ok, 0);
                    done.insert((n, msg));
                    sums.delivered += 1;
                    let late = now.saturating_sub(came[&(n, msg)].0 + 3 * SEC) as f64 / 3e6;
                    sums.worth += 0.5f64.powf(late).max(0.4);
                }
                Some((msg, Some(wait))) => {
                    w.finish(msg, Outcome::Full, wait);
                    sums.refused += 1;
                    // A fresh process takes its first refusals for a limit's, as long as they tell no longer wait.
                    let limit = fresh_life[n] && wait <= LIMIT_WAIT;
                    knows[n] |= dest == 0 && (from..to).contains(&(now - TRIP / 2)) && !limit;
                }
                _ => {}
            }
            let acts: Vec<DispatchAction> = w.log[before..].iter().map(|(_, a)| a.clone()).collect();
            for act in acts {
                match act {
                    DispatchAction::Send { msg, timeout, .. } => {
                        calls_made += 1;
                        let lags = self.faults.laggards > 0 && calls_made % self.faults.laggards == 0;
                        let dest = came[&(n, msg)].1;
                        let d = dest as usize;
                        let arrives = now + TRIP / 2 + if lags { 3 * SEC / 2 } else { 0 };
                        let shut = dest == 0 && (from..to).contains(&arrives);
                        let after = if dest == 0 && arrives >= to { arrives - to } else { COLD };
                        if dest == 0 && arrives >= to && self.shut.1 > 0 {
                            cold.push((arrives, knows[n] && !lags));
                        }
                        let rate = rates[d] * self.share(after);
                        let (level, at) = tokens[d];
                        let level = (level + rate * arrives.saturating_sub(at) as f64 / 1e6).min(rate / 2.0);
                        let takes = !shut && level >= 1.0;
                        tokens[d] = (if takes { level - 1.0 } else { level }, arrives.max(at));
                        let wait = if shut { to.saturating_sub(arrives) } else { SEC / 2 };
                        let told = if self.tells { wait } else { 0 };
                        if takes {
                            taken[d].push(arrives);
                        }
                        let silent = shut && self.faults.silent;
                        let (over, how) = if silent || arrives + TRIP / 2 > now + timeout {
                            (now + timeout, Some(LATE))
                        } else {
                            (arrives + TRIP / 2, (!takes).then_some(told))
                        };
                        due.push(Reverse((over, n, Some((msg, how)), dest)));
                    }
                    DispatchAction::Reject { msg, after } => {
                        let (at, dest) = came[&(n, msg)];
                        done.insert((n, msg));
                        let why = match after {
                            _ if fresh == Some(msg) && after == 2 * SEC => "shed at the door",
                            _ if fresh == Some(msg) => "no turn, at the door",
                            _ if after == 2 * SEC => "shed",
                            _ if w.sends(msg) > 0 => "no turn after a refusal",
                            _ => "no turn",
                        };
                        if now < at + LIFE / 10 * 7 {
                            given.push((why, dest as usize, now, at + LIFE));
                        }
                    }
                    _ => {}
                }
            }
            let w = &worlds[n];
            if let Some(t) = w.next_timer.filter(|t| *t < end + 20 * SEC) {
                due.push(Reverse((t.max(now), n, Some((WAKE, None)), 0)));
            }
        }
        for (why, d, from, to) in given {
            let calls = taken[d].iter().filter(|t| (from..to).contains(t)).count() as f64;
            let room = rates[d] * (to - from) as f64 / 1e6 - calls >= 1.0;
            let count = sums.untried.entry(why).or_default();
            *count = (count.0 + 1, count.1 + u32::from(room));
        }
        let mut spans = 0.0;
        for (at, _) in cold.iter().filter(|(at, _)| *at < to + COLD) {
            let most = falls(rates[0], self.share(at - to));
            let span = || cold.iter().filter(|(t, _)| (*at..at + FALL).contains(t));
            let (all, knowing) = (span().count() as f64, span().filter(|(_, k)| *k).count() as f64);
            sums.worst = (sums.worst.0.max(all / most), sums.worst.1.max(knowing / most));
        }
        for s in 0..COLD / FALL {
            spans += 2.0 / 3.0 * falls(rates[0], self.share(s * FALL));
        }
        let within = |t: Micros| t < to + COLD / FALL * FALL;
        sums.spent = cold.iter().filter(|(t, k)| *k && within(*t)).count() as f64 / spans;
        sums
    }
}

/// Destination 0 shuts for eight seconds while the fleet asks for its listed rate, which is half too high.
#[test]
fn senders_that_saw_a_failure_send_a_cold_destination_at_most_two_thirds_of_its_overload() {
    for (senders, listed) in
        [(3, 6.0), (100, 24.0), (100, 80.0), (300, 24.0), (300, 50.0), (300, 120.0), (300, 200.0)]
    {
        for tells in [false, true] {
            // Where a sender's part is rarest, one day's calls are under twenty: five days tell of the mean.
            let seeds = if (senders, listed) == (300, 24.0) { 7..12 } else { 7..8 };
            let (mut spent, days) = (0.0, seeds.end - seeds.start);
            for seed in seeds {
                let day = Day {
                    senders,
                    listed: &[listed],
                    rough: ROUGH,
                    seconds: 30,
                    load: 1.0,
                    shut: (4 * SEC, 12 * SEC),
                    tells,
                    open_cap: 1000,
                    seed,
                    faults: Faults::default(),
                };
                let sums = day.play();
                println!("{senders} senders, {listed}/s, waits told: {tells}: {sums:?}");
                assert!(
                    sums.worst.1 <= 2.0 / 3.0,
                    "{senders} senders, {listed}/s, waits told: {tells}: {sums:?}"
                );
                spent += sums.spent / days as f64;
            }
            // Of three senders, each may send what it likes within the budget.
            assert!(senders == 3 || spent > 0.25, "the budget is left lying: {spent:.2} of it is spent");
        }
    }
}

/// In 264 days of fleets of all sizes the sum of all senders' calls never passes what brings a cold destination down, in
/// no span, with whatever goes wrong beside, and knowing senders keep to two thirds of it; and it is not left lying.
/// In a span the fleet asks for the N calls that the settings allow a cold destination: what is held since the outage comes
/// on top, and if it asked for more, those that cannot know of the outage could bring it down alone.
#[test]
fn the_sum_of_all_senders_stays_under_what_brings_a_cold_destination_down() {
    let sizes = [
        (2, 60, [3.0, 24.0]),
        (3, 60, [3.0, 24.0]),
        (20, 36, [8.0, 40.0]),
        (30, 32, [8.0, 60.0]),
        (100, 8, [24.0, 100.0]),
        (300, 4, [24.0, 300.0]),
        // Whole calls in a span, from S over N on.
        (20, 24, [60.0, 100.0]),
        (30, 24, [90.0, 140.0]),
        (100, 12, [150.0, 240.0]),
        (300, 4, [450.0, 600.0]),
    ];
    let (mut over, mut days) = (Vec::new(), 0);
    for (senders, seeds, listed) in sizes {
        let (mut all, mut knowing, mut spent) = (0.0f64, 0.0f64, 0.0);
        for n in 0..seeds {
            let faults = Faults {
                uneven: n / 2 % 2 == 1,
                silent: n % 3 == 1,
                restarts: if n % 4 >= 2 { u32::div_ceil(senders, 10) } else { 0 },
                laggards: if n % 5 == 3 { 20 } else { 0 },
                listed_cold: n % 7 == 4,
            };
            let listed = listed[n as usize % 2];
            let day = Day {
                senders,
                listed: &[listed],
                rough: ROUGH,
                seconds: 16,
                load: 2.0 * COLD_FROM / ROUGH,
                shut: (SEC, 8 * SEC),
                tells: n % 6 < 3,
                open_cap: 1000,
                seed: 1000 * u64::from(senders) + n,
                faults,
            };
            let sums = day.play();
            (all, knowing) = (all.max(sums.worst.0), knowing.max(sums.worst.1));
            spent += sums.spent / seeds as f64;
            days += 1;
            if sums.worst.0 > 1.0 || sums.worst.1 > 2.0 / 3.0 {
                over.push(format!("{senders} senders, {listed}/s, seed {n}, {faults:?}: {:?}", sums.worst));
            }
        }
        println!(
            "{senders} senders, {seeds} days: at most {all:.2}, of knowing ones {knowing:.2}; spent {spent:.2}"
        );
        assert!(spent > 0.2, "{senders} senders: the budget is left lying, {spent:.2} of it is spent");
    }
    println!("{} of {days} days over it:\n{}", over.len(), over.join("\n"));
    assert!(over.is_empty(), "{} of {days} days over it", over.len());
}

/// No outage, only limits that bind.
#[test]
fn few_messages_are_rejected_untried_where_only_limits_bind() {
    for (senders, listed) in [(3, [6.0, 12.0, 24.0]), (100, [24.0, 50.0, 100.0]), (300, [24.0, 80.0, 240.0])]
    {
        for tells in [false, true] {
            let day = Day {
                senders,
                listed: &listed,
                rough: 1.0,
                seconds: 30,
                load: 1.2,
                shut: (0, 0),
                tells,
                open_cap: 29,
                seed: 7,
                faults: Faults::default(),
            };
            let sums = day.play();
            println!("{senders} senders, {listed:?}/s, waits told: {tells}: {sums:?}");
            let count = |door: bool| {
                let of = sums.untried.iter().filter(|(why, _)| why.ends_with("door") == door);
                of.map(|(_, n)| n.0).sum::<u32>()
            };
            assert!(
                count(false) < sums.handed / 40,
                "{senders} senders gave back what they had taken on: {sums:?}"
            );
            assert!(
                senders == 3 || count(true) + count(false) < sums.handed / 28,
                "{senders} senders: {sums:?}"
            );
        }
    }
}
