//! What the dispatcher has the host do, and what it shows of a route. Types only.

use crate::ids::{EndpointId, Micros, MsgId};

/// One thing that the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Send a message.
    Send {
        /// The message.
        msg: MsgId,
        /// Where to.
        endpoint: EndpointId,
        /// How long to wait for the answer.
        timeout: Micros,
        /// No byte of it may leave from then on: a repeat would not be dropped any more. The clock's end where nothing
        /// sets such a time.
        send_before: Micros,
        /// It travels in the call of the `Send` before it, to the same endpoint.
        joins_previous: bool,
    },
    /// End the message as not accepted; submitting it once more does no harm.
    Reject {
        /// The message.
        msg: MsgId,
        /// Advice when to submit it once more, from now on (0: none).
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
    /// A line for the on-call log.
    Log(String),
    /// Set the timer, beside those that are set already.
    Timer {
        /// From now on.
        after: Micros,
        /// Returned when it fires; always 0 at present.
        tag: u64,
    },
}

/// A route as seen from outside, for tests and for on-call staff.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteView {
    /// Smoothed latency CAL, microseconds; `None` before the first sample.
    pub smoothed_latency: Option<f64>,
    /// Calls that may be in flight at once; below one it sets a pace.
    pub window: f64,
    /// Latency above which the window shrinks, microseconds.
    pub threshold: f64,
    /// Calls in flight that count in the window.
    pub in_flight: u32,
    /// It is taken to be down.
    pub in_outage: bool,
}
