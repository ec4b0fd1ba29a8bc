//! A delivery close to the deadline, which counts or not depending on the clock: the platform gets a notice.

mod common;
use common::{NOW, World, calls, class, endpoint, options, store_after_crash};
use quillmount_core::hub::Hub;
use quillmount_core::journal::{End, JournalContents};
use quillmount_core::pool::Pool;
use quillmount_core::router::Router;
use quillmount_core::{CallEnd, CallId, Ending, EndpointList, Submission};
use quillmount_policy::{EndpointState, Micros};
use quillmount_settings::SenderSettings;

const TIME: Micros = 16_000_000;
/// A delivery is close to the deadline less than this before it.
const CLOSE: Micros = 50_000;

/// A courier with a message of a class with this effect in flight.
fn in_flight(effect: &str) -> (World, CallId) {
    let env = SenderSettings { classes: vec![class("c", effect)], ..SenderSettings::default() };
    let list =
        || EndpointList { version: 1, full: true, endpoints: vec![endpoint("s", 1, EndpointState::Ready)] };
    let memory = quillmount_core::store::Memory::default();
    let (router, steps) = Router::open(&options(&env, 999_999), list(), memory, NOW).unwrap();
    let mut hub = Hub::new(router, Pool::new(15_000_000, 9));
    hub.carry_out(steps, NOW);
    hub.list(list(), NOW);
    let (id, class, body) = ("m".into(), "c".into(), bytes::Bytes::from_static(b"body"));
    let submission =
        Submission { id, class, key: Some("k".into()), dest: 1, tenant: None, time_left: TIME, body };
    let call = calls(hub.submit(submission, NOW).1).remove(0).call;
    (hub, call)
}

fn notices(hub: &World) -> Vec<Ending> {
    hub.router.notices(9).into_iter().map(|notice| notice.ending).collect()
}

#[test]
fn a_delivery_close_to_the_deadline_is_followed_by_a_notice() {
    for effect in ["fragile", "retryable"] {
        for (at, tells) in [
            (TIME / 2, false),
            (TIME - CLOSE - 1, false),
            (TIME - CLOSE, true),
            (TIME - 1, true),
            (TIME, true),
            (TIME + 5_000, true),
        ] {
            let (mut hub, call) = in_flight(effect);
            hub.call_ended(call, CallEnd::Delivered, NOW + at);
            let end = if tells { vec![Ending::Undeliverable] } else { Vec::new() };
            assert_eq!(notices(&hub), end, "{effect}, {at}");
            // A kill before the platform has confirmed it: the next process sends it.
            let (contents, _) = JournalContents::read(store_after_crash(&hub).bytes());
            let owed: Vec<_> = contents.owed.values().map(|entry| entry.end).collect();
            assert_eq!(
                owed,
                if tells { vec![Some(End::Undeliverable)] } else { Vec::new() },
                "{effect}, {at}"
            );
            // Nothing more is sent, whatever time passes.
            let mut now = NOW + at;
            while let Some(wake) = hub.router.wake_at().filter(|wake| *wake < NOW + 2 * TIME) {
                now = wake.max(now + 1);
                assert!(calls(hub.tick(now)).is_empty());
            }
            assert_eq!(notices(&hub), end, "one end, the same");
        }
    }
}

/// The policy ends the message at this time: the notice stays, though it is not sent yet.
#[test]
fn a_delivery_after_the_deadline_withdraws_no_notice() {
    let (mut hub, call) = in_flight("fragile");
    let mut now = NOW;
    while notices(&hub).is_empty() {
        now = hub.router.wake_at().unwrap().max(now + 1);
        hub.tick(now);
    }
    assert!((NOW + TIME - CLOSE..=NOW + TIME + CLOSE).contains(&now), "{}", now - NOW);
    hub.call_ended(call, CallEnd::Delivered, now + 5_000);
    assert_eq!(notices(&hub), [Ending::Undeliverable]);
    // A message that the endpoint reports as ended has ended.
    let (mut hub, call) = in_flight("fragile");
    hub.call_ended(call, CallEnd::Gone, NOW + TIME);
    assert_eq!((notices(&hub), hub.router.load().owed), (vec![], 0));
}
