//! Selects the message that is sent next on a route, and its endpoint.

use super::message::{PendingMessage, ValueGroup};
use super::route::Endpoint;
use super::state::Dispatcher;
use super::time::SECOND;
use super::value::VALUE_HORIZON;
use super::window::{LATENCY_FLOOR, window_cap};
use crate::breaks::{self, Break};
use crate::ids::{DestId, EndpointId, Micros, MsgId};

/// Cost of a new connection, as a number of calls in flight.
const NEW_CONNECTION_COST: f64 = 0.5;
/// Cost of a call to another zone, as a number of calls in flight.
const ZONE_CROSSING_COST: f64 = 0.75;
/// Weight of a message's present value relative to the value that it loses by waiting.
const PRESENT_VALUE_WEIGHT: f64 = 0.25;
/// Expected time that a call occupies its slot before the first latency sample, microseconds.
const UNKNOWN_SLOT_TIME: f64 = 0.25 * SECOND as f64;

/// An endpoint with the cost of a call to it, as a number of calls in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankedEndpoint {
    pub(super) cost: f64,
    pub(super) endpoint: EndpointId,
}

/// A message that may be sent now, with its endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Value gained for each microsecond that the call occupies its slot.
    pub(super) value_rate: f64,
    pub(super) message: MsgId,
    pub(super) target: RankedEndpoint,
}

impl Dispatcher {
    /// Returns the best message for a destination that may be sent now, on the route with the lowest cost. Lowers
    /// `wake_at` to the earliest time at which a route becomes available.
    pub(super) fn best_for_destination(&mut self, dest: DestId, wake_at: &mut Micros) -> Option<Candidate> {
        let routes = self.destinations[&dest].routes.clone();
        let calls_on =
            |index: &usize| self.routes[*index].in_flight.len() + self.routes[*index].open_streams as usize;
        let calls = routes.iter().map(calls_on).sum::<usize>();
        if calls >= window_cap(self.settings.slots) as usize {
            return None;
        }
        let mut best: Option<Candidate> = None;
        for route in routes {
            let available_at = self.available_at(route);
            if available_at > self.now {
                self.routes[route].window_limited = true;
                *wake_at = (*wake_at).min(available_at);
                continue;
            }
            let Some(candidate) = self.best_message(route, None, wake_at) else {
                continue;
            };
            let rank = |candidate: &Candidate| (candidate.target.cost, -candidate.value_rate);
            best = best.filter(|best| rank(best) <= rank(&candidate)).or(Some(candidate));
        }
        best
    }

    /// Returns the message of a route with the highest value rate now, with its endpoint. A message that is bound to
    /// a zone, waits for an earlier one with its key or may not be sent never blocks the others. If `call_endpoint`
    /// is set, the message is to join a call to that endpoint.
    pub(super) fn best_message(
        &self,
        route: usize,
        call_endpoint: Option<EndpointId>,
        wake_at: &mut Micros,
    ) -> Option<Candidate> {
        let selected = &self.routes[route];
        let answer_at = self.now + selected.latency.smoothed.unwrap_or(LATENCY_FLOOR) as Micros;
        // Before a planned stop a call starts only if twice its usual latency is left.
        if self.stop_at.is_some_and(|stop| answer_at + (answer_at - self.now) > stop) {
            return None;
        }
        let default_target = match call_endpoint {
            Some(endpoint) => RankedEndpoint { cost: 0.0, endpoint },
            None => self.choose_endpoint(route, None)?,
        };
        // A message whose deadline is earlier than the time-out of calls on this route would shorten the time-out of
        // the other messages, so it is sent alone.
        let min_deadline =
            if call_endpoint.is_some() { self.now + selected.call_timeout(self.min_timeout) } else { 0 };
        let slot_time = self.expected_slot_time(route);
        let waiting = &self.destinations[&self.endpoints[&default_target.endpoint].dest].waiting;
        let mut best: Option<Candidate> = None;
        let mut best_position = 0;
        for (group, ages) in waiting.groups() {
            let target = if group.zone.is_some() {
                self.choose_endpoint(route, group.zone)
            } else {
                Some(default_target)
            };
            let Some(target) =
                target.filter(|target| self.fits_call(group, route, target.endpoint, call_endpoint))
            else {
                continue;
            };
            let ids = if group.ordered {
                ages.iter().collect()
            } else {
                ages.candidates(answer_at, || self.breakpoints(group, VALUE_HORIZON))
            };
            for id in ids {
                let message = &self.messages[&id];
                if message.deadline < min_deadline
                    || !self.may_send(message)
                    || !self.is_next_of_key(id, message, wake_at)
                {
                    continue;
                }
                let value_rate = self.value_rate(message, answer_at, slot_time);
                let is_better = best.is_none_or(|best| {
                    value_rate > best.value_rate
                        || (value_rate == best.value_rate && message.position < best_position)
                });
                if is_better {
                    best = Some(Candidate { value_rate, message: id, target });
                    best_position = message.position;
                }
            }
        }
        best
    }

