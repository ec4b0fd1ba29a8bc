//! Dues against a plain map, and calls by the time they were sent.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillmount_containers::{TimerQueue, remove_timed};
use std::collections::{BTreeMap, VecDeque};

/// The same draws each time.
fn fixed() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn the_first_is_the_least_of_what_was_noted_last(steps in prop::collection::vec((0u64..9, 0u64..50, any::<bool>()), 1..100)) {
        let (mut timers, mut plain) = (TimerQueue::default(), BTreeMap::new());
        for (id, at, set) in steps {
            if set {
                timers.set(id, at);
                plain.insert(id, at);
            } else {
                timers.remove(id);
                plain.remove(&id);
            }
            prop_assert_eq!(timers.next_due(), plain.values().min().copied());
            let mut due: Vec<u64> = plain.iter().filter(|(_, at)| **at <= 25).map(|(id, _)| *id).collect();
            let mut found: Vec<u64> = timers.due_by(25).collect();
            due.sort_unstable();
            found.sort_unstable();
            prop_assert_eq!(found, due);
        }
    }
}

#[test]
fn one_of_those_sent_at_one_time_is_removed() {
    let mut list = VecDeque::from([(7, 1), (8, 5), (9, 5), (8, 6)]);
    remove_timed(&mut list, 9, 5);
    // No call of 7 was sent then.
    remove_timed(&mut list, 7, 5);
    assert_eq!(list, [(7, 1), (8, 5), (8, 6)]);
}
