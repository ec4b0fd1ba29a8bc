//! Compares `SlidingDecile` with sorting all samples of the window.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillmount_containers::{MAX_SAMPLES, SlidingDecile};

/// A fixed seed, so that each run has the same cases.
fn fixed_seed_config() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn the_decile_agrees_with_sorting(steps in prop::collection::vec((0u64..30, 0u32..40), 1..400)) {
        let (mut decile, mut expected, mut now) = (SlidingDecile::default(), Vec::new(), 0);
        for (gap, value) in steps {
            now += gap;
            let value = f64::from(value) * 0.5 - 3.0;
            let window_start = now.saturating_sub(200);
            decile.add(now, value, window_start);
            expected.push((now, value));
            expected.retain(|(measured_at, _)| *measured_at >= window_start);
            let mut sorted: Vec<f64> = expected.iter().map(|(_, v)| *v).collect();
            sorted.sort_by(f64::total_cmp);
            prop_assert_eq!(decile.lower_decile(), Some(sorted[sorted.len() / 10]));
            prop_assert_eq!(decile.iter().collect::<Vec<_>>(), expected.clone());
        }
    }
}

#[test]
fn more_samples_than_the_maximum_shorten_the_span() {
    let mut decile = SlidingDecile::default();
    for n in 0..MAX_SAMPLES as u64 + 10 {
        decile.add(n, n as f64, 0);
    }
    assert_eq!(decile.iter().len(), MAX_SAMPLES);
    assert_eq!(decile.lower_decile(), Some(10.0 + (MAX_SAMPLES / 10) as f64));
}
