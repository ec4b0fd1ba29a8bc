//! What a step of the decisions costs by the number of messages that are held for a destination in an outage:
//! microseconds a step, in one run, so that the rows can be set against each other.
//!
//!     cargo run --release --example held

use spurshore::*;
use std::time::Instant;

const SEC: Micros = 1_000_000;
/// Steps that are timed.
const STEPS: u64 = 400;

fn main() {
    println!("| held | us a step | times the first |\n| --- | --- | --- |");
    let mut first = None;
    for held in [100, 1_000, 10_000, 100_000] {
        let Ok(mut new) = Dispatcher::new(settings(held), 7) else { return };
        let now = cost(held, |now, events| new.step(now, events));
        let base = *first.get_or_insert(now);
        println!("| {held} | {now:.1} | {:.1} |", now / base);
    }
}

fn settings(held: u64) -> Settings {
    let class = Class {
        effect: Effect::Unsafe,
        aim: 3 * SEC,
        aim_stretch: 0.0,
        deadline: 12 * SEC,
        worth: 1.0,
        late_worth: 0.4,
        keep_order: false,
    };
    Settings {
        slots: 24,
        open_cap: 2 * held as u32,
        cancel: true,
        siblings: 2,
        weight_is_rate: true,
        classes: vec![class],
        kinds: vec![Kind { separate_routes: false, batch: 1 }],
        ..Settings::default()
    }
}

/// Messages come to a destination whose calls all time out, and as many are ended.
fn cost(held: u64, mut decide: impl FnMut(Micros, &[Event]) -> Vec<Action>) -> f64 {
    let entries = (0..20).map(|n| Entry {
        endpoint: n,
        dest: n.into(),
        kind: 0,
        zone: 0,
        weight: 20.0,
        state: ListState::Ready,
        cold: false,
    });
    let list = Event::List { kind: ListKind::Whole, entries: entries.collect() };
    let (mut now, mut id, mut out) = (SEC, 0, Vec::new());
    let submit = |id: u64, now: Micros| {
        let deadline = now + 12 * SEC;
        Event::Submit(Message {
            id,
            class: 0,
            tenant: None,
            key: None,
            deadline,
            hint: None,
            dest: 0,
            stream: false,
            size: 0,
        })
    };
    let mut step = |now: Micros, events: &[Event]| {
        for action in decide(now, events) {
            if let Action::Send { msg, .. } = action {
                out.push(msg);
            }
        }
        std::mem::take(&mut out)
    };
    step(now, &[list]);
    let mut calls = Vec::new();
    for _ in 0..held {
        id += 1;
        calls.extend(step(now, &[submit(id, now)]));
    }
    let begun = Instant::now();
    for _ in 0..STEPS {
        now += 12 * SEC / held;
        id += 1;
        let mut events = vec![submit(id, now)];
        if let Some(msg) = calls.pop() {
            events.push(Event::Completed(Completed {
                msg,
                attempt: 0,
                outcome: Outcome::Timeout,
                elapsed: SEC,
                finished: false,
                wait: 0,
                report: Vec::new(),
            }));
        }
        calls.extend(step(now, &events));
    }
    begun.elapsed().as_secs_f64() * 1e6 / STEPS as f64
}
