//! Calls with several messages in the router: each message gets its own end, regardless of those of the others.

mod common;
use common::{NOW, World, calls, class, endpoint, options, store_after_crash};
use quillmount_core::hub::{DriverAction, Hub};
use quillmount_core::journal::{End, JournalContents};
use quillmount_core::machine::attempt::AttemptInput;
use quillmount_core::pool::Pool;
use quillmount_core::router::Router;
use quillmount_core::store::{Fault, Memory};
use quillmount_core::{
    AnswerReport, CallEnd, DeliveryCall, Ending, EndpointList, EndpointListing, Submission,
};
use quillmount_policy::{EndpointState, Micros};
use quillmount_settings::{Category, DestinationSettings, SenderSettings};

fn category((effect, name): (&str, &str)) -> Category {
    Category { value: Some(1.0), ..class(name, effect) }
}

/// Settings with the classes `debit`, whose messages must not be repeated, and `quote`, whose messages may be.
fn env() -> SenderSettings {
    SenderSettings {
        classes: ["fragile", "retryable"].into_iter().zip(["debit", "quote"]).map(category).collect(),
        kinds: vec!["k".into()],
        weight_source: Some("nominal".into()),
        destinations: DestinationSettings {
            batch_by_kind: vec![20],
            call_slots: Some(16),
            ..DestinationSettings::default()
        },
        limits: quillmount_settings::Limits {
            cancel: Some(true),
            max_attempts: Some(6),
            ..Default::default()
        },
        ..SenderSettings::default()
    }
}

fn list() -> EndpointList {
    let line = EndpointListing { kind: "k".into(), weight: 2.0, ..endpoint("a", 1, EndpointState::Ready) };
    EndpointList { version: 1, full: true, endpoints: vec![line] }
}

fn open(store: Memory, now: Micros) -> (World, Vec<DriverAction<u32>>) {
    let (router, actions) = Router::open(&options(&env(), 999_999), list(), store, now).unwrap();
    let mut hub = Hub::new(router, Pool::new(15_000_000, 9));
    let driver_actions = hub.carry_out(actions, now);
    (hub, driver_actions)
}

fn submit(hub: &mut World, id: &str, now: Micros) -> Vec<DeliveryCall> {
    let class = if id.starts_with('d') { "debit" } else { "quote" };
    let body = bytes::Bytes::from_static(b"body");
    let (id, class, time_left) = (id.into(), class.into(), 16_000_000);
    calls(hub.submit(Submission { id, class, key: None, dest: 1, tenant: None, time_left, body }, now).1)
}

/// Starts a call with a debit and two quotes, after two calls with one message each; returns it and the current time.
fn bundle(hub: &mut World) -> (DeliveryCall, Micros) {
    let mut out: Vec<DeliveryCall> =
        ["q0", "q1", "d2", "q3", "q4"].iter().flat_map(|id| submit(hub, id, NOW)).collect();
    assert_eq!(out.len(), 2, "the listed rate allows two calls: {out:?}");
    let now = NOW + 900_000;
    for call in &out {
        hub.call_ended(call.call, CallEnd::Delivered, NOW + 300_000);
    }
    out = calls(hub.tick(now));
    let call = out.remove(0);
    let mut ids: Vec<&str> = call.payloads().map(|p| p.id.as_str()).collect();
    ids.sort_unstable();
    assert_eq!(ids, ["d2", "q3", "q4"]);
    (call, now)
}

/// The position of a message within its call.
fn position_in(call: &DeliveryCall, id: &str) -> usize {
    call.payloads().position(|p| p.id == id).unwrap()
}

/// The end of a message according to the journal.
fn end_of(hub: &World, id: &str) -> Option<End> {
    let (contents, _) = JournalContents::read(hub.router.journal().store().bytes());
    let ended = contents.ended.iter().find(|ended| ended.id == id).map(|ended| ended.end);
    ended.or_else(|| contents.owed.values().find(|e| e.message.id == id).and_then(|e| e.end))
}

