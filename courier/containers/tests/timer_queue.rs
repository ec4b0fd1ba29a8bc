//! Compares `TimerQueue` with a map over random operations, and tests `remove_timed`.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillmount_containers::{TimerQueue, remove_timed};
use std::collections::{BTreeMap, VecDeque};

/// A fixed seed, so that each run has the same cases.
fn fixed_seed_config() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn the_next_due_time_is_the_earliest_of_the_set_timers(
        steps in prop::collection::vec((0u64..9, 0u64..50, any::<bool>()), 1..100),
    ) {
        let (mut timers, mut expected) = (TimerQueue::default(), BTreeMap::new());
        for (id, due_at, set) in steps {
            if set {
                timers.set(id, due_at);
                expected.insert(id, due_at);
            } else {
                timers.remove(id);
                expected.remove(&id);
            }
            prop_assert_eq!(timers.next_due(), expected.values().min().copied());
            let mut expected_due: Vec<u64> =
                expected.iter().filter(|(_, due_at)| **due_at <= 25).map(|(id, _)| *id).collect();
            let mut due: Vec<u64> = timers.due_by(25).collect();
            expected_due.sort_unstable();
            due.sort_unstable();
            prop_assert_eq!(due, expected_due);
        }
    }
}

#[test]
fn only_the_entry_with_the_id_and_time_is_removed() {
    let mut list = VecDeque::from([(7, 1), (8, 5), (9, 5), (8, 6)]);
    remove_timed(&mut list, 9, 5);
    // Id 7 has no entry with this time, so nothing is removed.
    remove_timed(&mut list, 7, 5);
    assert_eq!(list, [(7, 1), (8, 5), (8, 6)]);
}
