//! Types of the actions that the host performs, at both interfaces of this package, and the public view of a route.
//!
//! There are two types of actions, since the two interfaces leave different work to the host. [`DispatchAction`] is
//! the output of [`Dispatcher::step`](crate::Dispatcher::step), which makes the decisions; a host that simulates a
//! sender performs it directly. [`Instruction`] is the output of [`Policy`](crate::Policy), which derives it from the
//! actions for a host that owns sockets:
//!
//! | [`DispatchAction`] | [`Instruction`] |
//! |---|---|
//! | `Send`, one for each message; `joins_previous` marks the further messages of a call | `Call`, one for each call, with all its messages and the numbers of their attempts |
//! | `Timer` | none; the host calls [`Policy::tick`](crate::Policy::tick) at [`Policy::wake_at`](crate::Policy::wake_at) |
//! | `Subscribe` | none; the host watches discovery permanently |
//! | `Reject`, `Fail`, `Cancel`, `CloseIdle`, `Log` | the variant of the same name, unchanged |

use crate::ids::{EndpointId, Micros, MsgId};

/// An action that the host of a [`Dispatcher`](crate::Dispatcher) performs. The module documentation of `actions.rs`
/// compares it with [`Instruction`](crate::Instruction).
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
        /// Time of the clock from which no byte of the message may be sent, since the receiver no longer drops a repeat
        /// then; [`Micros::MAX`] where there is no such limit.
        send_before: Micros,
        /// The message belongs to the same call, to the same endpoint, as the `Send` before it.
        joins_previous: bool,
    },
    /// Report the message as rejected; the client may safely submit it again.
    Reject {
        /// The message.
        msg: MsgId,
        /// Delay after which the client is advised to submit the message again, microseconds; 0 for no advice.
        after: Micros,
    },
    /// Report the message as failed; it may or may not have taken effect.
    Fail {
        /// The message.
        msg: MsgId,
    },
    /// Stop waiting for the answer to a call, and report the call as cancelled.
    Cancel {
        /// A message of the call.
        msg: MsgId,
        /// Number of the message's attempt, from 0.
        attempt: u32,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Write a line to the log.
    Log(String),
    /// Set a timer, in addition to the timers that are already set.
    Timer {
        /// Delay from now on, microseconds.
        after: Micros,
        /// Value that [`DispatchEvent::Timer`](crate::DispatchEvent::Timer) carries when the timer fires; always 0 at
        /// present.
        tag: u64,
    },
}

/// An action that the host of a [`Policy`](crate::Policy) performs. Compared with [`DispatchAction`], it groups the
/// messages of one call and numbers their attempts. It has neither timers nor subscriptions, since the host calls
/// [`Policy::tick`](crate::Policy::tick) and watches discovery permanently.
#[derive(Clone, Debug, PartialEq)]
pub enum Instruction {
    /// Make one call.
    Call {
        /// The endpoint to call.
        endpoint: EndpointId,
        /// The messages of the call, at least one.
        items: Vec<CallItem>,
    },
    /// Same as [`DispatchAction::Cancel`].
    Cancel {
        /// A message of the call.
        msg: MsgId,
        /// Number of the message's attempt, from 0.
        attempt: u32,
    },
    /// Same as [`DispatchAction::Reject`].
    Reject {
        /// The message.
        msg: MsgId,
        /// Delay after which the client is advised to submit the message again, microseconds; 0 for no advice.
        after: Micros,
    },
    /// Same as [`DispatchAction::Fail`].
    Fail {
        /// The message.
        msg: MsgId,
    },
    /// Same as [`DispatchAction::CloseIdle`].
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Write a line to the log.
    Log(String),
}

/// A message of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallItem {
    /// The message.
    pub msg: MsgId,
    /// Number of the message's attempt, from 0.
    pub attempt: u32,
    /// How long to wait for the answer for this message, microseconds.
    pub timeout: Micros,
    /// Time of the clock from which no byte of the call may be sent; [`Micros::MAX`] where there is no such limit.
    pub send_before: Micros,
}

/// The public view of a route, for tests and on-call staff.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteView {
    /// Smoothed latency (CAL), microseconds; `None` before the first sample.
    pub smoothed_latency: Option<f64>,
    /// Calls that may be in flight at once. A window below one limits the rate of calls instead.
    pub window: f64,
    /// Latency above which the window shrinks, microseconds.
    pub threshold: f64,
    /// Number of calls in flight that count against the window.
    pub in_flight: u32,
    /// Whether the route is considered down; it then gets one trial call at a time.
    pub in_outage: bool,
}
