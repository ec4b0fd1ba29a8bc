//! Endpoints that operators disable: lists, refused writes, crashes and calls meanwhile.

mod common;
use common::{NOW, World, calls, endpoint, options, store_after_crash};
use quillmount_core::call::Call;
use quillmount_core::disabled::{DISABLED_MAX, DisableError};
use quillmount_core::hub::Hub;
use quillmount_core::machine::attempt::{Answer, AttemptState};
use quillmount_core::pool::Pool;
use quillmount_core::router::Router;
use quillmount_core::store::{Fault, Memory};
use quillmount_core::{CallEnd, DeliveryCall, EndpointList, Submission};
use quillmount_policy::{EndpointState, Micros};
use quillmount_settings::{Category, SenderSettings};

const DISK: u64 = 99_999;

fn env() -> SenderSettings {
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
    let (router, steps) = Router::open(&options(&env(), DISK), known, store, NOW).unwrap();
    let mut hub = Hub::new(router, Pool::new(15_000_000, 9));
    hub.carry_out(steps, NOW);
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
    let wholes =
        [(true, EndpointState::Ready), (false, EndpointState::Draining), (false, EndpointState::Ready)];
    for (n, (full, state)) in wholes.into_iter().enumerate() {
        assert_eq!(calls(hub.list(list(full, &[("a", state)]), NOW)).len(), 0);
        assert_eq!(submit(&mut hub, &format!("m{n}"), NOW).len(), 0, "{state:?}");
    }
    // Gone long enough to be forgotten, and listed again.
    hub.list(list(true, &[("b", EndpointState::Draining)]), NOW);
    hub.list(list(false, &[("c", EndpointState::Draining)]), NOW + 30_000_000);
    let later = NOW + 30_000_000;
    assert_eq!(calls(hub.list(list(false, &[("a", EndpointState::Ready)]), later)).len(), 0);
    assert_eq!(submit(&mut hub, "later", later).len(), 0);
    assert!(!calls(hub.set_disabled("a", false, later).unwrap()).is_empty(), "one call ends the hold");
    assert!(hub.set_disabled("a", false, later).unwrap().is_empty(), "once more changes nothing");
}

/// A full list without an endpoint says that it is gone: enabled, it is still gone.
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
    let order = submit(&mut hub, "m", NOW).remove(0);
    let mut call = Call::new(order, |_, _| Answer::Awaited, 9);
    call.start(&mut hub.pool, NOW, |_| true);
    assert_eq!(call.state(), AttemptState::Connecting);
    hub.set_disabled("a", true, NOW).unwrap();
    assert_eq!(call.connected(&mut hub.pool, 1, NOW).end, Some(CallEnd::HeldBack));
    assert_eq!(calls(hub.call_ended(call.delivery.call, CallEnd::HeldBack, NOW)).len(), 0);
}

#[test]
fn a_disabled_endpoint_survives_a_crash_and_a_compaction_unless_its_record_was_refused() {
    let mut hub = open(Memory::default());
    hub.router.journal_mut().store_mut().fail(Fault::Full { after: 0 });
    assert!(matches!(hub.set_disabled("a", true, NOW), Err(DisableError::NotWritten(_))));
    assert!(!hub.router.disabled().contains("a"));
    hub.router.journal_mut().store_mut().fail(Fault::None);
    hub.set_disabled("a", true, NOW).unwrap();
    // Because of a torn record at the end the next start rewrites the journal.
    let mut bytes = store_after_crash(&hub).bytes().to_vec();
    bytes.extend([9, 0, 0, 0, 1]);
    let mut next = open(Memory::of(bytes));
    assert!(next.router.disabled().contains("a"));
    assert_eq!(submit(&mut next, "m", NOW).len(), 0);
    next.router.journal_mut().store_mut().fail(Fault::Full { after: 0 });
    assert!(next.set_disabled("a", false, NOW).is_err());
    assert!(next.router.disabled().contains("a"), "refused, it is out still");
    next.router.journal_mut().store_mut().fail(Fault::None);
    assert_eq!(calls(next.set_disabled("a", false, NOW).unwrap()).len(), 1);
    assert!(!open(store_after_crash(&next)).router.disabled().contains("a"));
}

#[test]
fn a_crash_at_any_byte_of_a_disable_leaves_all_or_nothing_of_it() {
    for bytes in 0..40 {
        let mut hub = open(Memory::default());
        hub.router.journal_mut().store_mut().fail(Fault::Die { after: 0, bytes });
        hub.set_disabled("a", true, NOW).unwrap();
        let mut next = open(store_after_crash(&hub));
        let held = next.router.disabled().contains("a");
        assert_eq!(submit(&mut next, "m", NOW).is_empty(), held, "{bytes} bytes");
        next.set_disabled("a", true, NOW).unwrap();
        assert!(open(store_after_crash(&next)).router.disabled().contains("a"), "{bytes} bytes");
    }
}

#[test]
fn disabled_endpoints_are_limited_by_number_and_by_disk_space() {
    let mut hub = open(Memory::default());
    let ids: Vec<String> = (0..=DISABLED_MAX).map(|n| format!("endpoint-{n}-{}", "x".repeat(90))).collect();
    let endpoints: Vec<_> = ids.iter().map(|id| (id.as_str(), EndpointState::Ready)).collect();
    hub.list(list(true, &endpoints), NOW);
    let held = ids.iter().filter(|id| hub.set_disabled(id, true, NOW).is_ok()).count();
    assert!((1..DISABLED_MAX).contains(&held), "{held}: here the disk is the narrower limit");
    assert!(2 * store_after_crash(&hub).bytes().len() as u64 <= DISK);
}
