//! Containers and estimators for decisions over many items. The cost of one operation grows at most with the
//! logarithm of the number of items. They are independent of messages and policies: items are `u64` ids, and times
//! are `u64` in any unit that the caller uses consistently.
//!
//! They are part of the state of the courier's policy; the serving tier's latency window uses [`LatencyEstimate`].
//! Since that state is handed over between processes, the order and the types of their fields must not change.

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

/// Returns the next random number in [0, 1) of the generator with the state `state`, and advances the state.
///
/// SplitMix64: Steele, Lea and Flood, "Fast splittable pseudorandom number generators" (OOPSLA 2014).
pub fn random_unit(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mut mixed = *state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^= mixed >> 31;
    // Uses the upper 53 bits, since an f64 represents integers of up to 53 bits exactly.
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}
