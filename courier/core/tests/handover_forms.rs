//! The encoding of the state that is handed over to another process: the bytes of an earlier version can be resumed, and the
//! same state is encoded to the same bytes. `WRITE_FIXTURES=1` writes the fixture files.

mod common;

use bytes::Bytes;
use common::{NOW, World, calls, class, endpoint, store_after_crash, visited_values};
use quillmount_core::call::{Call, CallSnapshot};
use quillmount_core::flow::{Cut, Late};
use quillmount_core::hub::{self, Hub};
use quillmount_core::machine::attempt::{Answer, AttemptInput, AttemptState, Decode};
use quillmount_core::machine::client;
use quillmount_core::pool::{EndpointBackoff, Pool};
use quillmount_core::router::{Router, RouterLoad, RouterOptions, StreamLimits, settings_fingerprint};
use quillmount_core::store::Memory;
use quillmount_core::{
    BundledMessage, CallEnd, CallId, DeliveryCall, Ending, EndpointList, EndpointListing, MessagePayload,
    Submission,
};
use quillmount_policy::{EndpointState, Micros};
use quillmount_settings::{Category, DestinationSettings, Limits, SenderSettings, Tenant};
use quillmount_test_support::fixtures::Fixtures;
use std::sync::Arc;

const FIXTURES: Fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));

const JOURNAL_LIMIT: u64 = 999_999;
const STREAMS: Option<StreamLimits> =
    Some(StreamLimits { max_open: 4, share_of_slots: 0.5, share_of_window: 0.5 });
/// The fingerprint of the settings below. A state with another fingerprint is not resumed.
const FINGERPRINT: u32 = 1_794_195_402;

fn sender_settings() -> SenderSettings {
    let keyed = Category {
        memory_span_ms: 6_000.0,
        dedup_scope: Some("zone".into()),
        ..class("paid-notice", "dedup")
    };
    SenderSettings {
        classes: vec![class("fee-debit", "fragile"), keyed, class("quote", "retryable")],
        zones: vec!["z".into(), "y".into()],
        zone: Some("z".into()),
        kinds: vec!["k".into()],
        tenants: vec![Tenant { name: "north".into(), allowance_per_s: 2.0 }],
        weight_source: Some("nominal".into()),
        destinations: DestinationSettings {
            batch_by_kind: vec![20],
            call_slots: Some(16),
            ..DestinationSettings::default()
        },
        limits: Limits { cancel: Some(true), max_attempts: Some(6), ..Limits::default() },
        ..SenderSettings::default()
    }
}

fn list() -> EndpointList {
    let listing = |n: u64, state| EndpointListing {
        zone: if n.is_multiple_of(2) { "z" } else { "y" }.into(),
        kind: "k".into(),
        weight: 2.0,
        ..endpoint(&format!("s-{n}"), n / 2, state)
    };
    let states = [
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Gone,
    ];
    let endpoints = states.into_iter().zip(0..).map(|(state, n)| listing(n, state)).collect();
    EndpointList { version: 41, full: true, endpoints }
}

fn submission(n: u64) -> Submission {
    Submission {
        id: format!("m{n}"),
        class: ["fee-debit", "paid-notice", "quote"][n as usize % 3].into(),
        key: n.is_multiple_of(2).then(|| format!("k{n}")),
        dest: n % 3,
        tenant: n.is_multiple_of(4).then(|| "north".into()),
        time_left: 16_000_000,
        body: Bytes::from_static(b"body"),
    }
}

fn options(settings: &SenderSettings) -> RouterOptions<'_> {
    RouterOptions { settings, streams: STREAMS, seed: 7, journal_limit: JOURNAL_LIMIT }
}

