//! Types of the events that the host reports to the dispatcher: submissions, ends of calls, the endpoint list.

use crate::ids::{DestId, EndpointId, Micros, MsgId};
use serde::{Deserialize, Serialize};

/// State of an endpoint according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum EndpointState {
    /// The endpoint has been removed from the list.
    Gone,
    /// The endpoint accepts calls.
    Ready,
    /// The endpoint shuts down gracefully: no new call is made to it.
    Draining,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Number of the endpoint, chosen by the host.
    pub endpoint: EndpointId,
    /// Destination that the endpoint belongs to.
    pub dest: DestId,
    /// Index of the destination's kind in the settings. A kind that the settings do not have has no separate routes
    /// and no batches.
    pub kind: usize,
    /// Zone in which the endpoint runs.
    pub zone: u32,
    /// Rate limit, calls a second, if [`Settings::weight_is_rate`](crate::Settings::weight_is_rate) is set; otherwise
    /// unused.
    pub weight: f64,
    /// Whether the endpoint accepts calls.
    pub state: EndpointState,
    /// Operators had disabled the endpoint, which may have been restarted since: its destination counts as returning
    /// from an outage.
    pub returning: bool,
}

/// How an update of the endpoint list relates to the previous list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The entries are changes to the previous list.
    Delta,
    /// The entries are the complete list, current or cached: endpoints without an entry are gone.
    Full,
    /// Discovery failed; the update has no entries.
    Failed,
}

/// A message that is submitted.
#[derive(Clone, Debug)]
pub struct Message {
    /// Number of the message, chosen by the host and used once in an instance's lifetime.
    pub id: MsgId,
    /// Index of the message's class in the settings.
    pub class: usize,
    /// Index of the message's tenant in the settings, if it has one. A message of a tenant that the settings do not
    /// have is accepted and counts against no share.
    pub tenant: Option<usize>,
    /// Ordering key: messages with the same key are sent in order if their class sets `keep_order`.
    pub key: Option<u64>,
    /// Time of the clock by which the message must have a result.
    pub deadline: Micros,
    /// An estimate of the message's own work, microseconds, if given.
    pub work_hint: Option<Micros>,
    /// Destination of the message.
    pub dest: DestId,
    /// The body is forwarded while it arrives: a call's latency is measured from [`DispatchEvent::Written`].
    pub stream: bool,
    /// Bytes that the message occupies in a call with other messages; 0 where calls have no size limit.
    pub size: u64,
}

/// An attempt that an earlier process of the sender made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PastAttempt {
    /// Zone of the endpoint that was called.
    pub zone: u32,
    /// Time of the clock at which the attempt was sent.
    pub sent: Micros,
    /// Whether the attempt may have run at the receiver; false only if its outcome proves that it did not.
    pub may_have_run: bool,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The receiver accepted the message.
    Ok,
    /// The receiver answered with an error.
    Error,
    /// The receiver refused the call because it exceeds the receiver's limit; the call did not run.
    Full,
    /// No answer arrived before the time-out.
    Timeout,
    /// The connection could not be established; the call did not run.
    ConnectFailed,
    /// The connection was reset after the call was sent.
    Reset,
    /// The sender or its client cancelled the call.
    Cancelled,
    /// The call was never made, for a reason unrelated to the receiver.
    Moot,
}

/// An event that the host reports.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// The endpoint list, or a change to it.
    List {
        /// How the update relates to the previous list.
        kind: ListUpdate,
        /// Entries of the update; empty for [`ListUpdate::Failed`].
        entries: Vec<EndpointEntry>,
    },
    /// A message was submitted.
    Submit(Message),
    /// A message that an earlier process of this sender accepted.
    Restore {
        /// The message.
        message: Message,
        /// Attempts of the message so far, oldest first.
        past: Vec<PastAttempt>,
    },
    /// The process stops at this time: no call is started that is unlikely to end before it.
    Stop {
        /// Time of the clock at which the process stops.
        stop_at: Micros,
    },
    /// An attempt ended.
    Completed(Completion),
    /// The last byte of a stream's call was written.
    Written {
        /// The message.
        msg: MsgId,
        /// Number of the message's attempt, from 0.
        attempt: u32,
    },
    /// The result of a health check. Ignored, since the dispatcher never requests one.
    ProbeCompleted {
        /// The checked endpoint.
        endpoint: EndpointId,
        /// Outcome of the health check.
        outcome: Outcome,
        /// Duration of the health check, microseconds.
        elapsed: Micros,
        /// Load report in the answer.
        report: Vec<f64>,
    },
    /// The message got its result by other means, or its client has disconnected.
    Hangup {
        /// The message.
        msg: MsgId,
    },
    /// The timer fired.
    Timer {
        /// Tag of the [`DispatchAction::Timer`](crate::DispatchAction::Timer) that set the timer.
        tag: u64,
    },
    /// A message from another sender. No decision depends on it at present.
    Peer {
        /// Number of the sender that sent it.
        from: u32,
        /// Content of the message.
        body: Vec<u8>,
    },
    /// The headers of an answer arrived. No decision depends on this event.
    Headers {
        /// The message.
        msg: MsgId,
        /// Number of the message's attempt, from 0.
        attempt: u32,
    },
}

/// The end of an attempt. The end of a call is reported as one `Completion` for each of its messages.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The message.
    pub msg: MsgId,
    /// Number of the message's attempt, from 0.
    pub attempt: u32,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Duration of the call, microseconds.
    pub elapsed: Micros,
    /// Whether the message has its final result.
    pub finished: bool,
    /// How long the receiver asked the sender to wait before the next call, microseconds; 0 for no such request. Sent
    /// with [`Outcome::Full`].
    pub wait: Micros,
    /// Load report in the answer: the values of its fields in the order of the settings; empty if there is none.
    pub load_report: Vec<f64>,
}
