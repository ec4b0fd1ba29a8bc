//! Upgrades: the next process makes the same decisions from the handed-over state as the previous one would have made.

mod common;
use common::{NOW, World, calls, class, endpoint, options, store_after_crash, visited_values};
use quillmount_core::hub::{self, DriverAction, Hub};
use quillmount_core::journal::Journal;
use quillmount_core::pool::Pool;
use quillmount_core::router::{Intake, ResumeError, Router, settings_fingerprint};
use quillmount_core::store::Memory;
use quillmount_core::{CallEnd, DeliveryCall, EndpointList, EndpointListing, Submission};
use quillmount_policy::{EndpointState, Micros};
use quillmount_settings::{Category, SenderSettings};

const JOURNAL_LIMIT: u64 = 99_999;

fn env() -> SenderSettings {
    let dedup = Category { memory_span_ms: 6_000.0, ..class("paid-notice", "dedup") };
    SenderSettings { classes: vec![class("fee-debit", "fragile"), dedup], ..SenderSettings::default() }
}

fn list() -> EndpointList {
    let line =
        |n: u64, state| EndpointListing { zone: "z".into(), ..endpoint(&format!("s-{n}"), n / 2, state) };
    let states = [
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Ready,
    ];
    let endpoints = states.into_iter().zip(0..).map(|(state, n)| line(n, state)).collect();
    EndpointList { version: 41, full: true, endpoints }
}

fn submit(hub: &mut World, n: u64, now: Micros) -> (Intake, Vec<DeliveryCall>) {
    let class = if n.is_multiple_of(2) { "fee-debit" } else { "paid-notice" };
    let (id, key, body) = (format!("m{n}"), Some(format!("k{n}")), bytes::Bytes::from_static(b"body"));
    let time_left = 16_000_000;
    let submission = Submission { id, class: class.into(), key, dest: n % 3, tenant: None, time_left, body };
    let (intake, driver_actions) = hub.submit(submission, now);
    (intake, calls(driver_actions))
}

/// A courier under load: with calls in flight, an endpoint in backoff, an outage after failures, unconfirmed notices, a
/// disabled endpoint and queued messages.
fn loaded_courier() -> World {
    let (router, actions) =
        Router::open(&options(&env(), JOURNAL_LIMIT), list(), Memory::default(), NOW).unwrap();
    let mut hub = Hub::new(router, Pool::new(15_000_000, 99));
    hub.carry_out(actions, NOW);
    hub.list(list(), NOW);
    hub.set_disabled("s-1", true, NOW).unwrap();
    let ends = [
        CallEnd::Delivered,
        CallEnd::Full(2_000_000),
        CallEnd::Reset,
        CallEnd::Reset,
        CallEnd::TimedOut,
        CallEnd::Error,
    ];
    let mut out = Vec::new();
    for n in 0..40 {
        let now = NOW + n * 30_000;
        out.extend(submit(&mut hub, n, now).1);
        // Destination 2 never answers.
        if let Some(first) = out.iter().position(|call| call.dest != 2) {
            let call = out.remove(first);
            out.extend(calls(hub.call_ended(call.call, ends[n as usize % ends.len()], now + 9_000)));
        }
    }
    let (load, notices) = (hub.router.load(), hub.router.notices(9).len());
    assert!(load.in_flight > 0 && notices > 0, "{load:?}, {notices}");
    hub
}

fn resumed(state: hub::HubState, store: Memory) -> Result<(World, Vec<DriverAction<u32>>), ResumeError> {
    let now = NOW + 2_000_000;
    let (router, actions) = Router::resume(&options(&env(), JOURNAL_LIMIT), state.router, store, now)?;
    let mut next = Hub::new(router, Pool::new(15_000_000, 99));
    let driver_actions = next.resume(&state.backoffs, actions, now);
    Ok((next, driver_actions))
}

/// The state after it was encoded and decoded.
fn state(hub: &World) -> hub::HubState {
    let bytes = postcard::to_allocvec(&hub.state(settings_fingerprint(&env(), None).unwrap())).unwrap();
    postcard::from_bytes(&bytes).unwrap()
}

#[test]
fn a_resumed_process_has_the_whole_state_and_starts_no_call_twice() {
    let mut hub = loaded_courier();
    let (mut next, driver_actions) = resumed(state(&hub), store_after_crash(&hub)).unwrap();
    assert_eq!(visited_values(&next), visited_values(&hub));
    assert!(calls(driver_actions).is_empty(), "calls in flight are not started again");
    assert_eq!(next.router.notices(99), hub.router.notices(99));
    // The backoff applies to all endpoints of its destination, and calls may start to the same endpoints as before.
    let now = NOW + 1_250_000;
    let open_endpoints = |hub: &World| (0..5).map(|n| hub.pool.is_open(n, now)).collect::<Vec<_>>();
    assert_eq!(open_endpoints(&next), open_endpoints(&hub));
    assert!(
        !open_endpoints(&next)[1] && !open_endpoints(&next)[3],
        "one endpoint is disabled and one is draining"
    );
    // From here on both processes make the same decisions on submissions, ends of calls and timers.
    let out: Vec<_> = next.router.calls_in_flight();
    for (n, call) in (100..).zip(out) {
        let now = NOW + 2_000_000 + n * 10_000;
        let (a, b) = (submit(&mut hub, n, now), submit(&mut next, n, now));
        assert_eq!((a.0, a.1.len()), (b.0, b.1.len()));
        let (a, b) =
            (hub.call_ended(call, CallEnd::Delivered, now), next.call_ended(call, CallEnd::Delivered, now));
        assert_eq!(calls(a).len(), calls(b).len());
        hub.tick(now);
        next.tick(now);
        assert_eq!(visited_values(&next), visited_values(&hub), "after message {n}");
    }
    // The ids of the earlier messages, both open and ended, are known.
    assert!((0..40).all(|n| submit(&mut next, n, NOW + 2_500_000).0 != Intake::Accepted));
}

#[test]
fn a_state_of_other_settings_or_another_journal_is_not_resumed() {
    let hub = loaded_courier();
    let other =
        SenderSettings { classes: env().classes.into_iter().rev().collect(), ..SenderSettings::default() };
    let refused =
        Router::resume(&options(&other, JOURNAL_LIMIT), state(&hub).router, store_after_crash(&hub), NOW);
    assert!(matches!(refused.err(), Some(ResumeError::OtherSettings)));
    // A third process held the lock in between and wrote to the journal, or the journal is missing.
    let mut with_new_message = loaded_courier();
    submit(&mut with_new_message, 1_001, NOW + 3_000_000);
    // The same messages are owed, but one of them has a with_outcome outcome.
    let mut with_outcome = loaded_courier();
    let call = with_outcome.router.calls_in_flight()[0];
    with_outcome.call_ended(call, CallEnd::Full(0), NOW + 3_000_000);
    for store in [store_after_crash(&with_new_message), store_after_crash(&with_outcome), Memory::default()] {
        assert!(matches!(resumed(state(&hub), store).err(), Some(ResumeError::OtherJournal)));
    }
    // The journal can still be restored, as after a crash.
    let mut notes = Vec::new();
    assert!(
        !Journal::open(store_after_crash(&hub), JOURNAL_LIMIT, NOW, &mut notes).unwrap().1.owed.is_empty()
    );
}
