//! A random source for tests: the same seed always gives the same sequence of draws.

/// The multiplier of the linear congruential generator, as in Knuth's MMIX.
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
/// The increment of the same generator.
const INCREMENT: u64 = 1_442_695_040_888_963_407;
/// Low bits of the generator's state that are left out of a draw, as they repeat after a short time.
const DISCARDED_BITS: u32 = 33;
/// 2^64 divided by the golden ratio, odd: products with it differ in many bits for seeds that follow each other.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A linear congruential generator.
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// A source that starts with the seed itself. The first draws of neighbouring seeds are close to each other.
    #[must_use]
    pub const fn new(seed: u64) -> Random {
        Random { state: seed }
    }

    /// A source whose first draws differ also between neighbouring seeds.
    #[must_use]
    pub const fn from_mixed_seed(seed: u64) -> Random {
        Random { state: seed.wrapping_mul(SEED_MULTIPLIER) ^ seed }
    }

    /// Draws a number below the bound; a bound of 0 counts as 1. A draw has 31 bits, so that larger bounds are not reached.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.state = self.state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        (self.state >> DISCARDED_BITS) % bound.max(1)
    }

    /// Draws whether something happens that has this probability, in percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Draws the index of an item of a collection of this length.
    pub fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }
}
