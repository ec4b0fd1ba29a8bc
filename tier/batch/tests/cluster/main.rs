//! Stores of a shard on virtual time: kills, losses of power, lost disks, failing disks, partitions and freezes by seed, and an
//! auditor of what was acknowledged. `SEEDS=N` runs so many seeds.

mod actions;
mod audit;
mod clients;
mod core;
mod digest;
mod events;
mod exploration;
#[path = "../random/mod.rs"]
mod random;
mod random_faults;
mod scenarios;
mod steps;
mod world;

/// Number of seeds unless `SEEDS` is set.
const SEEDS: u64 = 150;

fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

#[test]
fn days_of_random_faults_lose_nothing() {
    let (mut commits, mut reads, mut faults) = (0, 0, 0);
    for seed in 1..=seeds() {
        let run = std::panic::catch_unwind(|| random_faults::run_seed(seed));
        let run = run.unwrap_or_else(|_| panic!("the day of seed {seed}"));
        commits += run.commits;
        reads += run.reads;
        faults += run.faults;
    }
    println!("{} days: {faults} faults, {commits} commits, {reads} reads", seeds());
    assert!(commits as u64 > 20 * seeds() && reads as u64 > 20 * seeds(), "{commits} commits, {reads} reads");
}

/// The same with a core of real members between the stores and their views, and faults at both.
#[test]
fn days_of_random_faults_at_stores_and_core_lose_nothing() {
    let (mut commits, mut reads) = (0, 0);
    for seed in 1..=seeds() {
        let run = std::panic::catch_unwind(|| random_faults::run_seed_with_core(seed));
        let run = run.unwrap_or_else(|_| panic!("the day of seed {seed}"));
        commits += run.commits;
        reads += run.reads;
    }
    println!("{} days: {commits} commits, {reads} reads", seeds());
    assert!(commits as u64 > 20 * seeds() && reads as u64 > 20 * seeds(), "{commits} commits, {reads} reads");
}

/// Each deliberate break of the replica's code is found: by steps of one replica, by a run by name, or by one of some days.
#[cfg(feature = "breaks")]
#[test]
fn each_break_is_found() {
    use quillmount_batch::breaks;
    const RUNS: u64 = 150;
    let fails = |run: &fn()| std::panic::catch_unwind(run).is_err();
    std::panic::set_hook(Box::new(|_| {}));
    let mut missed = Vec::new();
    for broken in breaks::ALL {
        breaks::set(Some(broken));
        let steps = steps::ALL.iter().position(fails);
        let scenario = steps.is_none().then(|| scenarios::ALL.iter().position(fails)).flatten();
        let by_name = steps.or(scenario).is_some();
        let failing_seed =
            || (1..=RUNS).find(|seed| std::panic::catch_unwind(|| random_faults::run_seed(*seed)).is_err());
        let failing_seed = if by_name { None } else { failing_seed() };
        breaks::set(None);
        println!("{broken:?}: steps {steps:?}, run by name {scenario:?}, day {failing_seed:?}");
        if !by_name && failing_seed.is_none() {
            missed.push(broken);
        }
    }
    let _ = std::panic::take_hook();
    assert!(missed.is_empty(), "not found: {missed:?}");
}
