//! What the dispatcher records of endpoints, destinations and routes. Types only; they are part of the state that one
//! process hands to the next, field by field in this order.

use super::message::{CallNumber, ValueGroup};
use crate::ids::{DestId, EndpointId, Micros};
use quillmount_containers::{AgeGroups, LatencyEstimate};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// One endpoint of a destination.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Endpoint {
    /// Destination that it belongs to.
    pub dest: DestId,
    /// Route that it belongs to, an index of the dispatcher's routes.
    pub route: usize,
    /// Zone in which it runs.
    pub zone: u32,
    /// Limit of calls a second, by the endpoint list or a load report; 0 where unknown.
    pub rate: f64,
    /// The endpoint list has it as ready.
    pub listed: bool,
    /// Calls in flight to it.
    pub calls: u32,
    /// When each idle connection to it was last used.
    pub idle_since: Vec<Micros>,
    /// When a call to it was last answered.
    pub last_answer: Micros,
    /// When it last refused a connection.
    pub last_refusal: Micros,
    /// Until when its connection table is considered full.
    pub full_until: Micros,
    /// Drawn at random with each call; decides between endpoints of equal cost.
    pub tie_break: f64,
}

/// A destination: its routes and the messages that wait for it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Destination {
    /// Index of its kind in the settings.
    pub kind: usize,
    /// Its routes, indices of the dispatcher's.
    pub routes: Vec<usize>,
    /// Messages without an attempt in flight.
    pub waiting: AgeGroups<ValueGroup>,
}

/// The unit of congestion control: a destination or, where its kind has separate routes, one of its endpoints.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Route {
    /// Destination that it leads to.
    pub dest: DestId,
    /// Its endpoints, in the order in which the list brought them.
    pub endpoints: Vec<EndpointId>,
    /// Calls in flight that count in the window, with the time each was sent, oldest first.
    pub in_flight: VecDeque<(CallNumber, Micros)>,
    /// Streams whose last byte has not been written; from then on they are in `in_flight`.
    pub open_streams: u32,
    /// Calls that may be in flight at once; below one it limits the rate of calls.
    pub window: f64,
    /// Smoothed latency (CAL) and its baseline.
    pub latency: LatencyEstimate,
    /// Average latency of answered calls, microseconds; 0 before the first. Time-outs derive from it.
    pub answered_latency: f64,
    /// Time-outs since the last other outcome.
    pub timeouts_in_row: u32,
    /// When the latest of the calls that succeeded was sent.
    pub last_success_sent: Micros,
    /// The window has delayed a message since its last update.
    pub window_limited: bool,
    /// When the window was last shrunk; 0 for never.
    pub last_shrink: Micros,
    /// No call is made before this time: back-off, or a wait that the receiver asked for.
    pub wait_until: Micros,
    /// The last eight outcomes, a bit for each, the latest lowest; set for all but a success.
    pub recent_failures: u8,
    /// The same, set for each error.
    pub recent_errors: u8,
    /// Failures since the last success.
    pub failures_in_row: u32,
    /// Refusals as full since the last success.
    pub refusals_in_row: u32,
    /// When the first call was sent that failed or was refused since the last success; [`Micros::MAX`] for none.
    pub first_failure_sent: Micros,
    /// The route is considered down: one trial call at a time.
    pub in_outage: bool,
    /// The trial call in flight.
    pub trial_call: Option<CallNumber>,
    /// Until when the slow-start guard binds; 0 where it does not.
    pub guard_until: Micros,
    /// When the latest failure was seen.
    pub last_failure_seen: Micros,
    /// Until when the route stays in the table for the guard, although it has no endpoint left.
    pub keep_until: Micros,
    /// Times of the calls within the last overload span, weighted by their messages.
    pub recent_sends: VecDeque<Micros>,
    /// When the last call was sent.
    pub last_sent: Micros,
    /// When the last of its calls so far would have been sent with the full interval between any two.
    pub paced_at: Micros,
}
