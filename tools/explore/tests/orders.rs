//! The worlds of clients and of streams: no order of events on connections of clients, or on a streamed body, violates a
//! property.

use quillmount_explore::{clients, streams};

/// Guards against a request that is lost with its connection, where connections are short or the courier stops.
#[test]
fn no_order_of_events_of_two_clients_with_one_connection_slot_loses_a_request() {
    let found = clients::explore(2, 2, 1);
    assert_eq!(found.counterexample, None);
    assert!(found.states > 100, "{found:?}");
}

#[test]
fn no_order_of_events_completes_a_short_body_or_repeats_a_partial_debit() {
    let size = streams::StreamCase { class: 0, chunked: false, attempts: 1, kills: false, bodies: 1 };
    let found = streams::explore(size).unwrap();
    assert!(found.counterexample.is_none(), "{found:?}");
    assert!(found.states > 1_000, "{found:?}");
}
