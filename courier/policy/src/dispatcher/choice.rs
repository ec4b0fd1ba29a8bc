//! Which message is sent next on a route, and to which of its endpoints.

use super::message::{PendingMessage, ValueGroup};
use super::route::Endpoint;
use super::state::Dispatcher;
use super::time::SECOND;
use super::value::HORIZON;
use super::window::{LATENCY_FLOOR, window_cap};
use crate::breaks::{self, Break};
use crate::ids::{DestId, EndpointId, Micros, MsgId};

/// Cost of a new connection, in calls in flight.
const NEW_CONNECTION_COST: f64 = 0.5;
/// Cost of crossing a zone, in calls in flight.
const ZONE_CROSSING_COST: f64 = 0.75;
/// Weight of a message's present value against the loss by waiting.
const PRESENT_VALUE_WEIGHT: f64 = 0.25;
/// How long a call is likely to occupy its slot where nothing is known, microseconds.
const UNKNOWN_SLOT_TIME: f64 = 0.25 * SECOND as f64;

/// An endpoint with its cost, in calls in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankedEndpoint {
    pub(super) cost: f64,
    pub(super) endpoint: EndpointId,
}

/// A message that may be sent now, and where it would go.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Value gained for each microsecond of the slot.
    pub(super) merit: f64,
    pub(super) message: MsgId,
    pub(super) to: RankedEndpoint,
}

impl Dispatcher {
    /// The best message for a destination that may be sent now, with its endpoint: of several routes the one of the
    /// least cost. `wake` is brought forward to the time when a route becomes available.
    pub(super) fn best_for_destination(&mut self, dest: DestId, wake: &mut Micros) -> Option<Candidate> {
        let routes = self.destinations[&dest].routes.clone();
        let calls_of =
            |index: &usize| self.routes[*index].in_flight.len() + self.routes[*index].open_streams as usize;
        let calls = routes.iter().map(calls_of).sum::<usize>();
        if calls >= window_cap(self.settings.slots) as usize {
            return None;
        }
        let mut best: Option<Candidate> = None;
        for route in routes {
            let at = self.available_at(route);
            if at > self.now {
                self.routes[route].window_limited = true;
                *wake = (*wake).min(at);
                continue;
            }
            let Some(candidate) = self.best_message(route, None, wake) else {
                continue;
            };
            let order = |candidate: &Candidate| (candidate.to.cost, -candidate.merit);
            best = best.filter(|best| order(best) <= order(&candidate)).or(Some(candidate));
        }
        best
    }

    /// The message of a route with the greatest gain now, and its endpoint. One that is bound to a zone, waits for its key's
    /// order or may not be sent never blocks the others. `call_endpoint`: it joins a call to that endpoint.
    pub(super) fn best_message(
        &self,
        route: usize,
        call_endpoint: Option<EndpointId>,
        wake: &mut Micros,
    ) -> Option<Candidate> {
        let chosen = &self.routes[route];
        let answer_at = self.now + chosen.latency.smoothed.unwrap_or(LATENCY_FLOOR) as Micros;
        // Before a planned stop a call starts only where twice the usual time is left for it.
        if self.stop_at.is_some_and(|stop| answer_at + (answer_at - self.now) > stop) {
            return None;
        }
        let usual = match call_endpoint {
            Some(endpoint) => RankedEndpoint { cost: 0.0, endpoint },
            None => self.choose_endpoint(route, None)?,
        };
        // A message with less time left than calls there may take would shorten the others' time-out, and is sent alone.
        let min_deadline =
            if call_endpoint.is_some() { self.now + chosen.call_timeout(self.min_timeout) } else { 0 };
        let slot_time = self.expected_slot_time(route);
        let waiting = &self.destinations[&self.endpoints[&usual.endpoint].dest].waiting;
        let mut best: Option<Candidate> = None;
        let mut best_position = 0;
        for (group, ages) in waiting.groups() {
            let to = if group.zone.is_some() { self.choose_endpoint(route, group.zone) } else { Some(usual) };
            let Some(to) = to.filter(|to| self.fits_call(group, route, to.endpoint, call_endpoint)) else {
                continue;
            };
            let ids = if group.ordered {
                ages.iter().collect()
            } else {
                ages.candidates(answer_at, || self.breakpoints(group, HORIZON))
            };
            for id in ids {
                let message = &self.messages[&id];
                if message.deadline < min_deadline
                    || !self.may_send(message)
                    || !self.is_next_of_key(id, message, wake)
                {
                    continue;
                }
                let merit = self.merit(message, answer_at, slot_time);
                let is_better = best.is_none_or(|best| {
                    merit > best.merit || (merit == best.merit && message.position < best_position)
                });
                if is_better {
                    best = Some(Candidate { merit, message: id, to });
                    best_position = message.position;
                }
            }
        }
        best
    }

    /// How long a call on the route is likely to occupy its slot, microseconds.
    fn expected_slot_time(&self, route: usize) -> f64 {
        let route = &self.routes[route];
        if route.timeouts_in_row > 0 {
            route.call_timeout(self.min_timeout) as f64
        } else {
            route.latency.smoothed.unwrap_or(UNKNOWN_SLOT_TIME)
        }
    }

    /// The value gained for each microsecond of the slot if the message is answered then rather than a horizon later.
    fn merit(&self, message: &PendingMessage, answer_at: Micros, slot_time: f64) -> f64 {
        let value = self.value_at(message, answer_at);
        (PRESENT_VALUE_WEIGHT * value + value - self.value_at(message, answer_at + HORIZON)) / slot_time
    }

    /// Whether a group's messages may go to the endpoint: alone, or within a call to `call_endpoint`.
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

    /// Whether one more stream may begin: streams have a configured share of the slots and of a destination's window. No
    /// stream is a trial call, since it would reveal the end of an outage only with its last byte.
    fn may_start_stream(&self, route: usize) -> bool {
        let all_streams = self.routes.iter().map(|route| route.open_streams).sum::<u32>();
        let route = &self.routes[route];
        let max_streams = (route.window * self.settings.stream_window_share) as u32;
        let has_capacity =
            all_streams < self.settings.stream_slots && route.open_streams < max_streams.max(1);
        !route.in_outage && (has_capacity || breaks::is_enabled(Break::IgnoreStreamShare))
    }

    /// The listed endpoint of a route, in `zone` if one is given, with the least cost.
    fn choose_endpoint(&self, route: usize, zone: Option<u32>) -> Option<RankedEndpoint> {
        let endpoints = self.routes[route].endpoints.iter().map(|id| (*id, &self.endpoints[id]));
        let usable = endpoints
            .filter(|(_, candidate)| candidate.listed && zone.is_none_or(|zone| zone == candidate.zone));
        let ranked = usable
            .map(|(endpoint, candidate)| RankedEndpoint { cost: self.endpoint_cost(candidate), endpoint });
        ranked.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Calls in flight at an endpoint, and what a new connection or another zone adds to them.
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
