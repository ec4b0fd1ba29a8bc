//! Containers for decisions whose cost does not grow with what is held. They know of no message and of no rule.

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

/// The next number of a seed's, from 0 up to 1: splitmix64, after Steele, Lea and Flood (2014).
pub fn random_unit(seed: &mut u64) -> f64 {
    *seed = seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mut z = *seed;
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