    /// Expected time that a call on the route occupies its slot, microseconds.
    fn expected_slot_time(&self, route: usize) -> f64 {
        let route = &self.routes[route];
        if route.timeouts_in_row > 0 {
            route.call_timeout(self.min_timeout) as f64
        } else {
            route.latency.smoothed.unwrap_or(UNKNOWN_SLOT_TIME)
        }
    }

    /// Value gained for each microsecond of the slot if the message is answered at `answer_at` rather than
    /// [`VALUE_HORIZON`] later.
    fn value_rate(&self, message: &PendingMessage, answer_at: Micros, slot_time: f64) -> f64 {
        let value = self.value_at(message, answer_at);
        (PRESENT_VALUE_WEIGHT * value + value - self.value_at(message, answer_at + VALUE_HORIZON)) / slot_time
    }

    /// Whether a group's messages may be sent to the endpoint, in a new call or within a call to `call_endpoint`.
    fn fits_call(
        &self,
        group: &ValueGroup,
        route: usize,
        endpoint: EndpointId,
        call_endpoint: Option<EndpointId>,
    ) -> bool {
        match call_endpoint {
            Some(call_endpoint) => call_endpoint == endpoint && !group.stream,
            None => !group.stream || self.may_start_stream(route),
        }
    }

    /// Whether one more stream may start: streams have a configured share of the slots and of a route's window. A
    /// stream is never used as a trial call, since it would reveal the end of an outage only after its last byte.
    fn may_start_stream(&self, route: usize) -> bool {
        let all_streams = self.routes.iter().map(|route| route.open_streams).sum::<u32>();
        let route = &self.routes[route];
        let max_streams = (route.window * self.settings.stream_window_share) as u32;
        let has_capacity =
            all_streams < self.settings.stream_slots && route.open_streams < max_streams.max(1);
        !route.in_outage && (has_capacity || breaks::is_enabled(Break::IgnoreStreamShare))
    }

    /// Returns the listed endpoint of a route with the lowest cost, in `zone` if one is given.
    fn choose_endpoint(&self, route: usize, zone: Option<u32>) -> Option<RankedEndpoint> {
        let endpoints = self.routes[route].endpoints.iter().map(|id| (*id, &self.endpoints[id]));
        let usable = endpoints
            .filter(|(_, candidate)| candidate.listed && zone.is_none_or(|zone| zone == candidate.zone));
        let ranked = usable
            .map(|(endpoint, candidate)| RankedEndpoint { cost: self.endpoint_cost(candidate), endpoint });
        ranked.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Cost of a call to an endpoint: its calls in flight plus the costs of a new connection and of crossing zones.
    fn endpoint_cost(&self, endpoint: &Endpoint) -> f64 {
        let has_idle = endpoint.idle_since.iter().any(|since| since + self.settings.keepalive > self.now);
        let has_capacity = !endpoint.calls.is_multiple_of(self.settings.streams_per_connection.max(1));
        let connection_cost = if has_idle || has_capacity { 0.0 } else { NEW_CONNECTION_COST };
        let crosses_zone = endpoint.zone != self.settings.zone && self.settings.cross_zone_price > 0.0;
        f64::from(endpoint.calls)
            + endpoint.tie_break
            + connection_cost
            + if crosses_zone { ZONE_CROSSING_COST } else { 0.0 }
    }
}
