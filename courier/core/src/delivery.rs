//! Delivery calls: the request that is sent to an endpoint, and its result.

use bytes::Bytes;
use quillmount_policy::{Micros, MsgId, Outcome};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identifies one attempt to deliver a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// The number of the message in the journal.
    pub msg: MsgId,
    /// The number of the attempt, counted per message from 0.
    pub attempt: u32,
}

/// A delivery call: one request to an endpoint with one message or several. Encoded by position when it is handed over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DeliveryCall {
    /// The attempt of the first message, which identifies the call.
    pub call: CallId,
    /// The number of the endpoint in the endpoint list.
    pub endpoint: u32,
    /// The id of the destination that the endpoint belongs to.
    pub dest: u64,
    /// The network address of the endpoint.
    pub addr: SocketAddr,
    /// The first message.
    pub payload: Arc<MessagePayload>,
    /// Timeout of the call, in microseconds: the longest timeout of its messages.
    pub timeout: Micros,
    /// Deadline for sending, in Unix microseconds: from this time on no byte of the call may be sent.
    pub send_before: Micros,
    /// The body is forwarded while it arrives and is not in the payload.
    pub stream: bool,
    /// The messages of the call after the first.
    pub bundled: Vec<BundledMessage>,
    /// The time left that is stated in the request, in microseconds: the shortest timeout of the call's messages.
    pub time_left: Micros,
}

/// A message of a call after the first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BundledMessage {
    /// The attempt of this message.
    pub call: CallId,
    /// The contents that are sent.
    pub payload: Arc<MessagePayload>,
}

impl DeliveryCall {
    /// The call's messages in the order in which they are sent.
    pub fn payloads(&self) -> impl Iterator<Item = &MessagePayload> {
        std::iter::once(&*self.payload).chain(self.bundled.iter().map(|message| &*message.payload))
    }
}

/// The parts of a submission that are sent to an endpoint unchanged, and the tenant.
#[derive(Debug, Serialize, Deserialize)]
pub struct MessagePayload {
    /// The client's id of the message.
    pub id: String,
    /// The idempotency key, if the message has one.
    pub key: Option<String>,
    /// The tenant whose share of a partner's connection budget the message uses. It is neither sent to endpoints nor
    /// handed over, since in a fleet no process hands over its calls.
    #[serde(skip)]
    pub tenant: Option<Box<str>>,
    /// The body; empty if it is streamed.
    pub body: Bytes,
}

/// The result of a delivery call, or of one of its messages according to the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallEnd {
    /// The endpoint confirmed the delivery.
    Delivered,
    /// The answer is complete and has a result for each message of the call. This is never the result of one message.
    Each,
    /// The endpoint answered with an error.
    Error,
    /// The answer is not valid, so that the call may have had an effect. The value is the retry delay that the endpoint
    /// asks for, in microseconds (0: none).
    Spoilt(Micros),
    /// The endpoint rejected the call for lack of capacity. The value is the retry delay that it asks for, in
    /// microseconds (0: none).
    Full(Micros),
    /// No call slot of the endpoint was free.
    NoSlot,
    /// The message has used up its attempts; it is still owed an end.
    Exhausted,
    /// The message has already ended, so that nothing more is owed for it.
    Gone,
    /// The courier stopped the call before its first byte was sent.
    HeldBack,
    /// No connection could be established, or none accepted a write.
    CouldNotConnect,
    /// The connection was reset after the call may have had an effect.
    Reset,
    /// The call's timeout passed without an answer.
    TimedOut,
    /// The courier cancelled the call.
    GivenUp,
}

impl CallEnd {
    /// The retry delay that the endpoint asks for, in microseconds; 0: none.
    pub(crate) fn wait(self) -> Micros {
        match self {
            CallEnd::Full(wait) | CallEnd::Spoilt(wait) => wait,
            _ => 0,
        }
    }

    /// The outcome as it is reported to the policy.
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

/// The contents of an answer in addition to the results of its messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerReport {
    /// The retry delay that the answer as a whole asks for, in microseconds, next to those in the results of its
    /// messages; 0: none.
    pub wait: Micros,
    /// The load report of the destination: field names and values, whose meaning the settings define.
    pub load: Vec<(String, f64)>,
}
