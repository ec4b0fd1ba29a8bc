//! Whole tiers on loopback.

mod answers;
mod harness;
mod seeds;
mod stop;
mod whole_path;
