//! Measures the cost of a step, in microseconds, by the number of messages that wait for a destination in an outage.
//! All rows are measured in one run, so that they can be compared.
//!
//!     cargo run --release --example waiting_messages

use quillmount_policy::{
    Completion, DestinationKind, DispatchAction, DispatchEvent, Dispatcher, Effect, EndpointEntry,
    EndpointState, ListUpdate, Message, MessageClass, Micros, Outcome, Settings,
};
use std::time::Instant;

const SEC: Micros = 1_000_000;
/// Number of measured steps.
const STEPS: u64 = 400;

fn main() {
    println!("| waiting messages | us per step | relative to the first row |\n| --- | --- | --- |");
    let mut first = None;
    for waiting in [100, 1_000, 10_000, 100_000] {
        let Ok(mut dispatcher) = Dispatcher::new(settings(waiting), 7) else { return };
        let step_cost = cost(waiting, |now, events| dispatcher.step(now, events));
        let base = *first.get_or_insert(step_cost);
        println!("| {waiting} | {step_cost:.1} | {:.1} |", step_cost / base);
    }
}

fn settings(waiting: u64) -> Settings {
    let class = MessageClass {
        effect: Effect::NonIdempotent,
        latency_target: 3 * SEC,
        latency_target_stretch: 0.0,
        deadline: 12 * SEC,
        value: 1.0,
        late_value: 0.4,
        keep_order: false,
    };
    Settings {
        slots: 24,
        max_open_messages: 2 * waiting as u32,
        cancel: true,
        sender_count: 2,
        weight_is_rate: true,
        classes: vec![class],
        kinds: vec![DestinationKind { separate_routes: false, batch: 1 }],
        ..Settings::default()
    }
}

/// Returns the cost of a step, microseconds. In each step a message is submitted for a destination whose calls all
/// time out, and one of its calls ends.
fn cost(waiting: u64, mut decide: impl FnMut(Micros, &[DispatchEvent]) -> Vec<DispatchAction>) -> f64 {
    let entries = (0..20).map(|n| EndpointEntry {
        endpoint: n,
        dest: n.into(),
        kind: 0,
        zone: 0,
        weight: 20.0,
        state: EndpointState::Ready,
        returning: false,
    });
    let list = DispatchEvent::List { kind: ListUpdate::Full, entries: entries.collect() };
    let (mut now, mut id, mut sent) = (SEC, 0, Vec::new());
    let submit = |id: u64, now: Micros| {
        let deadline = now + 12 * SEC;
        DispatchEvent::Submit(Message {
            id,
            class: 0,
            tenant: None,
            key: None,
            deadline,
            work_hint: None,
            dest: 0,
            stream: false,
            size: 0,
        })
    };
    let mut step = |now: Micros, events: &[DispatchEvent]| {
        for action in decide(now, events) {
            if let DispatchAction::Send { msg, .. } = action {
                sent.push(msg);
            }
        }
        std::mem::take(&mut sent)
    };
    step(now, &[list]);
    let mut calls = Vec::new();
    for _ in 0..waiting {
        id += 1;
        calls.extend(step(now, &[submit(id, now)]));
    }
    let started_at = Instant::now();
    for _ in 0..STEPS {
        now += 12 * SEC / waiting;
        id += 1;
        let mut events = vec![submit(id, now)];
        if let Some(msg) = calls.pop() {
            events.push(DispatchEvent::Completed(Completion {
                msg,
                attempt: 0,
                outcome: Outcome::Timeout,
                elapsed: SEC,
                finished: false,
                wait: 0,
                load_report: Vec::new(),
            }));
        }
        calls.extend(step(now, &events));
    }
    started_at.elapsed().as_secs_f64() * 1e6 / STEPS as f64
}