/// Tests each result of a message for the debit and for one of the quotes, while the other quote is delivered.
#[test]
fn each_message_of_a_call_gets_its_own_end() {
    let rows = [
        (CallEnd::Delivered, Some(End::Delivered), false),
        (CallEnd::Gone, Some(End::Delivered), false),
        (CallEnd::Error, Some(End::Undeliverable), true),
        (CallEnd::Spoilt(0), Some(End::Undeliverable), true),
        (CallEnd::Full(0), None, true),
        (CallEnd::Exhausted, None, true),
    ];
    for (end, debit, again) in rows {
        let (mut hub, _) = open(Memory::default(), NOW);
        let (call, now) = bundle(&mut hub);
        let mut ends = vec![CallEnd::Delivered; 3];
        (ends[position_in(&call, "d2")], ends[position_in(&call, "q3")]) = (end, end);
        let mut later = calls(hub.call_ended_each(call.call, &ends, &AnswerReport::default(), now + 300_000));
        later.extend((1..20).flat_map(|n| calls(hub.tick(now + 300_000 + n * 200_000))));
        let sent = |id: &str| later.iter().flat_map(DeliveryCall::payloads).filter(|p| p.id == id).count();
        assert_eq!(end_of(&hub, "q4"), Some(End::Delivered), "{end:?}");
        assert_eq!(end_of(&hub, "d2"), debit, "{end:?}");
        assert_eq!(sent("q4"), 0, "{end:?}");
        assert_eq!(sent("d2") > 0, debit.is_none(), "{end:?}: only what never ran is sent again");
        assert_eq!(sent("q3") > 0, again, "{end:?}");
    }
}

/// A retry delay in an answer that confirms deliveries applies as well.
#[test]
fn a_wait_advised_beside_deliveries_binds_the_destination() {
    let (mut hub, _) = open(Memory::default(), NOW);
    let (call, now) = bundle(&mut hub);
    hub.call_ended_each(
        call.call,
        &[CallEnd::Delivered; 3],
        &AnswerReport { wait: 2_000_000, ..AnswerReport::default() },
        now,
    );
    assert!(submit(&mut hub, "q9", now + 10_000).is_empty());
    assert!(calls(hub.tick(now + 1_900_000)).is_empty());
    assert_eq!(calls(hub.tick(now + 2_100_000)).len(), 1);
}

/// The timeout of an idempotent message is shorter than that of a debit: the message leaves the call, which continues.
#[test]
fn a_message_that_timed_out_leaves_its_call_and_is_completed_if_the_call_delivered_it() {
    let (mut hub, _) = open(Memory::default(), NOW);
    let (call, now) = bundle(&mut hub);
    let at = now + 7_000_000;
    let driver_actions = hub.tick(at);
    let is_cancelled = driver_actions
        .iter()
        .any(|action| matches!(action, DriverAction::Signal(id, AttemptInput::GiveUp) if *id == call.call));
    assert!(!is_cancelled, "the call continues for the debit");
    let again = calls(driver_actions);
    let ids: Vec<&str> = again.iter().flat_map(DeliveryCall::payloads).map(|p| p.id.as_str()).collect();
    assert!(!ids.contains(&"d2"), "{ids:?}");
    hub.call_ended_each(call.call, &[CallEnd::Delivered; 3], &AnswerReport::default(), at + 100_000);
    for id in ["d2", "q3", "q4"] {
        assert_eq!(end_of(&hub, id), Some(End::Delivered), "{id}");
    }
    again.iter().for_each(|c| drop(hub.call_ended(c.call, CallEnd::HeldBack, at + 200_000)));
    assert!(hub.is_idle(), "{:?}", hub.router.load());
}

/// The process crashes at every byte of the records of the call's start and end. A debit that may have been sent is never
/// repeated.
#[test]
fn a_crash_at_any_byte_of_a_call_repeats_no_fragile_message_and_loses_none() {
    let (mut hub, _) = open(Memory::default(), NOW);
    let before = {
        let mut early = open(Memory::default(), NOW).0;
        ["q0", "q1", "d2", "q3", "q4"].iter().for_each(|id| drop(submit(&mut early, id, NOW)));
        early.router.journal().store().bytes().len()
    };
    let (call, now) = bundle(&mut hub);
    let begun = hub.router.journal().store().bytes().len();
    let ends = [CallEnd::Error, CallEnd::Full(0), CallEnd::Delivered];
    hub.call_ended_each(call.call, &ends, &AnswerReport::default(), now + 300_000);
    let bytes = hub.router.journal().store().bytes().to_vec();
    for cut in before..=bytes.len() {
        let (mut next, driver_actions) = open(Memory::from_bytes(bytes[..cut].to_vec()), now + 500_000);
        let mut again = calls(driver_actions);
        again.extend(calls(next.list(list(), now + 500_000)));
        again.extend((1..20).flat_map(|n| calls(next.tick(now + 500_000 + n * 100_000))));
        let sent = |id: &str| again.iter().flat_map(DeliveryCall::payloads).any(|p| p.id == id);
        if cut >= begun {
            let never_ran =
                ends[position_in(&call, "d2")] == CallEnd::Full(0) && end_of(&next, "d2").is_none();
            assert!(!sent("d2") || never_ran, "cut at {cut}: a debit that may have run was sent again");
        }
        for id in ["d2", "q3", "q4"] {
            assert!(sent(id) || end_of(&next, id).is_some(), "cut at {cut}: {id} is lost");
        }
    }
}

