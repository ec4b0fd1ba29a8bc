//! Exhaustive exploration: injects every fault at every step of a small fleet. The members run their real code on a
//! virtual clock. A model replaces the replicated log: a majority commits commands in one order, and each member
//! applies them at its own pace. `docs/exploration.md` lists what the model omits.

mod checks;
mod effects;
mod faults;
mod model_log;
mod process;
mod scenario;
mod search;
mod world;

use faults::{Fault, Restart};
use quillmount_test_support::digest::{Counts, compare_with_file};
use scenario::{Scenario, any_fault, scenarios};
use search::{Count, Path, assert_no_violation, explore};
use world::World;
#[cfg(feature = "breaks")]
use {
    scenario::{LEASE, MS},
    search::{Break, replay, search},
};

#[test]
fn no_single_fault_breaks_a_takeover() {
    assert_no_violation(&scenarios(1, any_fault));
}

/// Explores each scenario with every single fault. The numbers of paths, of steps and of states after a fault must not
/// change.
#[test]
fn each_case_with_one_fault_gives_the_same_counts() {
    let explored = |(index, scenario): (usize, &Scenario)| {
        let count = Count::default();
        assert_eq!(explore(World::new(scenario), 1, &mut Path::new(), &count), None, "{}", scenario.name);
        let mut counts = Counts::default();
        counts.set("paths", count.paths.into_inner());
        counts.set("steps", count.steps.into_inner());
        counts.set("states_after_a_fault", count.states.into_inner());
        counts.line(index as u64)
    };
    let lines: String = scenarios(1, any_fault).iter().enumerate().map(explored).collect();
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests/takeover.txt");
    compare_with_file(&file, &lines);
}

/// Regression test for pairs of faults that violated a property in the past: a restarted replica, a replica that was
/// lost without its owner's knowledge, and a process that was registered twice.
#[test]
fn pairs_found_by_earlier_searches_pass() {
    let pairs: [fn(&Fault) -> bool; 3] = [
        |f| matches!(f, Fault::CutLink(0, 1) | Fault::Kill(0, 0, Restart::WithinLease)),
        |f| matches!(f, Fault::CutLink(0, 1) | Fault::Kill(2, _, Restart::WithinLeaseEmpty)),
        |f| matches!(f, Fault::PauseApply(1) | Fault::Kill(1, 0, Restart::WithinLease)),
    ];
    assert_no_violation(&pairs.map(|only| scenarios(2, only).remove(0)));
}

/// Explores all pairs of faults, each at every step. The second fault occurs during the takeover that the first one
/// causes.
#[test]
#[ignore = "five minutes in a release build"]
fn no_two_faults_break_a_takeover() {
    assert_no_violation(&scenarios(2, any_fault));
}

/// Explores pairs of the faults with the largest effect: lost processes and paused ones.
#[cfg(not(debug_assertions))]
#[test]
fn no_two_process_losses_break_a_takeover() {
    let is_far_reaching = |f: &Fault| {
        matches!(
            f,
            Fault::Kill(_, _, Restart::AfterLease | Restart::WithinLeaseEmpty)
                | Fault::Pause(_)
                | Fault::PauseApply(_)
        )
    };
    assert_no_violation(&scenarios(2, is_far_reaching)[..2]);
}

/// The exploration finds each deliberate bug by the named property, and the same path violates no property without
/// the bug.
#[cfg(feature = "breaks")]
#[test]
fn every_break_is_found() {
    let scenario = |owner, replicas, faults, fault_filter| Scenario {
        name: "break",
        owner,
        replicas,
        messages: vec![(1, true, 0)],
        call_duration: 5 * MS,
        faults,
        fault_filter,
    };
    let is_kill = |f: &Fault| matches!(f, Fault::Kill(_, _, Restart::AfterLeaseEmpty));
    // The second message is submitted after the lease has expired, while the leader's messages are lost.
    let late_messages = vec![(1, true, 0), (2, true, LEASE * 2)];
    let all = [
        (Break::ReplicatedAtOnce, "recorded:", scenario(1, 1, 1, is_kill)),
        (
            Break::LeaseIgnored,
            "lease:",
            Scenario { messages: late_messages, ..scenario(2, 1, 1, |f| matches!(f, Fault::CutLink(0, 2))) },
        ),
        (Break::NoGrace, "lease:", scenario(1, 1, 1, |f| matches!(f, Fault::DeposeLeader))),
        // Both the owner and one of its two replicas are lost.
        (
            Break::EmptyReplicaTrusted,
            "replica:",
            scenario(1, 2, 2, |f| {
                matches!(
                    f,
                    Fault::Kill(1, 0, Restart::AfterHealing) | Fault::Kill(0, 0, Restart::WithinLeaseEmpty)
                )
            }),
        ),
        // The adopting courier is killed between its call and the commit of the adoption.
        (
            Break::AdoptedAtOnce,
            "once: adoption:",
            scenario(1, 1, 2, |f| {
                matches!(f, Fault::Kill(1, _, Restart::AfterHealing) | Fault::Kill(0, 0, _))
            }),
        ),
        // The courier with the replica has not applied the owner's deregistration yet. The replica has been read for a
        // takeover, and then a delayed append arrives.
        (
            Break::SealIgnored,
            "sealed:",
            scenario(2, 1, 3, |f| {
                matches!(
                    f,
                    Fault::Kill(2, _, Restart::AfterHealing) | Fault::DelayMessage | Fault::PauseApply(1)
                )
            }),
        ),
    ];
    for (broken, property, scenario) in all {
        let found = search(&scenario, Some(broken));
        assert!(
            found
                .as_ref()
                .is_some_and(|(violation, _)| property.split(' ').any(|p| violation.starts_with(p))),
            "{broken:?}: {found:?}"
        );
        let (_, path) = found.unwrap();
        assert_eq!(replay(&scenario, &path), None, "{broken:?}: the same path without the bug");
    }
}
