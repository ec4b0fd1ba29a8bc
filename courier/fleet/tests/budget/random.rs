//! The seeded random number generator of the simulated fleet.

/// The SplitMix64 generator, which gives the same sequence for the same seed.
pub struct SplitMix64(pub u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// Returns a number from `from` to `to`, both included.
    pub fn within(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from + 1)
    }

    /// Returns true with a probability of `percent`.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
