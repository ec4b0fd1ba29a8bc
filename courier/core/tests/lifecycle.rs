//! The lifecycle, checked in every state that is reachable by any sequence of inputs.

use quillmount_core::machine::Machine;
use quillmount_core::machine::drain;
use quillmount_core::machine::handover::{SenderInput, SenderOutput};
use quillmount_core::machine::lifecycle::{Lifecycle, LifecycleInput, LifecycleOutput};
use quillmount_policy::Micros;
use std::collections::{BTreeSet, HashSet};

/// All inputs, each at time 0 and at a time at which all timers are due.
fn inputs() -> Vec<(LifecycleInput, Micros)> {
    let all: Vec<LifecycleInput> = Lifecycle::inputs().into_iter().map(|example| example.value.0).collect();
    [0, 1_000_000]
        .into_iter()
        .flat_map(|now| all.clone().into_iter().map(move |input| (input, now)))
        .collect()
}

/// All states that are reachable by any sequence of inputs.
fn reachable() -> HashSet<Lifecycle> {
    let mut reached = HashSet::from([Lifecycle::default()]);
    let mut pending = vec![Lifecycle::default()];
    while let Some(lifecycle) = pending.pop() {
        for (input, now) in inputs() {
            let mut next = lifecycle;
            next.step(input, now);
            if reached.insert(next) {
                pending.push(next);
            }
        }
    }
    reached
}

/// All transitions: the state before, the input, the output and the state after.
fn steps() -> Vec<(Lifecycle, LifecycleInput, LifecycleOutput, Lifecycle)> {
    let step = |lifecycle: Lifecycle, (input, now)| {
        let mut next = lifecycle;
        let output = next.step(input, now);
        (lifecycle, input, output, next)
    };
    reachable()
        .into_iter()
        .flat_map(|lifecycle| inputs().into_iter().map(move |input| step(lifecycle, input)))
        .collect()
}

/// The lifecycle after these inputs, all applied at time 0.
fn lifecycle_after(inputs: &[LifecycleInput]) -> Lifecycle {
    let mut lifecycle = Lifecycle::default();
    for input in inputs {
        lifecycle.step(*input, 0);
    }
    lifecycle
}

#[test]
fn the_table_names_every_reachable_state() {
    let names: BTreeSet<_> = Lifecycle::states().into_iter().map(|example| example.name).collect();
    let kinds: BTreeSet<_> = reachable().iter().map(Machine::state).collect();
    assert_eq!(kinds, names);
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
        // Another process makes decisions only after this one has released the lock.
        let ends = lifecycle.has_ended() || output == LifecycleOutput::Handover(SenderOutput::Release);
        assert_eq!(next.has_ended(), ends, "{input:?}");
    }
}

#[test]
fn an_abandoned_handover_restores_the_state_before_it() {
    for before in
        reachable().into_iter().filter(|lifecycle| lifecycle.is_serving() && !lifecycle.is_releasing())
    {
        let mut requested = before;
        assert_eq!(
            requested.step(LifecycleInput::Handover(SenderInput::Requested), 0),
            LifecycleOutput::Handover(SenderOutput::Collect)
        );
        let mut frozen = requested;
        assert_eq!(
            frozen.step(LifecycleInput::Handover(SenderInput::Collected), 0),
            LifecycleOutput::Handover(SenderOutput::Send)
        );
        for sender in [requested, frozen] {
            for (input, now) in [(SenderInput::Lost, 0), (SenderInput::Tick, 1_000_000)] {
                let mut abandoned = sender;
                abandoned.step(LifecycleInput::Drain(drain::DrainInput::Drain), 0);
                abandoned.step(LifecycleInput::Drain(drain::DrainInput::Undrain), 0);
                assert_eq!(
                    abandoned.step(LifecycleInput::Handover(input), now),
                    LifecycleOutput::Handover(SenderOutput::ResumeParts)
                );
                assert_eq!(abandoned, before, "{input:?}");
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
        // The shutdown begins outside of a handover, or when the handover is abandoned.
        let begins = next.stopping_since().is_some() && lifecycle.stopping_since().is_none();
        let is_abandoned =
            output == LifecycleOutput::Handover(SenderOutput::ResumeParts) && lifecycle.stop_requested();
        assert_eq!(begins, output == LifecycleOutput::Stop || is_abandoned, "{lifecycle:?}, {input:?}");
    }
    // In any state of a handover, the timeout of the handover starts the shutdown: the process still holds the lock.
    let stop_requested = reachable()
        .into_iter()
        .filter(|lifecycle| lifecycle.stop_requested() && lifecycle.handover_deadline().is_some());
    let mut count = 0;
    for mut lifecycle in stop_requested {
        lifecycle.step(LifecycleInput::Handover(SenderInput::Tick), 2_000_000);
        assert!(lifecycle.stopping_since().is_some(), "{lifecycle:?}");
        count += 1;
    }
    assert!(count > 3);
    // The time of the shutdown is that of the first signal.
    let mut stopped =
        lifecycle_after(&[LifecycleInput::Serve, LifecycleInput::Handover(SenderInput::Requested)]);
    stopped.step(LifecycleInput::Stop, 5);
    stopped.step(LifecycleInput::Stop, 9);
    stopped.step(LifecycleInput::Handover(SenderInput::Tick), 2_000_000);
    assert_eq!(stopped.stopping_since(), Some(5));
    // A process that has released the lock has nothing to shut down, whether the signal arrived before or after.
    let mut frozen = lifecycle_after(&[
        LifecycleInput::Serve,
        LifecycleInput::Handover(SenderInput::Requested),
        LifecycleInput::Handover(SenderInput::Collected),
    ]);
    let mut stopped = frozen;
    stopped.step(LifecycleInput::Stop, 0);
    for lifecycle in [&mut frozen, &mut stopped] {
        assert_eq!(
            lifecycle.step(LifecycleInput::Handover(SenderInput::Received), 0),
            LifecycleOutput::Handover(SenderOutput::Release)
        );
        assert_eq!(lifecycle.stopping_since(), None);
    }
    assert_eq!((frozen.stop_requested(), stopped.stop_requested()), (false, true));
    assert_eq!(frozen.step(LifecycleInput::Stop, 9), LifecycleOutput::Exit);
}
