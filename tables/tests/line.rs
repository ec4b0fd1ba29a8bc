//! The line against a plain queue.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use spurshore_tables::Line;
use std::collections::VecDeque;

/// The same draws each time.
fn fixed() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn it_is_a_queue_that_can_be_left(steps in prop::collection::vec((0u8..4, 0u64..12), 1..200)) {
        let (mut line, mut plain) = (Line::default(), VecDeque::new());
        for (what, id) in steps {
            match what {
                0 if !plain.contains(&id) => (line.push_back(id), plain.push_back(id)).0,
                1 if !plain.contains(&id) => (line.push_front(id), plain.push_front(id)).0,
                2 => prop_assert_eq!(line.pop_front(), plain.pop_front()),
                _ => (line.remove(id), plain.retain(|one| *one != id)).0,
            }
            prop_assert_eq!(line.iter().collect::<VecDeque<_>>(), plain.clone());
            prop_assert_eq!((line.len(), line.contains(id)), (plain.len(), plain.contains(&id)));
        }
    }
}
