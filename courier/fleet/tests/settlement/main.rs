//! Tests of settlements under lost messages, failed calls and lost couriers. Small cases are explored exhaustively,
//! and large ones are simulated.
//!
//! The tests use the state machines of the fleet. Their environment is a model, which [`world`] describes.

mod cases;
mod clients;
mod event;
mod exploration;
mod incidents;
mod invariants;
mod lifecycle;
mod partner;
mod simulation;
mod world;

use cases::{Case, DEST, LATE_DEADLINE, MODES, REPEATS, REVERSED, explore_takeovers, settlement};
use exploration::Submission;
use quillmount_fleet::settlement::{Repeat, Verdict};
use quillmount_test_support::digest::{SEEDS, compare_with_file};
use simulation::{SETTLEMENTS, Totals, simulate, simulate_fleets};
use std::collections::BTreeMap;
use world::{ProcessState, RESUME_AFTER_ANSWER, World};

#[test]
fn a_takeover_at_each_point_of_a_settlement_of_three() {
    explore_takeovers(ProcessState::Dead, REVERSED, 3);
}

#[test]
fn an_owner_paused_at_each_point_of_a_settlement_of_two() {
    explore_takeovers(ProcessState::Paused, &REVERSED[1..], 2);
}

/// This test takes minutes: run it manually after each change of the state machines.
#[test]
#[ignore = "takes three minutes"]
fn an_owner_paused_at_each_point_of_a_settlement_of_three() {
    explore_takeovers(ProcessState::Paused, REVERSED, 3);
}

/// A draining owner moves a settlement at a boundary if possible, and otherwise after the graceful phase. A call
/// may fail at each point.
#[test]
fn a_drain_and_a_fault_at_each_point_of_a_settlement_of_two() {
    for (mode_name, mode) in MODES {
        for (repeat_name, repeat) in REPEATS {
            let mut case = Case::new(mode, repeat, &REVERSED[1..], 2);
            (case.remaining.drains, case.remaining.faults) = (1, 1);
            let explored = case.run(&format!("{mode_name}, {repeat_name}, drained, one fault"));
            assert!(explored.violation.is_none());
            assert!(explored.verdict_counts.contains_key(&Verdict::Closed { total: 2 }));
        }
    }
}

/// Guards against a deadlock: only one connection may be pinned, and both settlements are partly submitted at some
/// time. Both must end in every order of their requests.
#[test]
fn two_half_open_settlements_do_not_wait_for_each_other() {
    let mut case = Case::new(RESUME_AFTER_ANSWER, Repeat::Never, &[], 2);
    case.world = World::new(1, BTreeMap::from([(DEST, RESUME_AFTER_ANSWER)]), 2);
    let other = settlement("t", DEST);
    for id in [&case.id, &other] {
        case.world.plan(id, 2, Repeat::Never, LATE_DEADLINE);
    }
    case.remaining.submissions = [(1, &case.id), (1, &other), (2, &other), (2, &case.id)]
        .map(|(position, id)| Submission { to: 0, position, id: id.clone() })
        .into();
    case.remaining.faults = 1;
    let explored = case.run("two settlements, one pin");
    assert!(explored.violation.is_none());
    assert!(explored.verdict_counts.contains_key(&Verdict::Closed { total: 2 }));
}

#[test]
fn ten_thousand_settlements_under_faults() {
    let (totals, violation) = simulate_fleets(10_000 / SETTLEMENTS);
    println!("{} settlements, {} losses, {} drains", totals.settlements, totals.losses, totals.drains);
    for (verdict, count) in &totals.verdicts {
        println!("{verdict}: {count} ({:.2}%)", 100.0 * *count as f64 / totals.settlements as f64);
    }
    println!(
        "at most {} messages pending at an owner, {} in flight",
        totals.max_pending, totals.max_in_flight
    );
    assert_eq!(violation, None);
    assert!(totals.verdicts["closed"] > totals.settlements / 2);
}

#[test]
fn the_first_fifty_seeds_give_the_same_counts() {
    let line_of_seed = |seed: u64| {
        let mut totals = Totals::default();
        assert_eq!(simulate(seed, &mut totals), None);
        let verdicts = |kind: &str| -> usize {
            let of_kind = totals.verdicts.iter().filter(|(verdict, _)| verdict.starts_with(kind));
            of_kind.map(|(_, count)| count).sum()
        };
        let figures = [
            ("settlements", totals.settlements),
            ("settlements_closed", verdicts("closed")),
            ("settlements_broken", verdicts("broken")),
            ("settlements_never_opened", verdicts("never opened")),
            ("kinds_of_verdicts", totals.verdicts.len()),
            ("couriers_lost", totals.losses),
            ("couriers_drained", totals.drains),
            ("most_pending", totals.max_pending as usize),
            ("most_in_flight", totals.max_in_flight),
        ];
        let mut counts = totals.counts;
        figures.into_iter().for_each(|(label, figure)| counts.set(label, figure as u64));
        counts.line(seed)
    };
    let lines: String = SEEDS.map(line_of_seed).collect();
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests/settlement.txt");
    compare_with_file(&file, &lines);
}

/// Each deliberate fault is detected by the simulation or else by the exploration.
#[cfg(feature = "breaks")]
#[test]
fn each_deliberate_break_is_found() {
    use quillmount_fleet::settlement::breaks;
    let mut undetected: Vec<breaks::Break> = Vec::new();
    for fault in breaks::ALL {
        breaks::set(Some(*fault));
        let (totals, mut violation) = simulate_fleets(250);
        let effort = format!("after {} settlements", totals.settlements);
        if violation.is_none() {
            let mut case = Case::new(RESUME_AFTER_ANSWER, Repeat::Within(30_000_000), &REVERSED[1..], 2);
            (case.remaining.drains, case.remaining.faults) = (1, 1);
            let explored = exploration::explore(case.world, case.remaining, &case.id, cases::MAX_STATES);
            violation = explored.violation.map(|violation| violation.property);
        }
        breaks::set(None);
        println!("{fault:?}: {effort}: {violation:?}");
        undetected.extend(violation.is_none().then_some(*fault));
    }
    assert!(undetected.is_empty(), "{undetected:?}");
}
