//! A small generator of numbers, so that a seed always gives the same run.

#![allow(dead_code)]

/// A linear congruential generator (the multiplier and increment of Knuth's MMIX); its upper bits are used.
pub struct Random(pub u64);

impl Random {
    /// A number below `below`.
    pub fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below.max(1)
    }

    /// True in so many of a hundred cases.
    pub fn chance(&mut self, of_hundred: u64) -> bool {
        self.next(100) < of_hundred
    }
}
