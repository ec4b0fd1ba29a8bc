//! Selection of the core address that a process polls next.

use quillmount_control::Contacts;

/// Microseconds in a millisecond.
const MILLI: u64 = 1_000;

/// The addresses of core members that a process starts with.
fn seeds() -> Vec<String> {
    ["a", "b", "c"].map(str::to_owned).to_vec()
}

#[test]
fn addresses_are_used_in_turn() {
    let mut contacts = Contacts::default();
    let polled: Vec<String> = (0..4).filter_map(|_| contacts.next_address(&seeds(), 0)).collect();
    assert_eq!(polled, ["b", "c", "a", "b"]);
}

#[test]
fn a_failed_address_is_skipped_while_there_are_others() {
    let mut contacts = Contacts::default();
    contacts.record_failure("b", 0);
    let polled: Vec<String> = (0..3).filter_map(|_| contacts.next_address(&seeds(), 1_000 * MILLI)).collect();
    assert_eq!(polled, ["c", "a", "c"]);
    assert_eq!(contacts.next_address(&seeds(), 2_000 * MILLI).as_deref(), Some("a"));
    assert_eq!(contacts.next_address(&seeds(), 2_000 * MILLI).as_deref(), Some("b"));
}

#[test]
fn when_all_failed_the_earliest_failure_is_next() {
    let mut contacts = Contacts::default();
    let mut polled = Vec::new();
    for round in 0..6 {
        let address = contacts.next_address(&seeds(), round * 300 * MILLI).expect("there are addresses");
        contacts.record_failure(&address, round * 300 * MILLI);
        polled.push(address);
    }
    assert_eq!(polled, ["b", "c", "a", "b", "c", "a"]);
}

#[test]
fn without_addresses_there_is_no_contact() {
    assert_eq!(Contacts::default().next_address(&[], 0), None);
}

#[test]
fn a_hint_to_a_failed_address_is_followed_once_it_is_newer_than_the_failure() {
    let mut contacts = Contacts::default();
    contacts.record_failure("a", 0);
    assert!(!contacts.may_follow("a", 300 * MILLI));
    assert!(contacts.may_follow("a", 500 * MILLI));
    assert!(contacts.may_follow("b", 0));
}
