//! Compares `IndexedQueue` with a `VecDeque` over random operations.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillmount_containers::IndexedQueue;
use std::collections::VecDeque;

/// A fixed seed, so that each run has the same cases.
fn fixed_seed_config() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn random_operations_agree_with_a_plain_queue(steps in prop::collection::vec((0u8..4, 0u64..12), 1..200)) {
        let (mut queue, mut expected) = (IndexedQueue::default(), VecDeque::new());
        for (operation, id) in steps {
            match operation {
                0 if !expected.contains(&id) => (queue.push_back(id), expected.push_back(id)).0,
                1 if !expected.contains(&id) => (queue.push_front(id), expected.push_front(id)).0,
                2 => prop_assert_eq!(queue.pop_front(), expected.pop_front()),
                _ => (queue.remove(id), expected.retain(|queued| *queued != id)).0,
            }
            prop_assert_eq!(queue.iter().collect::<VecDeque<_>>(), expected.clone());
            prop_assert_eq!((queue.len(), queue.contains(id)), (expected.len(), expected.contains(&id)));
        }
    }
}
