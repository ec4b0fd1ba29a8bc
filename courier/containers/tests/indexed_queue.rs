//! The line against a plain queue.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillmount_containers::IndexedQueue;
use std::collections::VecDeque;

/// The same draws each time.
fn fixed() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn any_member_can_leave_the_queue(steps in prop::collection::vec((0u8..4, 0u64..12), 1..200)) {
        let (mut queue, mut plain) = (IndexedQueue::default(), VecDeque::new());
        for (what, id) in steps {
            match what {
                0 if !plain.contains(&id) => (queue.push_back(id), plain.push_back(id)).0,
                1 if !plain.contains(&id) => (queue.push_front(id), plain.push_front(id)).0,
                2 => prop_assert_eq!(queue.pop_front(), plain.pop_front()),
                _ => (queue.remove(id), plain.retain(|one| *one != id)).0,
            }
            prop_assert_eq!(queue.iter().collect::<VecDeque<_>>(), plain.clone());
            prop_assert_eq!((queue.len(), queue.contains(id)), (plain.len(), plain.contains(&id)));
        }
    }
}