/// The records of a call are written together or not at all, and the call is not sent without them.
#[test]
fn a_call_whose_records_were_refused_is_not_sent() {
    let (mut hub, _) = open(Memory::default(), NOW);
    for id in ["q0", "q1", "d2", "q3", "q4"] {
        submit(&mut hub, id, NOW);
    }
    let before = hub.router.journal().store().bytes().len();
    hub.router.journal_mut().store_mut().set_fault(Fault::Full { after: 0 });
    assert!(calls(hub.tick(NOW + 900_000)).is_empty());
    assert_eq!(hub.router.journal().store().bytes().len(), before);
    hub.router.journal_mut().store_mut().set_fault(Fault::None);
    let later: Vec<DeliveryCall> =
        (1..20).flat_map(|n| calls(hub.tick(NOW + 900_000 + n * 300_000))).collect();
    let ids: Vec<&str> = later.iter().flat_map(DeliveryCall::payloads).map(|p| p.id.as_str()).collect();
    assert!(["d2", "q3", "q4"].iter().all(|id| ids.contains(id)), "{ids:?}");
}

/// After a handover the next process has the call with all of its messages.
#[test]
fn a_call_with_several_messages_is_handed_over_completely() {
    let (mut hub, _) = open(Memory::default(), NOW);
    let (call, now) = bundle(&mut hub);
    let fingerprint = quillmount_core::router::settings_fingerprint(&env(), None).unwrap();
    let state = hub.state(fingerprint).router;
    let (router, actions) =
        Router::resume(&options(&env(), 999_999), state, store_after_crash(&hub), now).unwrap();
    let mut next: World = Hub::new(router, Pool::new(15_000_000, 9));
    next.carry_out(actions, now);
    assert_eq!(next.router.calls_in_flight(), [call.call]);
    next.call_ended_each(call.call, &[CallEnd::Delivered; 3], &AnswerReport::default(), now + 300_000);
    assert!(next.is_idle());
    assert_eq!(next.router.notices(9).iter().filter(|n| n.ending == Ending::Undeliverable).count(), 0);
}

/// One of two separate routes of a destination asks for a retry delay. The pool blocks only that route, as the policy does,
/// and calls over the other route are sent.
#[test]
fn a_wait_advised_by_one_of_separate_routes_binds_no_other() {
    for (separate_routes, both_blocked) in [(true, false), (false, true)] {
        let env = SenderSettings {
            destinations: DestinationSettings {
                separate_routes: vec![separate_routes],
                ..env().destinations
            },
            ..env()
        };
        let route =
            |id| EndpointListing { kind: "k".into(), weight: 2.0, ..endpoint(id, 1, EndpointState::Ready) };
        let list = EndpointList { version: 1, full: true, endpoints: vec![route("a"), route("b")] };
        let (router, actions) = Router::open(&options(&env, 999_999), list, Memory::default(), NOW).unwrap();
        let mut hub: World = Hub::new(router, Pool::new(15_000_000, 9));
        hub.carry_out(actions, NOW);
        let delayed = submit(&mut hub, "q0", NOW).remove(0);
        let other = 1 - delayed.endpoint;
        let now = NOW + 100_000;
        let mut out = calls(hub.call_ended(delayed.call, CallEnd::Full(2_000_000), now));
        assert!(!hub.pool.is_open(delayed.endpoint, now), "separate routes: {separate_routes}");
        assert_eq!(hub.pool.is_open(other, now), !both_blocked, "separate routes: {separate_routes}");
        out.extend((1..100).flat_map(|n| calls(hub.tick(now + n * 10_000))));
        out.extend(submit(&mut hub, "q1", now + 1_000_000));
        // The pool admits every call that the policy makes during the retry delay.
        assert_eq!(out.is_empty(), both_blocked, "separate routes: {separate_routes}, {out:?}");
        assert!(out.iter().all(|call| call.endpoint == other), "separate routes: {separate_routes}, {out:?}");
    }
}

