//! What was seen lately, against sorting all of it.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use spurshore_tables::{MOST, Recent};

/// The same draws each time.
fn fixed() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn it_tells_what_sorting_tells(steps in prop::collection::vec((0u64..30, 0u32..40), 1..400)) {
        let (mut recent, mut plain, mut now) = (Recent::default(), Vec::new(), 0);
        for (gap, value) in steps {
            now += gap;
            let value = f64::from(value) * 0.5 - 3.0;
            let from = now.saturating_sub(200);
            recent.add(now, value, from);
            plain.push((now, value));
            plain.retain(|(at, _)| *at >= from);
            let mut sorted: Vec<f64> = plain.iter().map(|(_, v)| *v).collect();
            sorted.sort_by(f64::total_cmp);
            prop_assert_eq!(recent.tenth(), Some(sorted[sorted.len() / 10]));
            prop_assert_eq!(recent.iter().collect::<Vec<_>>(), plain.clone());
        }
    }
}

#[test]
fn more_than_it_may_keep_makes_the_span_shorter() {
    let mut recent = Recent::default();
    for n in 0..MOST as u64 + 10 {
        recent.add(n, n as f64, 0);
    }
    assert_eq!(recent.iter().len(), MOST);
    assert_eq!(recent.tenth(), Some(10.0 + (MOST / 10) as f64));
}