/// Creates a busy courier: calls in flight, some with several messages, an endpoint with a backoff, failures that count as an
/// outage, unconfirmed notices, a disabled endpoint, waiting messages and streams in each state.
fn busy_hub() -> World {
    let (router, initial_actions) =
        Router::open(&options(&sender_settings()), list(), Memory::default(), NOW).unwrap();
    let mut hub = Hub::new(router, Pool::new(15_000_000, 99));
    hub.carry_out(initial_actions, NOW);
    hub.list(list(), NOW);
    hub.set_disabled("s-1", true, NOW).unwrap();
    let ends = [
        CallEnd::Delivered,
        CallEnd::Full(20_000_000),
        CallEnd::Reset,
        CallEnd::Reset,
        CallEnd::TimedOut,
        CallEnd::Error,
        CallEnd::CouldNotConnect,
    ];
    let mut in_flight: Vec<DeliveryCall> = Vec::new();
    for n in 0..60 {
        let now = NOW + n * 30_000;
        in_flight.extend(calls(hub.submit(submission(n), now).1));
        in_flight.extend(calls(hub.tick(now)));
        // The last destination never answers.
        if let Some(first) = in_flight.iter().position(|call| call.dest != 2) {
            let call = in_flight.remove(first);
            let end = ends[n as usize % ends.len()];
            let ends = vec![end; 1 + call.bundled.len()];
            in_flight.extend(calls(hub.call_ended_each(call.call, &ends, &Default::default(), now + 9_000)));
        }
    }
    let now = NOW + 1_900_000;
    for n in 100..104 {
        let dest = n % 2;
        let (_, msg, actions) = hub.submit_stream(Submission { dest, ..submission(n) }, now);
        for call in calls(actions).into_iter().filter(|call| call.call.msg == msg && n % 2 == 0) {
            hub.stream(|router| router.stream_written(call.call, now + 1), now + 1);
            hub.router.stream_committed(msg);
        }
        let reason = [None, Some(Cut::Gone), Some(Cut::Late(Late::Slow)), Some(Cut::Digest)][n as usize % 4];
        if n > 100 {
            hub.stream(|router| router.stream_cut(msg, reason, now + 2), now + 2);
        }
        if n > 102 {
            hub.stream(|router| router.answered(msg, false, now + 3), now + 3);
        }
    }
    hub
}

/// Encodes the state. The pool returns its backoffs in no particular order; they are sorted by endpoint so that the bytes can
/// be compared.
fn encoded(hub: &World) -> Vec<u8> {
    let mut state = hub.state(settings_fingerprint(&sender_settings(), STREAMS).unwrap());
    state.backoffs.sort_unstable();
    postcard::to_allocvec(&state).unwrap()
}

#[test]
fn the_settings_fingerprint_is_that_of_earlier_versions() {
    assert_eq!(settings_fingerprint(&sender_settings(), STREAMS).unwrap(), FINGERPRINT);
}

#[test]
fn a_stored_state_is_resumed_and_encoded_to_the_same_bytes() {
    let hub = busy_hub();
    let stored = FIXTURES.check("handover_state.bin", &encoded(&hub));
    let journal = FIXTURES.check("handover_journal.bin", store_after_crash(&hub).bytes());
    let state: hub::HubState = postcard::from_bytes(&stored).unwrap();
    assert_eq!(
        postcard::to_allocvec(&state).unwrap(),
        stored,
        "decoding and encoding alone does not change the bytes"
    );
    let backoffs = state.backoffs.clone();
    let now = NOW + 2_000_000;
    let (router, initial_actions) =
        Router::resume(&options(&sender_settings()), state.router, Memory::from_bytes(journal.clone()), now)
            .unwrap();
    let mut next = Hub::new(router, Pool::new(15_000_000, 99));
    let actions = next.resume(&backoffs, initial_actions, now);
    assert!(calls(actions).is_empty(), "calls in flight are not started again");
    assert_eq!(visited_values(&next), visited_values(&hub));
    assert_eq!(next.router.notices(99), hub.router.notices(99));
    assert_eq!(next.router.calls_in_flight(), hub.router.calls_in_flight());
    assert_eq!(next.router.load(), hub.router.load());
    assert_eq!(encoded(&next), stored, "the next process would hand over the same bytes");
    assert_eq!(store_after_crash(&next).bytes(), journal);
    // These counts show that the fixture contains each kind of state.
    assert_eq!(next.router.load(), RouterLoad { owed: 63, in_flight: 17 });
    assert_eq!(next.router.notices(99).len(), 20);
    let backoff = |endpoint| EndpointBackoff { endpoint, until: NOW + 20_039_000 };
    assert_eq!(backoffs, [2, 3].map(backoff));
    let call = |msg| CallId { msg, attempt: 0 };
    assert_eq!(next.router.calls_in_flight(), [5, 35, 50, 2, 17].map(call));
    assert_eq!(next.router.disabled().iter().collect::<Vec<_>>(), ["s-1"]);
    assert_eq!(next.router.version(), 41);
    assert!((0..60).all(|n| next.router.is_known(&format!("m{n}"))));
    let counters = &next.router.counters;
    assert_eq!((counters.taken_on, counters.calls, counters.bundles, counters.bundled), (64, 11, 6, 39));
    assert_eq!((counters.delivered, counters.told_to_wait, counters.could_not_connect), (1, 1, 6));
    assert_eq!((counters.resets, counters.deferred, counters.undeliverable), (19, 3, 19));
    assert_eq!((counters.streams, counters.streams_cut), (4, 3));
}

