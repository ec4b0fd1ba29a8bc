//! Repeats under a key: they are sent completely within the span for which the key is remembered, or not at all. What may be
//! repeated depends on the settings of each class.

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
/// The margin before the span's end, for the policy's order of a repeat and for the call's last byte.
const ORDER_MARGIN: Micros = 100_000;
const BYTE_MARGIN: Micros = 50_000;

/// Classes with these effects.
fn env(effects: &[&str]) -> SenderSettings {
    let categories = effects.iter().enumerate().map(|(n, effect)| {
        let span = if *effect == "dedup" { SPAN as f64 / 1e3 } else { 0.0 };
        Category { memory_span_ms: span, dedup_scope: Some("all".into()), ..class(&format!("c{n}"), effect) }
    });
    SenderSettings { classes: categories.collect(), ..SenderSettings::default() }
}

fn list() -> EndpointList {
    EndpointList { version: 1, full: true, endpoints: vec![endpoint("s", 1, EndpointState::Ready)] }
}

fn open(env: &SenderSettings, store: Memory, now: Micros) -> (World, Vec<DriverAction<u32>>) {
    let (router, steps) = Router::open(&options(env, 999_999), list(), store, now).unwrap();
    let mut hub = Hub::new(router, Pool::new(15_000_000, 9));
    let mut todo = hub.carry_out(steps, now);
    todo.extend(hub.list(list(), now));
    (hub, todo)
}

fn submit(hub: &mut World, id: &str, class: usize, now: Micros) -> DeliveryCall {
    let (key, body) = (Some(format!("k-{id}")), bytes::Bytes::from_static(b"body"));
    let (id, class, time_left) = (id.into(), format!("c{class}"), 16_000_000);
    let submission = Submission { id, class, key, dest: 1, tenant: None, time_left, body };
    calls(hub.submit(submission, now).1).remove(0)
}

/// Ticks when the hub wants it, up to this time; returns the calls that begin, with their times.
fn run(hub: &mut World, from: Micros, until: Micros) -> Vec<(Micros, DeliveryCall)> {
    let (mut now, mut begun) = (from, Vec::new());
    while let Some(at) = hub.router.wake_at().map(|at| at.max(now)).filter(|at| *at <= until) {
        now = at.max(now + 1);
        begun.extend(calls(hub.tick(now)).into_iter().map(|call| (now, call)));
    }
    begun
}

fn end_of(hub: &World, id: &str) -> Option<End> {
    let (contents, _) = JournalContents::read(hub.router.journal().store().bytes());
    let over = contents.ended.iter().find(|ended| ended.id == id).map(|ended| ended.end);
    over.or_else(|| contents.owed.values().find(|e| e.message.id == id).and_then(|e| e.end))
}

fn has_ended(hub: &World, id: &str) -> bool {
    matches!(end_of(hub, id), Some(End::Undeliverable | End::Deferred { .. }))
}

/// A reset at any time of a span of one second: the repeat is ordered in time for its last byte, or the message ends at
/// once.
#[test]
fn a_repeat_within_a_span_of_one_second_is_sent_within_it() {
    let mut repeated = 0;
    for after in (50_000..1_200_000).step_by(50_000) {
        let (mut hub, _) = open(&env(&["dedup"]), Memory::default(), NOW);
        let first = submit(&mut hub, "m", 0, NOW);
        assert_eq!(first.send_before, Micros::MAX, "nothing is remembered yet");
        let mut begun: Vec<_> = calls(hub.call_ended(first.call, CallEnd::Reset, NOW + after))
            .into_iter()
            .map(|c| (NOW + after, c))
            .collect();
        begun.extend(run(&mut hub, NOW + after, NOW + 2 * SPAN));
        for (at, call) in &begun {
            assert!(*at <= NOW + SPAN - ORDER_MARGIN, "ordered {} after the first", at - NOW);
            assert_eq!(call.send_before, NOW + SPAN - BYTE_MARGIN, "no byte of it leaves from then on");
            repeated += 1;
        }
        assert_eq!(begun.is_empty(), has_ended(&hub, "m"), "{after}");
        assert!(begun.is_empty() || after <= SPAN - ORDER_MARGIN, "{after}");
    }
    assert!(repeated >= 10, "{repeated}");
}

