//! Repeats under an idempotency key: they are sent completely within the span for which the endpoint remembers the key, or not
//! at all. Whether a call may be repeated depends on the effect of its class.

mod common;
use common::{NOW, World, calls, class, endpoint, options, store_after_crash};
use quillmount_core::hub::{DriverAction, Hub};
use quillmount_core::journal::{End, JournalContents};
use quillmount_core::note::Note;
use quillmount_core::pool::Pool;
use quillmount_core::router::Router;
use quillmount_core::store::Memory;
use quillmount_core::{CallEnd, DeliveryCall, EndpointList, Submission};
use quillmount_policy::{EndpointState, Micros};
use quillmount_settings::{Category, SenderSettings};

const SPAN: Micros = 1_000_000;
/// The margins before the end of the span, for the start of a repeat by the policy and for the last byte of the call.
const START_MARGIN: Micros = 100_000;
const LAST_BYTE_MARGIN: Micros = 50_000;

/// Creates settings with one class for each of these effects.
fn sender_settings(effects: &[&str]) -> SenderSettings {
    let categories = effects.iter().enumerate().map(|(n, effect)| {
        let span = if *effect == "dedup" { SPAN as f64 / 1e3 } else { 0.0 };
        Category { memory_span_ms: span, dedup_scope: Some("all".into()), ..class(&format!("c{n}"), effect) }
    });
    SenderSettings { classes: categories.collect(), ..SenderSettings::default() }
}

fn list() -> EndpointList {
    EndpointList { version: 1, full: true, endpoints: vec![endpoint("s", 1, EndpointState::Ready)] }
}

fn open(settings: &SenderSettings, store: Memory, now: Micros) -> (World, Vec<DriverAction<u32>>) {
    let (router, initial_actions) = Router::open(&options(settings, 999_999), list(), store, now).unwrap();
    let mut hub = Hub::new(router, Pool::new(15_000_000, 9));
    let mut actions = hub.carry_out(initial_actions, now);
    actions.extend(hub.list(list(), now));
    (hub, actions)
}

fn submit(hub: &mut World, id: &str, class: usize, now: Micros) -> DeliveryCall {
    let (key, body) = (Some(format!("k-{id}")), bytes::Bytes::from_static(b"body"));
    let (id, class, time_left) = (id.into(), format!("c{class}"), 16_000_000);
    let submission = Submission { id, class, key, dest: 1, tenant: None, time_left, body };
    calls(hub.submit(submission, now).1).remove(0)
}

/// Ticks the hub whenever a timer is due, up to the time `until`. Returns the calls that start, with their times.
fn run(hub: &mut World, from: Micros, until: Micros) -> Vec<(Micros, DeliveryCall)> {
    let (mut now, mut started) = (from, Vec::new());
    while let Some(due) = hub.router.wake_at().map(|due| due.max(now)).filter(|due| *due <= until) {
        now = due.max(now + 1);
        started.extend(calls(hub.tick(now)).into_iter().map(|call| (now, call)));
    }
    started
}

fn end_of(hub: &World, id: &str) -> Option<End> {
    let (contents, _) = JournalContents::read(hub.router.journal().store().bytes());
    let ended = contents.ended.iter().find(|ended| ended.id == id).map(|ended| ended.end);
    ended.or_else(|| contents.owed.values().find(|e| e.message.id == id).and_then(|e| e.end))
}

fn has_ended(hub: &World, id: &str) -> bool {
    matches!(end_of(hub, id), Some(End::Undeliverable | End::Deferred { .. }))
}

/// After a reset at any time of a span of one second, the repeat starts early enough for its last byte, or the message ends
/// at once.
#[test]
fn a_repeat_within_a_span_of_one_second_is_sent_within_it() {
    let mut repeated = 0;
    for after in (50_000..1_200_000).step_by(50_000) {
        let (mut hub, _) = open(&sender_settings(&["dedup"]), Memory::default(), NOW);
        let first = submit(&mut hub, "m", 0, NOW);
        assert_eq!(first.send_before, Micros::MAX, "the endpoint remembers no key yet");
        let mut started: Vec<_> = calls(hub.call_ended(first.call, CallEnd::Reset, NOW + after))
            .into_iter()
            .map(|c| (NOW + after, c))
            .collect();
        started.extend(run(&mut hub, NOW + after, NOW + 2 * SPAN));
        for (started_at, call) in &started {
            assert!(*started_at <= NOW + SPAN - START_MARGIN, "started {} after the first", started_at - NOW);
            assert_eq!(call.send_before, NOW + SPAN - LAST_BYTE_MARGIN, "no byte is sent from the margin on");
            repeated += 1;
        }
        assert_eq!(started.is_empty(), has_ended(&hub, "m"), "{after}");
        assert!(started.is_empty() || after <= SPAN - START_MARGIN, "{after}");
    }
    assert!(repeated >= 10, "{repeated}");
}

/// Establishing a connection may take longer than the span. A call that was never sent does not start the span, so that the
/// next call has the whole span.
#[test]
fn a_call_that_connects_for_as_long_as_the_span_does_not_start_the_span() {
    let (mut hub, _) = open(&sender_settings(&["dedup"]), Memory::default(), NOW);
    let first = submit(&mut hub, "m", 0, NOW);
    let late = NOW + SPAN + 200_000;
    let mut started: Vec<_> = calls(hub.call_ended(first.call, CallEnd::CouldNotConnect, late))
        .into_iter()
        .map(|c| (late, c))
        .collect();
    started.extend(run(&mut hub, late, late + 3 * SPAN));
    let (second_started_at, second) = started.first().expect("a call without an effect is retried");
    assert_eq!(second.send_before, Micros::MAX, "no attempt has had an effect");
    // The second call may have had an effect: the span starts with it, not with the first call.
    let ended_at = second_started_at + 100_000;
    let is_repeated = calls(hub.call_ended(second.call, CallEnd::Reset, ended_at));
    assert!(is_repeated.is_empty(), "after two failures in a row the retry is delayed");
    run(&mut hub, ended_at, second_started_at + SPAN - START_MARGIN);
    assert!(!has_ended(&hub, "m"));
    assert_eq!(run(&mut hub, second_started_at + SPAN - START_MARGIN, second_started_at + SPAN).len(), 0);
    assert!(has_ended(&hub, "m"));
}