/// A decoder for which `.` completes an answer.
const DECODE: Decode = |bytes, is_ended| match bytes.last() {
    Some(b'.') => Answer::Whole { end: CallEnd::Delivered, reusable: true },
    _ if is_ended => Answer::Whole { end: CallEnd::Spoilt(0), reusable: false },
    _ => Answer::Partial,
};

fn delivery(several: bool) -> DeliveryCall {
    let payload = |n: u64| {
        let key = n.is_multiple_of(2).then(|| format!("k{n}"));
        Arc::new(MessagePayload {
            id: format!("m{n}"),
            key,
            tenant: Some("left out".into()),
            body: vec![n as u8; 3].into(),
        })
    };
    let bundled = |n| BundledMessage { call: CallId { msg: n, attempt: 300 }, payload: payload(n) };
    DeliveryCall {
        call: CallId { msg: 5, attempt: 1 },
        endpoint: 3,
        dest: 700,
        addr: if several { "[2001:db8::1]:7070" } else { "10.1.0.18:7070" }.parse().unwrap(),
        payload: payload(5),
        timeout: 950_000,
        send_before: if several { NOW + 900_000 } else { Micros::MAX },
        stream: !several,
        bundled: if several { vec![bundled(6), bundled(7)] } else { vec![] },
        time_left: 850_000,
    }
}

/// Creates a call in the named state, with its connection if it has one, and converts it for a handover.
fn call_in_state(state: &str, several: bool) -> (CallSnapshot, Option<u32>) {
    let mut pool: Pool<u32> = Pool::new(15_000_000, 9);
    let mut call = Call::new(delivery(several), DECODE, 64);
    if state != "new" {
        call.start(&mut pool, NOW, |_| true);
        call.connected(&mut pool, 42, NOW);
        call.step(&mut pool, AttemptInput::Wrote { bytes: 200, left: 100 }, NOW);
    }
    if !matches!(state, "new" | "writing") {
        call.step(&mut pool, AttemptInput::Wrote { bytes: 100, left: 0 }, NOW);
    }
    if matches!(state, "reading") {
        call.connection_and_answer().unwrap().1.extend_from_slice(b"HTTP/1.1 2");
        call.step(&mut pool, AttemptInput::Read, NOW);
    }
    if let Some(input) = match state {
        "given up" => Some(AttemptInput::GiveUp),
        "late" => Some(AttemptInput::Deadline),
        _ => None,
    } {
        call.step(&mut pool, input, NOW);
    }
    call.snapshot(&mut pool, NOW + 950_000)
}

