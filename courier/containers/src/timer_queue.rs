//! A queue of timers, at most one for each id, and removal from lists that are ordered by time.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Timers by id. Setting or removing a timer and finding the earliest one cost O(log n).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TimerQueue {
    due_times: BTreeMap<u64, u64>,
    order: BTreeSet<(u64, u64)>,
}

impl TimerQueue {
    /// Sets the timer of an id and replaces an earlier one.
    pub fn set(&mut self, id: u64, due_at: u64) {
        if let Some(old) = self.due_times.insert(id, due_at) {
            self.order.remove(&(old, id));
        }
        self.order.insert((due_at, id));
    }

    /// Removes the timer of an id, if there is one.
    pub fn remove(&mut self, id: u64) {
        if let Some(due_at) = self.due_times.remove(&id) {
            self.order.remove(&(due_at, id));
        }
    }

    /// Returns the time at which the earliest timer is due; `None` without timers.
    pub fn next_due(&self) -> Option<u64> {
        self.order.first().map(|(due_at, _)| *due_at)
    }

    /// Iterates over the ids of the timers that are due by `now`, earliest first. The timers remain in the queue.
    pub fn due_by(&self, now: u64) -> impl Iterator<Item = u64> {
        self.order.range(..=(now, u64::MAX)).map(|(_, id)| *id)
    }
}

/// Removes the entry with this id and time, if there is one, from a list of (id, time) in ascending order of time.
pub fn remove_timed(list: &mut VecDeque<(u64, u64)>, id: u64, time: u64) {
    let first = list.partition_point(|(_, entry_time)| *entry_time < time);
    if let Some(offset) = list.range(first..).position(|(entry_id, _)| *entry_id == id) {
        list.remove(first + offset);
    }
}
