//! Things that are alike but for their age, of which the one that is worth most now is wanted.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Included};

/// So few are all looked at: that costs less than looking for ends.
pub const SCAN_ALL_UP_TO: usize = 8;

/// Birth, place among those held, number.
type AgedItem = (u64, u64, u64);

/// Things of one kind, by birth. What one is worth goes by its age alone, and rises or falls steadily between a few
/// ages: then the best is the oldest or the youngest of those between two such ages, at any time, and no order has to be
/// kept up as time passes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgeSet {
    all: BTreeSet<AgedItem>,
}

impl AgeSet {
    pub fn insert(&mut self, item: AgedItem) {
        self.all.insert(item);
    }

    pub fn remove(&mut self, item: AgedItem) {
        self.all.remove(&item);
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.all.iter().map(|(.., id)| *id)
    }

    /// Those of which one is best at `now`, where worth is steady between each two of these ages, which ascend: all if
    /// they are few, and then no cuts are asked for, else the oldest and the youngest of each stretch. An age that is a cut belongs to the stretch
    /// before it and to the one behind it. O(cuts x log n).
    ///
    /// # Panics
    /// The cuts do not ascend.
    pub fn candidates(&self, now: u64, breakpoints: impl FnOnce() -> Vec<u64>) -> Vec<u64> {
        if self.all.len() <= SCAN_ALL_UP_TO {
            return self.iter().collect();
        }
        let breakpoints = breakpoints();
        let mut candidates = Vec::with_capacity(4 * (breakpoints.len() + 1));
        let mut younger = Included((u64::MAX, u64::MAX, u64::MAX));
        let mut add_range_ends = |from, to| {
            let mut range = self.all.range((from, to));
            candidates.extend(range.next().map(|(.., id)| *id));
            candidates.extend(range.next_back().map(|(.., id)| *id));
        };
        for (n, breakpoint) in breakpoints.iter().enumerate() {
            let Some(created) = now.checked_sub(*breakpoint) else { break };
            if n > 0 && breakpoints[n - 1] == *breakpoint {
                continue;
            }
            // Those that are younger than the cut; those just as old are a stretch of their own.
            add_range_ends(Excluded((created, u64::MAX, u64::MAX)), younger);
            add_range_ends(Included((created, 0, 0)), Included((created, u64::MAX, u64::MAX)));
            younger = Excluded((created, 0, 0));
        }
        add_range_ends(Included((0, 0, 0)), younger);
        candidates
    }
}

/// These ages, and each less `ahead`, in ascending order: between two of them both what a thing is worth and what it will be
/// worth by then are steady, where the first is steady between the ages.
pub fn breakpoints(ages: &[u64], ahead: u64) -> Vec<u64> {
    let mut breakpoints: Vec<u64> = ages.iter().flat_map(|age| [age.saturating_sub(ahead), *age]).collect();
    breakpoints.sort_unstable();
    breakpoints
}

/// Things that wait, in the order of their places, and those of each kind by age. Adding and taking away costs O(log n).
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
    pub fn insert(&mut self, key: K, item: AgedItem) {
        self.by_position.insert(item.1, item.2);
        self.groups.entry(key).or_default().insert(item);
    }

    /// Takes away what is there; a kind of which there is none left is forgotten.
    pub fn remove(&mut self, key: &K, item: AgedItem) {
        let Some(age_set) = self.by_position.remove(&item.1).and_then(|_| self.groups.get_mut(key)) else {
            return;
        };
        age_set.remove(item);
        if age_set.is_empty() {
            self.groups.remove(key);
        }
    }

    pub fn len(&self) -> usize {
        self.by_position.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_position.is_empty()
    }

    /// Their numbers, in the order of their places.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.by_position.values().copied()
    }

    /// The kinds that are there, with those of each.
    pub fn groups(&self) -> impl Iterator<Item = (&K, &AgeSet)> {
        self.groups.iter()
    }
}
