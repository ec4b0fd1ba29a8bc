//! What the host is to do, at both interfaces of this package, and what the dispatcher shows of a route. Types only.
//!
//! There are two types, since the two interfaces leave different work to the host. [`DispatchAction`] is the output of
//! [`Dispatcher::step`](crate::Dispatcher::step), which decides; a host that simulates a sender, such as the drill, carries
//! it out directly. [`Instruction`] is the output of [`Policy`](crate::Policy), which derives it from the actions for a host
//! that owns sockets:
//!
//! | [`DispatchAction`] | [`Instruction`] |
//! |---|---|
//! | `Send`, one for each message; `joins_previous` marks the further messages of a call | `Call`, one for each call, with all its messages and the numbers of their attempts |
//! | `Timer` | none: the host calls [`Policy::tick`](crate::Policy::tick) at [`Policy::wake_at`](crate::Policy::wake_at) |
//! | `Subscribe` | none: the host watches discovery all the time |
//! | `Reject`, `Fail`, `Cancel`, `CloseIdle`, `Log` | the variant of the same name, unchanged |

use crate::ids::{EndpointId, Micros, MsgId};

/// One thing that the host of a [`Dispatcher`](crate::Dispatcher) is to do. The head of `actions.rs` says how it differs from an
/// [`Instruction`](crate::Instruction).
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Send a message.
    Send {
        /// The message.
        msg: MsgId,
        /// The endpoint to call.
        endpoint: EndpointId,
        /// How long to wait for the answer, microseconds.
        timeout: Micros,
        /// No byte of it may be sent from this time on, since the receiver would no longer drop a repeat;
        /// [`Micros::MAX`] where there is no such time.
        send_before: Micros,
        /// It belongs to the same call as the `Send` before it, to the same endpoint.
        joins_previous: bool,
    },
    /// End the message as not accepted; it may safely be submitted again.
    Reject {
        /// The message.
        msg: MsgId,
        /// Advice when to submit it again, from now on, microseconds; 0: no advice.
        after: Micros,
    },
    /// End the message as failed; nothing is promised about its effect.
    Fail {
        /// The message.
        msg: MsgId,
    },
    /// Stop waiting for a call, and report it as cancelled.
    Cancel {
        /// A message of the call.
        msg: MsgId,
        /// Number of its attempt, from 0.
        attempt: u32,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to the endpoint list.
    Subscribe,
    /// A line for the log.
    Log(String),
    /// Set the timer, in addition to those already set.
    Timer {
        /// Delay from now on, microseconds.
        after: Micros,
        /// Returned when it fires; always 0 at present.
        tag: u64,
    },
}

/// One thing that the host of a [`Policy`](crate::Policy) is to do. Compared with the dispatcher's [`DispatchAction`]s, the
/// messages of one call are together and their attempts are numbered, and there are neither timers nor subscriptions: the
/// host calls [`Policy::tick`](crate::Policy::tick) and watches discovery all the time.
#[derive(Clone, Debug, PartialEq)]
pub enum Instruction {
    /// Make one call.
    Call {
        /// The endpoint to call.
        endpoint: EndpointId,
        /// The messages of the call, at least one.
        items: Vec<CallItem>,
    },
    /// As [`DispatchAction::Cancel`].
    Cancel {
        /// A message of the call.
        msg: MsgId,
        /// Number of its attempt, from 0.
        attempt: u32,
    },
    /// As [`DispatchAction::Reject`].
    Reject {
        /// The message.
        msg: MsgId,
        /// Advice when to submit it again, from now on, microseconds; 0: no advice.
        after: Micros,
    },
    /// As [`DispatchAction::Fail`].
    Fail {
        /// The message.
        msg: MsgId,
    },
    /// As [`DispatchAction::CloseIdle`].
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A line for the log.
    Log(String),
}

/// A message of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallItem {
    /// The message.
    pub msg: MsgId,
    /// Number of its attempt, from 0.
    pub attempt: u32,
    /// How long to wait for its answer, microseconds.
    pub timeout: Micros,
    /// No byte of the call may be sent at this time of the clock or later.
    pub send_before: Micros,
}

/// A route as seen from outside, for tests and for on-call staff.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteView {
    /// Smoothed latency CAL, microseconds; `None` before the first sample.
    pub smoothed_latency: Option<f64>,
    /// Calls that may be in flight at once; below one it limits the rate of calls.
    pub window: f64,
    /// Latency above which the window shrinks, microseconds.
    pub threshold: f64,
    /// Calls in flight that count in the window.
    pub in_flight: u32,
    /// It is considered down.
    pub in_outage: bool,
}
