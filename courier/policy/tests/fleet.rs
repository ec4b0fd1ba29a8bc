//! Sums over a fleet: many senders that share nothing but the destination, on one virtual clock.

mod common;
use common::*;
use quillmount_containers::random_unit;
use quillmount_policy::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Time that a call takes, there and back.
const TRIP: Micros = 60_000;

/// Over all senders: messages submitted, delivered within three seconds or later, and calls refused.
#[derive(Debug, Default)]
struct Sums {
    submitted: u32,
    timely: u32,
    late: u32,
    refused: u32,
}

/// A destination that accepts `rate` calls a second, with a burst of half a second's at most. A refused call counts too.
struct Limit {
    rate: f64,
    level: f64,
    at: Micros,
}

impl Limit {
    fn accepts(&mut self, now: Micros) -> bool {
        let depth = (self.rate / 2.0).max(1.0);
        self.level = (self.level + self.rate * (now - self.at) as f64 / 1e6).min(depth);
        self.at = now;
        let accepted = self.level >= 1.0;
        self.level = (self.level - 1.0).max(0.0);
        accepted
    }
}

/// When, at which sender: a message comes, or a call of it ends, accepted or not.
type Due = (Micros, usize, Option<(MsgId, bool)>);

/// Messages that were sent.
fn sent(log: &[(Micros, DispatchAction)]) -> Vec<MsgId> {
    let message = |action: &DispatchAction| match action {
        DispatchAction::Send { msg, .. } => Some(*msg),
        _ => None,
    };
    log.iter().filter_map(|(_, action)| message(action)).collect()
}

/// A day of `seconds`, with so many messages a second over all senders, and the limit's true rate, each by second.
fn play(
    senders: u32,
    listed: f64,
    seconds: u64,
    load: impl Fn(u64) -> f64,
    rate: impl Fn(u64) -> f64,
) -> Sums {
    let mut set = settings(4);
    (set.sender_count, set.overload_span, set.overload_multiple) = (senders, 3 * SEC, 2.0);
    (set.slow_start_share, set.slow_start) = (0.25, 8 * SEC);
    let mut worlds: Vec<World> = (0..senders)
        .map(|me| {
            let mut w = World::new(Settings { sender_index: me, ..set.clone() }, u64::from(me) + 1);
            w.list(ListUpdate::Full, &[EndpointEntry { weight: listed, ..entry(0, 0) }]);
            w
        })
        .collect();
    let (begin, mut seed, mut sums) = (worlds[0].now, 7, Sums::default());
    let mut limit = Limit { rate: rate(0), level: 0.0, at: begin };
    let mut due: BinaryHeap<Reverse<Due>> = BinaryHeap::new();
    let mut at = begin;
    while at < begin + seconds * SEC {
        at += (-(1.0 - random_unit(&mut seed)).ln() / load((at - begin) / SEC).max(1e-3) * 1e6) as Micros;
        due.push(Reverse((at, (random_unit(&mut seed) * f64::from(senders)) as usize, None)));
    }
    let mut came = std::collections::BTreeMap::new();
    while let Some(Reverse((now, n, what))) = due.pop() {
        let w = &mut worlds[n];
        let before = w.log.len();
        w.pass(now.saturating_sub(w.now));
        match what {
            None if now < begin + seconds * SEC => {
                came.insert((n, w.submit(0, 0)), now);
                sums.submitted += 1;
            }
            Some((msg, true)) => {
                w.finish(msg, Outcome::Ok, 0);
                let age = now - came[&(n, msg)];
                *(if age <= 3 * SEC { &mut sums.timely } else { &mut sums.late }) += 1;
            }
            Some((msg, false)) if msg != MsgId::MAX => {
                w.finish(msg, Outcome::Full, 0);
                sums.refused += 1;
            }
            _ => {}
        }
        // All that was sent in this step arrives at the limit in the order of time.
        for msg in sent(&w.log[before..]) {
            limit.rate = rate((now - begin) / SEC);
            let accepted = limit.accepts(now.max(limit.at));
            due.push(Reverse((now + TRIP, n, Some((msg, accepted)))));
        }
        if let Some(t) = w.next_timer.filter(|t| *t < begin + (seconds + 20) * SEC) {
            due.push(Reverse((t.max(now), n, Some((MsgId::MAX, false)))));
        }
    }
    sums
}

/// A burst of four seconds' load, of a limit that is listed right, half too high or half too low.
#[test]
fn a_burst_over_the_limit_does_not_make_the_fleet_use_it_up_with_refusals() {
    for senders in [100, 300] {
        for listed in [50.0, 75.0, 34.0] {
            let load = |s| if (4..7).contains(&s) { 100.0 } else { 25.0 };
            let sums = play(senders, listed, 40, load, |_| 50.0);
            assert!(
                f64::from(sums.refused) < 0.25 * f64::from(sums.submitted),
                "{senders} {listed} {sums:?}"
            );
        }
    }
}