/// A connect may take longer than the span: a call that was never sent does not start it, and the next one has all of it.
#[test]
fn a_call_that_connects_for_as_long_as_the_span_does_not_start_the_span() {
    let (mut hub, _) = open(&env(&["dedup"]), Memory::default(), NOW);
    let first = submit(&mut hub, "m", 0, NOW);
    let late = NOW + SPAN + 200_000;
    let mut begun: Vec<_> = calls(hub.call_ended(first.call, CallEnd::CouldNotConnect, late))
        .into_iter()
        .map(|c| (late, c))
        .collect();
    begun.extend(run(&mut hub, late, late + 3 * SPAN));
    let (at, second) = begun.first().expect("it never ran and is tried again");
    assert_eq!(second.send_before, Micros::MAX, "no attempt may have run yet");
    // From here on one may have: the span is the second's, not the first's.
    let then = at + 100_000;
    let again = calls(hub.call_ended(second.call, CallEnd::Reset, then));
    assert!(again.is_empty(), "two failures in a row: the next has to wait for its turn");
    run(&mut hub, then, at + SPAN - ORDER_MARGIN);
    assert!(!has_ended(&hub, "m"));
    assert_eq!(run(&mut hub, at + SPAN - ORDER_MARGIN, at + SPAN).len(), 0);
    assert!(has_ended(&hub, "m"));
}

/// After a crash the span continues from the time of the first attempt in the journal.
#[test]
fn a_restart_continues_the_span_of_the_earlier_process() {
    let env = env(&["dedup"]);
    for down in [100_000, 600_000, 899_999, 900_001, 950_000, SPAN, 5 * SPAN] {
        let (mut hub, _) = open(&env, Memory::default(), NOW);
        submit(&mut hub, "m", 0, NOW);
        let (mut next, todo) = open(&env, store_after_crash(&hub), NOW + down);
        let mut begun = calls(todo);
        begun.extend(run(&mut next, NOW + down, NOW + down + SPAN).into_iter().map(|(_, call)| call));
        let in_time = down <= SPAN - ORDER_MARGIN;
        assert_eq!(!begun.is_empty(), in_time, "{down}");
        assert!(begun.iter().all(|call| call.send_before == NOW + SPAN - BYTE_MARGIN), "{down}");
        assert_eq!(has_ended(&next, "m"), !in_time, "{down}");
    }
}

/// A clock that was set back makes an old attempt look recent: its age is not known, and it is not repeated. One that was
/// set forward makes it look older, which is safe. An attempt that had no effect is repeated whatever the clock says.
#[test]
fn a_clock_changed_between_processes_allows_no_repeat_after_the_span() {
    let env = env(&["dedup", "fragile", "retryable"]);
    for (now, repeats) in
        [(NOW - 10 * SPAN, false), (NOW - 1, false), (NOW + 300_000, true), (NOW + 3_600 * SPAN, false)]
    {
        let (mut hub, _) = open(&env, Memory::default(), NOW - SPAN);
        let never = submit(&mut hub, "never-ran", 1, NOW - SPAN);
        hub.call_ended(never.call, CallEnd::Full(800_000), NOW - SPAN + 1_000);
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
        // The wait has ended by now.
        let due = calls(hub.tick(NOW));
        let out: Vec<&str> = due.iter().map(|call| call.payload.id.as_str()).collect();
        assert!(out.contains(&"untried"), "{out:?}");
        let before = store_after_crash(&hub);
        let (mut next, todo) = open(&env, before, now);
        let noted = todo.iter().any(|one| matches!(one, DriverAction::Note(Note::ClockSetBack { .. })));
        assert_eq!(noted, now < NOW, "{now}");
        let mut begun = calls(todo);
        begun.extend(run(&mut next, now, now + SPAN / 2).into_iter().map(|(_, call)| call));
        let repeat = begun.iter().any(|call| call.payload.id == "untried");
        assert_eq!(repeat, repeats, "{now}: {begun:?}");
        assert_eq!(has_ended(&next, "untried"), !repeats, "{now}");
    }
}

/// Whatever the order of the classes, a message is repeated as the effect of its own class allows.
#[test]
fn the_effect_of_a_class_alone_decides_what_may_be_repeated() {
    use CallEnd::*;
    let orders = [
        ["fragile", "dedup", "retryable"],
        ["retryable", "fragile", "dedup"],
        ["dedup", "retryable", "fragile"],
    ];
    // Whether the call may have run.
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
        let env = env(&effects);
        for (n, effect) in effects.iter().enumerate() {
            for (end, may_have_run) in ends {
                let (mut hub, _) = open(&env, Memory::default(), NOW);
                let first = submit(&mut hub, "m", n, NOW);
                let then = NOW + 1_000;
                let mut begun = calls(hub.call_ended(first.call, end, then));
                begun
                    .extend(run(&mut hub, then, NOW + SPAN - ORDER_MARGIN).into_iter().map(|(_, call)| call));
                let again = !may_have_run || *effect != "fragile";
                assert_eq!(!begun.is_empty(), again, "{effect}, {end:?}");
                assert_eq!(has_ended(&hub, "m"), !again, "{effect}, {end:?}");
                let by =
                    if may_have_run && *effect == "dedup" { NOW + SPAN - BYTE_MARGIN } else { Micros::MAX };
                assert!(begun.iter().all(|call| call.send_before == by), "{effect}, {end:?}");
            }
        }
    }
}
