//! The drain of a courier: it starts once, closes idle connections periodically, and ends on request.

use quillmount_core::machine::drain::{
    Drain, DrainInput, DrainOutput, IDLE_CHECK_INTERVAL, LOAD_BALANCER_GRACE,
};

#[test]
fn a_drain_starts_once_and_checks_for_idle_connections_until_it_ends() {
    let mut drain = Drain::default();
    assert_eq!(drain.step(DrainInput::Undrain, 1), DrainOutput::Nothing);
    assert_eq!(
        (drain.step(DrainInput::Drain, 1), drain.wake_at()),
        (DrainOutput::CloseAfterAnswers, Some(1 + LOAD_BALANCER_GRACE))
    );
    assert_eq!(
        drain.step(DrainInput::Drain, 9),
        DrainOutput::Nothing,
        "a second request does not postpone the check"
    );
    assert_eq!(drain.step(DrainInput::Tick, LOAD_BALANCER_GRACE), DrainOutput::Nothing);
    assert_eq!(drain.step(DrainInput::Tick, 1 + LOAD_BALANCER_GRACE), DrainOutput::CloseIdle);
    assert_eq!(drain.wake_at(), Some(1 + LOAD_BALANCER_GRACE + IDLE_CHECK_INTERVAL));
    assert_eq!(
        (drain.step(DrainInput::Undrain, 2 * LOAD_BALANCER_GRACE), drain.is_drained()),
        (DrainOutput::KeepConnections, false)
    );
}
