//! The lower decile of a sliding window over time.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of samples, a thousand a second for a minute. Beyond it the oldest samples are dropped early, so
/// that the window is shorter for a receiver that is called that often.
pub const MAX_SAMPLES: usize = 60_000;

/// Samples of a sliding window, divided by value into two parts: the low part has a tenth of them, and the smallest
/// of the high part is the decile. Adding a sample and reading the decile cost O(log n).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlidingDecile {
    /// All samples with their times, oldest first.
    #[serde(rename = "all")]
    samples: VecDeque<(u64, f64)>,
    /// Number of occurrences of each value in the low part, by sort key.
    low: BTreeMap<i64, u32>,
    /// Number of occurrences of each value in the high part, by sort key.
    high: BTreeMap<i64, u32>,
    /// Number of samples in the low part.
    low_count: usize,
}

/// Maps a value to an integer with the order of [`f64::total_cmp`].
fn sort_key(value: f64) -> i64 {
    let bits = value.to_bits() as i64;
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}

/// Inverse of [`sort_key`].
fn value_of_key(key: i64) -> f64 {
    f64::from_bits((key ^ (((key >> 63) as u64) >> 1) as i64) as u64)
}

fn increment(counts: &mut BTreeMap<i64, u32>, key: i64) {
    *counts.entry(key).or_default() += 1;
}

/// Removes one occurrence of the key; returns whether there was one.
fn decrement(counts: &mut BTreeMap<i64, u32>, key: i64) -> bool {
    let Some(count) = counts.get_mut(&key) else { return false };
    *count -= 1;
    if *count == 0 {
        counts.remove(&key);
    }
    true
}

impl SlidingDecile {
    /// Adds a sample measured at `now` and drops those measured before `window_start`. Neither time may decrease
    /// between calls.
    pub fn add(&mut self, now: u64, value: f64, window_start: u64) {
        let new_key = sort_key(value);
        self.samples.push_back((now, value));
        // Equal values may be in both parts; either of them may be removed.
        if self.high.first_key_value().is_none_or(|(smallest, _)| new_key >= *smallest) {
            increment(&mut self.high, new_key);
        } else {
            increment(&mut self.low, new_key);
            self.low_count += 1;
        }
        while let Some((measured_at, old)) = self.samples.front().copied()
            && (measured_at < window_start || self.samples.len() > MAX_SAMPLES)
        {
            self.samples.pop_front();
            if decrement(&mut self.low, sort_key(old)) {
                self.low_count -= 1;
            } else {
                decrement(&mut self.high, sort_key(old));
            }
        }
        self.balance();
    }

    /// Moves samples between the parts until the low part has a tenth of them, rounded down.
    fn balance(&mut self) {
        let target_count = self.samples.len() / 10;
        while self.low_count < target_count {
            let Some((smallest, _)) = self.high.first_key_value() else { break };
            let smallest = *smallest;
            decrement(&mut self.high, smallest);
            increment(&mut self.low, smallest);
            self.low_count += 1;
        }
        while self.low_count > target_count {
            let Some((largest, _)) = self.low.last_key_value() else { break };
            let largest = *largest;
            decrement(&mut self.low, largest);
            increment(&mut self.high, largest);
            self.low_count -= 1;
        }
    }

    /// Returns the smallest sample that is not among the lowest tenth (rounded down); `None` without samples.
    pub fn lower_decile(&self) -> Option<f64> {
        self.high.first_key_value().map(|(key, _)| value_of_key(*key))
    }

    /// Iterates over the samples with their times, oldest first.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (u64, f64)> {
        self.samples.iter().copied()
    }
}
