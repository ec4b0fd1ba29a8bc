//! Tests of the share of endpoint slots for batch work.

use crate::fixtures::{dispatcher, seeded_dispatcher};
use quillmount_dataplane::batch_share::{BatchCapacity, BatchShare, SenderItems, batch_fraction};
use quillmount_dataplane::dispatch::ReserveError;
use quillmount_dataplane::request_profile::RequestProfile;

/// Senders with distinct ids and the given numbers of items.
fn senders(items: impl IntoIterator<Item = u32>) -> Vec<SenderItems> {
    let senders = items.into_iter().zip(1..);
    senders.map(|(items, number)| SenderItems { sender: number * 7919, items }).collect()
}

/// Number of items that each sender may have in flight at all endpoints together. Each endpoint has its own dispatcher.
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
        // A single sender is limited to six calls by its window; nine of the sixteen slots are available to batch work.
        let expected = if stores == 1 { 6 } else { 9 };
        assert_eq!(reserved, expected, "{stores} stores");
    }
}

#[test]
fn batch_capacity_goes_where_the_items_are() {
    let admitted = admitted_items(&senders([600, 200, 0, 200]), 50);
    // Each of the fifty endpoints has nine batch slots; a fifth of them is divided evenly among the three senders with items. The
    // window also limits each sender to six calls at an endpoint. A sender without items counts as having one.
    assert!((230..=270).contains(&admitted[0]), "{admitted:?}");
    assert!((85..=115).contains(&admitted[1]) && (85..=115).contains(&admitted[3]), "{admitted:?}");
    assert!((10..=35).contains(&admitted[2]), "{admitted:?}");
}

#[test]
fn an_unknown_sender_may_start_its_first_items() {
    let known_senders = senders([400, 400]);
    let share = BatchShare::new(SenderItems { sender: 77, items: 0 }, &known_senders, 0.6);
    let ids: Vec<String> = (0..50).map(|id| id.to_string()).collect();
    let mut dispatcher = dispatcher(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    assert!(dispatcher.reserve("s", &RequestProfile::default(), Some(&share), &[], 1).is_ok());
}

#[test]
fn batch_work_gets_the_slots_that_live_requests_leave() {
    assert_eq!(batch_fraction(0.0, 100), 0.75);
    assert!((batch_fraction(20.0, 100) - 0.55).abs() < 1e-9);
    assert_eq!(batch_fraction(90.0, 100), 0.35);
    assert_eq!(batch_fraction(5.0, 0), 0.35, "the minimum applies if the service has no endpoint");
}

#[test]
fn batch_capacity_falls_at_once_and_grows_slowly() {
    let mut capacity = BatchCapacity::new(0);
    assert_eq!(
        capacity.update(5_000_000, None),
        0.1,
        "the fraction stays unchanged while the live load is unknown"
    );
    assert!((capacity.update(6_000_000, Some(0.75)) - 0.25).abs() < 1e-9);
    let fractions: Vec<f64> = (7..12).map(|second| capacity.update(second * 1_000_000, Some(0.75))).collect();
    assert!(fractions.is_sorted() && fractions[0] < 0.45 && fractions[4] == 0.75, "{fractions:?}");
    assert_eq!(capacity.update(12_000_000, Some(0.35)), 0.35);
    assert!(capacity.update(12_500_000, Some(0.75)) < 0.43);
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
        "the prompt of the live request is still pending"
    );
    let mut dispatcher = seeded_dispatcher(2, &["1"]);
    let first = dispatcher.reserve("s", &profile, Some(&share), &[], 1).unwrap();
    dispatcher.first_event(&first);
    assert!(dispatcher.reserve("s", &profile, Some(&share), &[], 1).is_ok());
}
