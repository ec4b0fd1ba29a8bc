//! The router's entry of an owed message.

use super::stream::Stream;
use crate::journal::{AcceptedMessage, End};
use crate::{Ending, MessagePayload, Submission};
use quillmount_policy::{Message, Micros, MsgId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The class number of a message whose class the settings lack.
pub(super) const UNKNOWN_CLASS: usize = usize::MAX;

/// Upper bound of a message's overhead in a call with several messages, in bytes: field names, quotes and commas.
const BUNDLED_OVERHEAD: usize = 32;

/// A message that is owed an end. It is encoded by position in a [`RouterState`](super::RouterState).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct OwedMessage {
    pub(super) payload: Arc<MessagePayload>,
    /// The class number; [`UNKNOWN_CLASS`] if the settings lack the class, in which case the message ends when it is
    /// restored.
    pub(super) class: usize,
    pub(super) dest: u64,
    pub(super) deadline: Micros,
    /// The message's end, if the platform or the client has not yet confirmed it.
    pub(super) end: Option<Ending>,
    /// The number of the message's attempts that are recorded in the journal.
    pub(super) journaled_attempts: u32,
    /// The state of the stream; `None` if the message is not streamed.
    pub(super) stream: Option<Stream>,
}

impl OwedMessage {
    /// The message in the form that the policy uses.
    pub(super) fn policy_message(&self, id: MsgId, tenant: Option<usize>) -> Message {
        Message {
            id,
            class: self.class,
            tenant,
            key: None,
            deadline: self.deadline,
            work_hint: None,
            dest: self.dest,
            stream: self.stream.is_some(),
            size: bundled_size(&self.payload),
        }
    }
}

/// A submission in the form that the journal records.
pub(super) fn accepted_message(submission: &Submission, deadline: Micros) -> AcceptedMessage {
    AcceptedMessage {
        id: submission.id.clone(),
        class: submission.class.clone(),
        key: submission.key.clone(),
        dest: submission.dest,
        deadline,
        body: submission.body.clone(),
    }
}

/// Converts an end from the journal. A message that is still owed was not delivered as far as this process knows.
pub(super) fn ending_of(end: End) -> Ending {
    match end {
        End::Deferred { after } => Ending::Deferred(after),
        End::Delivered | End::Undeliverable => Ending::Undeliverable,
    }
}

/// Upper bound of a message's size in a call with several messages, in bytes: the body in Base64, the escaped id and
/// key, and the overhead.
fn bundled_size(payload: &MessagePayload) -> u64 {
    let escaped =
        |text: &str| text.len() + 5 * text.bytes().filter(|b| matches!(b, b'"' | b'\\' | ..0x20)).count();
    let base64 = 4 * payload.body.len().div_ceil(3);
    let key = payload.key.as_deref().map_or(0, escaped);
    (base64 + escaped(&payload.id) + key + BUNDLED_OVERHEAD) as u64
}
