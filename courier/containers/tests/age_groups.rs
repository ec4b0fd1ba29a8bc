//! Compares the candidates of an `AgeSet` with a scan of all its items.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillmount_containers::AgeSet;

/// Value by age: monotonic between the breakpoints, with a step at each of them.
fn value(age: i64, breakpoints: &[u64], slopes: &[i64]) -> i64 {
    let interval = breakpoints.iter().filter(|breakpoint| age >= **breakpoint as i64).count();
    slopes[interval] * age + 7 * interval as i64
}

/// A fixed seed, so that each run has the same cases.
fn fixed_seed_config() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn the_best_item_is_among_the_candidates(
        creation_times in prop::collection::vec(0u64..300, 1..200),
        now in 0u64..400,
        mut breakpoints in prop::collection::vec(0u64..300, 0..6),
        slopes in prop::collection::vec(-3i64..4, 7),
    ) {
        breakpoints.sort_unstable();
        let mut age_set = AgeSet::default();
        creation_times.iter().enumerate().for_each(|(n, created_at)| age_set.insert((*created_at, n as u64, n as u64)));
        let value_of = |id: u64| value(now as i64 - creation_times[id as usize] as i64, &breakpoints, &slopes);
        let best = age_set.iter().map(value_of).max();
        prop_assert_eq!(age_set.candidates(now, || breakpoints.clone()).into_iter().map(value_of).max(), best);
        creation_times.iter().enumerate().for_each(|(n, created_at)| age_set.remove((*created_at, n as u64, n as u64)));
        prop_assert!(age_set.is_empty());
    }
}
