//! Whole tiers on loopback.

mod answers;
mod harness;
mod interfaces;
mod seeds;
mod stop;
mod whole_path;
