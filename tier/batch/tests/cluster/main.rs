//! Simulated stores of a shard on virtual time: kills, power losses, lost disks, failing disks, partitions and
//! freezes drawn by seed, and an auditor of everything that was acknowledged. `SEEDS=N` runs N seeds.

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

/// Number of seeds unless the environment variable `SEEDS` is set.
const DEFAULT_SEEDS: u64 = 150;

/// Runs the seeds and checks that enough operations were committed and enough reads were checked in them.
fn run_seeds(run_seed: fn(u64) -> RunSummary) {
    let count = seeds::count(DEFAULT_SEEDS);
    let runs = seeds::run_each(count, run_seed);
    let commits: usize = runs.iter().map(|run| run.commits).sum();
    let reads: usize = runs.iter().map(|run| run.reads).sum();
    println!("{count} runs: {commits} commits, {reads} reads");
    assert!(commits as u64 > 20 * count && reads as u64 > 20 * count, "{commits} commits, {reads} reads");
}

#[test]
fn random_faults_lose_nothing() {
    run_seeds(run_seed);
}

/// The same with a core of several members that decides the views, and faults at both stores and core.
#[test]
fn random_faults_at_stores_and_core_lose_nothing() {
    run_seeds(run_seed_with_core);
}

/// Each deliberate break of the replica's code is detected by the steps of one replica, by a scenario, or by a
/// seed.
#[cfg(feature = "breaks")]
#[test]
fn each_break_is_found() {
    use quillmount_batch::breaks;
    const MAX_SEED: u64 = 150;
    let fails = |run: &fn()| seeds::fails(run);
    let silenced = seeds::SilencedPanics::begin();
    let mut missed = Vec::new();
    for &enabled_break in breaks::ALL {
        breaks::set(Some(enabled_break));
        let steps = steps::ALL.iter().position(fails);
        let scenario = steps.is_none().then(|| scenarios::ALL.iter().position(fails)).flatten();
        let detected_by_named_run = steps.or(scenario).is_some();
        let failing_seed = if detected_by_named_run {
            None
        } else {
            seeds::first_failing(1..=MAX_SEED, |seed| _ = run_seed(seed))
        };
        breaks::set(None);
        println!("{enabled_break:?}: steps {steps:?}, scenario {scenario:?}, seed {failing_seed:?}");
        if !detected_by_named_run && failing_seed.is_none() {
            missed.push(enabled_break);
        }
    }
    drop(silenced);
    assert!(missed.is_empty(), "breaks that no run detected: {missed:?}");
}
