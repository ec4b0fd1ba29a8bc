//! Whole tiers on loopback.

mod answers;
mod harness;
mod interfaces;
mod late_copies;
mod metrics;
mod outdated_stores;
mod quorum;
mod seeds;
mod soak;
mod stale;
mod stop;
mod terms;
mod whole_path;
