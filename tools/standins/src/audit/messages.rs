//! The history of each message.

use super::history::{History, Notice, ObservedCall, Submission};
use std::collections::BTreeMap;

/// All that is known of one message, each kind in the order of time.
#[derive(Default)]
pub(super) struct MessageHistory<'a> {
    pub submissions: Vec<&'a Submission>,
    pub calls: Vec<&'a ObservedCall>,
    pub notices: Vec<&'a Notice>,
}

impl MessageHistory<'_> {
    fn sort(&mut self) {
        self.submissions.sort_by_key(|submission| submission.submitted_at);
        self.calls.sort_by_key(|call| (call.began, call.connection));
        self.notices.sort_by_key(|notice| notice.at);
    }

    /// Whether a partner answered a call with 200.
    pub fn is_delivered(&self) -> bool {
        self.calls.iter().any(|call| call.delivered_at().is_some())
    }
}

/// The histories of all messages, by their ids.
pub(super) fn by_id(history: &History) -> BTreeMap<&str, MessageHistory<'_>> {
    let mut messages: BTreeMap<&str, MessageHistory> = BTreeMap::new();
    for submission in &history.submissions {
        messages.entry(&submission.id).or_default().submissions.push(submission);
    }
    for call in &history.calls {
        messages.entry(&call.id).or_default().calls.push(call);
    }
    for notice in &history.notices {
        messages.entry(&notice.id).or_default().notices.push(notice);
    }
    messages.values_mut().for_each(MessageHistory::sort);
    messages
}
