//! Tests of endpoint selection, windows and backoff.

use crate::fixtures::{dispatcher, endpoint, seeded_dispatcher};
use quillmount_dataplane::dispatch::{CallOutcome, ReserveError};
use quillmount_dataplane::request_profile::{PromptSegment, RequestProfile};
use quillmount_wire::messages::Endpoint;
use std::collections::HashMap;

/// Whether the window of an endpoint admits more than one call after calls whose time to the first event, in milliseconds, is a
/// function of their prompt tokens.
fn stays_open(first_event_ms: impl Fn(f64) -> f64) -> bool {
    let mut dispatcher = dispatcher(&["1"]);
    let mut now = 0;
    for round in 0..40u64 {
        now += 100_000;
        let tokens = if round % 2 == 0 { 20_000 } else { 200 };
        let profile = RequestProfile {
            segments: vec![PromptSegment { id: round, tokens }],
            prompt_tokens: tokens,
            output_tokens: 1,
        };
        let reservation = dispatcher.reserve("s", &profile, None, &[], now).unwrap();
        let latency = (first_event_ms(f64::from(tokens)) * 1000.0) as u64;
        dispatcher.finish(&reservation, CallOutcome::FirstEvent(latency), false, now);
    }
    let mut can_reserve = || dispatcher.reserve("s", &RequestProfile::default(), None, &[], now).is_ok();
    can_reserve() && can_reserve()
}

#[test]
fn a_full_window_rejects_calls_until_one_ends() {
    let mut dispatcher = dispatcher(&["1"]);
    let profile = RequestProfile::default();
    let mut reservations = Vec::new();
    while let Ok(reservation) = dispatcher.reserve("s", &profile, None, &[], 1) {
        reservations.push(reservation);
    }
    assert_eq!(reservations.len(), 6, "the initial window is half of three quarters of 16 slots");
    assert_eq!(dispatcher.reserve("s", &profile, None, &[], 1), Err(ReserveError::Busy));
    dispatcher.finish(&reservations.pop().unwrap(), CallOutcome::Abandoned, false, 1);
    assert!(dispatcher.reserve("s", &profile, None, &[], 1).is_ok());
    assert_eq!(dispatcher.reserve("other", &profile, None, &[], 1), Err(ReserveError::NoEndpoint));
}

#[test]
fn a_draining_endpoint_stays_closed_whatever_an_older_list_says() {
    let mut dispatcher = dispatcher(&["1"]);
    let draining_endpoint = Endpoint { draining: true, ..endpoint("1", 16) };
    dispatcher.update(&[draining_endpoint], HashMap::new());
    assert!(!dispatcher.is_open("1"));
    dispatcher.update(&[endpoint("1", 16)], HashMap::new());
    assert_eq!(
        dispatcher.reserve("s", &RequestProfile::default(), None, &[], 1),
        Err(ReserveError::NoEndpoint)
    );
}

#[test]
fn a_replaced_endpoint_is_closed_at_once() {
    let mut dispatcher = dispatcher(&["1", "2"]);
    let reservation =
        dispatcher.reserve("s", &RequestProfile::default(), None, &["2".to_owned()], 1).unwrap();
    dispatcher.finish(&reservation, CallOutcome::Replaced, false, 1);
    assert!(!dispatcher.is_open("1"));
    for _ in 0..3 {
        assert_eq!(dispatcher.reserve("s", &RequestProfile::default(), None, &[], 1).unwrap().id, "2");
    }
}

#[test]
fn a_lost_endpoint_backs_off_longer_with_each_loss() {
    let mut dispatcher = dispatcher(&["1"]);
    let mut now = 1_000_000;
    for backoff in [200_000, 400_000, 800_000] {
        let reservation = dispatcher.reserve("s", &RequestProfile::default(), None, &[], now).unwrap();
        dispatcher.finish(&reservation, CallOutcome::Lost, false, now);
        assert_eq!(
            dispatcher.reserve("s", &RequestProfile::default(), None, &[], now + backoff - 1),
            Err(ReserveError::Busy)
        );
        now += backoff;
    }
}

#[test]
fn processes_that_never_communicate_prefer_the_same_endpoint_for_a_shared_prompt() {
    let segments = vec![PromptSegment { id: 77, tokens: 13_000 }, PromptSegment { id: 5, tokens: 400 }];
    let profile = RequestProfile { segments, prompt_tokens: 13_400, output_tokens: 100 };
    let choice = |seed| {
        seeded_dispatcher(seed, &["1", "2", "3", "4", "5"]).reserve("s", &profile, None, &[], 1).unwrap().id
    };
    let expected_id = choice(0);
    assert!((1..50).all(|seed| choice(seed * 7919) == expected_id));
}

#[test]
fn processes_spread_short_requests_over_all_endpoints() {
    let ids: Vec<String> = (0..20).map(|id| id.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut counts: HashMap<String, u32> = HashMap::new();
    for seed in 0..400 {
        let reservation = seeded_dispatcher(seed * 7919, &ids)
            .reserve("s", &RequestProfile::default(), None, &[], 1)
            .unwrap();
        *counts.entry(reservation.id).or_default() += 1;
    }
    assert!(counts.len() == 20 && counts.values().all(|count| *count < 45), "{counts:?}");
}

#[test]
fn a_slow_endpoint_closes_its_window_and_long_prefill_does_not() {
    assert!(stays_open(|tokens| 10.0 + tokens / 128.0));
    assert!(stays_open(|tokens| 10.0 + tokens / 80.0));
    assert!(!stays_open(|tokens| if tokens > 1000.0 { 1500.0 } else { 10.0 }));
}

#[test]
fn the_first_event_of_a_resumed_stream_does_not_close_the_window() {
    let mut dispatcher = dispatcher(&["1"]);
    let mut window_after = |outcome: fn(u64) -> CallOutcome, now: u64| {
        for round in 0..20 {
            let sent_at = now + round * 10_000;
            let reservation =
                dispatcher.reserve("s", &RequestProfile::default(), None, &[], sent_at).unwrap();
            dispatcher.finish(&reservation, outcome(sent_at), false, sent_at);
        }
        let reservations: Vec<_> = (0..100)
            .map_while(|_| dispatcher.reserve("s", &RequestProfile::default(), None, &[], now).ok())
            .collect();
        for reservation in &reservations {
            dispatcher.finish(reservation, CallOutcome::Abandoned, false, now);
        }
        reservations.len()
    };
    let open_window = window_after(|_| CallOutcome::FirstEvent(10_000), 1_000_000);
    assert!(open_window > 1);
    assert_eq!(window_after(|_| CallOutcome::Resumed, 2_000_000), open_window);
    assert_eq!(window_after(|_| CallOutcome::FirstEvent(400_000), 3_000_000), 1);
}
