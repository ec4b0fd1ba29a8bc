//! Deliveries close to the deadline: whether they count depends on whose clock is used, so the platform gets a notice.

mod common;
use common::{NOW, World, calls, class, endpoint, options, store_after_crash};
use quillmount_core::hub::Hub;
use quillmount_core::journal::{End, JournalContents};
use quillmount_core::pool::Pool;
use quillmount_core::router::Router;
use quillmount_core::{CallEnd, CallId, Ending, EndpointList, Submission};
use quillmount_policy::{EndpointState, Micros};
use quillmount_settings::SenderSettings;

const TIME_LEFT: Micros = 16_000_000;
/// Deliveries less than this before the deadline count as close to it.
const DEADLINE_MARGIN: Micros = 50_000;

/// A courier with one message in flight, whose class has this effect.
fn in_flight(effect: &str) -> (World, CallId) {
    let settings = SenderSettings { classes: vec![class("c", effect)], ..SenderSettings::default() };
    let list =
        || EndpointList { version: 1, full: true, endpoints: vec![endpoint("s", 1, EndpointState::Ready)] };
    let memory = quillmount_core::store::Memory::default();
    let (router, actions) = Router::open(&options(&settings, 999_999), list(), memory, NOW).unwrap();
    let mut hub = Hub::new(router, Pool::new(15_000_000, 9));
    hub.carry_out(actions, NOW);
    hub.list(list(), NOW);
    let (id, class, body) = ("m".into(), "c".into(), bytes::Bytes::from_static(b"body"));
    let submission =
        Submission { id, class, key: Some("k".into()), dest: 1, tenant: None, time_left: TIME_LEFT, body };
    let call = calls(hub.submit(submission, NOW).1).remove(0).call;
    (hub, call)
}

fn notices(hub: &World) -> Vec<Ending> {
    hub.router.notices(9).into_iter().map(|notice| notice.ending).collect()
}

#[test]
fn a_delivery_close_to_the_deadline_is_followed_by_a_notice() {
    for effect in ["fragile", "retryable"] {
        for (elapsed, expects_notice) in [
            (TIME_LEFT / 2, false),
            (TIME_LEFT - DEADLINE_MARGIN - 1, false),
            (TIME_LEFT - DEADLINE_MARGIN, true),
            (TIME_LEFT - 1, true),
            (TIME_LEFT, true),
            (TIME_LEFT + 5_000, true),
        ] {
            let (mut hub, call) = in_flight(effect);
            hub.call_ended(call, CallEnd::Delivered, NOW + elapsed);
            let end = if expects_notice { vec![Ending::Undeliverable] } else { Vec::new() };
            assert_eq!(notices(&hub), end, "{effect}, {elapsed}");
            // After a crash before the platform's confirmation, the next process sends the notice.
            let (contents, _) = JournalContents::read(store_after_crash(&hub).bytes());
            let owed: Vec<_> = contents.owed.values().map(|entry| entry.end).collect();
            assert_eq!(
                owed,
                if expects_notice { vec![Some(End::Undeliverable)] } else { Vec::new() },
                "{effect}, {elapsed}"
            );
            // No further call is started at any later time.
            let mut now = NOW + elapsed;
            while let Some(wake_at) = hub.router.wake_at().filter(|wake_at| *wake_at < NOW + 2 * TIME_LEFT) {
                now = wake_at.max(now + 1);
                assert!(calls(hub.tick(now)).is_empty());
            }
            assert_eq!(notices(&hub), end, "the end has not changed");
        }
    }
}

/// The policy ends the message at its deadline. A delivery afterwards does not withdraw the notice, even though the notice
/// has not been sent yet.
#[test]
fn a_delivery_after_the_deadline_withdraws_no_notice() {
    let (mut hub, call) = in_flight("fragile");
    let mut now = NOW;
    while notices(&hub).is_empty() {
        now = hub.router.wake_at().unwrap().max(now + 1);
        hub.tick(now);
    }
    assert!(
        (NOW + TIME_LEFT - DEADLINE_MARGIN..=NOW + TIME_LEFT + DEADLINE_MARGIN).contains(&now),
        "{}",
        now - NOW
    );
    hub.call_ended(call, CallEnd::Delivered, now + 5_000);
    assert_eq!(notices(&hub), [Ending::Undeliverable]);
    // A message that the endpoint reports as already ended is complete.
    let (mut hub, call) = in_flight("fragile");
    hub.call_ended(call, CallEnd::Gone, NOW + TIME_LEFT);
    assert_eq!((notices(&hub), hub.router.load().owed), (vec![], 0));
}
