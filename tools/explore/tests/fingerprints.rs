//! The fingerprint holds all that matters for what comes next: states that it takes for one have the same successors.

use quillmount_explore::case::{Case, FaultKind};
use quillmount_explore::search::find_ambiguity;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Fails if two states of this case have one fingerprint and different successors, with the reduction or without.
fn check(case: Case) {
    let case = Arc::new(case);
    for reduction in [true, false] {
        let found = find_ambiguity(&case, reduction).unwrap();
        assert!(found.is_none(), "with the reduction: {reduction}; {found:#?}");
    }
}

/// A case with these events, at most three of them on one path, and without stops just beside each moment.
fn small_case(messages: u8, incarnations: u8, events: &[FaultKind]) -> Case {
    let events = BTreeSet::from_iter(events.iter().copied());
    Case { endpoints: 1, messages, incarnations, events, faults: Some(3), edges: false, ..Case::default() }
}

/// A restart reads the ends that the journal remembers, which differ where a message was rejected before the kill.
#[test]
fn remembered_ends_of_rejected_messages_count() {
    let events = BTreeSet::from([FaultKind::Kill, FaultKind::Refuse]);
    let case = Case { endpoints: 1, slots: 1, open_cap: 2, incarnations: 2, events, ..Case::default() };
    check(case);
}

#[test]
fn ends_of_calls_and_notices_count() {
    check(small_case(1, 1, &[FaultKind::Timeout, FaultKind::Wait, FaultKind::Error]));
    check(small_case(1, 2, &[FaultKind::Kill, FaultKind::TornWrite, FaultKind::Lose]));
}

#[test]
fn drains_and_planned_stops_count() {
    check(small_case(1, 2, &[FaultKind::Term, FaultKind::Drain, FaultKind::Ready]));
}
