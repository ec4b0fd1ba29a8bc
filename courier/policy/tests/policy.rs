//! `Policy`, and what it adds for a host that restarts or is about to stop.

mod common;
use common::{SEC, entry, settings};
use quillmount_policy::*;

const NOW: Micros = 100 * SEC;

fn policy() -> Policy {
    let mut f = Policy::new(settings(8), 1).unwrap();
    assert!(f.update_list(NOW, ListUpdate::Full, vec![entry(0, 5)]).is_empty());
    f
}

fn message(id: MsgId, class: usize) -> Message {
    Message {
        id,
        class,
        tenant: None,
        key: None,
        deadline: NOW + 20 * SEC,
        work_hint: None,
        dest: 5,
        stream: false,
        size: 0,
    }
}

fn past(sent: Micros, may_have_run: bool) -> PastAttempt {
    PastAttempt { zone: 0, sent, may_have_run }
}

/// The end of an attempt, which is its message's result if it was accepted.
fn completion(msg: MsgId, attempt: u32, outcome: Outcome, elapsed: Micros) -> Completion {
    let finished = outcome == Outcome::Ok;
    Completion { msg, attempt, outcome, elapsed, finished, wait: 0, load_report: Vec::new() }
}

/// The messages of the first instruction, which is a call.
fn items(instructions: &[Instruction]) -> Vec<CallItem> {
    let Some(Instruction::Call { items, .. }) = instructions.first() else { panic!("{instructions:?}") };
    items.clone()
}

#[test]
fn a_report_leads_to_the_next_call_with_the_next_number() {
    let mut f = policy();
    let first = f.submit(NOW, message(1, 0));
    assert!(
        matches!(first[..], [Instruction::Call { endpoint: 0, .. }]) && items(&first)[0].msg == 1,
        "{first:?}"
    );
    let error = completion(1, 0, Outcome::Error, 9);
    let second = f.report(NOW + 9, error);
    assert!(matches!(second[..], [Instruction::Call { .. }]) && items(&second)[0].attempt == 1, "{second:?}");
}

/// Guards against a second effect after a restart: the record of an attempt that was in flight is all that is left of it.
#[test]
fn a_restored_message_keeps_the_rules_of_its_past_attempts() {
    let unsafe_and_maybe = policy().restore(NOW, message(1, 2), vec![past(NOW - SEC, true)]);
    assert_eq!(unsafe_and_maybe, [Instruction::Fail { msg: 1 }]);
    let unsafe_and_never = policy().restore(NOW, message(1, 2), vec![past(NOW - SEC, false)]);
    assert!(items(&unsafe_and_never)[0].attempt == 1, "{unsafe_and_never:?}");
    let in_span = policy().restore(NOW, message(1, 1), vec![past(NOW - 4 * SEC, true)]);
    assert!(items(&in_span)[0].attempt == 1, "{in_span:?}");
    let past_span = policy().restore(NOW, message(1, 1), vec![past(NOW - 6 * SEC, true)]);
    assert!(matches!(past_span[..], [Instruction::Reject { msg: 1, .. }]), "{past_span:?}");
    let used_up = policy().restore(NOW, message(1, 0), vec![past(NOW - SEC, false); 6]);
    assert!(matches!(used_up[..], [Instruction::Reject { msg: 1, .. }]), "{used_up:?}");
}

/// Guards against calls that a planned stop would interrupt: they might have run, and a debit that might have run is lost.
#[test]
fn near_a_stop_only_calls_that_can_finish_are_started() {
    let mut f = policy();
    f.submit(NOW, message(1, 2));
    f.report(NOW + SEC, completion(1, 0, Outcome::Ok, SEC));
    assert!(f.stop(NOW + SEC, NOW + 4 * SEC).is_empty());
    assert!(matches!(f.submit(NOW + SEC, message(2, 2))[..], [Instruction::Call { .. }]));
    assert!(!f.submit(NOW + 3 * SEC, message(3, 2)).iter().any(|o| matches!(o, Instruction::Call { .. })));
}

/// Guards against a lost wake-up: something else happens at the very time for which a wake-up is set, and
/// the dispatcher requests its next one as well. A message then waited past its time for the next event.
#[test]
fn a_step_at_the_time_of_a_wake_up_keeps_the_next_one() {
    let failed = |msg, attempt| completion(msg, attempt, Outcome::ConnectFailed, 9);
    let mut f = policy();
    f.submit(NOW, message(1, 2));
    f.report(NOW, failed(1, 0));
    assert!(f.report(NOW, failed(1, 1)).is_empty(), "a pause after two failures");
    let wake = f.wake_at().unwrap();
    let again = f.submit(wake, message(2, 2));
    let [CallItem { msg, attempt, .. }] = items(&again)[..] else { panic!("{again:?}") };
    f.report(wake, failed(msg, attempt));
    f.tick(wake);
    assert!(f.wake_at().is_some_and(|at| at > wake), "two messages are held: {:?}", f.wake_at());
}
