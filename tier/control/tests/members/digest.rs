//! Regression test: digests of the traces of the first fifty seeded runs are unchanged.

use crate::faults::run_seed;
use quillmount_test_support::digest::check_seeds;
use quillmount_test_support::simulation::Simulation;

#[test]
fn the_first_fifty_seeded_runs_give_the_same_counts() {
    check_seeds(env!("CARGO_MANIFEST_DIR"), "members.txt", |seed| {
        let world = run_seed(seed);
        let end_time = world.now();
        let mut counts = world.counts;
        counts.set("clear_answers", world.history.clear_answers() as u64);
        counts.set("versions", world.history.versions() as u64);
        counts.set("newest_version", world.history.newest_version());
        counts.set("end_time_us", end_time);
        counts
    });
}
