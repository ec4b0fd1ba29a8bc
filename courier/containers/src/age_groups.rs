//! Groups of items whose value depends on their age alone, of which the most (or least) valuable one is wanted.
//!
//! The value of a group's items rises or falls steadily between a few ages, the breakpoints. At any time the best item of a
//! group is therefore the oldest or the youngest between two breakpoints, and no order has to be updated as time passes.
//! The caller asks each [`AgeSet`] for its candidates and compares their values.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Included};

/// A set of up to this many items returns all of them as candidates: that costs less than a search.
pub const SCAN_ALL_UP_TO: usize = 8;

/// An item: time of its creation, position among the waiting items, id.
type AgedItem = (u64, u64, u64);

/// Items of one group, ordered by the time of their creation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgeSet {
    all: BTreeSet<AgedItem>,
}

impl AgeSet {
    /// Adds an item. O(log n).
    pub fn insert(&mut self, item: AgedItem) {
        self.all.insert(item);
    }

    /// Removes an item, if it is in the set. O(log n).
    pub fn remove(&mut self, item: AgedItem) {
        self.all.remove(&item);
    }

    /// Whether the set has no item.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The ids, oldest item first.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.all.iter().map(|(.., id)| *id)
    }

    /// Ids of items one of which is the best at `now`, where the value is monotonic between each two adjacent ages of
    /// `breakpoints`, which ascend.
    ///
    /// A small set returns all of its items and does not call `breakpoints`; else these are the oldest and the youngest of
    /// each interval. An age that is a breakpoint belongs to the interval before it and to the one after it.
    /// O(breakpoints x log n).
    ///
    /// # Panics
    /// The breakpoints do not ascend.
    pub fn candidates(&self, now: u64, breakpoints: impl FnOnce() -> Vec<u64>) -> Vec<u64> {
        if self.all.len() <= SCAN_ALL_UP_TO {
            return self.iter().collect();
        }
        let breakpoints = breakpoints();
        let mut candidates = Vec::with_capacity(4 * (breakpoints.len() + 1));
        let mut youngest = Included((u64::MAX, u64::MAX, u64::MAX));
        let mut add_range_ends = |from, to| {
            let mut range = self.all.range((from, to));
            candidates.extend(range.next().map(|(.., id)| *id));
            candidates.extend(range.next_back().map(|(.., id)| *id));
        };
        for (n, breakpoint) in breakpoints.iter().enumerate() {
            let Some(created) = now.checked_sub(*breakpoint) else {
                break;
            };
            if n > 0 && breakpoints[n - 1] == *breakpoint {
                continue;
            }
            // Those that are younger than the breakpoint; those just as old are an interval of their own.
            add_range_ends(Excluded((created, u64::MAX, u64::MAX)), youngest);
            add_range_ends(Included((created, 0, 0)), Included((created, u64::MAX, u64::MAX)));
            youngest = Excluded((created, 0, 0));
        }
        add_range_ends(Included((0, 0, 0)), youngest);
        candidates
    }
}

/// These ages, and each less `ahead`, in ascending order.
///
/// Where an item's value is monotonic between the ages, both its value and its value `ahead` later are so between these.
pub fn breakpoints(ages: &[u64], ahead: u64) -> Vec<u64> {
    let mut breakpoints: Vec<u64> = ages.iter().flat_map(|age| [age.saturating_sub(ahead), *age]).collect();
    breakpoints.sort_unstable();
    breakpoints
}

/// Waiting items: all of them by position, and those of each group by age.
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
    /// Adds an item to a group. Each position is in use once. O(log n).
    pub fn insert(&mut self, key: K, item: AgedItem) {
        self.by_position.insert(item.1, item.2);
        self.groups.entry(key).or_default().insert(item);
    }

    /// Removes an item, if it is there, and its group if it was the last one. O(log n).
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

    /// Whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.by_position.is_empty()
    }

    /// The ids of all items, in the order of their positions.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.by_position.values().copied()
    }

    /// The groups that have items, in the order of their keys.
    pub fn groups(&self) -> impl Iterator<Item = (&K, &AgeSet)> {
        self.groups.iter()
    }
}
