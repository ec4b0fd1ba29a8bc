//! Digests of the first fifty seeded runs of core members and their operators.

use crate::faults::run_seed;
use quillmount_test_support::digest::{SEEDS, compare_with_file};
use std::path::Path;

#[test]
fn the_first_fifty_seeded_runs_give_the_same_counts() {
    let run = |seed: u64| {
        let world = run_seed(seed);
        let mut counts = world.counts;
        counts.set("clear_answers", world.history.clear_answers() as u64);
        counts.set("versions", world.history.versions() as u64);
        counts.set("newest_version", world.history.newest_version());
        counts.set("end_time_us", world.now);
        counts.line(seed)
    };
    let lines: String = SEEDS.map(run).collect();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests/members.txt");
    compare_with_file(&file, &lines);
}
