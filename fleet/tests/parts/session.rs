//! A partner's sessions, and their part of a budget.

use quillmount_fleet::settlement::SettlementId;
use quillmount_fleet::settlement::session::{CLOSING, Holder, Input, Output, Pins, Session, State};

fn holder(name: &str) -> Holder {
    (SettlementId { tenant: "north".into(), name: name.into(), dest: 7 }, 1)
}

#[test]
fn half_a_budget_is_pinned_at_most_and_who_waits_first_is_served_first() {
    let mut pins = Pins::new(5);
    assert_eq!(pins.ask(holder("a")), [holder("a")]);
    assert_eq!(pins.ask(holder("b")), [holder("b")]);
    assert_eq!(pins.ask(holder("c")), []);
    assert_eq!(pins.ask(holder("d")), []);
    assert_eq!(pins.ask(holder("c")), [], "asked for twice, and waits once");
    assert_eq!(pins.set_budget(2), [], "who has one keeps it");
    assert_eq!(pins.release(&holder("a")), [], "met as sessions end");
    assert_eq!(pins.release(&holder("c")), [], "it gave up");
    assert_eq!(pins.release(&holder("b")), [holder("d")]);
    assert_eq!((pins.pinned(), Pins::new(1).most()), (1, 0));
}

#[test]
fn a_connection_is_unpinned_when_it_is_gone_and_not_before() {
    let mut session = Session::default();
    assert_eq!(session.step(Input::Send, 1), Output::Nothing, "it has no connection");
    let steps = [
        (Input::Want, Output::Pin),
        (Input::Want, Output::Nothing),
        (Input::Pinned, Output::Nothing),
        (Input::Send, Output::Open),
        (Input::Send, Output::Send),
        (Input::Leave, Output::Drop),
        (Input::Send, Output::Nothing),
        (Input::Lost, Output::Unpin),
        (Input::Lost, Output::Nothing),
        (Input::Want, Output::Pin),
        (Input::Leave, Output::Unpin),
    ];
    for (input, output) in steps {
        assert_eq!(session.step(input, 1), output, "{input:?}");
    }
}

#[test]
fn a_closing_that_nobody_confirms_is_given_up() {
    let mut session = Session::default();
    for input in [Input::Want, Input::Pinned, Input::Send] {
        session.step(input, 1);
    }
    assert_eq!(session.state(), State::Open);
    assert_eq!(session.step(Input::Close, 5), Output::Close);
    assert_eq!(session.step(Input::Tick, 4 + CLOSING), Output::Nothing);
    assert_eq!(
        (session.wake_at(), session.step(Input::Tick, 5 + CLOSING)),
        (Some(5 + CLOSING), Output::Drop)
    );
    assert_eq!(session.step(Input::Confirmed, 6 + CLOSING), Output::Nothing, "too late");
}
