//! Digests of the first fifty seeded runs of a cluster.

use crate::faults::run_with_random_faults;
use quillmount_test_support::digest::{SEEDS, compare_with_file};
use std::path::Path;

#[test]
fn the_first_fifty_seeded_runs_give_the_same_counts() {
    let run = |seed: u64| {
        let (members, tolerated_failures) = if seed.is_multiple_of(4) { (6, 2) } else { (3, 1) };
        let world = run_with_random_faults(members, tolerated_failures, seed);
        let mut counts = world.counts;
        counts.set("messages_delivered", world.messages as u64);
        counts.set("syncs_completed", world.syncs as u64);
        counts.set("changes_acknowledged", world.acknowledged.len() as u64);
        counts.set("end_time_us", world.now);
        counts.line(seed)
    };
    let lines: String = SEEDS.map(run).collect();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests/cluster.txt");
    compare_with_file(&file, &lines);
}
