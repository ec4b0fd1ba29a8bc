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
    for held in [50, 150, 300, 600] {
        let cost = cost(held);
        let base = *first.get_or_insert(cost);
        println!("| {held} | {cost:.1} | {:.1} |", cost / base);
    }
}

/// Messages come to a destination whose calls all time out, and as many are ended.
fn cost(held: u64) -> f64 {
    let class = Class {
        effect: Effect::Unsafe,
        aim: 3 * SEC,
        aim_stretch: 0.0,
        deadline: 12 * SEC,
        worth: 1.0,
        late_worth: 0.4,
        keep_order: false,
    };
    let settings = Settings {
        slots: 24,
        open_cap: 2_000,
        cancel: true,
        siblings: 2,
        weight_is_rate: true,
        classes: vec![class],
        kinds: vec![Kind { separate_routes: false }],
        ..Settings::default()
    };
    let Ok(mut dispatcher) = Dispatcher::new(settings, 7) else { return 0.0 };
    let entries = (0..20).map(|n| Entry {
        endpoint: n,
        dest: n.into(),
        kind: 0,
        zone: 0,
        weight: 20.0,
        state: ListState::Ready,
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
        })
    };
    let mut step = |dispatcher: &mut Dispatcher, now: Micros, events: &[Event]| {
        for action in dispatcher.step(now, events) {
            if let Action::Send { msg, .. } = action {
                out.push(msg);
            }
        }
        std::mem::take(&mut out)
    };
    step(&mut dispatcher, now, &[list]);
    let mut calls = Vec::new();
    for _ in 0..held {
        id += 1;
        calls.extend(step(&mut dispatcher, now, &[submit(id, now)]));
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
        calls.extend(step(&mut dispatcher, now, &events));
    }
    begun.elapsed().as_secs_f64() * 1e6 / STEPS as f64
}
