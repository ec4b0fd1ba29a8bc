//! Types for the state of messages, their attempts and calls. They are part of the state that one process hands over
//! to the next, which is encoded by position: the order of the fields must not change.

use crate::events::PastAttempt;
use crate::ids::{DestId, EndpointId, Micros, MsgId};
use serde::{Deserialize, Serialize};

/// Number of a call, counted from 0. A call carries one or more messages.
pub type CallNumber = u64;

/// Whether an attempt took effect at the receiver, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Execution {
    /// The attempt has no outcome yet.
    InFlight,
    /// The outcome proves that the receiver never ran the attempt.
    NeverRan,
    /// The receiver ran the attempt or may have run it.
    MayHaveRun,
}

/// One attempt to deliver a message.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Attempt {
    /// Endpoint that was called; [`EndpointId::MAX`] for an attempt of an earlier process.
    pub endpoint: EndpointId,
    /// Zone of that endpoint.
    pub zone: u32,
    /// Route of the endpoint, an index into the dispatcher's routes; [`usize::MAX`] for an attempt of an earlier
    /// process.
    pub route: usize,
    /// Call that carried the attempt.
    pub call: CallNumber,
    /// Time of the clock at which the attempt was sent.
    pub sent: Micros,
    /// Whether the attempt took effect.
    pub execution: Execution,
    /// Whether the call used a connection that had been idle.
    pub reused_connection: bool,
    /// Whether the host was asked to cancel the attempt.
    pub cancelled: bool,
    /// Whether the attempt is a stream whose last byte has not been written.
    pub streams_body: bool,
    /// Start of the latency measurement: the time of sending or, for a stream, of writing its last byte.
    pub latency_from: Micros,
}

impl Attempt {
    /// Converts an attempt that an earlier process of this sender made. It occupies no slot, and its route is not
    /// known.
    pub fn from_past(past: &PastAttempt) -> Self {
        Attempt {
            endpoint: EndpointId::MAX,
            zone: past.zone,
            route: usize::MAX,
            call: CallNumber::MAX,
            sent: past.sent,
            execution: if past.may_have_run { Execution::MayHaveRun } else { Execution::NeverRan },
            reused_connection: false,
            cancelled: false,
            streams_body: false,
            latency_from: past.sent,
        }
    }
}

/// A message that has no final result yet or still has attempts in flight.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PendingMessage {
    /// Index of the message's class in the settings.
    pub class: usize,
    /// Full value of the message, reduced if it exceeds its tenant's share.
    pub value: f64,
    /// Ordering key; `None` where the class does not keep the order.
    pub key: Option<u64>,
    /// Destination of the message.
    pub dest: DestId,
    /// Time at which the client created the message: its deadline minus the deadline of its class.
    pub created_at: Micros,
    /// Time at which this process received the message.
    pub received_at: Micros,
    /// Age up to which the message has its full value, microseconds.
    pub latency_target: Micros,
    /// Time of the clock by which the message must have its result.
    pub deadline: Micros,
    /// Whether the message still needs a result. A message that has one remains in the table until its attempts have
    /// ended.
    pub is_open: bool,
    /// Whether an earlier process accepted the message.
    pub restored: bool,
    /// Whether the body is forwarded while it arrives.
    pub stream: bool,
    /// Bytes that the message occupies in a call with others.
    pub size: u64,
    /// Attempts in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Position in the queueing order; a message that is queued again gets a new position.
    pub position: u64,
}

impl PendingMessage {
    /// Whether an attempt has no outcome yet.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.execution == Execution::InFlight)
    }

    /// The first attempt that ran, may have run or may still run.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.execution != Execution::NeverRan)
    }
}

/// A call in flight.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CallInFlight {
    /// Messages of the call without an outcome.
    pub pending: Vec<MsgId>,
    /// Whether one of the call's messages has timed out.
    pub timed_out: bool,
}

/// The common properties of messages that may be sent to the same endpoints and whose values differ only by their age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct ValueGroup {
    /// Index of the class in the settings.
    pub class: usize,
    /// Bits of the full value, an `f64`.
    pub value_bits: u64,
    /// Age up to which the messages have their full value, microseconds.
    pub latency_target: Micros,
    /// Time from creation to deadline, microseconds.
    pub lifetime: Micros,
    /// The only zone that a retry may be sent to; `None` if any zone is allowed.
    pub zone: Option<u32>,
    /// Whether the bodies are forwarded while they arrive.
    pub stream: bool,
    /// Whether the messages have ordering keys.
    pub ordered: bool,
}
