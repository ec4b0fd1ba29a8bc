//! Types for the state of endpoints, destinations and routes. They are part of the state that one process hands over
//! to the next, which is encoded by position: the order of the fields must not change.

use super::message::{CallNumber, ValueGroup};
use crate::ids::{DestId, EndpointId, Micros};
use quillmount_containers::{AgeGroups, LatencyEstimate};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// One endpoint of a destination.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Endpoint {
    /// Destination that the endpoint belongs to.
    pub dest: DestId,
    /// Route that the endpoint belongs to, an index into the dispatcher's routes.
    pub route: usize,
    /// Zone in which the endpoint runs.
    pub zone: u32,
    /// Rate limit, calls a second, from the endpoint list or a load report; 0 if unknown.
    pub rate: f64,
    /// Whether the endpoint list contains the endpoint as ready.
    pub listed: bool,
    /// Number of calls in flight to the endpoint.
    pub calls: u32,
    /// Time at which each idle connection to the endpoint was last used.
    pub idle_since: Vec<Micros>,
    /// Time at which a call to the endpoint was last answered.
    pub last_answer: Micros,
    /// Time at which the endpoint last refused a connection.
    pub last_refusal: Micros,
    /// Time until which the endpoint's connection table is considered full.
    pub full_until: Micros,
    /// Random number, drawn with each call, that decides between endpoints of equal cost.
    pub tie_break: f64,
}

/// A destination: its routes and the messages that wait for it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Destination {
    /// Index of the destination's kind in the settings.
    pub kind: usize,
    /// Routes of the destination, indices into the dispatcher's routes.
    pub routes: Vec<usize>,
    /// Messages without an attempt in flight.
    pub waiting: AgeGroups<ValueGroup>,
}

/// The unit of congestion control: a destination or, where its kind has separate routes, one of its endpoints.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Route {
    /// Destination of the route.
    pub dest: DestId,
    /// Endpoints of the route, in the order in which they were added.
    pub endpoints: Vec<EndpointId>,
    /// Calls in flight that count against the window, with the time of sending, oldest first.
    pub in_flight: VecDeque<(CallNumber, Micros)>,
    /// Number of streams whose last byte has not been written; after it, a stream is in `in_flight`.
    pub open_streams: u32,
    /// Calls that may be in flight at once. A window below one limits the rate of calls instead.
    pub window: f64,
    /// Smoothed latency (CAL) and its baseline.
    pub latency: LatencyEstimate,
    /// Average latency of answered calls, microseconds; 0 before the first sample. Time-outs derive from it.
    pub answered_latency: f64,
    /// Number of consecutive time-outs.
    pub timeouts_in_row: u32,
    /// Latest time of sending among the calls that succeeded.
    pub last_success_sent: Micros,
    /// Whether the window has delayed a message since its last update.
    pub window_limited: bool,
    /// Time at which the window was last shrunk; 0 for never.
    pub last_shrink: Micros,
    /// Time before which no call is made, because of a back-off or a wait that the receiver requested.
    pub wait_until: Micros,
    /// The last eight outcomes, one bit each, the latest in the lowest bit; set for every outcome except a success.
    pub recent_failures: u8,
    /// The last eight outcomes in the same form; set for each error.
    pub recent_errors: u8,
    /// Number of failures since the last success.
    pub failures_in_row: u32,
    /// Number of refusals (`Outcome::Full`) since the last success.
    pub refusals_in_row: u32,
    /// Earliest time of sending among the calls that failed or were refused since the last success; [`Micros::MAX`]
    /// for none.
    pub first_failure_sent: Micros,
    /// Whether the route is considered down; it then gets one trial call at a time.
    pub in_outage: bool,
    /// The trial call in flight.
    pub trial_call: Option<CallNumber>,
    /// Time until which the slow-start guard is active; 0 if it is not.
    pub guard_until: Micros,
    /// Time at which the latest failure was recorded.
    pub last_failure_seen: Micros,
    /// Time until which the route remains in the table for the guard, even without endpoints.
    pub keep_until: Micros,
    /// Times of the calls within the last overload span; a call with many messages appears several times.
    pub recent_sends: VecDeque<Micros>,
    /// Time at which the last call was sent.
    pub last_sent: Micros,
    /// Time at which the last call would have been sent if every two calls were a full interval apart.
    pub paced_at: Micros,
}
