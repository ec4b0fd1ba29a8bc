//! Messages as clients submit them, and the ends that are reported to clients or to the platform.

use bytes::Bytes;
use quillmount_policy::{Micros, MsgId};
use serde::{Deserialize, Serialize};

/// One message as a client submits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The id that the client assigns, unique for each message.
    pub id: String,
    /// The name of the message's class in the settings.
    pub class: String,
    /// The idempotency key, if the message has one.
    pub key: Option<String>,
    /// The id of the destination.
    pub dest: u64,
    /// The tenant that the message belongs to, if that is known.
    pub tenant: Option<String>,
    /// Time left for the delivery at the time of submission, in microseconds.
    pub time_left: Micros,
    /// The body; empty if it is streamed.
    pub body: Bytes,
}

/// The properties of a streamed submission's body according to its head; they are forwarded to endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamHead {
    /// The length in bytes; `None`: the body comes in chunks.
    pub length: Option<u64>,
    /// The `Content-Digest` field, unchanged.
    pub digest: Option<String>,
}

/// The end of a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ending {
    /// The message can't be delivered and may have had an effect.
    Undeliverable,
    /// The message had no effect. The client may submit it again after this many microseconds (0: no advice).
    Deferred(Micros),
}

/// A notice of a message's end that the platform has yet to confirm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The number of the message in the courier's journal.
    pub msg: MsgId,
    /// The client's id of the message.
    pub id: String,
    /// The message's end.
    pub ending: Ending,
}
