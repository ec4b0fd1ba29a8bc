//! The drain.

use quillmount_core::machine::drain::{Drain, FRONT, Input, LOOK, Output};

#[test]
fn drains_once_and_looks_until_it_serves_again() {
    let mut drain = Drain::default();
    assert_eq!(drain.step(Input::Undrain, 1), Output::Nothing);
    assert_eq!((drain.step(Input::Drain, 1), drain.wake_at()), (Output::LastAnswers, Some(1 + FRONT)));
    assert_eq!(drain.step(Input::Drain, 9), Output::Nothing, "a second call puts nothing off");
    assert_eq!(drain.step(Input::Tick, FRONT), Output::Nothing);
    assert_eq!(drain.step(Input::Tick, 1 + FRONT), Output::Empty);
    assert_eq!(drain.wake_at(), Some(1 + FRONT + LOOK));
    assert_eq!((drain.step(Input::Undrain, 2 * FRONT), drain.is_drained()), (Output::Keep, false));
}
