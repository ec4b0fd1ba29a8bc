//! Groups of items whose value depends only on their age, with a search for the most (or least) valuable item.
//!
//! The value of a group's items is monotonic between a few ages, the breakpoints. At any time the best item of a
//! group is therefore the oldest or the youngest between two breakpoints, so that no order has to be updated as time
//! passes. The caller gets the candidates of each [`AgeSet`] and compares their values.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Included};

/// A set of up to this many items returns all of them as candidates, which costs less than a search.
pub const SCAN_ALL_UP_TO: usize = 8;

/// An item: time of creation, position among the waiting items, id.
type AgedItem = (u64, u64, u64);

/// Items of one group, ordered by their time of creation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgeSet {
    #[serde(rename = "all")]
    items: BTreeSet<AgedItem>,
}

impl AgeSet {
    /// Adds an item. O(log n).
    pub fn insert(&mut self, item: AgedItem) {
        self.items.insert(item);
    }

    /// Removes an item, if it is in the set. O(log n).
    pub fn remove(&mut self, item: AgedItem) {
        self.items.remove(&item);
    }

    /// Whether the set has no item.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Iterates over the ids, oldest item first.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.items.iter().map(|(.., id)| *id)
    }

    /// Returns ids of items that include the best one at `now`, if the value is monotonic between any two adjacent
    /// ages of `breakpoints`, which are in ascending order.
    ///
    /// A set of up to [`SCAN_ALL_UP_TO`] items returns all of them and does not call `breakpoints`. A larger one
    /// returns the oldest and the youngest item of each interval. An age that is a breakpoint belongs to the
    /// intervals on both sides. O(breakpoints x log n).
    ///
    /// # Panics
    /// The breakpoints are not in ascending order.
    pub fn candidates(&self, now: u64, breakpoints: impl FnOnce() -> Vec<u64>) -> Vec<u64> {
        if self.items.len() <= SCAN_ALL_UP_TO {
            return self.iter().collect();
        }
        let breakpoints = breakpoints();
        let mut candidates = Vec::with_capacity(4 * (breakpoints.len() + 1));
        let mut youngest = Included((u64::MAX, u64::MAX, u64::MAX));
        let mut add_range_ends = |lower, upper| {
            let mut range = self.items.range((lower, upper));
            candidates.extend(range.next().map(|(.., id)| *id));
            candidates.extend(range.next_back().map(|(.., id)| *id));
        };
        for (index, breakpoint) in breakpoints.iter().enumerate() {
            let Some(created_at) = now.checked_sub(*breakpoint) else {
                break;
            };
            if index > 0 && breakpoints[index - 1] == *breakpoint {
                continue;
            }
            // First the items younger than the breakpoint, then those of exactly this age as an interval of their own.
            add_range_ends(Excluded((created_at, u64::MAX, u64::MAX)), youngest);
            add_range_ends(Included((created_at, 0, 0)), Included((created_at, u64::MAX, u64::MAX)));
            youngest = Excluded((created_at, 0, 0));
        }
        add_range_ends(Included((0, 0, 0)), youngest);
        candidates
    }
}

/// Returns the ages, and each of them minus `ahead`, in ascending order.
///
/// If an item's value is monotonic between the given ages, then both its value and its value `ahead` later are
/// monotonic between the returned ones.
pub fn breakpoints(ages: &[u64], ahead: u64) -> Vec<u64> {
    let mut breakpoints: Vec<u64> = ages.iter().flat_map(|age| [age.saturating_sub(ahead), *age]).collect();
    breakpoints.sort_unstable();
    breakpoints
}

/// Waiting items, indexed by position over all groups and by age within each group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "K: Ord + Deserialize<'de>"))]
pub struct AgeGroups<K> {
    by_position: BTreeMap<u64, u64>,
    groups: BTreeMap<K, AgeSet>,
}

impl<K> Default for AgeGroups<K> {
    fn default() -> Self {
        AgeGroups { by_position: BTreeMap::new(), groups: BTreeMap::new() }
    }
}

impl<K: Ord> AgeGroups<K> {
    /// Adds an item to a group. Its position must not be in use. O(log n).
    pub fn insert(&mut self, key: K, item: AgedItem) {
        self.by_position.insert(item.1, item.2);
        self.groups.entry(key).or_default().insert(item);
    }

    /// Removes an item, if it is in the group, and removes the group if it becomes empty. O(log n).
    pub fn remove(&mut self, key: &K, item: AgedItem) {
        let Some(age_set) = self.by_position.remove(&item.1).and_then(|_| self.groups.get_mut(key)) else {
            return;
        };
        age_set.remove(item);
        if age_set.is_empty() {
            self.groups.remove(key);
        }
    }

    /// Number of items in all groups.
    pub fn len(&self) -> usize {
        self.by_position.len()
    }

    /// Whether no group has an item.
    pub fn is_empty(&self) -> bool {
        self.by_position.is_empty()
    }

    /// Iterates over the ids of all items, in the order of their positions.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.by_position.values().copied()
    }

    /// Iterates over the groups that have items, in the order of their keys.
    pub fn groups(&self) -> impl Iterator<Item = (&K, &AgeSet)> {
        self.groups.iter()
    }
}
