//! Tables take their part of a link, in turn.

use quillmount_control::{MAX_TURN_WAIT, Saturated, TransmissionBudget};

/// Bytes that a link of 100 Mbit/s carries in a second.
const LINK_BYTES: usize = 12_500_000;
const SECOND: u64 = 1_000_000;

/// Reserves answers of this size, asked for at one moment, until the budget is saturated; returns when the last one begins.
fn fill(budget: &mut TransmissionBudget, bytes: usize, now: u64) -> (usize, u64) {
    let mut last = 0;
    for count in 0.. {
        match budget.reserve(bytes, now) {
            Ok(wait) => {
                assert!(wait >= last, "answers have their turns in the order in which they ask");
                last = wait;
            }
            Err(Saturated) => return (count, last),
        }
    }
    unreachable!("the budget never saturates")
}

#[test]
fn answers_to_many_polls_leave_the_link_a_third() {
    let mut budget = TransmissionBudget::new(Some(100.0));
    let mut sent = 0;
    for tick in 0..100 {
        sent += fill(&mut budget, 27_000, tick * SECOND / 100).0 * 27_000;
    }
    let limit = LINK_BYTES * 2 / 3 + LINK_BYTES * 2 / 5;
    assert!(sent < limit, "{sent} bytes in a second and what waits at its end, {limit} at most");
    assert!(sent > LINK_BYTES / 2, "{sent} bytes: the link is used");
}

#[test]
fn no_answer_waits_longer_than_the_limit_and_a_link_at_rest_takes_one_at_once() {
    let mut budget = TransmissionBudget::new(Some(100.0));
    let (count, longest) = fill(&mut budget, 10_000, 5 * SECOND);
    assert!(count > 100 && longest <= MAX_TURN_WAIT);
    assert_eq!(budget.reserve(10_000, 5 * SECOND), Err(Saturated), "a rejected answer reserves nothing");
    assert_eq!(budget.reserve(4 << 20, 7 * SECOND), Ok(0));
}

#[test]
fn a_link_without_a_rate_has_a_budget() {
    for link_mbps in [None, Some(0.0), Some(-3.0), Some(f64::NAN), Some(f64::INFINITY)] {
        let mut budget = TransmissionBudget::new(link_mbps);
        assert_eq!(budget.reserve(1_000, SECOND), Ok(0), "{link_mbps:?}");
    }
}
