//! What becomes of a request by the kind of its route and the way in which its first attempt ended: how often it reaches an
//! endpoint, and what its client is told.

use crate::harness::{KEY, Tier, configuration, eventually, order, send_request};

/// Status of an answer that was cut.
const CUT: u16 = 0;

/// By how the first attempt ended: arrivals and final status on the routes `safe`, `once`, `live` (resumable) and `flow`.
const TABLE: [(&str, [(u32, u16); 4]); 12] = [
    // Nothing came back: it may have run, so that only what may be repeated leaves again.
    ("close-before", [(2, 200), (1, 502), (2, 200), (1, 502)]),
    ("close-in-head", [(2, 200), (1, 502), (2, 200), (1, 502)]),
    ("close-in-body", [(2, 200), (1, 502), (2, 200), (1, CUT)]),
    ("silent", [(1, 504), (1, 504), (2, 200), (1, 504)]),
    // A refusal that says that it has not run.
    ("not-run", [(2, 200), (2, 200), (2, 200), (2, 200)]),
    ("not-run-cut", [(2, 200), (2, 200), (2, 200), (2, 200)]),
    // One that does not say so is no promise, and is not passed on as one.
    ("lie", [(2, 200), (1, 502), (2, 200), (1, 502)]),
    ("failed", [(2, 200), (1, 500), (2, 200), (1, 500)]),
    // Answers of others and interim ones stand between.
    ("interim", [(1, 200), (1, 200), (1, 200), (1, 200)]),
    ("stray", [(1, 200), (1, 200), (1, 200), (1, 200)]),
    ("spoilt-id", [(2, 200), (1, 502), (2, 200), (1, 502)]),
    ("unframed", [(1, 200), (1, 200), (1, 200), (1, 200)]),
];

/// A whole stream.
const EVENTS: &str = "id: 1\ndata: kaje\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n";

const ROUTES: [&str; 4] = ["safe", "once", "live", "flow"];

fn started() -> Tier {
    let tier = Tier::start();
    let first = configuration(3);
    assert_eq!(eventually("the first configuration", || order(&tier, "/-/config/put", 0, &first)), 200);
    let served = |path: &str| send_request(&tier, 0, path, KEY, 4000).filter(|answer| answer.status == 200);
    eventually("a first answer", || served("/safe/first"));
    tier
}

/// What a request is told where no second endpoint has room: a promise only where nothing may have run.
fn without_a_second(ending: &str) -> (u32, u16) {
    match ending {
        "not-run" | "not-run-cut" | "nameless" => (1, 503),
        "silent" => (1, 504),
        _ => (1, 502),
    }
}

/// Plays one cell of the table until both endpoints take part in it: one that failed a request is left alone for a while.
fn check_case(tier: &Tier, route: &str, ending: &str, expected: (u32, u16)) {
    let mut number = 0;
    eventually(&format!("{route} {ending}"), || {
        number += 1;
        let path = format!("/{route}/{number}/{ending}");
        let answer = send_request(tier, 0, &path, KEY, 1500);
        let status = answer.as_ref().map_or(CUT, |answer| answer.status);
        let outcome = (tier.arrivals(&format!("r-{path}")), status);
        let fallback = if expected.0 == 2 { without_a_second(ending) } else { expected };
        assert!([expected, fallback, (0, 503)].contains(&outcome), "{path}: {outcome:?}, not {expected:?}");
        if status == 200 {
            let body = answer.map(|answer| answer.body).unwrap_or_default();
            assert!(["done", "body", EVENTS].contains(&body.as_str()), "{path}: {body}");
        }
        (outcome == expected).then_some(())
    });
}

#[test]
fn each_end_of_an_attempt_has_its_retry_and_its_status() {
    let tier = started();
    for (ending, expected) in TABLE {
        for (route, expected) in ROUTES.iter().zip(expected) {
            check_case(&tier, route, ending, expected);
        }
    }
}

/// A 421 says that the address is another endpoint's by now: the request has not run and goes elsewhere, and nothing more is
/// sent there.
#[test]
fn a_replaced_endpoint_gets_nothing_more() {
    let tier = started();
    let gone = send_request(&tier, 0, "/once/gone", KEY, 1500).map(|answer| answer.status);
    assert_eq!((gone, tier.arrivals("r-/once/gone")), (Some(200), 2));
    let last = send_request(&tier, 0, "/once/last/gone", KEY, 1500).map(|answer| answer.status);
    assert_eq!((last, tier.arrivals("r-/once/last/gone")), (Some(503), 1));
}

/// On a connection that carried other requests a refusal without an id may be of one of those: it is not believed.
#[test]
fn a_refusal_that_names_no_request_counts_only_on_a_fresh_connection() {
    let tier = started();
    check_case(&tier, "once", "nameless", (2, 200));
    // Both endpoints keep a connection; the next request goes on one of these.
    for number in 0..8 {
        let path = format!("/safe/{number}/keep");
        eventually("a kept connection", || {
            send_request(&tier, 0, &path, KEY, 1500).filter(|answer| answer.status == 200)
        });
    }
    let reused = send_request(&tier, 0, "/once/kept/nameless", KEY, 1500).map(|answer| answer.status);
    assert_eq!((reused, tier.arrivals("r-/once/kept/nameless")), (Some(502), 1));
}
