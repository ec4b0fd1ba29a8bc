//! A double-ended queue of ids from which any id can be removed, whatever its position.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A queue of distinct ids. Insertion, removal and search cost O(log n).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IndexedQueue {
    order: BTreeMap<i64, u64>,
    positions: BTreeMap<u64, i64>,
}

impl IndexedQueue {
    /// Adds an id at the end. An id that is already in the queue stays at its position.
    pub fn push_back(&mut self, id: u64) {
        let position = self.order.last_key_value().map_or(0, |(last, _)| last + 1);
        self.insert_at(id, position);
    }

    /// Adds an id at the front. An id that is already in the queue stays at its position.
    pub fn push_front(&mut self, id: u64) {
        let position = self.order.first_key_value().map_or(0, |(first, _)| first - 1);
        self.insert_at(id, position);
    }

    fn insert_at(&mut self, id: u64, position: i64) {
        if !self.contains(id) {
            self.positions.insert(id, position);
            self.order.insert(position, id);
        }
    }

    /// Removes and returns the first id; `None` if the queue is empty.
    pub fn pop_front(&mut self) -> Option<u64> {
        let (_, id) = self.order.pop_first()?;
        self.positions.remove(&id);
        Some(id)
    }

    /// Removes an id, if it is in the queue.
    pub fn remove(&mut self, id: u64) {
        if let Some(position) = self.positions.remove(&id) {
            self.order.remove(&position);
        }
    }

    /// Whether the id is in the queue.
    pub fn contains(&self, id: u64) -> bool {
        self.positions.contains_key(&id)
    }

    /// Number of ids.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Iterates over the ids, first to last.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.order.values().copied()
    }
}
