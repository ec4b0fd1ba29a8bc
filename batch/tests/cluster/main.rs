//! Stores of a shard on virtual time: kills, losses of power, lost disks, failing disks, cuts and freezes by seed, and an
//! auditor of what was acknowledged. `SEEDS=N` plays so many days.

mod audit;
mod day;
mod scenarios;
mod world;

/// Days played where nothing else is asked for.
const SEEDS: u64 = 150;

fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

#[test]
fn days_of_mixed_faults_lose_nothing() {
    let (mut commits, mut reads, mut faults) = (0, 0, 0);
    for seed in 1..=seeds() {
        let day = std::panic::catch_unwind(|| day::play(seed));
        let day = day.unwrap_or_else(|_| panic!("the day of seed {seed}"));
        commits += day.commits;
        reads += day.reads;
        faults += day.faults;
    }
    println!("{} days: {faults} faults, {commits} commits, {reads} reads", seeds());
    assert!(commits as u64 > 20 * seeds() && reads as u64 > 20 * seeds(), "{commits} commits, {reads} reads");
}

/// Each deliberate break of the replica's code is found, by a day of a few hundred.
#[cfg(feature = "breaks")]
#[test]
fn each_break_is_found() {
    use quillmount_batch::breaks;
    const DAYS: u64 = 400;
    std::panic::set_hook(Box::new(|_| {}));
    let mut missed = Vec::new();
    for one in breaks::ALL {
        breaks::set(Some(one));
        let found = (1..=DAYS).find(|seed| std::panic::catch_unwind(|| day::play(*seed)).is_err());
        breaks::set(None);
        println!("{one:?}: found by seed {found:?}");
        if found.is_none() {
            missed.push(one);
        }
    }
    let _ = std::panic::take_hook();
    assert!(missed.is_empty(), "not found: {missed:?}");
}
