//! What was seen lately, against sorting all of it.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillmount_containers::{MAX_SAMPLES, SlidingDecile};

/// The same draws each time.
fn fixed() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn it_agrees_with_sorting(steps in prop::collection::vec((0u64..30, 0u32..40), 1..400)) {
        let (mut decile, mut plain, mut now) = (SlidingDecile::default(), Vec::new(), 0);
        for (gap, value) in steps {
            now += gap;
            let value = f64::from(value) * 0.5 - 3.0;
            let from = now.saturating_sub(200);
            decile.add(now, value, from);
            plain.push((now, value));
            plain.retain(|(at, _)| *at >= from);
            let mut sorted: Vec<f64> = plain.iter().map(|(_, v)| *v).collect();
            sorted.sort_by(f64::total_cmp);
            prop_assert_eq!(decile.lower_decile(), Some(sorted[sorted.len() / 10]));
            prop_assert_eq!(decile.iter().collect::<Vec<_>>(), plain.clone());
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
