//! `Policy`: numbering of attempts, restored messages, a planned stop, and wake-ups.

mod common;
use common::{SEC, entry, settings};
use quillmount_policy::*;

const NOW: Micros = 100 * SEC;

fn new_policy() -> Policy {
    let mut policy = Policy::new(settings(8), 1).unwrap();
    assert!(policy.update_list(NOW, ListUpdate::Full, vec![entry(0, 5)]).is_empty());
    policy
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

/// The end of an attempt; `Outcome::Ok` is the final result of its message.
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
fn a_failed_attempt_is_followed_by_one_with_the_next_number() {
    let mut policy = new_policy();
    let first = policy.submit(NOW, message(1, 0));
    assert!(
        matches!(first[..], [Instruction::Call { endpoint: 0, .. }]) && items(&first)[0].msg == 1,
        "{first:?}"
    );
    let error = completion(1, 0, Outcome::Error, 9);
    let second = policy.report(NOW + 9, error);
    assert!(matches!(second[..], [Instruction::Call { .. }]) && items(&second)[0].attempt == 1, "{second:?}");
}

/// Guards against a second effect after a restart, when only the record of an attempt in flight is left.
#[test]
fn a_restored_message_keeps_the_rules_of_its_past_attempts() {
    let may_have_run = new_policy().restore(NOW, message(1, 2), vec![past(NOW - SEC, true)]);
    assert_eq!(may_have_run, [Instruction::Fail { msg: 1 }]);
    let never_ran = new_policy().restore(NOW, message(1, 2), vec![past(NOW - SEC, false)]);
    assert!(items(&never_ran)[0].attempt == 1, "{never_ran:?}");
    let within_span = new_policy().restore(NOW, message(1, 1), vec![past(NOW - 4 * SEC, true)]);
    assert!(items(&within_span)[0].attempt == 1, "{within_span:?}");
    let after_span = new_policy().restore(NOW, message(1, 1), vec![past(NOW - 6 * SEC, true)]);
    assert!(matches!(after_span[..], [Instruction::Reject { msg: 1, .. }]), "{after_span:?}");
    let without_attempts_left = new_policy().restore(NOW, message(1, 0), vec![past(NOW - SEC, false); 6]);
    assert!(
        matches!(without_attempts_left[..], [Instruction::Reject { msg: 1, .. }]),
        "{without_attempts_left:?}"
    );
}

/// Guards against calls that a planned stop would interrupt: they may have run, so that a message that is not
/// idempotent fails.
#[test]
fn before_a_planned_stop_only_calls_that_can_finish_are_started() {
    let mut policy = new_policy();
    policy.submit(NOW, message(1, 2));
    policy.report(NOW + SEC, completion(1, 0, Outcome::Ok, SEC));
    assert!(policy.stop(NOW + SEC, NOW + 4 * SEC).is_empty());
    assert!(matches!(policy.submit(NOW + SEC, message(2, 2))[..], [Instruction::Call { .. }]));
    assert!(
        !policy
            .submit(NOW + 3 * SEC, message(3, 2))
            .iter()
            .any(|instruction| matches!(instruction, Instruction::Call { .. }))
    );
}

/// Guards against a lost wake-up: another event occurs at the time for which a wake-up is set, and the dispatcher
/// requests the next wake-up in the same step. A message then waited beyond its deadline for the next event.
#[test]
fn a_step_at_the_time_of_a_wake_up_keeps_the_next_one() {
    let failed = |msg, attempt| completion(msg, attempt, Outcome::ConnectFailed, 9);
    let mut policy = new_policy();
    policy.submit(NOW, message(1, 2));
    policy.report(NOW, failed(1, 0));
    assert!(policy.report(NOW, failed(1, 1)).is_empty(), "a back-off after two failures");
    let wake = policy.wake_at().unwrap();
    let next_call = policy.submit(wake, message(2, 2));
    let [CallItem { msg, attempt, .. }] = items(&next_call)[..] else { panic!("{next_call:?}") };
    policy.report(wake, failed(msg, attempt));
    policy.tick(wake);
    assert!(
        policy.wake_at().is_some_and(|at| at > wake),
        "two messages wait for a wake-up: {:?}",
        policy.wake_at()
    );
}
