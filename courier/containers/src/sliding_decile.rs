//! The tenth lowest of what was measured lately: the lower decile of a sliding window.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Values kept at most, a thousand a second for a minute: beyond that the oldest go before their time, and the span is
/// shorter for a place that is called that often.
pub const MAX_SAMPLES: usize = 60_000;

/// Values of the last span of time, in two halves by size: a tenth of them is low, and the least of the others is asked
/// for. Adding costs O(log n), asking O(log n).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlidingDecile {
    all: VecDeque<(u64, f64)>,
    /// How often each value is there, by its place in the total order.
    low: BTreeMap<i64, u32>,
    high: BTreeMap<i64, u32>,
    low_count: usize,
}

/// A number that sorts as [`f64::total_cmp`] does.
fn sort_key(value: f64) -> i64 {
    let bits = value.to_bits() as i64;
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}

fn value_of_key(key: i64) -> f64 {
    f64::from_bits((key ^ (((key >> 63) as u64) >> 1) as i64) as u64)
}

fn increment(to: &mut BTreeMap<i64, u32>, key: i64) {
    *to.entry(key).or_default() += 1;
}

/// Takes one away; whether it was there.
fn decrement(from: &mut BTreeMap<i64, u32>, key: i64) -> bool {
    let Some(n) = from.get_mut(&key) else { return false };
    *n -= 1;
    if *n == 0 {
        from.remove(&key);
    }
    true
}

impl SlidingDecile {
    /// Adds what was measured at `now`, and forgets what was measured before `from`. Times never go back.
    pub fn add(&mut self, now: u64, value: f64, from: u64) {
        let new = sort_key(value);
        self.all.push_back((now, value));
        // Equal values may stand on both sides: they are the same.
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

    /// The value that a tenth of the others lie below, or equal; none where there are none.
    pub fn lower_decile(&self) -> Option<f64> {
        self.high.first_key_value().map(|(key, _)| value_of_key(*key))
    }

    /// What is kept, oldest first, with when it was measured.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (u64, f64)> {
        self.all.iter().copied()
    }
}
