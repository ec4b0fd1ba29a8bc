//! Submissions: the messages of clients, and the ends that are reported to them or to the platform.

use bytes::Bytes;
use quillmount_policy::{Micros, MsgId};
use serde::{Deserialize, Serialize};

/// One message as a client submits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The client's id of the message, new for each message.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// Its idempotency key, if it has one.
    pub key: Option<String>,
    /// Its destination.
    pub dest: u64,
    /// The tenant that it belongs to, if that is known.
    pub tenant: Option<String>,
    /// How long it may still be delivered, in microseconds.
    pub time_left: Micros,
    /// Its body; empty if it is streamed.
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

/// How a message ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ending {
    /// It can't be delivered, and may have had an effect.
    Undeliverable,
    /// It had no effect. The client may submit it again after so many microseconds (0: no advice).
    Deferred(Micros),
}

/// A notice of a message's end that the platform has yet to confirm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The number of the message.
    pub msg: MsgId,
    /// Its id.
    pub id: String,
    /// Its end.
    pub ending: Ending,
}