/// After a crash the span continues from the time of the first attempt in the journal.
#[test]
fn a_restart_continues_the_span_of_the_earlier_process() {
    let settings = sender_settings(&["dedup"]);
    for downtime in [100_000, 600_000, 899_999, 900_001, 950_000, SPAN, 5 * SPAN] {
        let (mut hub, _) = open(&settings, Memory::default(), NOW);
        submit(&mut hub, "m", 0, NOW);
        let (mut next, actions) = open(&settings, store_after_crash(&hub), NOW + downtime);
        let mut started = calls(actions);
        started
            .extend(run(&mut next, NOW + downtime, NOW + downtime + SPAN).into_iter().map(|(_, call)| call));
        let in_time = downtime <= SPAN - START_MARGIN;
        assert_eq!(!started.is_empty(), in_time, "{downtime}");
        assert!(started.iter().all(|call| call.send_before == NOW + SPAN - LAST_BYTE_MARGIN), "{downtime}");
        assert_eq!(has_ended(&next, "m"), !in_time, "{downtime}");
    }
}

/// If the clock was set back between two processes, an old attempt looks recent: its age is unknown, and it must not be
/// repeated. A clock that was set forward makes it look older, which is safe. An attempt that had no effect is repeated
/// whatever the clock shows.
#[test]
fn a_clock_changed_between_processes_allows_no_repeat_after_the_span() {
    let settings = sender_settings(&["dedup", "fragile", "retryable"]);
    for (now, repeats) in
        [(NOW - 10 * SPAN, false), (NOW - 1, false), (NOW + 300_000, true), (NOW + 3_600 * SPAN, false)]
    {
        let (mut hub, _) = open(&settings, Memory::default(), NOW - SPAN);
        let rejected = submit(&mut hub, "never-ran", 1, NOW - SPAN);
        hub.call_ended(rejected.call, CallEnd::Full(800_000), NOW - SPAN + 1_000);
        let later = NOW - SPAN + 2_000;
        hub.submit(
            Submission {
                id: "untried".into(),
                class: "c0".into(),
                key: None,
                dest: 1,
                tenant: None,
                time_left: 16_000_000,
                body: bytes::Bytes::new(),
            },
            later,
        );
        // The backoff has ended.
        let due = calls(hub.tick(NOW));
        let out: Vec<&str> = due.iter().map(|call| call.payload.id.as_str()).collect();
        assert!(out.contains(&"untried"), "{out:?}");
        let before = store_after_crash(&hub);
        let (mut next, actions) = open(&settings, before, now);
        let is_noted =
            actions.iter().any(|action| matches!(action, DriverAction::Note(Note::ClockSetBack { .. })));
        assert_eq!(is_noted, now < NOW, "{now}");
        let mut started = calls(actions);
        started.extend(run(&mut next, now, now + SPAN / 2).into_iter().map(|(_, call)| call));
        let repeat = started.iter().any(|call| call.payload.id == "untried");
        assert_eq!(repeat, repeats, "{now}: {started:?}");
        assert_eq!(has_ended(&next, "untried"), !repeats, "{now}");
    }
}

/// Whether a message is repeated depends only on the effect of its own class, not on the order of the classes.
#[test]
fn the_effect_of_a_class_alone_decides_what_may_be_repeated() {
    use CallEnd::*;
    let orders = [
        ["fragile", "dedup", "retryable"],
        ["retryable", "fragile", "dedup"],
        ["dedup", "retryable", "fragile"],
    ];
    // Each result, and whether the call may have had an effect.
    let ends = [
        (Error, true),
        (Spoilt(0), true),
        (Reset, true),
        (TimedOut, true),
        (GivenUp, true),
        (Full(1_000), false),
        (NoSlot, false),
        (CouldNotConnect, false),
        (HeldBack, false),
    ];
    for effects in orders {
        let settings = sender_settings(&effects);
        for (n, effect) in effects.iter().enumerate() {
            for (end, may_have_run) in ends {
                let (mut hub, _) = open(&settings, Memory::default(), NOW);
                let first = submit(&mut hub, "m", n, NOW);
                let ended_at = NOW + 1_000;
                let mut started = calls(hub.call_ended(first.call, end, ended_at));
                started.extend(
                    run(&mut hub, ended_at, NOW + SPAN - START_MARGIN).into_iter().map(|(_, call)| call),
                );
                let is_repeated = !may_have_run || *effect != "fragile";
                assert_eq!(!started.is_empty(), is_repeated, "{effect}, {end:?}");
                assert_eq!(has_ended(&hub, "m"), !is_repeated, "{effect}, {end:?}");
                let send_before = if may_have_run && *effect == "dedup" {
                    NOW + SPAN - LAST_BYTE_MARGIN
                } else {
                    Micros::MAX
                };
                assert!(started.iter().all(|call| call.send_before == send_before), "{effect}, {end:?}");
            }
        }
    }
}
