//! Digests of the first fifty seeded runs of a shard's stores, with a single authority for the views and with a
//! core of several members.

use crate::random_faults::{run_seed, run_seed_with_core};
use quillmount_test_support::digest::check_seeds;

#[test]
fn the_first_fifty_seeded_runs_give_the_same_counts() {
    check_seeds(env!("CARGO_MANIFEST_DIR"), "stores.txt", |seed| run_seed(seed).counts);
}

#[test]
fn the_first_fifty_seeded_runs_with_a_core_give_the_same_counts() {
    check_seeds(env!("CARGO_MANIFEST_DIR"), "stores_and_core.txt", |seed| run_seed_with_core(seed).counts);
}
