//! The lifecycle, in each state that any order of inputs leads to.

use quillmount_core::machine::Machine;
use quillmount_core::machine::drain;
use quillmount_core::machine::handover::{SenderInput, SenderOutput};
use quillmount_core::machine::lifecycle::{Lifecycle, LifecycleInput, LifecycleOutput};
use quillmount_policy::Micros;
use std::collections::{BTreeSet, HashSet};

/// All inputs, each at time 0 and after all times that a state waits for.
fn inputs() -> Vec<(LifecycleInput, Micros)> {
    let all: Vec<LifecycleInput> = Lifecycle::inputs().into_iter().map(|example| example.value.0).collect();
    [0, 1_000_000].into_iter().flat_map(|now| all.clone().into_iter().map(move |one| (one, now))).collect()
}

/// Each state that any order of inputs leads to.
fn reachable() -> HashSet<Lifecycle> {
    let mut known = HashSet::from([Lifecycle::default()]);
    let mut fresh = vec![Lifecycle::default()];
    while let Some(lifecycle) = fresh.pop() {
        for (input, now) in inputs() {
            let mut next = lifecycle;
            next.step(input, now);
            if known.insert(next) {
                fresh.push(next);
            }
        }
    }
    known
}

/// For each state and input: the state before, the input, the output, the state after.
fn steps() -> Vec<(Lifecycle, LifecycleInput, LifecycleOutput, Lifecycle)> {
    let step = |lifecycle: Lifecycle, (input, now)| {
        let mut next = lifecycle;
        let output = next.step(input, now);
        (lifecycle, input, output, next)
    };
    reachable()
        .into_iter()
        .flat_map(|lifecycle| inputs().into_iter().map(move |one| step(lifecycle, one)))
        .collect()
}

/// The state that these inputs lead to, all of them at one time.
fn after(inputs: &[LifecycleInput]) -> Lifecycle {
    let mut lifecycle = Lifecycle::default();
    for input in inputs {
        lifecycle.step(*input, 0);
    }
    lifecycle
}

#[test]
fn the_table_names_every_reachable_state() {
    let named: BTreeSet<_> = Lifecycle::states().into_iter().map(|example| example.name).collect();
    let kinds: BTreeSet<_> = reachable().iter().map(Machine::state).collect();
    assert_eq!(kinds, named);
    assert!(Lifecycle::states().iter().all(|example| example.name == example.value.state()));
}

#[test]
fn the_ended_state_is_final() {
    for (lifecycle, input, output, next) in
        steps().into_iter().filter(|(lifecycle, ..)| lifecycle.has_ended())
    {
        let done =
            [LifecycleOutput::Nothing, LifecycleOutput::Exit, LifecycleOutput::Handover(SenderOutput::Busy)];
        assert!(next.has_ended() && done.contains(&output), "{input:?}: {output:?}");
        assert_eq!((next.is_drained(), next.drain_check_at()), (lifecycle.is_drained(), None));
    }
}

#[test]
fn nothing_is_decided_while_it_is_frozen() {
    for (lifecycle, input, output, next) in
        steps().into_iter().filter(|(lifecycle, ..)| lifecycle.is_frozen())
    {
        let decided = matches!(
            output,
            LifecycleOutput::Stop
                | LifecycleOutput::Drain(
                    drain::DrainOutput::CloseAfterAnswers | drain::DrainOutput::KeepConnections
                )
        );
        assert!(
            !decided
                && !matches!(output, LifecycleOutput::Handover(SenderOutput::Collect | SenderOutput::Send))
        );
        assert_eq!(next.is_drained(), lifecycle.is_drained(), "{input:?}");
        // Another process decides only after this one has released the lock.
        let goes = lifecycle.has_ended() || output == LifecycleOutput::Handover(SenderOutput::Release);
        assert_eq!(next.has_ended(), goes, "{input:?}");
    }
}

