//! Routes, keys, the choice of an endpoint, and the share of batch work.

use quillmount_dataplane::batch_share::{BatchCapacity, BatchShare, SenderItems, batch_fraction};
use quillmount_dataplane::dispatch::{CallOutcome, Dispatcher, ReserveError, ServiceShare};
use quillmount_dataplane::prefix_cache::PrefixCache;
use quillmount_dataplane::request_profile::{PromptSegment, RequestProfile};
use quillmount_dataplane::routes::{Access, RouteMode, RouteTable};
use quillmount_window::Parameters;
use quillmount_wire::configuration::Configuration;
use quillmount_wire::messages::Endpoint;
use std::collections::HashMap;

const CONFIGURATION: &str = r#"{"Gen":3,"Routes":[
  {"Name":"short","Host":"a.example","PathPrefix":"/x/","Mode":"stream","DeadlineMs":4000,"Prio":2,"Backend":"s","Tries":2},
  {"Name":"long","Host":"a.example","PathPrefix":"/x/y/","Mode":"bulk","DeadlineMs":4000,"Shares":[{"Backend":"s","Wt":90},{"Backend":"t","Wt":10}]},
  {"Name":"open","Host":"b.example","PathPrefix":"/","Mode":"safe","DeadlineMs":4000,"Backend":"s","Public":true}],
 "Backends":[{"Name":"s","MaxConns":120},{"Name":"t"}],
 "Accounts":[{"Name":"kaje","Apikeys":["k1","k2"],"Prio":1},{"Name":"vopu","Apikeys":["k3"]}]}"#;

fn table() -> RouteTable {
    RouteTable::compile(&Configuration::read(CONFIGURATION).unwrap())
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let table = table();
    let name = |host, path| table.find(host, path).map(|route| route.route.name.clone());
    assert_eq!(name("a.example", "/x/q").as_deref(), Some("short"));
    assert_eq!(name("A.example:80", "/x/y/q?z=/x/").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/x").as_deref(), None);
    assert_eq!(name("b.example", "/x/").as_deref(), Some("open"));
    assert_eq!(name("c.example", "/x/").as_deref(), None);
    assert_eq!(table.by_name("long").unwrap().mode, RouteMode::Bulk);
}

#[test]
fn keys_name_their_tenant_and_unknown_ones_are_denied() {
    let table = table();
    assert_eq!(table.access(Some("Token k2"), false), Access::Tenant("kaje".into()));
    assert_eq!(table.access(Some("Token k9"), false), Access::Denied);
    assert_eq!(table.access(Some("k1"), false), Access::Denied);
    assert_eq!(table.access(None, false), Access::Denied);
    assert_eq!(table.access(None, true), Access::Anonymous);
    let route = table.by_name("short").unwrap();
    assert_eq!((table.priority(Some("kaje"), route), table.priority(Some("vopu"), route)), (1, 2));
}

#[test]
fn requests_are_divided_between_services_by_weight() {
    let table = table();
    let route = table.by_name("long").unwrap();
    let first = (0..1000).filter(|draw| route.pick_service(f64::from(*draw) / 1000.0) == Some("s")).count();
    assert_eq!(first, 900);
}

fn endpoint(id: &str, capacity: u32) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: format!("10.0.0.1:{id}"),
        zone: "z".to_owned(),
        capacity,
        draining: false,
        warmup_left_ms: 0.0,
        models: Vec::new(),
    }
}

fn dispatcher(ids: &[&str]) -> Dispatcher {
    seeded(1, ids)
}

fn seeded(seed: u64, ids: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(seed, "z", Parameters::default());
    let list: Vec<Endpoint> = ids.iter().map(|id| endpoint(id, 16)).collect();
    dispatcher
        .update(&list, HashMap::from([("s".to_owned(), ServiceShare { slots: 16, cache_tokens: 100_000 })]));
    dispatcher
}

#[test]
fn a_full_window_rejects_calls_until_one_ends() {
    let mut dispatcher = dispatcher(&["1"]);
    let profile = RequestProfile::default();
    let mut reservations = Vec::new();
    while let Ok(reservation) = dispatcher.reserve("s", &profile, None, &[], 1) {
        reservations.push(reservation);
    }
    assert_eq!(reservations.len(), 6, "half of three quarters of 16 slots");
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
    let choice =
        |seed| seeded(seed, &["1", "2", "3", "4", "5"]).reserve("s", &profile, None, &[], 1).unwrap().id;
    let first = choice(0);
    assert!((1..50).all(|seed| choice(seed * 7919) == first));
}

