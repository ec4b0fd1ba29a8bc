//! The candidates of a set by age, against a scan of all of it.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillmount_containers::AgeSet;

/// Value by age: monotonic between the breakpoints, and with a step at each.
fn value(age: i64, breakpoints: &[u64], slopes: &[i64]) -> i64 {
    let n = breakpoints.iter().filter(|breakpoint| age >= **breakpoint as i64).count();
    slopes[n] * age + 7 * n as i64
}

/// The same draws each time.
fn fixed() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn the_best_of_all_is_among_the_candidates(
        births in prop::collection::vec(0u64..300, 1..200),
        now in 0u64..400,
        mut breakpoints in prop::collection::vec(0u64..300, 0..6),
        slopes in prop::collection::vec(-3i64..4, 7),
    ) {
        breakpoints.sort_unstable();
        let mut age_set = AgeSet::default();
        births.iter().enumerate().for_each(|(n, born)| age_set.insert((*born, n as u64, n as u64)));
        let value_of = |id: u64| value(now as i64 - births[id as usize] as i64, &breakpoints, &slopes);
        let best = age_set.iter().map(value_of).max();
        prop_assert_eq!(age_set.candidates(now, || breakpoints.clone()).into_iter().map(value_of).max(), best);
        births.iter().enumerate().for_each(|(n, born)| age_set.remove((*born, n as u64, n as u64)));
        prop_assert!(age_set.is_empty());
    }
}
