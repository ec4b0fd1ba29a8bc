//! Whole tiers on loopback.

mod answers;
mod callers;
mod configurations;
mod endpoint;
mod first_start;
mod harness;
mod http;
mod interfaces;
mod isolation;
mod item_texts;
mod large_configuration;
mod late_copies;
mod metrics;
mod outdated_stores;
mod platform;
mod quorum;
mod renamed_routes;
mod repeated_jobs;
mod seeds;
mod soak;
mod stale;
mod stand_in;
mod stop;
mod terms;
mod whole_path;
