//! The distribution of tables in a large deployment, on virtual time: five members of the core, 250 couriers and 45 stores, all of
//! which poll the primary, over links of limited rate that messages of the core share with the answers to polls. `SEEDS=N` runs so
//! many seeds.

mod answers;
mod core_side;
mod fixtures;
mod link;
mod machine;
mod operator;
mod subscriber;
mod world;

use fixtures::FIRST_VERSION;
use quillmount_test_support::seeds;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};
use world::{Starts, World};

/// Seeds that are run unless `SEEDS` names another number.
const DEFAULT_SEEDS: u64 = 3;
/// Time after the acknowledgement in which a configuration has to be in force everywhere (`ApplyMs` of the large deployments).
const APPLY_LIMIT: Time = 3_000 * MILLI;
/// Time in which a change has to be acknowledged (`AckMs` of the large deployments).
const ACKNOWLEDGEMENT_LIMIT: Time = 6_000 * MILLI;
/// The same while nothing fails.
const CALM_ACKNOWLEDGEMENT_LIMIT: Time = SECOND;
/// Time in which all processes have started one after the other and have their tables.
const SETTLE_TIME: Time = 10 * SECOND;
/// Bound of the time, milliseconds, that is drawn and added to it: longer than a poll and a reading of the list.
const SETTLE_SPREAD_MS: u64 = 700;
/// Interval at which conditions are checked.
const CHECK_INTERVAL: Time = 10 * MILLI;

/// A deployment whose processes have started one after the other, and all have their tables.
fn settled(seed: u64) -> World {
    let mut world = World::new(seed, Starts::InTurn);
    let spread = world.random.below(SETTLE_SPREAD_MS) * MILLI;
    world.run(SETTLE_TIME + spread);
    assert!(world.all_have_tables(), "all processes have their first tables");
    assert_eq!(world.services.len(), 1, "one member serves: {:?}", world.elections);
    world
}

/// What was not as it has to be, with its figures.
#[derive(Default)]
struct Failures(Vec<String>);

impl Failures {
    fn expect(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            self.0.push(what());
        }
    }

    /// Checks when a change was acknowledged and in force.
    fn expect_change(&mut self, world: &World, change: usize, acknowledgement_limit: Time) {
        let change = &world.changes[change];
        let seconds = |time: Time| time as f64 / SECOND as f64;
        let version = change.version;
        let Some(acknowledged_at) = change.acknowledged_at else {
            return self.expect(false, || format!("change {version} was not acknowledged"));
        };
        let took = acknowledged_at - change.submitted_at;
        self.expect(took <= acknowledgement_limit, || {
            format!("change {version} was acknowledged after {:.3} s", seconds(took))
        });
        let Some(in_force_at) = change.in_force_at else {
            return self.expect(false, || format!("change {version} was not in force everywhere"));
        };
        let took = in_force_at.saturating_sub(acknowledged_at);
        self.expect(took <= APPLY_LIMIT, || {
            format!("change {version} was in force everywhere {:.3} s after that", seconds(took))
        });
    }

    fn expect_no_election_after(&mut self, world: &World, time: Time) {
        let elections = world.elections_after(time);
        self.expect(elections.is_empty(), || {
            let after: Vec<f64> =
                elections.iter().map(|election| (election.at - time) as f64 / SECOND as f64).collect();
            format!("number of elections {}, after {after:.3?} s", after.len())
        });
    }
}

/// Runs the seeds of a test, and fails with what was not as it has to be, of all of them.
#[track_caller]
fn check_each_seed(run: fn(u64) -> Failures) {
    let outcomes = seeds::run_each(seeds::count(DEFAULT_SEEDS), run);
    let failed = (1..).zip(&outcomes).filter(|(_, failures)| !failures.0.is_empty());
    let failed: Vec<String> =
        failed.map(|(seed, failures): (u64, _)| format!("seed {seed}: {}", failures.0.join("; "))).collect();
    assert!(failed.is_empty(), "{} of {} seeds failed\n{}", failed.len(), outcomes.len(), failed.join("\n"));
}

fn make_changes(seed: u64) -> Failures {
    const CHANGES: u64 = 3;
    const DISTANCE: Time = 2 * SECOND;
    let mut world = settled(seed);
    let began = world.now();
    for number in 1..=CHANGES {
        world.submit_change(FIRST_VERSION + number);
        world.run(DISTANCE);
    }
    world.run(CALM_ACKNOWLEDGEMENT_LIMIT + APPLY_LIMIT - DISTANCE);
    let mut failures = Failures::default();
    failures.expect_no_election_after(&world, began);
    for change in 0..world.changes.len() {
        failures.expect_change(&world, change, CALM_ACKNOWLEDGEMENT_LIMIT);
    }
    failures
}

#[test]
fn a_change_that_goes_to_hundreds_of_processes_costs_the_primary_no_election() {
    check_each_seed(make_changes);
}

fn kill_primary(seed: u64) -> Failures {
    const ELECTION_LIMIT: Time = 5 * SECOND;
    const QUIET: Time = 10 * SECOND;
    const CHANGE_AFTER: Time = 2 * SECOND;
    let mut world = settled(seed);
    let killed = world.primary().expect("a primary");
    world.kill(killed);
    let is_elected = world.run_until(CHECK_INTERVAL, ELECTION_LIMIT, |world| world.primary().is_some());
    assert!(is_elected, "seed {seed}: no primary for {ELECTION_LIMIT} µs");
    let elected_at = world.services[1].at;
    world.run(CHANGE_AFTER);
    let change = world.submit_change(FIRST_VERSION + 1);
    world.run(QUIET - CHANGE_AFTER);
    let mut failures = Failures::default();
    failures.expect_no_election_after(&world, elected_at);
    world.run((CHANGE_AFTER + ACKNOWLEDGEMENT_LIMIT + APPLY_LIMIT).saturating_sub(QUIET));
    failures.expect_change(&world, change, ACKNOWLEDGEMENT_LIMIT);
    failures
}

#[test]
fn an_election_among_hundreds_of_processes_is_followed_by_no_other() {
    check_each_seed(kill_primary);
}

fn start_at_once(seed: u64) -> Failures {
    const ELECTION_LIMIT: Time = 5 * SECOND;
    const TABLES_LIMIT: Time = 5 * SECOND;
    let mut world = World::new(seed, Starts::AtOnce);
    let is_elected = world.run_until(CHECK_INTERVAL, ELECTION_LIMIT, |world| world.primary().is_some());
    assert!(is_elected, "seed {seed}: no primary for {ELECTION_LIMIT} µs");
    let elected_at = world.services[0].at;
    world.run(TABLES_LIMIT);
    let mut failures = Failures::default();
    failures.expect_no_election_after(&world, elected_at);
    failures.expect(world.all_have_tables(), || {
        let complete = world.subscribers().iter().filter(|machine| machine.has_all_tables()).count();
        format!("{complete} of {} processes have their tables", world.subscribers().len())
    });
    failures
}

#[test]
fn hundreds_of_processes_that_start_at_once_get_their_tables_without_an_election() {
    check_each_seed(start_at_once);
}

#[cfg(feature = "breaks")]
#[test]
fn tables_that_fill_the_link_are_found() {
    use quillmount_control::breaks::{Break, set};
    set(Some(Break::TablesUnpaced));
    let has_election = |failure: &String| failure.starts_with("number of elections");
    let found = (1..=DEFAULT_SEEDS).find(|seed| start_at_once(*seed).0.iter().any(has_election));
    set(None);
    assert!(found.is_some(), "TablesUnpaced is not found");
}
