//! The facade, and what it adds for a host that restarts or is about to stop.

mod common;
use common::{SEC, entry, settings};
use spurshore::*;

const NOW: Micros = 100 * SEC;

fn facade() -> Facade {
    let mut f = Facade::new(settings(8), 1).unwrap();
    assert!(f.list(NOW, ListKind::Whole, vec![entry(0, 5)]).is_empty());
    f
}

fn message(id: MsgId, class: usize) -> Message {
    Message {
        id,
        class,
        tenant: None,
        key: None,
        deadline: NOW + 20 * SEC,
        hint: None,
        dest: 5,
        stream: false,
        size: 0,
    }
}

fn past(sent: Micros, may_have_run: bool) -> PastAttempt {
    PastAttempt { zone: 0, sent, may_have_run }
}

/// The messages of the first order, which is a call.
fn items(orders: &[Order]) -> Vec<Item> {
    let Some(Order::Call { items, .. }) = orders.first() else { panic!("{orders:?}") };
    items.clone()
}

#[test]
fn a_report_leads_to_the_next_call_with_the_next_number() {
    let mut f = facade();
    let first = f.pick(NOW, message(1, 0));
    assert!(matches!(first[..], [Order::Call { endpoint: 0, .. }]) && items(&first)[0].msg == 1, "{first:?}");
    let error = Report { msg: 1, attempt: 0, outcome: Outcome::Error, elapsed: 9, finished: false, wait: 0 };
    let second = f.report(NOW + 9, error);
    assert!(matches!(second[..], [Order::Call { .. }]) && items(&second)[0].attempt == 1, "{second:?}");
}

/// Guards against a second effect after a restart: the record of an attempt that was out is all that
/// is left of it.
#[test]
fn a_restored_message_keeps_the_rules_of_its_past() {
    let unsafe_and_maybe = facade().restore(NOW, message(1, 2), vec![past(NOW - SEC, true)]);
    assert_eq!(unsafe_and_maybe, [Order::Fail { msg: 1 }]);
    let unsafe_and_never = facade().restore(NOW, message(1, 2), vec![past(NOW - SEC, false)]);
    assert!(items(&unsafe_and_never)[0].attempt == 1, "{unsafe_and_never:?}");
    let in_span = facade().restore(NOW, message(1, 1), vec![past(NOW - 4 * SEC, true)]);
    assert!(items(&in_span)[0].attempt == 1, "{in_span:?}");
    let past_span = facade().restore(NOW, message(1, 1), vec![past(NOW - 6 * SEC, true)]);
    assert!(matches!(past_span[..], [Order::Reject { msg: 1, .. }]), "{past_span:?}");
    let used_up = facade().restore(NOW, message(1, 0), vec![past(NOW - SEC, false); 6]);
    assert!(matches!(used_up[..], [Order::Reject { msg: 1, .. }]), "{used_up:?}");
}

/// Guards against calls that a planned stop would cut off: they might have run, and a debit that
/// might have run is lost.
#[test]
fn near_a_stop_only_calls_that_can_end_are_started() {
    let ok =
        |msg, elapsed| Report { msg, attempt: 0, outcome: Outcome::Ok, elapsed, finished: true, wait: 0 };
    let mut f = facade();
    f.pick(NOW, message(1, 2));
    f.report(NOW + SEC, ok(1, SEC));
    assert!(f.stop(NOW + SEC, NOW + 4 * SEC).is_empty());
    assert!(matches!(f.pick(NOW + SEC, message(2, 2))[..], [Order::Call { .. }]));
    assert!(!f.pick(NOW + 3 * SEC, message(3, 2)).iter().any(|o| matches!(o, Order::Call { .. })));
}

/// Guards against a lost wake-up: something else happens at the very time for which a wake-up is set, and
/// the module asks for its next one beside it. A message then waited past its time for the next event.
#[test]
fn a_step_at_the_time_of_a_wake_up_takes_no_later_one_away() {
    let failed = |msg, attempt| Report {
        msg,
        attempt,
        outcome: Outcome::ConnectFailed,
        elapsed: 9,
        finished: false,
        wait: 0,
    };
    let mut f = facade();
    f.pick(NOW, message(1, 2));
    f.report(NOW, failed(1, 0));
    assert!(f.report(NOW, failed(1, 1)).is_empty(), "a pause after two failures");
    let wake = f.wake_at().unwrap();
    let again = f.pick(wake, message(2, 2));
    let [Item { msg, attempt, .. }] = items(&again)[..] else { panic!("{again:?}") };
    f.report(wake, failed(msg, attempt));
    f.tick(wake);
    assert!(f.wake_at().is_some_and(|at| at > wake), "two messages are held: {:?}", f.wake_at());
}
