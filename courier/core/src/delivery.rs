//! Delivery calls: what is sent to an endpoint, and how it ended.

use bytes::Bytes;
use quillmount_policy::{Micros, MsgId, Outcome};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Names one attempt to deliver a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// The number of the message.
    pub msg: MsgId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
}

/// A delivery call: one request to an endpoint with one message or several. Encoded by position when it is handed over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DeliveryCall {
    /// The attempt of the first message, which names the call.
    pub call: CallId,
    /// The number of the endpoint.
    pub endpoint: u32,
    /// The destination, of which the endpoint is one.
    pub dest: u64,
    /// The endpoint's address.
    pub addr: SocketAddr,
    /// The first message.
    pub payload: Arc<MessagePayload>,
    /// How long the call is waited for, in microseconds: as long as any of its messages is.
    pub timeout: Micros,
    /// No byte of the call may be sent from this time on.
    pub send_before: Micros,
    /// The body is passed on as it arrives, and is not in the payload.
    pub stream: bool,
    /// Further messages of the call.
    pub bundled: Vec<BundledMessage>,
    /// The time left that the call states, in microseconds: that of the message with the least.
    pub time_left: Micros,
}

/// A further message of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BundledMessage {
    /// The attempt of this message.
    pub call: CallId,
    /// The message.
    pub payload: Arc<MessagePayload>,
}

impl DeliveryCall {
    /// The call's messages in the order in which they are sent.
    pub fn payloads(&self) -> impl Iterator<Item = &MessagePayload> {
        std::iter::once(&*self.payload).chain(self.bundled.iter().map(|message| &*message.payload))
    }
}

/// The parts of a submission that an endpoint gets, unchanged, and the tenant.
#[derive(Debug, Serialize, Deserialize)]
pub struct MessagePayload {
    /// The message's id.
    pub id: String,
    /// The idempotency key, if the message has one.
    pub key: Option<String>,
    /// The tenant whose connection budget the message may use, where partners share budgets. It is neither sent to
    /// endpoints nor handed over: in a fleet no process hands over its calls.
    #[serde(skip)]
    pub tenant: Option<Box<str>>,
    /// The body; empty if it is streamed.
    pub body: Bytes,
}

/// The end of a delivery call, or of one of its messages according to its answer.
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
    /// The endpoint rejected the call for lack of capacity, and asks to wait for so many microseconds (0: it does not).
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

/// The contents of an answer in addition to the ends of its messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerReport {
    /// How long the endpoint asks to wait, in microseconds, in addition to the waits in the messages' ends; 0: it does not.
    pub wait: Micros,
    /// The destination's load report: names and values, whose meaning is in the settings.
    pub load: Vec<(String, f64)>,
}