/// An answer after the deadline of a call's first message counts for none of its messages. Therefore the message with the
/// latest deadline leads regardless of the policy's order, and the call times out by that deadline.
#[test]
fn the_message_with_the_latest_deadline_leads_a_call() {
    let (mut hub, _) = open(Memory::default(), NOW);
    let single_calls: Vec<DeliveryCall> =
        ["q0", "q1"].iter().flat_map(|id| submit(&mut hub, id, NOW)).collect();
    for (n, id) in (0..).zip(["d2", "q3", "d4", "d5", "q6"]) {
        // The fourth message has the latest deadline although it is submitted before the last one.
        let (class, submitted_at) = (if id.starts_with('d') { "debit" } else { "quote" }, NOW + n * 100_000);
        let time_left = if id == "d5" { 15_900_000 } else { 15_500_000 };
        let (id, class, body) = (id.into(), class.into(), bytes::Bytes::from_static(b"body"));
        let message = Submission { id, class, key: None, dest: 1, tenant: None, time_left, body };
        assert_eq!(calls(hub.submit(message, submitted_at).1).len(), 0);
    }
    single_calls.iter().for_each(|call| drop(hub.call_ended(call.call, CallEnd::Delivered, NOW + 450_000)));
    let call = calls(hub.tick(NOW + 900_000)).remove(0);
    let ids: Vec<&str> = call.payloads().map(|p| p.id.as_str()).collect();
    assert_eq!((ids.len(), ids[0]), (5, "d5"), "{ids:?}");
    let deadline = NOW + 300_000 + 15_900_000;
    assert!(NOW + 900_000 + call.timeout <= deadline, "{} us", call.timeout);
    // The answer would arrive just after the deadline.
    hub.call_ended(call.call, CallEnd::TimedOut, deadline);
    for id in ["d2", "d4", "d5"] {
        assert_eq!(end_of(&hub, id), Some(End::Undeliverable), "{id}");
    }
}

/// A quote has a later deadline but a shorter timeout than the debits in its call. It leaves the call and is retried or
/// ended, and the call's answer must still count for the debits.
#[test]
fn the_message_with_the_longest_timeout_leads_a_call() {
    let (mut hub, _) = open(Memory::default(), NOW);
    let single_calls: Vec<DeliveryCall> =
        ["q0", "q1"].iter().flat_map(|id| submit(&mut hub, id, NOW)).collect();
    for (n, id) in (0..).zip(["d2", "q3", "d4", "q5"]) {
        assert_eq!(submit(&mut hub, id, NOW + n * 100_000).len(), 0);
    }
    single_calls.iter().for_each(|call| drop(hub.call_ended(call.call, CallEnd::Delivered, NOW + 450_000)));
    let now = NOW + 900_000;
    let call = calls(hub.tick(now)).remove(0);
    let ids: Vec<&str> = call.payloads().map(|p| p.id.as_str()).collect();
    assert_eq!((ids.len(), ids[0]), (4, "d4"), "{ids:?}");
    // The call's timeout is that of its first message, which therefore stays in the call until its end.
    assert_eq!(now + call.timeout, NOW + 200_000 + 16_000_000);
    assert!(call.time_left < call.timeout);
    // Run until long after the quotes have left the call.
    let mut at = now;
    while at < now + call.timeout - 1_000_000 {
        at = hub.router.wake_at().map_or(now + call.timeout, |wake| wake.max(at + 1));
        if at < now + call.timeout - 1_000_000 {
            hub.tick(at);
        }
    }
    let late = now + call.timeout - 1_000_000;
    hub.call_ended_each(call.call, &[CallEnd::Delivered; 4], &AnswerReport::default(), late);
    assert_eq!([end_of(&hub, "d2"), end_of(&hub, "d4")], [Some(End::Delivered); 2]);
}
