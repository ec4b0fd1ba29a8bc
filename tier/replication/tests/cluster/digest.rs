//! Digests of the first fifty seeded runs of a simulated cluster.

use crate::faults::run_with_random_faults;
use quillmount_test_support::digest::check_seeds;
use quillmount_test_support::simulation::Simulation;

#[test]
fn the_first_fifty_seeded_runs_give_the_same_counts() {
    check_seeds(env!("CARGO_MANIFEST_DIR"), "cluster.txt", |seed| {
        let (members, tolerated_failures) = if seed.is_multiple_of(4) { (6, 2) } else { (3, 1) };
        let world = run_with_random_faults(members, tolerated_failures, seed);
        let end_time = world.now();
        let mut counts = world.counts;
        counts.set("messages_delivered", world.messages as u64);
        counts.set("syncs_completed", world.syncs as u64);
        counts.set("changes_acknowledged", world.acknowledged.len() as u64);
        counts.set("end_time_us", end_time);
        counts
    });
}
