//! Settlements at couriers that lose messages, calls and each other: explored exhaustively in small cases, simulated in
//! large ones.
//!
//! The state machines are those of the fleet. The world around them is a model, which [`world`] describes.

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
use world::{AFTER, ProcessState, World};

#[test]
fn a_takeover_at_each_point_of_a_settlement_of_three() {
    explore_takeovers(ProcessState::Dead, REVERSED, 3);
}

#[test]
fn an_owner_paused_at_each_point_of_a_settlement_of_two() {
    explore_takeovers(ProcessState::Paused, &REVERSED[1..], 2);
}

/// It takes minutes: run by hand at each change of the state machines.
#[test]
#[ignore = "three minutes"]
fn an_owner_paused_at_each_point_of_a_settlement_of_three() {
    explore_takeovers(ProcessState::Paused, REVERSED, 3);
}

/// A draining owner leaves at a boundary where it can, and in the middle where it must; a call may break at each point.
#[test]
fn a_drain_and_a_fault_at_each_point_of_a_settlement_of_two() {
    for (mode_name, mode) in MODES {
        for (repeat_name, repeat) in REPEATS {
            let mut case = Case::new(mode, repeat, &REVERSED[1..], 2);
            (case.remaining.drains, case.remaining.faults) = (1, 1);
            let found = case.run(&format!("{mode_name}, {repeat_name}, drained, one fault"));
            assert!(found.violation.is_none());
            assert!(found.ends.contains_key(&Verdict::Closed { total: 2 }));
        }
    }
}

/// One connection may be pinned, and both settlements are half open at some time: each ends, whoever comes first.
#[test]
fn two_half_open_settlements_do_not_wait_for_each_other() {
    let mut case = Case::new(AFTER, Repeat::Never, &[], 2);
    case.world = World::new(1, BTreeMap::from([(DEST, AFTER)]), 2);
    let other = settlement("t", DEST);
    for id in [&case.id, &other] {
        case.world.plan(id, 2, Repeat::Never, LATE_DEADLINE);
    }
    case.remaining.submissions = [(1, &case.id), (1, &other), (2, &other), (2, &case.id)]
        .map(|(position, id)| Submission { to: 0, position, id: id.clone() })
        .into();
    case.remaining.faults = 1;
    let found = case.run("two settlements, one pin");
    assert!(found.violation.is_none());
    assert!(found.ends.contains_key(&Verdict::Closed { total: 2 }));
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
        totals.most_pending, totals.most_in_flight
    );
    assert_eq!(violation, None);
    assert!(totals.verdicts["closed"] > totals.settlements / 2);
}

#[test]
fn the_first_fifty_seeded_days_give_the_same_counts() {
    let day = |seed: u64| {
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
            ("most_pending", totals.most_pending as usize),
            ("most_in_flight", totals.most_in_flight),
        ];
        let mut counts = totals.counts;
        figures.into_iter().for_each(|(label, figure)| counts.set(label, figure as u64));
        counts.line(seed)
    };
    let lines: String = SEEDS.map(day).collect();
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests/settlement.txt");
    compare_with_file(&file, &lines);
}

/// Each deliberate break of the code is found, by the simulation or else by the exploration.
#[cfg(feature = "breaks")]
#[test]
fn each_deliberate_break_is_found() {
    use quillmount_fleet::settlement::breaks;
    let mut missed: Vec<breaks::Break> = Vec::new();
    for one in breaks::ALL {
        breaks::set(Some(*one));
        let (totals, mut violation) = simulate_fleets(250);
        let effort = format!("after {} settlements", totals.settlements);
        if violation.is_none() {
            let mut case = Case::new(AFTER, Repeat::Within(30_000_000), &REVERSED[1..], 2);
            (case.remaining.drains, case.remaining.faults) = (1, 1);
            let found = exploration::explore(case.world, case.remaining, &case.id, cases::MOST_STATES);
            violation = found.violation.map(|violation| violation.property);
        }
        breaks::set(None);
        println!("{one:?}: {effort}: {violation:?}");
        missed.extend(violation.is_none().then_some(*one));
    }
    assert!(missed.is_empty(), "{missed:?}");
}
