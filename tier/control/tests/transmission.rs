//! Tables take their part of a link, in turn.

use quillmount_control::{MAX_QUEUE_DELAY, Saturated, TransmissionBudget};

/// Bytes that a link of 100 Mbit/s carries in a second.
const LINK_BYTES: usize = 12_500_000;
const SECOND: u64 = 1_000_000;

/// Reserves answers of this size, asked for at one moment, until the budget is saturated; returns when the last one begins.
fn fill(budget: &mut TransmissionBudget, bytes: usize, now: u64) -> (usize, u64) {
    let mut last = 0;
    for count in 0.. {
        match budget.reserve(bytes, now, now) {
            Ok(wait) => {
                assert!(wait >= last, "answers have their turns in the order in which they ask");
                last = wait;
            }
            Err(Saturated { .. }) => return (count, last),
        }
    }
    unreachable!("the budget never saturates")
}

#[test]
fn answers_to_many_polls_leave_the_link_a_third() {
    const ANSWER: usize = 27_000;
    let mut budget = TransmissionBudget::new(Some(100.0));
    fill(&mut budget, ANSWER, 0);
    // From here on what is admitted takes the place of what was sent.
    let mut admitted = 0;
    for tick in 1..=200 {
        admitted += fill(&mut budget, ANSWER, tick * SECOND / 100).0 * ANSWER;
    }
    let link = 2 * LINK_BYTES;
    assert!(admitted < link * 2 / 3, "{admitted} of {link} bytes");
    assert!(admitted > link / 2, "{admitted} of {link} bytes: the link is used");
}

#[test]
fn every_turn_comes_in_time_and_a_link_at_rest_takes_an_answer_at_once() {
    let mut budget = TransmissionBudget::new(Some(100.0));
    let (count, longest) = fill(&mut budget, 10_000, 5 * SECOND);
    assert!(count > 100 && longest <= MAX_QUEUE_DELAY);
    let mut budget = TransmissionBudget::new(Some(100.0));
    let arrived = 5 * SECOND;
    let now = arrived + MAX_QUEUE_DELAY - 100_000;
    while let Ok(wait) = budget.reserve(10_000, arrived, now) {
        assert!(
            now + wait <= arrived + MAX_QUEUE_DELAY,
            "a poll that has waited for a change has less time left"
        );
    }
    assert_eq!(budget.reserve(10_000, 8 * SECOND, 8 * SECOND), Ok(0));
}

#[test]
fn polls_that_are_turned_away_together_come_back_one_after_the_other() {
    let mut budget = TransmissionBudget::new(Some(100.0));
    fill(&mut budget, 10_000, SECOND);
    let rejected = (0..200).map(|_| budget.reserve(10_000, SECOND, SECOND));
    let mut returns: Vec<u64> = rejected.map(|rejected| rejected.unwrap_err().retry_delay).collect();
    returns.sort_unstable();
    assert!(returns.iter().all(|wait| *wait <= MAX_QUEUE_DELAY));
    let most = returns.windows(20).map(|twenty| twenty[19] - twenty[0]).min().unwrap();
    assert!(most >= 10_000, "twenty of two hundred come back within {most} µs");
    assert_eq!(budget.reserve(10_000, 0, SECOND).unwrap_err().retry_delay, 50_000, "late as it is");
}

#[test]
fn a_link_without_a_rate_has_a_budget() {
    for link_mbps in [None, Some(0.0), Some(-3.0), Some(f64::NAN), Some(f64::INFINITY)] {
        let mut budget = TransmissionBudget::new(link_mbps);
        assert_eq!(budget.reserve(1_000, SECOND, SECOND), Ok(0), "{link_mbps:?}");
    }
}
