//! Stores of a shard on virtual time: kills, losses of power, lost disks, failing disks, partitions and freezes by seed, and an
//! auditor of what was acknowledged. `SEEDS=N` runs so many seeds.

mod actions;
mod audit;
mod clients;
mod core;
mod core_faults;
mod digest;
mod events;
mod exploration;
mod jobs;
mod planning;
mod random_faults;
mod recovery;
mod scenarios;
mod steps;
mod store;
mod world;

use quillmount_test_support::seeds;
use random_faults::{RunSummary, run_seed, run_seed_with_core};

/// Number of seeds unless `SEEDS` is set.
const DEFAULT_SEEDS: u64 = 150;

/// Runs so many seeds and checks that enough was committed and read in them.
fn run_seeds(run_seed: fn(u64) -> RunSummary) {
    let count = seeds::count(DEFAULT_SEEDS);
    let runs = seeds::run_each(count, run_seed);
    let commits: usize = runs.iter().map(|run| run.commits).sum();
    let reads: usize = runs.iter().map(|run| run.reads).sum();
    println!("{count} runs: {commits} commits, {reads} reads");
    assert!(commits as u64 > 20 * count && reads as u64 > 20 * count, "{commits} commits, {reads} reads");
}

#[test]
fn days_of_random_faults_lose_nothing() {
    run_seeds(run_seed);
}

/// The same with a core of real members between the stores and their views, and faults at both.
#[test]
fn days_of_random_faults_at_stores_and_core_lose_nothing() {
    run_seeds(run_seed_with_core);
}

/// Each deliberate break of the replica's code is found: by steps of one replica, by a scenario, or by one of some
/// seeds.
#[cfg(feature = "breaks")]
#[test]
fn each_break_is_found() {
    use quillmount_batch::breaks;
    const RUNS: u64 = 150;
    let fails = |run: &fn()| seeds::fails(run);
    let silenced = seeds::SilencedPanics::begin();
    let mut missed = Vec::new();
    for &broken in breaks::ALL {
        breaks::set(Some(broken));
        let steps = steps::ALL.iter().position(fails);
        let scenario = steps.is_none().then(|| scenarios::ALL.iter().position(fails)).flatten();
        let by_name = steps.or(scenario).is_some();
        let failing_seed =
            if by_name { None } else { seeds::first_failing(1..=RUNS, |seed| _ = run_seed(seed)) };
        breaks::set(None);
        println!("{broken:?}: steps {steps:?}, scenario {scenario:?}, seed {failing_seed:?}");
        if !by_name && failing_seed.is_none() {
            missed.push(broken);
        }
    }
    drop(silenced);
    assert!(missed.is_empty(), "not found: {missed:?}");
}
