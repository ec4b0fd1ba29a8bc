//! Containers and estimators for decisions over many items, whose cost a decision grows with the logarithm of their number
//! at most. They know nothing of messages or policies: items are `u64` ids, times are `u64` in any unit that the caller
//! keeps to.
//!
//! The decision module keeps them in its state and the serving tier's window uses [`LatencyEstimate`]. They are part of
//! stored state: the order and the types of their fields stay.

mod age_groups;
mod indexed_queue;
mod latency_estimate;
mod sliding_decile;
mod timer_queue;

pub use age_groups::{AgeGroups, AgeSet, SCAN_ALL_UP_TO, breakpoints};
pub use indexed_queue::IndexedQueue;
pub use latency_estimate::LatencyEstimate;
pub use sliding_decile::{MAX_SAMPLES, SlidingDecile};
pub use timer_queue::{TimerQueue, remove_timed};

/// The next random number, from 0 (included) to 1 (excluded), of the generator whose state is `seed`.
///
/// SplitMix64: Steele, Lea and Flood, "Fast splittable pseudorandom number generators" (OOPSLA 2014).
pub fn random_unit(seed: &mut u64) -> f64 {
    *seed = seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mut mixed = *seed;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^= mixed >> 31;
    // The upper 53 bits: as many as the fraction of an f64 represents exactly.
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}
