//! Things that are alike but for their age, of which the one that is worth most now is wanted.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Included};

/// So few are all looked at: that costs less than looking for ends.
pub const FEW: usize = 8;

/// Birth, place among those held, number.
type Item = (u64, u64, u64);

/// Things of one kind, by birth. What one is worth goes by its age alone, and rises or falls steadily between a few
/// ages: then the best is the oldest or the youngest of those between two such ages, at any time, and no order has to be
/// kept up as time passes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Aged {
    all: BTreeSet<Item>,
}

impl Aged {
    pub fn insert(&mut self, item: Item) {
        self.all.insert(item);
    }

    pub fn remove(&mut self, item: Item) {
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
    pub fn ends(&self, now: u64, cuts: impl FnOnce() -> Vec<u64>) -> Vec<u64> {
        if self.all.len() <= FEW {
            return self.iter().collect();
        }
        let cuts = cuts();
        let mut ends = Vec::with_capacity(4 * (cuts.len() + 1));
        let mut younger = Included((u64::MAX, u64::MAX, u64::MAX));
        let mut tell = |from, to| {
            let mut range = self.all.range((from, to));
            ends.extend(range.next().map(|(.., id)| *id));
            ends.extend(range.next_back().map(|(.., id)| *id));
        };
        for (n, cut) in cuts.iter().enumerate() {
            let Some(born) = now.checked_sub(*cut) else { break };
            if n > 0 && cuts[n - 1] == *cut {
                continue;
            }
            // Those that are younger than the cut; those just as old are a stretch of their own.
            tell(Excluded((born, u64::MAX, u64::MAX)), younger);
            tell(Included((born, 0, 0)), Included((born, u64::MAX, u64::MAX)));
            younger = Excluded((born, 0, 0));
        }
        tell(Included((0, 0, 0)), younger);
        ends
    }
}

/// These ages, and each less `ahead`, in ascending order: between two of them both what a thing is worth and what it will be
/// worth by then are steady, where the first is steady between the ages.
pub fn cuts(ages: &[u64], ahead: u64) -> Vec<u64> {
    let mut cuts: Vec<u64> = ages.iter().flat_map(|age| [age.saturating_sub(ahead), *age]).collect();
    cuts.sort_unstable();
    cuts
}

/// Things that wait, in the order of their places, and those of each kind by age. Adding and taking away costs O(log n).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "K: Ord + Deserialize<'de>"))]
pub struct Held<K> {
    places: BTreeMap<u64, u64>,
    kinds: BTreeMap<K, Aged>,
}

impl<K> Default for Held<K> {
    fn default() -> Self {
        Held { places: BTreeMap::new(), kinds: BTreeMap::new() }
    }
}

impl<K: Ord> Held<K> {
    pub fn insert(&mut self, kind: K, item: Item) {
        self.places.insert(item.1, item.2);
        self.kinds.entry(kind).or_default().insert(item);
    }

    /// Takes away what is there; a kind of which there is none left is forgotten.
    pub fn remove(&mut self, kind: &K, item: Item) {
        let Some(aged) = self.places.remove(&item.1).and_then(|_| self.kinds.get_mut(kind)) else { return };
        aged.remove(item);
        if aged.is_empty() {
            self.kinds.remove(kind);
        }
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Their numbers, in the order of their places.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.places.values().copied()
    }

    /// The kinds that are there, with those of each.
    pub fn alike(&self) -> impl Iterator<Item = (&K, &Aged)> {
        self.kinds.iter()
    }
}
