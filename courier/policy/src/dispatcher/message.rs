//! What the dispatcher records of an open message, its attempts and the calls that carry them. Types only; they are
//! part of the state that one process hands to the next, field by field in this order.

use crate::events::PastAttempt;
use crate::ids::{DestId, EndpointId, Micros, MsgId};
use serde::{Deserialize, Serialize};

/// Number of a call, counted from 0. A call carries one message or several.
pub type CallNumber = u64;

/// What is known about whether an attempt took effect at the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Execution {
    /// The attempt has no outcome yet.
    InFlight,
    /// The outcome proves that the receiver never ran it.
    NeverRan,
    /// The receiver ran it or may have run it.
    MayHaveRun,
}

/// One attempt to deliver a message.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Attempt {
    /// Endpoint to which it was sent; [`EndpointId::MAX`] for an attempt of an earlier process.
    pub endpoint: EndpointId,
    /// Zone of that endpoint.
    pub zone: u32,
    /// Its route, an index of the dispatcher's routes; [`usize::MAX`] for an attempt of an earlier process.
    pub route: usize,
    /// Call that carried it.
    pub call: CallNumber,
    /// When it was sent.
    pub sent: Micros,
    /// Whether it took effect.
    pub execution: Execution,
    /// The call went over a connection that had been idle.
    pub reused_connection: bool,
    /// The host was asked to cancel it.
    pub cancelled: bool,
    /// It is a stream whose last byte has not been written.
    pub streams_body: bool,
    /// Start of its latency: when it was sent or, for a stream, when its last byte was written.
    pub latency_from: Micros,
}

impl Attempt {
    /// An attempt that an earlier process of this sender made. It occupies no slot, and its route is not known.
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

/// A message that has no final result yet, or that still has attempts in flight.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PendingMessage {
    /// Index of its class in the settings.
    pub class: usize,
    /// Value while it is on time, after the tenant's share was taken into account.
    pub value: f64,
    /// Ordering key; `None` where the class does not keep the order.
    pub key: Option<u64>,
    /// Destination it goes to.
    pub dest: DestId,
    /// When its client created it: the deadline less the class's.
    pub created_at: Micros,
    /// When this process received it.
    pub received_at: Micros,
    /// Age up to which it keeps its full value.
    pub latency_target: Micros,
    /// Time of the clock by which it must have its result.
    pub deadline: Micros,
    /// The client is still owed a result. A message that has one stays in the table until its attempts have ended.
    pub is_open: bool,
    /// It was accepted by an earlier process.
    pub restored: bool,
    /// Its body is forwarded as it arrives.
    pub stream: bool,
    /// Bytes that it takes in a call with others.
    pub size: u64,
    /// Attempts in the order in which they were made.
    pub attempts: Vec<Attempt>,
    /// Position in the order of queueing; a message that is queued again gets a new one.
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
    /// Its messages without an outcome.
    pub pending: Vec<MsgId>,
    /// One of its messages has timed out.
    pub timed_out: bool,
}

/// The common properties of messages that may go to the same endpoints and whose value differs by their age alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct ValueGroup {
    /// Index of the class in the settings.
    pub class: usize,
    /// Bits of the value while on time, an `f64`.
    pub value_bits: u64,
    /// Age up to which they keep their full value.
    pub latency_target: Micros,
    /// Time from creation to deadline.
    pub lifetime: Micros,
    /// The only zone where a retry may go, if one is bound.
    pub zone: Option<u32>,
    /// The bodies are forwarded as they arrive.
    pub stream: bool,
    /// The messages have ordering keys.
    pub ordered: bool,
}
