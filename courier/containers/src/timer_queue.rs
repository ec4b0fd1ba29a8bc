//! When each of many things is due (a timer queue), and calls by the time they were sent.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A time for each number, and the first of all: O(log n) a change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TimerQueue {
    due_times: BTreeMap<u64, u64>,
    order: BTreeSet<(u64, u64)>,
}

impl TimerQueue {
    /// Notes when it is due, in place of what was noted before.
    pub fn set(&mut self, id: u64, at: u64) {
        if let Some(old) = self.due_times.insert(id, at) {
            self.order.remove(&(old, id));
        }
        self.order.insert((at, id));
    }

    pub fn remove(&mut self, id: u64) {
        if let Some(at) = self.due_times.remove(&id) {
            self.order.remove(&(at, id));
        }
    }

    /// When the first of all is due.
    pub fn next_due(&self) -> Option<u64> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Those that are due by then, the first first.
    pub fn due_by(&self, now: u64) -> impl Iterator<Item = u64> {
        self.order.range(..=(now, u64::MAX)).map(|(_, id)| *id)
    }
}

/// Takes the entry of `id`, noted at `at`, out of a list that ascends by time; nothing where it is not there.
pub fn remove_timed(list: &mut VecDeque<(u64, u64)>, id: u64, at: u64) {
    let first = list.partition_point(|(_, t)| *t < at);
    if let Some(n) = list.range(first..).position(|(one, _)| *one == id) {
        list.remove(first + n);
    }
}
