//! Simulation of a fleet: many senders that share only the destination, on one virtual clock.

mod common;
use common::*;
use quillmount_containers::random_unit;
use quillmount_policy::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Round-trip time of a call.
const ROUND_TRIP: Micros = 60_000;

/// Totals over all senders: messages submitted, delivered within three seconds or later, and calls refused.
#[derive(Debug, Default)]
struct FleetTotals {
    submitted: u32,
    timely: u32,
    late: u32,
    refused: u32,
}

/// The limit of a destination, a token bucket: `rate` calls a second, with a burst of at most half a second. Refused
/// calls count too.
struct Limit {
    rate: f64,
    level: f64,
    updated_at: Micros,
}

impl Limit {
    fn accepts(&mut self, now: Micros) -> bool {
        let depth = (self.rate / 2.0).max(1.0);
        self.level = (self.level + self.rate * (now - self.updated_at) as f64 / 1e6).min(depth);
        self.updated_at = now;
        let accepted = self.level >= 1.0;
        self.level = (self.level - 1.0).max(0.0);
        accepted
    }
}

/// A scheduled event: its time, its sender, and what happens. `None`: a message is submitted. Otherwise a call of the
/// message ends, accepted or not; `MsgId::MAX` means a timer.
type Due = (Micros, usize, Option<(MsgId, bool)>);

/// The messages that were sent.
fn sent(log: &[(Micros, DispatchAction)]) -> Vec<MsgId> {
    let message = |action: &DispatchAction| match action {
        DispatchAction::Send { msg, .. } => Some(*msg),
        _ => None,
    };
    log.iter().filter_map(|(_, action)| message(action)).collect()
}

/// Simulates `seconds`. `load` is the number of messages a second over all senders, and `rate` is the limit's true
/// rate; both depend on the second.
fn simulate(
    senders: u32,
    listed: f64,
    seconds: u64,
    load: impl Fn(u64) -> f64,
    rate: impl Fn(u64) -> f64,
) -> FleetTotals {
    let mut set = settings(4);
    (set.sender_count, set.overload_span, set.overload_multiple) = (senders, 3 * SEC, 2.0);
    (set.slow_start_share, set.slow_start) = (0.25, 8 * SEC);
    let mut worlds: Vec<World> = (0..senders)
        .map(|index| {
            let mut world = World::new(Settings { sender_index: index, ..set.clone() }, u64::from(index) + 1);
            world.list(ListUpdate::Full, &[EndpointEntry { weight: listed, ..entry(0, 0) }]);
            world
        })
        .collect();
    let (begin, mut seed, mut totals) = (worlds[0].now, 7, FleetTotals::default());
    let mut limit = Limit { rate: rate(0), level: 0.0, updated_at: begin };
    let mut due: BinaryHeap<Reverse<Due>> = BinaryHeap::new();
    let mut at = begin;
    while at < begin + seconds * SEC {
        at += (-(1.0 - random_unit(&mut seed)).ln() / load((at - begin) / SEC).max(1e-3) * 1e6) as Micros;
        due.push(Reverse((at, (random_unit(&mut seed) * f64::from(senders)) as usize, None)));
    }
    let mut submitted_at = std::collections::BTreeMap::new();
    while let Some(Reverse((now, n, event))) = due.pop() {
        let world = &mut worlds[n];
        let before = world.log.len();
        world.pass(now.saturating_sub(world.now));
        match event {
            None if now < begin + seconds * SEC => {
                submitted_at.insert((n, world.submit(0, 0)), now);
                totals.submitted += 1;
            }
            Some((msg, true)) => {
                world.finish(msg, Outcome::Ok, 0);
                let age = now - submitted_at[&(n, msg)];
                *(if age <= 3 * SEC { &mut totals.timely } else { &mut totals.late }) += 1;
            }
            Some((msg, false)) if msg != MsgId::MAX => {
                world.finish(msg, Outcome::Full, 0);
                totals.refused += 1;
            }
            _ => {}
        }
        // The calls of this step reach the limit in the order of time.
        for msg in sent(&world.log[before..]) {
            limit.rate = rate((now - begin) / SEC);
            let accepted = limit.accepts(now.max(limit.updated_at));
            due.push(Reverse((now + ROUND_TRIP, n, Some((msg, accepted)))));
        }
        if let Some(t) = world.next_timer.filter(|t| *t < begin + (seconds + 20) * SEC) {
            due.push(Reverse((t.max(now), n, Some((MsgId::MAX, false)))));
        }
    }
    totals
}

/// Guards against a fleet that exhausts a limit with refused calls during a burst. The listed rate is right, half too
/// high or a third too low.
#[test]
fn a_burst_above_the_limit_does_not_exhaust_it_with_refused_calls() {
    for senders in [100, 300] {
        for listed in [50.0, 75.0, 34.0] {
            let load = |s| if (4..7).contains(&s) { 100.0 } else { 25.0 };
            let totals = simulate(senders, listed, 40, load, |_| 50.0);
            assert!(
                f64::from(totals.refused) < 0.25 * f64::from(totals.submitted),
                "{senders} senders, listed rate {listed}: {totals:?}"
            );
        }
    }
}