#[test]
fn processes_spread_short_requests_over_all_endpoints() {
    let ids: Vec<String> = (0..20).map(|id| id.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut counts: HashMap<String, u32> = HashMap::new();
    for seed in 0..400 {
        let reservation =
            seeded(seed * 7919, &ids).reserve("s", &RequestProfile::default(), None, &[], 1).unwrap();
        *counts.entry(reservation.id).or_default() += 1;
    }
    assert!(counts.len() == 20 && counts.values().all(|count| *count < 45), "{counts:?}");
}

/// Senders with the given numbers of items.
fn senders(items: impl IntoIterator<Item = u32>) -> Vec<SenderItems> {
    let senders = items.into_iter().zip(1..);
    senders.map(|(items, number)| SenderItems { sender: number * 7919, items }).collect()
}

#[test]
fn all_senders_together_stay_within_the_batch_fraction() {
    for stores in 1..12u64 {
        let senders = senders((0..stores).map(|_| 5));
        let mut reserved = 0;
        for sender in &senders {
            let share = BatchShare::new(*sender, &senders, 0.6);
            let mut dispatcher = dispatcher(&["1"]);
            while reserved < 100
                && dispatcher.reserve("s", &RequestProfile::default(), Some(&share), &[], 1).is_ok()
            {
                reserved += 1;
            }
        }
        // A single sender is limited by its window; nine of the sixteen slots are for batch work.
        let expected = if stores == 1 { 6 } else { 9 };
        assert_eq!(reserved, expected, "{stores} stores");
    }
}

/// Items that each sender may have in flight at all endpoints together; each endpoint has a dispatcher of its own.
fn admitted_items(senders: &[SenderItems], endpoints: u32) -> Vec<u32> {
    let admitted = |sender: SenderItems| {
        let share = BatchShare::new(sender, senders, 0.6);
        let admitted_at = |id: String| {
            let mut dispatcher = dispatcher(&[&id]);
            (0..20)
                .take_while(|_| {
                    dispatcher.reserve("s", &RequestProfile::default(), Some(&share), &[], 1).is_ok()
                })
                .count() as u32
        };
        (0..endpoints).map(|id| admitted_at(id.to_string())).sum()
    };
    senders.iter().map(|sender| admitted(*sender)).collect()
}

#[test]
fn batch_capacity_goes_where_the_items_are() {
    let admitted = admitted_items(&senders([600, 200, 0, 200]), 50);
    // Nine slots at each of fifty endpoints, a fifth of them divided evenly among the three senders with items. The window
    // limits each sender to six calls at an endpoint as well. A sender without items counts as having one.
    assert!((230..=270).contains(&admitted[0]), "{admitted:?}");
    assert!((85..=115).contains(&admitted[1]) && (85..=115).contains(&admitted[3]), "{admitted:?}");
    assert!((10..=35).contains(&admitted[2]), "{admitted:?}");
}

#[test]
fn an_unknown_sender_may_start_its_first_items() {
    let known = senders([400, 400]);
    let share = BatchShare::new(SenderItems { sender: 77, items: 0 }, &known, 0.6);
    let ids: Vec<String> = (0..50).map(|id| id.to_string()).collect();
    let mut dispatcher = dispatcher(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    assert!(dispatcher.reserve("s", &RequestProfile::default(), Some(&share), &[], 1).is_ok());
}

#[test]
fn batch_work_gets_the_slots_that_live_requests_leave() {
    assert_eq!(batch_fraction(0.0, 100), 0.75);
    assert!((batch_fraction(20.0, 100) - 0.55).abs() < 1e-9);
    assert_eq!(batch_fraction(90.0, 100), 0.35);
    assert_eq!(batch_fraction(5.0, 0), 0.35, "no endpoint is known");
}

#[test]
fn batch_capacity_falls_at_once_and_grows_slowly() {
    let mut capacity = BatchCapacity::new(0);
    assert_eq!(capacity.update(5_000_000, None), 0.1, "nothing is known of live requests");
    assert!((capacity.update(6_000_000, Some(0.75)) - 0.25).abs() < 1e-9);
    let fractions: Vec<f64> = (7..12).map(|second| capacity.update(second * 1_000_000, Some(0.75))).collect();
    assert!(fractions.is_sorted() && fractions[0] < 0.45 && fractions[4] == 0.75, "{fractions:?}");
    assert_eq!(capacity.update(12_000_000, Some(0.35)), 0.35);
    assert!(capacity.update(12_500_000, Some(0.75)) < 0.43);
}

#[test]
fn a_request_profile_is_read_from_its_headers() {
    let profile = RequestProfile::parse(Some("1460,80"), Some("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"));
    assert_eq!((profile.prompt_tokens, profile.output_tokens, profile.segments.len()), (1460, 80, 3));
    assert_eq!(profile.segments[0], PromptSegment { id: 0x5c1e_07a2, tokens: 800 });
    assert_eq!(RequestProfile::parse(Some("x"), Some("y:,:3,zz:1")), RequestProfile::default());
}

fn segment(id: u64, tokens: u32) -> PromptSegment {
    PromptSegment { id, tokens }
}

#[test]
fn a_segment_counts_as_cached_until_the_memory_share_was_sent_since() {
    let mut cache = PrefixCache::new(1000);
    cache.record(&[segment(1, 400), segment(2, 100)]);
    assert_eq!(cache.cached_tokens(&[segment(1, 400), segment(2, 100), segment(3, 50)]), 500);
    cache.record(&[segment(4, 400)]);
    cache.record(&[segment(1, 400)]);
    cache.record(&[segment(5, 200)]);
    assert_eq!(cache.cached_tokens(&[segment(4, 400)]), 400, "1000 tokens fit: 4, 1 and 5");
    assert_eq!(cache.cached_tokens(&[segment(2, 100)]), 0, "unused longest");
    cache.resize(700);
    assert_eq!(cache.cached_tokens(&[segment(1, 400)]), 400);
    assert_eq!(cache.cached_tokens(&[segment(4, 400)]), 0);
    cache.clear();
    assert_eq!(cache.cached_tokens(&[segment(1, 400)]), 0);
}

#[test]
fn a_segment_counts_only_if_all_before_it_are_cached() {
    let mut cache = PrefixCache::new(1000);
    cache.record(&[segment(2, 100)]);
    assert_eq!(cache.cached_tokens(&[segment(1, 400), segment(2, 100)]), 0);
}

#[test]
fn a_segment_larger_than_the_memory_is_not_cached() {
    let mut cache = PrefixCache::new(1000);
    cache.record(&[segment(1, 1001)]);
    assert_eq!(cache.cached_tokens(&[segment(1, 1001)]), 0);
}

/// Whether calls with these times to the first event leave the window of an endpoint open for more than one call.
fn stays_open(first_event_ms: impl Fn(f64) -> f64) -> bool {
    let mut dispatcher = dispatcher(&["1"]);
    let mut now = 0;
    for round in 0..40u64 {
        now += 100_000;
        let tokens = if round % 2 == 0 { 20_000 } else { 200 };
        let profile = RequestProfile {
            segments: vec![segment(round, tokens)],
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
fn a_slow_endpoint_closes_its_window_and_long_prefill_does_not() {
    assert!(stays_open(|tokens| 10.0 + tokens / 128.0));
    assert!(stays_open(|tokens| 10.0 + tokens / 80.0));
    assert!(!stays_open(|tokens| if tokens > 1000.0 { 1500.0 } else { 10.0 }));
}

#[test]
fn pending_prefill_blocks_batch_items_but_no_live_request() {
    let mut dispatcher = dispatcher(&["1"]);
    let senders = senders([5, 5, 5]);
    let share = BatchShare::new(senders[0], &senders, 0.6);
    let profile = RequestProfile { segments: Vec::new(), prompt_tokens: 1500, output_tokens: 1 };
    let first = dispatcher.reserve("s", &profile, Some(&share), &[], 1).unwrap();
    assert_eq!(dispatcher.reserve("s", &profile, Some(&share), &[], 1), Err(ReserveError::Busy));
    assert!(dispatcher.reserve("s", &profile, None, &[], 1).is_ok());
    dispatcher.first_event(&first);
    assert_eq!(
        dispatcher.reserve("s", &profile, Some(&share), &[], 1),
        Err(ReserveError::Busy),
        "the live one"
    );
    let mut dispatcher = seeded(2, &["1"]);
    let first = dispatcher.reserve("s", &profile, Some(&share), &[], 1).unwrap();
    dispatcher.first_event(&first);
    assert!(dispatcher.reserve("s", &profile, Some(&share), &[], 1).is_ok());
}

#[test]
fn the_first_event_of_a_resumed_stream_does_not_close_the_window() {
    let mut dispatcher = dispatcher(&["1"]);
    let mut window_after = |outcome: fn(u64) -> CallOutcome, now: u64| {
        for round in 0..20 {
            let at = now + round * 10_000;
            let reservation = dispatcher.reserve("s", &RequestProfile::default(), None, &[], at).unwrap();
            dispatcher.finish(&reservation, outcome(at), false, at);
        }
        let reservations: Vec<_> = (0..100)
            .map_while(|_| dispatcher.reserve("s", &RequestProfile::default(), None, &[], now).ok())
            .collect();
        for reservation in &reservations {
            dispatcher.finish(reservation, CallOutcome::Abandoned, false, now);
        }
        reservations.len()
    };
    let open = window_after(|_| CallOutcome::FirstEvent(10_000), 1_000_000);
    assert!(open > 1);
    assert_eq!(window_after(|_| CallOutcome::Resumed, 2_000_000), open);
    assert_eq!(window_after(|_| CallOutcome::FirstEvent(400_000), 3_000_000), 1);
}
