//! The calls of each message.

use super::RepeatPolicy;
use super::finding::{CallEvidence, Finding};
use super::history::{History, ObservedCall, Submission};
use super::messages::MessageHistory;
use quillmount_policy::Micros;

/// Checks that each call is allowed, and carries what was submitted.
pub(super) fn check(id: &str, message: &MessageHistory, history: &History, found: &mut Vec<Finding>) {
    let Some(submission) = message.submissions.first() else { return };
    let deadline = known_deadline(message);
    for call in &message.calls {
        check_content(id, message, submission, call, found);
        check_deadline(id, deadline, history, call, found);
        check_notified_end(id, message, history, call, found);
    }
    check_repeats(id, message, history.rules.repeat_policy(&submission.class), found);
}

/// The call went to the destination of the message, with its key and its body.
fn check_content(
    id: &str,
    message: &MessageHistory,
    submission: &Submission,
    call: &ObservedCall,
    found: &mut Vec<Finding>,
) {
    let (id, evidence) = (id.to_string(), CallEvidence::of(call));
    if !message.submissions.iter().any(|submission| submission.dest == call.dest) {
        found.push(Finding::WrongPartner { id: id.clone(), call: evidence.clone(), dest: submission.dest });
    }
    if !message.submissions.iter().any(|submission| submission.key == call.key) {
        let (key, was) = (submission.key.clone(), call.key.clone());
        found.push(Finding::KeyChanged { id: id.clone(), call: evidence.clone(), key, was });
    }
    if call.complete && !message.submissions.iter().any(|submission| submission.body == call.body) {
        found.push(Finding::BodyChanged { id, call: evidence });
    }
}

/// The latest deadline; `None` while one is unknown. The time of a message begins when the courier has read it, which is before it
/// answers; without an answer nobody knows when.
fn known_deadline(message: &MessageHistory) -> Option<Micros> {
    let deadlines: Option<Vec<Micros>> =
        message.submissions.iter().map(|submission| submission.deadline()).collect();
    deadlines?.into_iter().max()
}

/// The call was sent before the deadline of the message.
fn check_deadline(
    id: &str,
    deadline: Option<Micros>,
    history: &History,
    call: &ObservedCall,
    found: &mut Vec<Finding>,
) {
    let Some(deadline) = deadline else { return };
    if call.began > deadline + history.rules.transit {
        found.push(Finding::CalledLate { id: id.to_string(), call: CallEvidence::of(call), deadline });
    }
}

/// The call was sent before the platform was notified of the end of the message.
fn check_notified_end(
    id: &str,
    message: &MessageHistory,
    history: &History,
    call: &ObservedCall,
    found: &mut Vec<Finding>,
) {
    let Some(notice) = message.notices.first() else { return };
    if call.began > notice.at + history.rules.transit
        && !history.in_fault_window(call.courier, notice.at, call.began)
    {
        let (id, call, status) = (id.to_string(), CallEvidence::of(call), notice.status.clone());
        found.push(Finding::CalledAfterEnd { id, call, status, notified_at: notice.at });
    }
}

/// The message was repeated as the policy of its class allows.
fn check_repeats(id: &str, message: &MessageHistory, policy: RepeatPolicy, found: &mut Vec<Finding>) {
    let mut runs = message.calls.iter().filter(|call| call.ran);
    let Some(first) = runs.next() else { return };
    for call in runs {
        let id = id.to_string();
        let after = call.began - first.began;
        let (first, repeat) = (CallEvidence::of(first), CallEvidence::of(call));
        match policy {
            RepeatPolicy::Safe => {}
            RepeatPolicy::Keyed { span } if call.key.is_some() && after <= span => {}
            RepeatPolicy::Keyed { span } if call.key.is_some() => {
                found.push(Finding::RepeatedLate { id, first, repeat, after, span });
            }
            RepeatPolicy::Keyed { .. } | RepeatPolicy::Once => {
                found.push(Finding::RanTwice { id, first, repeat });
            }
        }
    }
}

/// Checks that a courier whose journal was sealed makes no calls except those that the replicas knew of.
pub(super) fn check_seals(id: &str, message: &MessageHistory, history: &History, found: &mut Vec<Finding>) {
    for seal in &history.seals {
        let Some(known) = seal.messages.get(id) else { continue };
        let calls = message.calls.iter().filter(|call| call.courier == seal.courier);
        for call in calls.skip(*known).filter(|call| call.began > seal.at) {
            let (id, call) = (id.to_string(), CallEvidence::of(call));
            found.push(Finding::SentAfterSeal { id, call, sealed: seal.at, known: *known });
        }
    }
}
