//! A message that is owed its end.

use super::stream::Stream;
use crate::journal::{AcceptedMessage, End};
use crate::{Ending, MessagePayload, Submission};
use quillmount_policy::{Message, Micros, MsgId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The number of a class that the settings lack.
pub(super) const UNKNOWN_CLASS: usize = usize::MAX;

/// The most that a message takes in a call with others in addition to its contents: field names, quotes and commas, in bytes.
const BUNDLED_OVERHEAD: usize = 32;

/// A message that is owed its end. Encoded by position in a [`RouterState`](super::RouterState).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct OwedMessage {
    pub(super) payload: Arc<MessagePayload>,
    /// The number of its class; [`UNKNOWN_CLASS`]: the settings lack it, and the message ends when it is restored.
    pub(super) class: usize,
    pub(super) dest: u64,
    pub(super) deadline: Micros,
    /// Its end, which the platform or the client has yet to confirm.
    pub(super) end: Option<Ending>,
    /// Its attempts that are in the journal.
    pub(super) journaled: u32,
    /// `Some` for a streamed message.
    pub(super) stream: Option<Stream>,
}

impl OwedMessage {
    /// The message as the policy is shown it.
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

/// A submission as the journal records it.
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

/// An end from the journal, of a message that was not delivered as far as this process knows.
pub(super) fn ending_of(end: End) -> Ending {
    match end {
        End::Deferred { after } => Ending::Deferred(after),
        End::Delivered | End::Undeliverable => Ending::Undeliverable,
    }
}

/// The most that a message takes in a call with others, in bytes: its body in Base64, its id and key escaped, and the
/// overhead.
fn bundled_size(payload: &MessagePayload) -> u64 {
    let escaped =
        |text: &str| text.len() + 5 * text.bytes().filter(|b| matches!(b, b'"' | b'\\' | ..0x20)).count();
    let base64 = 4 * payload.body.len().div_ceil(3);
    let key = payload.key.as_deref().map_or(0, escaped);
    (base64 + escaped(&payload.id) + key + BUNDLED_OVERHEAD) as u64
}
