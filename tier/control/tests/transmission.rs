//! Rate limit for tables on a link.

use quillmount_control::{MAX_QUEUE_DELAY, Saturated, TransmissionBudget};

/// Bytes per second of a link of 100 Mbit/s.
const LINK_BYTES: usize = 12_500_000;
const SECOND: u64 = 1_000_000;

/// Reserves answers of `bytes` to polls that all arrive at `now`, until the budget is saturated. Returns the number
/// of admitted answers and the delay of the last one.
fn fill(budget: &mut TransmissionBudget, bytes: usize, now: u64) -> (usize, u64) {
    let mut last_wait = 0;
    for count in 0.. {
        match budget.reserve(bytes, now, now) {
            Ok(wait) => {
                assert!(wait >= last_wait, "answers are sent in the order of their reservations");
                last_wait = wait;
            }
            Err(Saturated { .. }) => return (count, last_wait),
        }
    }
    unreachable!("the budget never saturates")
}

#[test]
fn answers_to_many_polls_leave_the_link_a_third() {
    const ANSWER: usize = 27_000;
    let mut budget = TransmissionBudget::new(Some(100.0));
    fill(&mut budget, ANSWER, 0);
    // The queue is full, so from now on answers are admitted only as fast as earlier ones are sent.
    let mut admitted = 0;
    for tick in 1..=200 {
        admitted += fill(&mut budget, ANSWER, tick * SECOND / 100).0 * ANSWER;
    }
    let link = 2 * LINK_BYTES;
    assert!(admitted < link * 2 / 3, "{admitted} of {link} bytes");
    assert!(admitted > link / 2, "{admitted} of {link} bytes: the answers use less than half of the link");
}

#[test]
fn every_answer_starts_in_time_and_an_idle_link_sends_an_answer_at_once() {
    let mut budget = TransmissionBudget::new(Some(100.0));
    let (count, longest) = fill(&mut budget, 10_000, 5 * SECOND);
    assert!(count > 100 && longest <= MAX_QUEUE_DELAY);
    let mut budget = TransmissionBudget::new(Some(100.0));
    let arrived = 5 * SECOND;
    let now = arrived + MAX_QUEUE_DELAY - 100_000;
    while let Ok(wait) = budget.reserve(10_000, arrived, now) {
        assert!(
            now + wait <= arrived + MAX_QUEUE_DELAY,
            "the answer to a poll that has already waited starts within the limit after its arrival"
        );
    }
    assert_eq!(budget.reserve(10_000, 8 * SECOND, 8 * SECOND), Ok(0));
}

#[test]
fn polls_rejected_together_are_retried_at_different_times() {
    let mut budget = TransmissionBudget::new(Some(100.0));
    fill(&mut budget, 10_000, SECOND);
    let rejected = (0..200).map(|_| budget.reserve(10_000, SECOND, SECOND));
    let mut retry_delays: Vec<u64> = rejected.map(|rejected| rejected.unwrap_err().retry_delay).collect();
    retry_delays.sort_unstable();
    assert!(retry_delays.iter().all(|wait| *wait <= MAX_QUEUE_DELAY));
    let shortest_span = retry_delays.windows(20).map(|twenty| twenty[19] - twenty[0]).min().unwrap();
    assert!(shortest_span >= 10_000, "20 of 200 rejected polls are retried within {shortest_span} µs");
    assert_eq!(
        budget.reserve(10_000, 0, SECOND).unwrap_err().retry_delay,
        50_000,
        "the shortest delay, even past the limit after the arrival"
    );
}

#[test]
fn a_link_without_a_rate_has_a_budget() {
    for link_mbps in [None, Some(0.0), Some(-3.0), Some(f64::NAN), Some(f64::INFINITY)] {
        let mut budget = TransmissionBudget::new(link_mbps);
        assert_eq!(budget.reserve(1_000, SECOND, SECOND), Ok(0), "{link_mbps:?}");
    }
}
