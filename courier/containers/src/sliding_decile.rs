//! The lower decile of a sliding window over time.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Samples at most, a thousand a second for a minute: beyond that the oldest are dropped early, so that the window is shorter
/// for a receiver that is called that often.
pub const MAX_SAMPLES: usize = 60_000;

/// Samples of a sliding window in two parts by size: the low part has a tenth of them, and the least of the high part is
/// the decile. Adding a sample and reading the decile cost O(log n).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlidingDecile {
    /// All samples with the time of each, oldest first.
    all: VecDeque<(u64, f64)>,
    /// How often each value is in the low part, by its sort key.
    low: BTreeMap<i64, u32>,
    /// The same for the high part.
    high: BTreeMap<i64, u32>,
    /// Samples in the low part.
    low_count: usize,
}

/// An integer that sorts as [`f64::total_cmp`] does.
fn sort_key(value: f64) -> i64 {
    let bits = value.to_bits() as i64;
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}

/// The inverse of [`sort_key`].
fn value_of_key(key: i64) -> f64 {
    f64::from_bits((key ^ (((key >> 63) as u64) >> 1) as i64) as u64)
}

fn increment(to: &mut BTreeMap<i64, u32>, key: i64) {
    *to.entry(key).or_default() += 1;
}

/// Removes one of the key; returns whether there was one.
fn decrement(from: &mut BTreeMap<i64, u32>, key: i64) -> bool {
    let Some(n) = from.get_mut(&key) else { return false };
    *n -= 1;
    if *n == 0 {
        from.remove(&key);
    }
    true
}

impl SlidingDecile {
    /// Adds a sample measured at `now` and drops those measured before `from`. Neither time ever runs backwards.
    pub fn add(&mut self, now: u64, value: f64, from: u64) {
        let new = sort_key(value);
        self.all.push_back((now, value));
        // Equal values may be in both parts: it does not matter which of them is removed.
        if self.high.first_key_value().is_none_or(|(least, _)| new >= *least) {
            increment(&mut self.high, new);
        } else {
            increment(&mut self.low, new);
            self.low_count += 1;
        }
        while let Some((at, old)) = self.all.front().copied()
            && (at < from || self.all.len() > MAX_SAMPLES)
        {
            self.all.pop_front();
            if decrement(&mut self.low, sort_key(old)) {
                self.low_count -= 1;
            } else {
                decrement(&mut self.high, sort_key(old));
            }
        }
        self.balance();
    }

    /// Moves samples between the parts until the low one has a tenth of them, rounded down.
    fn balance(&mut self) {
        let wanted = self.all.len() / 10;
        while self.low_count < wanted {
            let Some((least, _)) = self.high.first_key_value() else { break };
            let least = *least;
            decrement(&mut self.high, least);
            increment(&mut self.low, least);
            self.low_count += 1;
        }
        while self.low_count > wanted {
            let Some((most, _)) = self.low.last_key_value() else { break };
            let most = *most;
            decrement(&mut self.low, most);
            increment(&mut self.high, most);
            self.low_count -= 1;
        }
    }

    /// The least sample that is not among the lowest tenth (rounded down); `None` without samples.
    pub fn lower_decile(&self) -> Option<f64> {
        self.high.first_key_value().map(|(key, _)| value_of_key(*key))
    }

    /// The samples with the time of each, oldest first.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (u64, f64)> {
        self.all.iter().copied()
    }
}
