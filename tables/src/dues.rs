//! When each of many things is due, and calls by the time they were sent.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A time for each number, and the first of all: O(log n) a change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Dues {
    at: BTreeMap<u64, u64>,
    order: BTreeSet<(u64, u64)>,
}

impl Dues {
    /// Notes when it is due, in place of what was noted before.
    pub fn set(&mut self, id: u64, at: u64) {
        if let Some(old) = self.at.insert(id, at) {
            self.order.remove(&(old, id));
        }
        self.order.insert((at, id));
    }

    pub fn remove(&mut self, id: u64) {
        if let Some(at) = self.at.remove(&id) {
            self.order.remove(&(at, id));
        }
    }

    /// When the first of all is due.
    pub fn first(&self) -> Option<u64> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Those that are due by then, the first first.
    pub fn by(&self, now: u64) -> impl Iterator<Item = u64> {
        self.order.range(..=(now, u64::MAX)).map(|(_, id)| *id)
    }
}

/// Takes the entry of `id`, noted at `at`, out of a list that ascends by time; nothing where it is not there.
pub fn take_sent(list: &mut VecDeque<(u64, u64)>, id: u64, at: u64) {
    let first = list.partition_point(|(_, t)| *t < at);
    if let Some(n) = list.range(first..).position(|(one, _)| *one == id) {
        list.remove(first + n);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn the_first_is_the_least_of_what_was_noted_last(steps in prop::collection::vec((0u64..9, 0u64..50, any::<bool>()), 1..100)) {
            let (mut dues, mut plain) = (Dues::default(), BTreeMap::new());
            for (id, at, set) in steps {
                if set {
                    dues.set(id, at);
                    plain.insert(id, at);
                } else {
                    dues.remove(id);
                    plain.remove(&id);
                }
                prop_assert_eq!(dues.first(), plain.values().min().copied());
                let mut due: Vec<u64> = plain.iter().filter(|(_, at)| **at <= 25).map(|(id, _)| *id).collect();
                let mut told: Vec<u64> = dues.by(25).collect();
                due.sort_unstable();
                told.sort_unstable();
                prop_assert_eq!(told, due);
            }
        }
    }

    #[test]
    fn one_of_those_sent_at_one_time_is_taken() {
        let mut list = VecDeque::from([(7, 1), (8, 5), (9, 5), (8, 6)]);
        take_sent(&mut list, 9, 5);
        // No call of 7 was sent then.
        take_sent(&mut list, 7, 5);
        assert_eq!(list, [(7, 1), (8, 5), (8, 6)]);
    }
}
