//! A courier's life: each state that any order of inputs leads to.

use quillmount_core::machine::Machine;
use quillmount_core::machine::drain;
use quillmount_core::machine::handover::{GiverInput, GiverOutput};
use quillmount_core::machine::life::{Input, Life, Output};
use spurshore::Micros;
use std::collections::{BTreeSet, HashSet};

/// All that can happen, each at once and after all that is waited for.
fn inputs() -> Vec<(Input, Micros)> {
    let all: Vec<Input> = Life::inputs().into_iter().map(|(.., (input, _))| input).collect();
    [0, 1_000_000].into_iter().flat_map(|now| all.clone().into_iter().map(move |one| (one, now))).collect()
}

/// Each life that any order of inputs leads to.
fn lives() -> HashSet<Life> {
    let mut known = HashSet::from([Life::default()]);
    let mut fresh = vec![Life::default()];
    while let Some(life) = fresh.pop() {
        for (input, now) in inputs() {
            let mut next = life;
            next.step(input, now);
            if known.insert(next) {
                fresh.push(next);
            }
        }
    }
    known
}

/// For each life and input: the life before, the input, what is to be done, the life after.
fn steps() -> Vec<(Life, Input, Output, Life)> {
    let step = |life: Life, (input, now)| {
        let mut next = life;
        let output = next.step(input, now);
        (life, input, output, next)
    };
    lives().into_iter().flat_map(|life| inputs().into_iter().map(move |one| step(life, one))).collect()
}

/// A life that these inputs lead to, all of them at one moment.
fn after(inputs: &[Input]) -> Life {
    let mut life = Life::default();
    for input in inputs {
        life.step(*input, 0);
    }
    life
}

#[test]
fn the_table_names_every_kind_of_life_that_can_be() {
    let named: BTreeSet<_> = Life::states().into_iter().map(|(name, ..)| name).collect();
    let kinds: BTreeSet<_> = lives().iter().map(Machine::state).collect();
    assert_eq!(kinds, named);
    assert!(Life::states().iter().all(|(name, _, life)| *name == life.state()));
}

#[test]
fn an_end_is_for_good() {
    for (life, input, output, next) in steps().into_iter().filter(|(life, ..)| life.has_ended()) {
        let done = [Output::Nothing, Output::Leave, Output::Give(GiverOutput::Busy)];
        assert!(next.has_ended() && done.contains(&output), "{input:?}: {output:?}");
        assert_eq!((next.is_drained(), next.look_at()), (life.is_drained(), None));
    }
}

#[test]
fn nothing_is_decided_while_it_is_frozen() {
    for (life, input, output, next) in steps().into_iter().filter(|(life, ..)| life.is_frozen()) {
        let decided =
            matches!(output, Output::Stop | Output::Drain(drain::Output::LastAnswers | drain::Output::Keep));
        assert!(!decided && !matches!(output, Output::Give(GiverOutput::Collect | GiverOutput::Send)));
        assert_eq!(next.is_drained(), life.is_drained(), "{input:?}");
        // Another process decides only once this one has let go.
        let goes = life.has_ended() || output == Output::Give(GiverOutput::LetGo);
        assert_eq!(next.has_ended(), goes, "{input:?}");
    }
}

#[test]
fn what_is_taken_back_is_as_it_was_before_it_was_asked_for() {
    for before in lives().into_iter().filter(|life| life.is_serving() && !life.hands_over()) {
        let mut asked = before;
        assert_eq!(asked.step(Input::Give(GiverInput::Asked), 0), Output::Give(GiverOutput::Collect));
        let mut frozen = asked;
        assert_eq!(frozen.step(Input::Give(GiverInput::Collected), 0), Output::Give(GiverOutput::Send));
        for given in [asked, frozen] {
            for (input, now) in [(GiverInput::Lost, 0), (GiverInput::Tick, 1_000_000)] {
                let mut back = given;
                back.step(Input::Drain(drain::Input::Drain), 0);
                back.step(Input::Drain(drain::Input::Undrain), 0);
                assert_eq!(back.step(Input::Give(input), now), Output::Give(GiverOutput::TakeBack));
                assert_eq!(back, before, "{input:?}");
            }
        }
    }
}

#[test]
fn a_stop_is_never_forgotten_and_waits_for_the_end_of_a_hand_over() {
    for (life, input, output, next) in steps() {
        assert!(!life.is_told_to_stop() || next.is_told_to_stop(), "{life:?}, {input:?}");
        assert!(!next.is_told_to_stop() || !next.wants_consumers(), "{life:?}, {input:?}");
        assert!(!next.is_told_to_stop() || next.hands_over() || next.stopping().is_some(), "{next:?}");
        // It begins from where nothing was under way, or with the last step back.
        let begins = next.stopping().is_some() && life.stopping().is_none();
        let back = output == Output::Give(GiverOutput::TakeBack) && life.is_told_to_stop();
        assert_eq!(begins, output == Output::Stop || back, "{life:?}, {input:?}");
    }
    // Whatever state a hand-over is in, its time's end decides: who holds the lock stops as planned.
    let told = lives().into_iter().filter(|life| life.is_told_to_stop() && life.give_by().is_some());
    let mut all = 0;
    for mut life in told {
        life.step(Input::Give(GiverInput::Tick), 2_000_000);
        assert!(life.stopping().is_some(), "{life:?}");
        all += 1;
    }
    assert!(all > 3);
    // It counts from the first signal, whatever came after it.
    let mut told = after(&[Input::Serve, Input::Give(GiverInput::Asked)]);
    told.step(Input::Stop, 5);
    told.step(Input::Stop, 9);
    told.step(Input::Give(GiverInput::Tick), 2_000_000);
    assert_eq!(told.stopping(), Some(5));
    // Who has let go has nothing to stop, whether it was told before or after.
    let mut gone = after(&[Input::Serve, Input::Give(GiverInput::Asked), Input::Give(GiverInput::Collected)]);
    let mut told = gone;
    told.step(Input::Stop, 0);
    for life in [&mut gone, &mut told] {
        assert_eq!(life.step(Input::Give(GiverInput::Got), 0), Output::Give(GiverOutput::LetGo));
        assert_eq!(life.stopping(), None);
    }
    assert_eq!((gone.is_told_to_stop(), told.is_told_to_stop()), (false, true));
    assert_eq!(gone.step(Input::Stop, 9), Output::Leave);
}
