//! What a whole fleet does to a destination that returns cold, and what it gives back untried, on one virtual clock.

mod common;
use common::*;
use spurshore::*;
use spurshore_tables::draw;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Time that a call takes, there and back.
const TRIP: Micros = 100_000;
const FALL: Micros = 3 * SEC;
const COLD: Micros = 8 * SEC;
const COLD_FROM: f64 = 0.25;
const LIFE: Micros = 16 * SEC;
/// A listed rate may be half too high.
const ROUGH: f64 = 1.5;

/// What brings a destination of `rate` calls a second down, at this share of what it can do.
fn falls(rate: f64, share: f64) -> f64 {
    let n = 2.0 * share * rate * FALL as f64 / 1e6;
    n + 3.0 * n.sqrt() + 3.0
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
type Due = (Micros, usize, Option<(MsgId, Option<Micros>)>, DestId);

impl Day<'_> {
    fn settings(&self) -> Settings {
        let mut set = settings(5);
        (set.siblings, set.fall, set.fall_multiple) = (self.senders, FALL, 2.0);
        (set.cold_from, set.cold, set.open_cap) = (COLD_FROM, COLD, self.open_cap);
        (set.max_attempts, set.decay) = (8, Decay::Halving);
        for class in &mut set.classes {
            (class.aim, class.deadline, class.late_worth) = (3 * SEC, LIFE, 0.4);
        }
        set
    }

    fn share(&self, after: Micros) -> f64 {
        (COLD_FROM + (1.0 - COLD_FROM) * after as f64 / COLD as f64).min(1.0)
    }

    fn play(&self) -> Sums {
        let rates: Vec<f64> = self.listed.iter().map(|r| r / self.rough).collect();
        let list: Vec<Entry> =
            (0u32..).zip(self.listed).map(|(e, r)| Entry { weight: *r, ..entry(e, e.into()) }).collect();
        let mut worlds: Vec<World> = (0..self.senders)
            .map(|me| {
                let mut w = World::new(Settings { me, ..self.settings() }, u64::from(me) + 1);
                w.list(ListKind::Whole, &list);
                w
            })
            .collect();
        let (begin, mut seed, mut sums) = (worlds[0].now, 7, Sums::default());
        let end = begin + self.seconds * SEC;
        let mut due: BinaryHeap<Reverse<Due>> = BinaryHeap::new();
        for (dest, rate) in (0..).zip(self.listed) {
            let mut at = begin;
            while at < end {
                at += (-(1.0 - draw(&mut seed)).ln() / (rate * self.load) * 1e6) as Micros;
                due.push(Reverse((at, (draw(&mut seed) * f64::from(self.senders)) as usize, None, dest)));
            }
        }
        // Tokens and when they were counted; calls taken; calls of the cold time, and whether of a knowing sender.
        let mut tokens: Vec<(f64, Micros)> = rates.iter().map(|r| (r / 2.0, begin)).collect();
        let mut taken: Vec<Vec<Micros>> = vec![Vec::new(); rates.len()];
        let (mut cold, mut knows): (Vec<(Micros, bool)>, _) = (Vec::new(), vec![false; worlds.len()]);
        let (mut came, mut given) = (BTreeMap::new(), Vec::new());
        let (from, to) = (begin + self.shut.0, begin + self.shut.1);
        while let Some(Reverse((now, n, what, dest))) = due.pop() {
            let w = &mut worlds[n];
            let before = w.log.len();
            w.pass(now.saturating_sub(w.now));
            let mut fresh = None;
            match what {
                None if now < end => {
                    fresh = Some(w.with(0, dest, |m| m.deadline = now + LIFE));
                    came.insert((n, fresh.unwrap()), (now, dest));
                    sums.handed += 1;
                }
                Some((msg, None)) if msg != MsgId::MAX => {
                    w.finish(msg, Outcome::Ok, 0);
                    sums.delivered += 1;
                    let late = now.saturating_sub(came[&(n, msg)].0 + 3 * SEC) as f64 / 3e6;
                    sums.worth += 0.5f64.powf(late).max(0.4);
                }
                Some((msg, Some(wait))) => {
                    w.finish(msg, Outcome::Full, wait);
                    sums.refused += 1;
                    knows[n] |= dest == 0 && (from..to).contains(&(now - TRIP / 2));
                }
                _ => {}
            }
            let acts: Vec<Action> = w.log[before..].iter().map(|(_, a)| a.clone()).collect();
            for act in acts {
                match act {
                    Action::Send { msg, .. } => {
                        let dest = came[&(n, msg)].1;
                        let d = dest as usize;
                        let arrives = now + TRIP / 2;
                        let shut = dest == 0 && (from..to).contains(&arrives);
                        let after = if dest == 0 && arrives >= to { arrives - to } else { COLD };
                        if dest == 0 && arrives >= to && self.shut.1 > 0 {
                            cold.push((arrives, knows[n]));
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
                        due.push(Reverse((now + TRIP, n, Some((msg, (!takes).then_some(told))), dest)));
                    }
                    Action::Refuse { msg, after } => {
                        let (at, dest) = came[&(n, msg)];
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
                due.push(Reverse((t.max(now), n, Some((MsgId::MAX, None)), 0)));
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
fn a_cold_return_gets_from_knowing_senders_two_thirds_of_what_brings_it_down_at_most() {
    for (senders, listed) in
        [(3, 6.0), (100, 24.0), (100, 80.0), (300, 24.0), (300, 50.0), (300, 120.0), (300, 200.0)]
    {
        for tells in [false, true] {
            let shut = (4 * SEC, 12 * SEC);
            let day = Day {
                senders,
                listed: &[listed],
                rough: ROUGH,
                seconds: 30,
                load: 1.0,
                shut,
                tells,
                open_cap: 1000,
            };
            let sums = day.play();
            println!("{senders} senders, {listed}/s, waits told: {tells}: {sums:?}");
            assert!(
                sums.worst.1 <= 2.0 / 3.0,
                "{senders} senders, {listed}/s, waits told: {tells}: {sums:?}"
            );
            // Of three senders, each may send what it likes within the budget.
            assert!(senders == 3 || sums.spent > 0.25, "the budget is left lying: {sums:?}");
        }
    }
}

/// No outage, only limits that bind.
#[test]
fn few_messages_are_given_back_untried_where_only_limits_bind() {
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
