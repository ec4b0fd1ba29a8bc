//! Whole tiers on loopback.

mod answers;
mod harness;
mod seeds;
mod whole_path;
