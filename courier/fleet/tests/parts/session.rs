//! The sessions at a partner, and the connections that they reserve.

use quillmount_fleet::settlement::SettlementId;
use quillmount_fleet::settlement::session::{
    CLOSING_TIMEOUT, Pins, Session, SessionInput, SessionKey, SessionOutput, SessionState,
};

fn session_key(name: &str) -> SessionKey {
    let settlement = SettlementId { tenant: "north".into(), name: name.into(), dest: 7 };
    SessionKey { settlement, session: 1 }
}

#[test]
fn half_a_budget_is_pinned_at_most_and_who_waits_first_is_served_first() {
    let mut pins = Pins::new(5);
    assert_eq!(pins.request(session_key("a")), [session_key("a")]);
    assert_eq!(pins.request(session_key("b")), [session_key("b")]);
    assert_eq!(pins.request(session_key("c")), []);
    assert_eq!(pins.request(session_key("d")), []);
    assert_eq!(pins.request(session_key("c")), [], "asked for twice, and waits once");
    assert_eq!(pins.set_budget(2), [], "who has one keeps it");
    assert_eq!(pins.release(&session_key("a")), [], "met as sessions end");
    assert_eq!(pins.release(&session_key("c")), [], "it gave up");
    assert_eq!(pins.release(&session_key("b")), [session_key("d")]);
    assert_eq!((pins.pinned(), Pins::new(1).limit()), (1, 0));
}

#[test]
fn a_connection_is_unpinned_when_it_is_gone_and_not_before() {
    let mut session = Session::default();
    assert_eq!(session.step(SessionInput::Send, 1), SessionOutput::Nothing, "it has no connection");
    let steps = [
        (SessionInput::Needed, SessionOutput::Pin),
        (SessionInput::Needed, SessionOutput::Nothing),
        (SessionInput::Pinned, SessionOutput::Nothing),
        (SessionInput::Send, SessionOutput::Open),
        (SessionInput::Send, SessionOutput::Send),
        (SessionInput::Leave, SessionOutput::Drop),
        (SessionInput::Send, SessionOutput::Nothing),
        (SessionInput::Lost, SessionOutput::Unpin),
        (SessionInput::Lost, SessionOutput::Nothing),
        (SessionInput::Needed, SessionOutput::Pin),
        (SessionInput::Leave, SessionOutput::Unpin),
    ];
    for (input, output) in steps {
        assert_eq!(session.step(input, 1), output, "{input:?}");
    }
}

#[test]
fn an_unconfirmed_closing_times_out() {
    let mut session = Session::default();
    for input in [SessionInput::Needed, SessionInput::Pinned, SessionInput::Send] {
        session.step(input, 1);
    }
    assert_eq!(session.state(), SessionState::Open);
    assert_eq!(session.step(SessionInput::Close, 5), SessionOutput::Close);
    assert_eq!(session.step(SessionInput::Tick, 4 + CLOSING_TIMEOUT), SessionOutput::Nothing);
    assert_eq!(
        (session.wake_at(), session.step(SessionInput::Tick, 5 + CLOSING_TIMEOUT)),
        (Some(5 + CLOSING_TIMEOUT), SessionOutput::Drop)
    );
    assert_eq!(
        session.step(SessionInput::Confirmed, 6 + CLOSING_TIMEOUT),
        SessionOutput::Nothing,
        "too late"
    );
}
