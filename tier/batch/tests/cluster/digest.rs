//! Digests of the first fifty seeded days of a shard's stores, with one authority for the views and with a core of members.

use crate::random_faults::{RunSummary, run_seed, run_seed_with_core};
use quillmount_test_support::digest::{SEEDS, compare_with_file};
use std::path::Path;

fn compare(name: &str, run_seed: fn(u64) -> RunSummary) {
    let lines: String = SEEDS.map(|seed| run_seed(seed).counts.line(seed)).collect();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests").join(name);
    compare_with_file(&file, &lines);
}

#[test]
fn the_first_fifty_seeded_days_give_the_same_counts() {
    compare("stores.txt", run_seed);
}

#[test]
fn the_first_fifty_seeded_days_with_a_core_give_the_same_counts() {
    compare("stores_and_core.txt", run_seed_with_core);
}
