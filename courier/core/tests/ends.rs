//! A delivery about the end of a message's time, which may count or not by the clock of whoever judges it: its end is told.

mod common;
use common::{NOW, World, calls, class, endpoint, killed};
use quillmount_core::hub::Hub;
use quillmount_core::journal::{End, JournalContents};
use quillmount_core::pool::Pool;
use quillmount_core::router::Router;
use quillmount_core::{CallEnd, CallId, Ending, EndpointList, Submission};
use quillmount_policy::{EndpointState, Micros};
use quillmount_settings::SenderSettings;

const TIME: Micros = 16_000_000;
/// Less than this before the end of its time it is about that end.
const CLOSE: Micros = 50_000;

/// A courier with a message of this class out in a call, which the module gives up with the message.
fn out(effect: &str) -> (World, CallId) {
    let env = SenderSettings { categories: vec![class("c", effect)], ..SenderSettings::default() };
    let list =
        || EndpointList { version: 1, full: true, endpoints: vec![endpoint("s", 1, EndpointState::Ready)] };
    let memory = quillmount_core::store::Memory::default();
    let (router, steps) = Router::open(&env, 7, list(), memory, 999_999, NOW).unwrap();
    let mut hub = Hub::new(router, Pool::new(15_000_000, 9));
    hub.carry_out(steps, NOW);
    hub.list(list(), NOW);
    let (id, class, body) = ("m".into(), "c".into(), bytes::Bytes::from_static(b"body"));
    let submission =
        Submission { id, class, key: Some("k".into()), dest: 1, tenant: None, time_left: TIME, body };
    let call = calls(hub.submit(submission, NOW).1).remove(0).call;
    (hub, call)
}

fn told(hub: &World) -> Vec<Ending> {
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
            let (mut hub, call) = out(effect);
            hub.call_ended(call, CallEnd::Delivered, NOW + at);
            let end = if tells { vec![Ending::Undeliverable] } else { Vec::new() };
            assert_eq!(told(&hub), end, "{effect}, {at}");
            // A kill before the platform has confirmed it: the next life tells it.
            let (contents, _) = JournalContents::read(killed(&hub).bytes());
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
            assert_eq!(told(&hub), end, "one end, the same");
        }
    }
}

/// The module has ended it in this very moment: the notice stays, though it is not on its way yet.
#[test]
fn a_delivery_after_the_deadline_withdraws_no_notice() {
    let (mut hub, call) = out("fragile");
    let mut now = NOW;
    while told(&hub).is_empty() {
        now = hub.router.wake_at().unwrap().max(now + 1);
        hub.tick(now);
    }
    assert!((NOW + TIME - CLOSE..=NOW + TIME + CLOSE).contains(&now), "{}", now - NOW);
    hub.call_ended(call, CallEnd::Delivered, now + 5_000);
    assert_eq!(told(&hub), [Ending::Undeliverable]);
    // What the endpoint says to be over is.
    let (mut hub, call) = out("fragile");
    hub.call_ended(call, CallEnd::Gone, NOW + TIME);
    assert_eq!((told(&hub), hub.router.load().0), (vec![], 0));
}