#[test]
fn an_abandoned_handover_restores_the_state_before_it() {
    for before in
        reachable().into_iter().filter(|lifecycle| lifecycle.is_serving() && !lifecycle.is_releasing())
    {
        let mut asked = before;
        assert_eq!(
            asked.step(LifecycleInput::Handover(SenderInput::Requested), 0),
            LifecycleOutput::Handover(SenderOutput::Collect)
        );
        let mut frozen = asked;
        assert_eq!(
            frozen.step(LifecycleInput::Handover(SenderInput::Collected), 0),
            LifecycleOutput::Handover(SenderOutput::Send)
        );
        for given in [asked, frozen] {
            for (input, now) in [(SenderInput::Lost, 0), (SenderInput::Tick, 1_000_000)] {
                let mut back = given;
                back.step(LifecycleInput::Drain(drain::DrainInput::Drain), 0);
                back.step(LifecycleInput::Drain(drain::DrainInput::Undrain), 0);
                assert_eq!(
                    back.step(LifecycleInput::Handover(input), now),
                    LifecycleOutput::Handover(SenderOutput::ResumeParts)
                );
                assert_eq!(back, before, "{input:?}");
            }
        }
    }
}

#[test]
fn a_stop_during_a_handover_waits_for_its_end_and_is_not_lost() {
    for (lifecycle, input, output, next) in steps() {
        assert!(!lifecycle.stop_requested() || next.stop_requested(), "{lifecycle:?}, {input:?}");
        assert!(!next.stop_requested() || !next.accepts_clients(), "{lifecycle:?}, {input:?}");
        assert!(!next.stop_requested() || next.is_releasing() || next.stopping_since().is_some(), "{next:?}");
        // It begins from a state without a handover, or as the handover is taken back.
        let begins = next.stopping_since().is_some() && lifecycle.stopping_since().is_none();
        let back =
            output == LifecycleOutput::Handover(SenderOutput::ResumeParts) && lifecycle.stop_requested();
        assert_eq!(begins, output == LifecycleOutput::Stop || back, "{lifecycle:?}, {input:?}");
    }
    // In any state of a handover its time-out decides: the process that has the lock shuts down as planned.
    let told = reachable()
        .into_iter()
        .filter(|lifecycle| lifecycle.stop_requested() && lifecycle.handover_deadline().is_some());
    let mut all = 0;
    for mut lifecycle in told {
        lifecycle.step(LifecycleInput::Handover(SenderInput::Tick), 2_000_000);
        assert!(lifecycle.stopping_since().is_some(), "{lifecycle:?}");
        all += 1;
    }
    assert!(all > 3);
    // It counts from the first signal, whatever follows.
    let mut told = after(&[LifecycleInput::Serve, LifecycleInput::Handover(SenderInput::Requested)]);
    told.step(LifecycleInput::Stop, 5);
    told.step(LifecycleInput::Stop, 9);
    told.step(LifecycleInput::Handover(SenderInput::Tick), 2_000_000);
    assert_eq!(told.stopping_since(), Some(5));
    // A process that has released the lock has nothing to shut down, whether the signal arrived before or after.
    let mut gone = after(&[
        LifecycleInput::Serve,
        LifecycleInput::Handover(SenderInput::Requested),
        LifecycleInput::Handover(SenderInput::Collected),
    ]);
    let mut told = gone;
    told.step(LifecycleInput::Stop, 0);
    for lifecycle in [&mut gone, &mut told] {
        assert_eq!(
            lifecycle.step(LifecycleInput::Handover(SenderInput::Received), 0),
            LifecycleOutput::Handover(SenderOutput::Release)
        );
        assert_eq!(lifecycle.stopping_since(), None);
    }
    assert_eq!((gone.stop_requested(), told.stop_requested()), (false, true));
    assert_eq!(gone.step(LifecycleInput::Stop, 9), LifecycleOutput::Exit);
}
