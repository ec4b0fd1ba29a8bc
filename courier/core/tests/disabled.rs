//! Endpoints that operators disable, combined with list updates, rejected writes, crashes and calls in progress.

mod common;
use common::{NOW, World, calls, endpoint, options, store_after_crash};
use quillmount_core::call::Call;
use quillmount_core::disabled::{DisableError, MAX_DISABLED};
use quillmount_core::hub::Hub;
use quillmount_core::machine::attempt::{Answer, AttemptState};
use quillmount_core::pool::Pool;
use quillmount_core::router::Router;
use quillmount_core::store::{Fault, Memory};
use quillmount_core::{CallEnd, DeliveryCall, EndpointList, Submission};
use quillmount_policy::{EndpointState, Micros};
use quillmount_settings::{Category, SenderSettings};

const JOURNAL_LIMIT: u64 = 99_999;

fn settings() -> SenderSettings {
    let category = Category {
        name: "paid-notice".into(),
        effect: None,
        deadline_ms: 16_000.0,
        latency_target_ms: 3_000.0,
        ..Category::default()
    };
    SenderSettings { classes: vec![category], ..SenderSettings::default() }
}

fn list(full: bool, endpoints: &[(&str, EndpointState)]) -> EndpointList {
    let endpoints = endpoints.iter().map(|(id, state)| endpoint(id, 1, *state)).collect();
    EndpointList { version: 1, full, endpoints }
}

fn open(store: Memory) -> World {
    let known = list(true, &[("a", EndpointState::Ready)]);
    let (router, actions) = Router::open(&options(&settings(), JOURNAL_LIMIT), known, store, NOW).unwrap();
    let mut hub = Hub::new(router, Pool::new(15_000_000, 9));
    hub.carry_out(actions, NOW);
    hub
}

fn submit(hub: &mut World, id: &str, now: Micros) -> Vec<DeliveryCall> {
    let (class, time_left) = ("paid-notice".to_string(), 16_000_000);
    let body = bytes::Bytes::new();
    calls(
        hub.submit(
            Submission { id: id.into(), class, key: None, dest: 1, tenant: None, time_left, body },
            now,
        )
        .1,
    )
}

#[test]
fn no_call_goes_to_a_disabled_endpoint_whatever_is_listed_until_it_is_enabled() {
    let mut hub = open(Memory::default());
    assert!(matches!(hub.set_disabled("x", true, NOW), Err(DisableError::Unknown(_))));
    assert!(matches!(hub.set_disabled("x", false, NOW), Err(DisableError::Unknown(_))));
    for _ in 0..2 {
        hub.set_disabled("a", true, NOW).unwrap();
    }
    let listings =
        [(true, EndpointState::Ready), (false, EndpointState::Draining), (false, EndpointState::Ready)];
    for (n, (full, state)) in listings.into_iter().enumerate() {
        assert_eq!(calls(hub.list(list(full, &[("a", state)]), NOW)).len(), 0);
        assert_eq!(submit(&mut hub, &format!("m{n}"), NOW).len(), 0, "{state:?}");
    }
    // The endpoint is gone for long enough to be removed from the table, and is then listed again.
    hub.list(list(true, &[("b", EndpointState::Draining)]), NOW);
    hub.list(list(false, &[("c", EndpointState::Draining)]), NOW + 30_000_000);
    let later = NOW + 30_000_000;
    assert_eq!(calls(hub.list(list(false, &[("a", EndpointState::Ready)]), later)).len(), 0);
    assert_eq!(submit(&mut hub, "later", later).len(), 0);
    assert!(
        !calls(hub.set_disabled("a", false, later).unwrap()).is_empty(),
        "enabling the endpoint once is sufficient"
    );
    assert!(hub.set_disabled("a", false, later).unwrap().is_empty(), "enabling it again has no effect");
}

