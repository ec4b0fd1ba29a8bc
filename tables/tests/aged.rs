//! The ends of what is held by age, against a look at all of it.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use spurshore_tables::Aged;

/// Worth by age: steady between the cuts, and with a step at each.
fn worth(age: i64, cuts: &[u64], slopes: &[i64]) -> i64 {
    let n = cuts.iter().filter(|cut| age >= **cut as i64).count();
    slopes[n] * age + 7 * n as i64
}

/// The same draws each time.
fn fixed() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn the_best_of_all_is_among_the_ends(
        births in prop::collection::vec(0u64..300, 1..200),
        now in 0u64..400,
        mut cuts in prop::collection::vec(0u64..300, 0..6),
        slopes in prop::collection::vec(-3i64..4, 7),
    ) {
        cuts.sort_unstable();
        let mut aged = Aged::default();
        births.iter().enumerate().for_each(|(n, born)| aged.insert((*born, n as u64, n as u64)));
        let of = |id: u64| worth(now as i64 - births[id as usize] as i64, &cuts, &slopes);
        let best = aged.iter().map(of).max();
        prop_assert_eq!(aged.ends(now, || cuts.clone()).into_iter().map(of).max(), best);
        births.iter().enumerate().for_each(|(n, born)| aged.remove((*born, n as u64, n as u64)));
        prop_assert!(aged.is_empty());
    }
}