#[test]
fn calls_in_flight_are_encoded_as_by_earlier_versions() {
    let until = NOW + 5_000;
    let states = [
        ("new", AttemptState::New),
        ("writing", AttemptState::Writing { written: 200 }),
        ("awaiting", AttemptState::Awaiting),
        ("reading", AttemptState::Reading { deadline: NOW + 100_000 }),
        ("given up", AttemptState::Closing { end: CallEnd::GivenUp, until }),
        ("late", AttemptState::Closing { end: CallEnd::TimedOut, until }),
    ];
    let all = states.iter().flat_map(|(name, state)| [(*name, *state, false), (*name, *state, true)]);
    let all: Vec<_> = all.collect();
    let parts: Vec<(CallSnapshot, Option<u32>)> =
        all.iter().map(|(name, _, several)| call_in_state(name, *several)).collect();
    let stored = FIXTURES.check("handover_calls.bin", &postcard::to_allocvec(&parts).unwrap());
    let read: Vec<(CallSnapshot, Option<u32>)> = postcard::from_bytes(&stored).unwrap();
    assert_eq!(postcard::to_allocvec(&read).unwrap(), stored);
    assert_eq!(read.len(), all.len());
    for ((part, connection), (name, state, several)) in read.into_iter().zip(all) {
        assert_eq!((part.until, connection.is_some()), (NOW + 950_000, name != "new"), "{name}");
        let call = Call::resumed(part, DECODE, 64, connection, &mut Pool::new(15_000_000, 9));
        assert_eq!(call.state(), state, "{name}");
        let answer: &[u8] = if name == "reading" { b"HTTP/1.1 2" } else { b"" };
        assert_eq!(call.attempt().answer(), answer, "{name}");
        let (actual, expected) = (&call.delivery, delivery(several));
        assert_eq!(
            (actual.call, actual.endpoint, actual.dest, actual.addr),
            (expected.call, 3, 700, expected.addr)
        );
        assert_eq!(
            (actual.timeout, actual.send_before, actual.stream, actual.time_left),
            (950_000, expected.send_before, !several, 850_000)
        );
        let payloads = |order: &DeliveryCall| {
            let of = |p: &MessagePayload| (p.id.clone(), p.key.clone(), p.body.clone());
            order.payloads().map(of).collect::<Vec<_>>()
        };
        assert_eq!(payloads(actual), payloads(&expected));
        assert!(actual.payloads().all(|payload| payload.tenant.is_none()), "the tenant is not handed over");
        let bundled =
            |order: &DeliveryCall| order.bundled.iter().map(|message| message.call).collect::<Vec<_>>();
        assert_eq!(bundled(actual), bundled(&expected));
    }
}

/// Encodes each variant at its position, including those that the state above does not contain.
#[test]
fn variants_of_encoded_enums_keep_their_positions() {
    let call_ends = vec![
        CallEnd::Delivered,
        CallEnd::Each,
        CallEnd::Error,
        CallEnd::Spoilt(300),
        CallEnd::Full(0),
        CallEnd::NoSlot,
        CallEnd::Exhausted,
        CallEnd::Gone,
        CallEnd::HeldBack,
        CallEnd::CouldNotConnect,
        CallEnd::Reset,
        CallEnd::TimedOut,
        CallEnd::GivenUp,
    ];
    let states = vec![
        AttemptState::New,
        AttemptState::Connecting,
        AttemptState::Writing { written: 300 },
        AttemptState::Awaiting,
        AttemptState::Reading { deadline: 300 },
        AttemptState::Closing { end: CallEnd::GivenUp, until: 300 },
        AttemptState::Finished,
    ];
    let clients = vec![
        client::ClientState::Requesting { first: true, last: false },
        client::ClientState::Answering { probed: true, closes: false },
        client::ClientState::Idle { probed: true },
        client::ClientState::Leaving,
        client::ClientState::Closing,
        client::ClientState::Closed,
    ];
    let cuts = vec![
        Cut::Gone,
        Cut::Malformed,
        Cut::TooLarge,
        Cut::Digest,
        Cut::Late(Late::Stalled),
        Cut::Late(Late::Slow),
    ];
    let endings = vec![Ending::Undeliverable, Ending::Deferred(300)];
    let listed = vec![EndpointState::Gone, EndpointState::Ready, EndpointState::Draining];
    let all = (call_ends, states, clients, cuts, endings, listed);
    let stored = FIXTURES.check("handover_enums.bin", &postcard::to_allocvec(&all).unwrap());
    assert_eq!(postcard::from_bytes(&stored), Ok(all));
}
