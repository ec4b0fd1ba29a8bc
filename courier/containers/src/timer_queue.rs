//! A queue of timers, one for each id, and a search in lists that ascend by time.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Timers by id. A change costs O(log n), the earliest of them O(log n).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TimerQueue {
    due_times: BTreeMap<u64, u64>,
    order: BTreeSet<(u64, u64)>,
}

impl TimerQueue {
    /// Sets the timer of an id, in place of an earlier one.
    pub fn set(&mut self, id: u64, at: u64) {
        if let Some(old) = self.due_times.insert(id, at) {
            self.order.remove(&(old, id));
        }
        self.order.insert((at, id));
    }

    /// Removes the timer of an id, if there is one.
    pub fn remove(&mut self, id: u64) {
        if let Some(at) = self.due_times.remove(&id) {
            self.order.remove(&(at, id));
        }
    }

    /// When the earliest timer is due; `None` without timers.
    pub fn next_due(&self) -> Option<u64> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Ids of the timers that are due by `now`, earliest first. They stay in the queue.
    pub fn due_by(&self, now: u64) -> impl Iterator<Item = u64> {
        self.order.range(..=(now, u64::MAX)).map(|(_, id)| *id)
    }
}

/// Removes the entry of `id` with the time `at` from a list of (id, time) that ascends by time, if it is there.
pub fn remove_timed(list: &mut VecDeque<(u64, u64)>, id: u64, at: u64) {
    let first = list.partition_point(|(_, t)| *t < at);
    if let Some(n) = list.range(first..).position(|(entry, _)| *entry == id) {
        list.remove(first + n);
    }
}
