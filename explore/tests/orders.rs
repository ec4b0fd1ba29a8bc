//! The worlds of their own: no order of what happens to consumers at the door, or to a streamed body, breaks a rule.

use quillmount_explore::{consumers, streams};

/// Guards against a request that is lost with its connection, where room is short or the courier stops.
#[test]
fn no_order_of_two_consumers_at_a_table_for_one_loses_a_request() {
    let found = consumers::explore(2, 2, 1);
    assert_eq!(found.broken, None);
    assert!(found.states > 100, "{found:?}");
}

#[test]
fn no_order_makes_a_short_body_whole_or_sends_half_a_debit_twice() {
    let size = streams::Size { class: 0, chunked: false, attempts: 1, kills: false, bodies: 1 };
    let found = streams::explore(size).unwrap();
    assert!(found.broken.is_none(), "{found:?}");
    assert!(found.states > 1_000, "{found:?}");
}
