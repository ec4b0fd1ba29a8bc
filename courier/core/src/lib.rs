//! What the courier owes and how it gets there, without a word of HTTP: another front can hand the
//! same values in and pass through the same decisions and rules.

pub mod admission;
pub mod call;
pub mod counters;
pub mod disabled;
pub mod ended;
pub mod flow;
pub mod hub;
pub mod journal;
pub mod machine;
pub mod note;
pub mod pool;
pub mod router;
pub mod store;
pub mod turns;

use bytes::Bytes;
use quillmount_policy::{EndpointState, Micros, MsgId, Outcome};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// One message as a client handed it in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    pub id: String,
    pub class: String,
    pub key: Option<String>,
    pub dest: u64,
    /// Whose message it is, if that was said.
    pub tenant: Option<String>,
    /// How long it may still be delivered.
    pub time_left: Micros,
    pub body: Bytes,
}

/// What the head of a streamed submission says of its body, and endpoints are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamHead {
    /// `None`: in chunks.
    pub length: Option<u64>,
    /// `Content-Digest`, as it was told.
    pub digest: Option<String>,
}

/// Names one delivery call: the message and the call's number, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    pub msg: MsgId,
    pub attempt: u32,
}

/// One delivery call to make.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DeliveryCall {
    pub call: CallId,
    pub endpoint: u32,
    pub dest: u64,
    pub addr: SocketAddr,
    pub payload: Arc<MessagePayload>,
    /// It is waited for as long as any of its messages is.
    pub timeout: Micros,
    /// No byte of it may leave from then on.
    pub by: Micros,
    /// Its body is passed on as it comes, and is not in the submission.
    pub stream: bool,
    /// Further messages that travel with it; without any it is a plain call.
    pub bundled: Vec<BundledMessage>,
    /// The time that the endpoint is told: that of the message with the least.
    pub time_left: Micros,
}

/// A further message of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BundledMessage {
    pub call: CallId,
    pub payload: Arc<MessagePayload>,
}

impl DeliveryCall {
    /// Its messages, in the order in which they are sent.
    pub fn payloads(&self) -> impl Iterator<Item = &MessagePayload> {
        std::iter::once(&*self.payload).chain(self.bundled.iter().map(|message| &*message.payload))
    }
}

/// The parts of a submission that an endpoint gets to see, unchanged.
#[derive(Debug, Serialize, Deserialize)]
pub struct MessagePayload {
    pub id: String,
    pub key: Option<String>,
    /// Whose connections it may use, where partners' budgets are shared; endpoints are not told, and another process
    /// is not: in a fleet no process hands its calls over.
    #[serde(skip)]
    pub tenant: Option<Box<str>>,
    pub body: Bytes,
}

/// How a delivery call ended, or what its answer says about one of its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallEnd {
    /// The message was delivered.
    Delivered,
    /// The answer is complete and has an end for each message of the call. No message ends so.
    Each,
    /// The endpoint answered with an error.
    Error,
    /// The answer can't be trusted beyond this: the call may have had an effect, and the endpoint asks to wait for so many
    /// microseconds (0: it does not).
    Spoilt(Micros),
    /// The endpoint rejected the call for want of capacity, and asks to wait for so many microseconds (0: it does not).
    Full(Micros),
    /// The endpoint had no slot for the call.
    NoSlot,
    /// The message has had all its attempts; it is still owed an end.
    Exhausted,
    /// The message has ended already; nothing more is owed for it.
    Gone,
    /// The courier held the call back before its first byte.
    HeldBack,
    /// No connection could be established, or none that could be written to.
    CouldNotConnect,
    /// The connection was reset after the call may have had an effect.
    Reset,
    /// The call's time was up.
    TimedOut,
    /// The courier cancelled the call.
    GivenUp,
}

impl CallEnd {
    /// How long the endpoint asks to wait, in microseconds; 0: it does not.
    pub(crate) fn wait(self) -> Micros {
        match self {
            CallEnd::Full(wait) | CallEnd::Spoilt(wait) => wait,
            _ => 0,
        }
    }

    /// The outcome as the policy is told of it.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            CallEnd::Delivered => Outcome::Ok,
            CallEnd::Error | CallEnd::Each | CallEnd::Spoilt(_) => Outcome::Error,
            CallEnd::Full(_) => Outcome::Full,
            CallEnd::NoSlot | CallEnd::Exhausted | CallEnd::Gone | CallEnd::HeldBack => Outcome::Moot,
            CallEnd::CouldNotConnect => Outcome::ConnectFailed,
            CallEnd::Reset => Outcome::Reset,
            CallEnd::TimedOut => Outcome::Timeout,
            CallEnd::GivenUp => Outcome::Cancelled,
        }
    }
}

/// What an answer says beside how each message fared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerReport {
    /// A wait that binds beside those of the messages' ends; 0: none.
    pub wait: Micros,
    /// The destination's report of its load, by the names of the values; the settings tell what they mean.
    pub load: Vec<(String, f64)>,
}

/// How a submission that was not delivered ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ending {
    Undeliverable,
    /// The client may come again, after so long (0: no advice).
    Deferred(Micros),
}

/// A notice that the platform has yet to confirm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    pub msg: MsgId,
    pub id: String,
    pub ending: Ending,
}

/// One line of the list of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListing {
    pub id: String,
    /// Absent only where the endpoint is gone.
    pub addr: Option<SocketAddr>,
    pub dest: u64,
    pub kind: String,
    pub zone: String,
    pub weight: f64,
    pub state: EndpointState,
}

/// A list of endpoints, whole or what changed.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    pub version: u64,
    pub full: bool,
    pub endpoints: Vec<EndpointListing>,
}
