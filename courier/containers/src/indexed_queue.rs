//! A line in which anyone may leave from its place.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Numbers in the order in which they came, each of them once. Coming, leaving and looking for one cost O(log n).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IndexedQueue {
    order: BTreeMap<i64, u64>,
    positions: BTreeMap<u64, i64>,
}

impl IndexedQueue {
    /// It comes last, unless it is there already.
    pub fn push_back(&mut self, id: u64) {
        let position = self.order.last_key_value().map_or(0, |(last, _)| last + 1);
        self.insert_at(id, position);
    }

    /// It comes first, unless it is there already.
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

    pub fn pop_front(&mut self) -> Option<u64> {
        let (_, id) = self.order.pop_first()?;
        self.positions.remove(&id);
        Some(id)
    }

    pub fn remove(&mut self, id: u64) {
        if let Some(position) = self.positions.remove(&id) {
            self.order.remove(&position);
        }
    }

    pub fn contains(&self, id: u64) -> bool {
        self.positions.contains_key(&id)
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.order.values().copied()
    }
}
