//! What the host reports to the dispatcher: submissions, the ends of calls, the endpoint list. Types only.

use crate::ids::{DestId, EndpointId, Micros, MsgId};
use serde::{Deserialize, Serialize};

/// State of an endpoint by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum EndpointState {
    /// It is not in the list any more.
    Gone,
    /// It accepts calls.
    Ready,
    /// It shuts down gracefully: no new call goes to it.
    Draining,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Destination that it belongs to.
    pub dest: DestId,
    /// Index of the destination's kind in the settings; one that they lack has no separate routes and no batches.
    pub kind: usize,
    /// Zone in which it runs.
    pub zone: u32,
    /// Rate of calls a second, where the settings say so.
    pub weight: f64,
    /// Its state.
    pub state: EndpointState,
    /// Operators had disabled it and it may have been restarted: the destination counts as returning from an outage.
    pub returning: bool,
}

/// How a list of endpoints relates to the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Its entries change the list.
    Delta,
    /// It is the complete list, current or cached: endpoints that it lacks are gone.
    Full,
    /// Discovery failed; there are no entries.
    Failed,
}

/// A message that is submitted.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its number.
    pub id: MsgId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings, if it has one. A message of a tenant that the settings don't have is accepted and counts
    /// against no share.
    pub tenant: Option<usize>,
    /// Key for the order of messages, where the class keeps it.
    pub key: Option<u64>,
    /// Time of the clock by which it must have a result.
    pub deadline: Micros,
    /// An estimate of the message's own work, microseconds, if given.
    pub work_hint: Option<Micros>,
    /// Destination it goes to.
    pub dest: DestId,
    /// Its body is forwarded as it arrives: a call's latency counts from [`DispatchEvent::Written`] on.
    pub stream: bool,
    /// Bytes that it takes in a call with other messages; 0 where calls have no size limit.
    pub size: u64,
}

/// An attempt that an earlier process of the sender made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PastAttempt {
    /// Zone of its endpoint.
    pub zone: u32,
    /// When it was sent.
    pub sent: Micros,
    /// False only where its outcome proves that it never ran.
    pub may_have_run: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The receiver accepted the message.
    Ok,
    /// The receiver answered with an error.
    Error,
    /// The receiver refused the call as over its limit; it did not run.
    Full,
    /// No answer came in time.
    Timeout,
    /// No connection could be made; the call did not run.
    ConnectFailed,
    /// The connection broke after the call was sent.
    Reset,
    /// The sender or its client cancelled the call.
    Cancelled,
    /// The call was never made, for a reason unrelated to the receiver.
    Moot,
}

/// What happened, as the host reports it.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// The endpoint list, or a change to it.
    List {
        /// How it relates to the list before it.
        kind: ListUpdate,
        /// Its entries.
        entries: Vec<EndpointEntry>,
    },
    /// A message was submitted.
    Submit(Message),
    /// A message that an earlier process of this sender accepted.
    Restore {
        /// The message.
        message: Message,
        /// The attempts that it has had.
        past: Vec<PastAttempt>,
    },
    /// The process ends at this time: no call starts that is unlikely to end before it.
    Stop {
        /// Planned end, by the clock.
        at: Micros,
    },
    /// An attempt ended.
    Completed(Completion),
    /// The last byte of a stream's call was written.
    Written {
        /// The message.
        msg: MsgId,
        /// Number of its attempt, from 0.
        attempt: u32,
    },
    /// The result of a health check; none is ever requested, so it is ignored.
    ProbeCompleted {
        /// Endpoint that was checked.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Its duration.
        elapsed: Micros,
        /// Load report of the answer.
        report: Vec<f64>,
    },
    /// The message has its result by other means, or its client has gone.
    Hangup {
        /// The message.
        msg: MsgId,
    },
    /// The timer fired.
    Timer {
        /// The tag of the action that set it.
        tag: u64,
    },
    /// A message of a peer. No decision depends on these at present.
    Peer {
        /// Number of the sender that it came from.
        from: u32,
        /// Its content.
        body: Vec<u8>,
    },
    /// The headers of an answer arrived. No decision depends on them.
    Headers {
        /// The message.
        msg: MsgId,
        /// Number of its attempt, from 0.
        attempt: u32,
    },
}

/// How an attempt ended: one message's part in the end of a call.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The message.
    pub msg: MsgId,
    /// Number of its attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Duration of the call.
    pub elapsed: Micros,
    /// True: the message has its result.
    pub finished: bool,
    /// For [`Outcome::Full`]: how long the receiver asks to wait; 0 for no such request.
    pub wait: Micros,
    /// Load report of the answer: the values of its fields in the order of the settings; empty if it has none.
    pub load_report: Vec<f64>,
}