/// An endpoint that a full list lacks is gone, and it is still gone after an operator enables it.
#[test]
fn an_endpoint_that_was_removed_while_disabled_gets_no_call_when_it_is_enabled() {
    let mut hub = open(Memory::default());
    hub.list(list(true, &[("a", EndpointState::Ready)]), NOW);
    hub.set_disabled("a", true, NOW).unwrap();
    assert_eq!(submit(&mut hub, "m", NOW).len(), 0);
    hub.list(list(true, &[("b", EndpointState::Draining)]), NOW);
    assert_eq!(calls(hub.set_disabled("a", false, NOW).unwrap()).len(), 0);
    assert_eq!(calls(hub.list(list(false, &[("a", EndpointState::Ready)]), NOW)).len(), 1);
}

#[test]
fn a_call_that_is_connecting_when_its_endpoint_is_disabled_is_held_back() {
    let mut hub = open(Memory::default());
    let delivery_call = submit(&mut hub, "m", NOW).remove(0);
    let mut call = Call::new(delivery_call, |_, _| Answer::Awaited, 9);
    call.start(&mut hub.pool, NOW, |_| true);
    assert_eq!(call.state(), AttemptState::Connecting);
    hub.set_disabled("a", true, NOW).unwrap();
    assert_eq!(call.connected(&mut hub.pool, 1, NOW).end, Some(CallEnd::HeldBack));
    assert_eq!(calls(hub.call_ended(call.delivery.call, CallEnd::HeldBack, NOW)).len(), 0);
}

#[test]
fn a_disabled_endpoint_survives_a_crash_and_a_compaction_unless_its_record_was_refused() {
    let mut hub = open(Memory::default());
    hub.router.journal_mut().store_mut().set_fault(Fault::Full { after: 0 });
    assert!(matches!(hub.set_disabled("a", true, NOW), Err(DisableError::NotWritten(_))));
    assert!(!hub.router.disabled().contains("a"));
    hub.router.journal_mut().store_mut().set_fault(Fault::None);
    hub.set_disabled("a", true, NOW).unwrap();
    // A torn record at the end makes the next process compact the journal.
    let mut bytes = store_after_crash(&hub).bytes().to_vec();
    bytes.extend([9, 0, 0, 0, 1]);
    let mut next = open(Memory::from_bytes(bytes));
    assert!(next.router.disabled().contains("a"));
    assert_eq!(submit(&mut next, "m", NOW).len(), 0);
    next.router.journal_mut().store_mut().set_fault(Fault::Full { after: 0 });
    assert!(next.set_disabled("a", false, NOW).is_err());
    assert!(next.router.disabled().contains("a"), "the endpoint remains disabled after the rejected write");
    next.router.journal_mut().store_mut().set_fault(Fault::None);
    assert_eq!(calls(next.set_disabled("a", false, NOW).unwrap()).len(), 1);
    assert!(!open(store_after_crash(&next)).router.disabled().contains("a"));
}

#[test]
fn a_crash_at_any_byte_of_a_disable_leaves_all_or_nothing_of_it() {
    for bytes in 0..40 {
        let mut hub = open(Memory::default());
        hub.router.journal_mut().store_mut().set_fault(Fault::Crash { after: 0, bytes });
        hub.set_disabled("a", true, NOW).unwrap();
        let mut next = open(store_after_crash(&hub));
        let disabled = next.router.disabled().contains("a");
        assert_eq!(submit(&mut next, "m", NOW).is_empty(), disabled, "{bytes} bytes");
        next.set_disabled("a", true, NOW).unwrap();
        assert!(open(store_after_crash(&next)).router.disabled().contains("a"), "{bytes} bytes");
    }
}

#[test]
fn disabled_endpoints_are_limited_by_number_and_by_disk_space() {
    let mut hub = open(Memory::default());
    let ids: Vec<String> = (0..=MAX_DISABLED).map(|n| format!("endpoint-{n}-{}", "x".repeat(90))).collect();
    let endpoints: Vec<_> = ids.iter().map(|id| (id.as_str(), EndpointState::Ready)).collect();
    hub.list(list(true, &endpoints), NOW);
    let disabled = ids.iter().filter(|id| hub.set_disabled(id, true, NOW).is_ok()).count();
    assert!((1..MAX_DISABLED).contains(&disabled), "{disabled}: the limit on disk space is reached first");
    assert!(2 * store_after_crash(&hub).bytes().len() as u64 <= JOURNAL_LIMIT);
}
