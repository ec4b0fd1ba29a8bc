//! The end of each message.

use super::finding::{CallEvidence, Finding};
use super::history::{History, ObservedCall, Submission};
use super::journals::JournalIndex;
use super::messages::MessageHistory;
use quillmount_policy::Micros;

/// A delivery this close to the deadline of its message, or later, may be followed by a notice of its end.
const CLOSE_TO_DEADLINE: Micros = 50_000;

/// Checks that each accepted message has one end, and others have none.
pub(super) fn check(
    id: &str,
    message: &MessageHistory,
    history: &History,
    journals: &JournalIndex,
    found: &mut Vec<Finding>,
) {
    let Some(first) = message.submissions.first() else {
        let (calls, notices) = (message.calls.len(), message.notices.len());
        found.push(Finding::Unknown { id: id.to_string(), calls, notices });
        return;
    };
    let is_delivered = message.is_delivered();
    check_rejected(id, message, first, found);
    check_reported_delivery(id, message, is_delivered, found);
    check_notices(id, message, found);
    check_single_end(id, message, history, found);
    if !is_delivered && message.notices.is_empty() {
        check_missing_end(id, message, history, journals, found);
    }
}

/// No call and no notice of a message that was rejected each time.
fn check_rejected(id: &str, message: &MessageHistory, first: &Submission, found: &mut Vec<Finding>) {
    let (calls, notices) = (message.calls.len(), message.notices.len());
    if message.submissions.iter().all(|submission| submission.is_rejected()) && calls + notices > 0 {
        let status = first.answered.map_or(0, |(_, status)| status);
        found.push(Finding::RefusedButEnded { id: id.to_string(), status, calls, notices });
    }
}

/// No client is answered that a message is delivered which no partner has answered 200.
fn check_reported_delivery(id: &str, message: &MessageHistory, is_delivered: bool, found: &mut Vec<Finding>) {
    let reports_delivery =
        |submission: &&&Submission| submission.answered.is_some_and(|(_, status)| status == 200);
    if let Some(submission) = message.submissions.iter().find(reports_delivery).filter(|_| !is_delivered) {
        found.push(Finding::NotDelivered { id: id.to_string(), courier: submission.courier });
    }
}

/// All notices of a message have the same status.
fn check_notices(id: &str, message: &MessageHistory, found: &mut Vec<Finding>) {
    for pair in message.notices.windows(2) {
        if pair[0].status != pair[1].status {
            let (first, second) = (pair[0].status.clone(), pair[1].status.clone());
            let couriers = (pair[0].courier, pair[1].courier);
            found.push(Finding::ConflictingNotices { id: id.to_string(), first, second, couriers });
        }
    }
}

/// No notice of a message whose delivery its courier knows of.
fn check_single_end(id: &str, message: &MessageHistory, history: &History, found: &mut Vec<Finding>) {
    // A delivery close to the deadline may count or not: then the platform is notified as well.
    let deadline = message.submissions.iter().filter_map(|submission| submission.deadline()).max();
    let is_close = |at: Micros| deadline.is_some_and(|deadline| at + CLOSE_TO_DEADLINE >= deadline);
    let is_known_delivery = |call: &&&ObservedCall| {
        let at = call.delivered_at().filter(|at| !call.unheard && !is_close(*at));
        at.is_some_and(|at| !history.in_fault_window(call.courier, call.began, at))
    };
    let delivery = message.calls.iter().find(is_known_delivery);
    if let (Some(notice), Some(call)) = (message.notices.first(), delivery) {
        let (call, status, notified_at) = (CallEvidence::of(call), notice.status.clone(), notice.at);
        found.push(Finding::EndedTwice { id: id.to_string(), call, status, notified_at });
    }
}

/// An accepted message without an end is not yet due, and is in a journal.
fn check_missing_end(
    id: &str,
    message: &MessageHistory,
    history: &History,
    journals: &JournalIndex,
    found: &mut Vec<Finding>,
) {
    let first_accepted = message
        .submissions
        .iter()
        .filter_map(|submission| Some((submission.accepted_at()?, submission)))
        .min_by_key(|(at, _)| *at);
    let Some((accepted, submission)) = first_accepted else { return };
    let (id, courier) = (id.to_string(), submission.courier);
    let deadline = accepted + submission.time_left;
    if history.at > deadline + history.rules.grace {
        found.push(Finding::Lost { id, courier, accepted, deadline });
    } else if !history.journals.is_empty() && !journals.knows(&id) {
        found.push(Finding::Forgotten { id, courier, accepted });
    }
}
