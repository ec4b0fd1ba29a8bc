//! Passes the dispatcher's state to a visitor. The patterns list all fields, so that code with a new field that is
//! not visited does not compile.

use super::message::{Attempt, CallInFlight, CallNumber, PendingMessage};
use super::route::{Destination, Endpoint, Route};
use super::state::{ConnectRefusal, Dispatcher, KeyQueue, TenantShare};
use super::time::NEVER;
use super::window::LATENCY_THRESHOLD;
use crate::actions::RouteView;
use crate::ids::{DestId, EndpointId, Micros, MsgId};
use crate::state_visitor::StateVisitor;
use quillmount_containers::LatencyEstimate;
use std::collections::BTreeMap;

impl Dispatcher {
    /// Passes all state that decisions depend on to the visitor. The settings are left out, since they do not change,
    /// and the actions, which are empty between steps.
    pub fn visit_state(&self, visitor: &mut impl StateVisitor) {
        let Dispatcher {
            settings: _,
            rng_state,
            now,
            min_timeout,
            messages,
            open_messages,
            endpoints,
            destinations,
            waiting_destinations,
            ready_destinations: _,
            blocked_destinations: _,
            routes,
            free_routes,
            calls_in_flight,
            next_call: _,
            key_queues,
            tenant_shares,
            // Derived from the other fields; a position only orders the waiting messages.
            message_expiries: _,
            guarded_routes: _,
            next_position: _,
            next_expiry_check,
            timer_at,
            last_connect_refusal,
            resubscribe_at,
            resubscribe_delay,
            stop_at,
            actions: _,
        } = self;
        let times = [*now, *next_expiry_check, *timer_at, *resubscribe_at, stop_at.unwrap_or(NEVER)];
        visit_times(times, visitor);
        visit_numbers([*rng_state, *resubscribe_delay, u64::from(*open_messages)], visitor);
        let ConnectRefusal { dest, refused_at } = last_connect_refusal;
        visitor.visit_u64(*dest);
        visitor.visit_time(*refused_at);
        visitor.visit_f64(*min_timeout);
        visit_messages(messages, visitor);
        visit_endpoints(endpoints, visitor);
        visit_destinations(destinations, visitor);
        visit_lengths(
            [
                waiting_destinations.len(),
                routes.len(),
                free_routes.len(),
                calls_in_flight.len(),
                key_queues.len(),
            ],
            visitor,
        );
        visit_numbers(waiting_destinations.iter().copied(), visitor);
        visit_routes(routes, calls_in_flight, visitor);
        visit_lengths(free_routes.iter().copied(), visitor);
        visit_calls(calls_in_flight, visitor);
        visit_key_queues(key_queues, visitor);
        visit_tenant_shares(tenant_shares, visitor);
    }

    /// Returns a view of the route that serves `endpoint`; `None` if the endpoint is unknown.
    pub fn route(&self, endpoint: EndpointId) -> Option<RouteView> {
        let route = &self.routes[self.endpoints.get(&endpoint)?.route];
        Some(RouteView {
            smoothed_latency: route.latency.smoothed,
            window: route.window,
            threshold: LATENCY_THRESHOLD * route.latency.baseline,
            in_flight: route.in_flight.len() as u32,
            in_outage: route.in_outage,
        })
    }
}

fn visit_times(times: impl IntoIterator<Item = Micros>, visitor: &mut impl StateVisitor) {
    for time in times {
        visitor.visit_time(time);
    }
}

fn visit_numbers(numbers: impl IntoIterator<Item = u64>, visitor: &mut impl StateVisitor) {
    for number in numbers {
        visitor.visit_u64(number);
    }
}

/// Visits lengths of tables or indices into them.
fn visit_lengths(lengths: impl IntoIterator<Item = usize>, visitor: &mut impl StateVisitor) {
    for length in lengths {
        visitor.visit_u64(length as u64);
    }
}

fn visit_messages(messages: &BTreeMap<MsgId, PendingMessage>, visitor: &mut impl StateVisitor) {
    visitor.visit_u64(messages.len() as u64);
    for (id, message) in messages {
        visitor.visit_message(*id);
        visit_message(message, visitor);
    }
}

fn visit_message(message: &PendingMessage, visitor: &mut impl StateVisitor) {
    let PendingMessage {
        class,
        value,
        key,
        dest,
        created_at,
        received_at,
        latency_target,
        deadline,
        is_open,
        stream,
        size,
        attempts,
        position: _,
        restored,
    } = message;
    visitor.visit_bool(*stream);
    visitor.visit_bool(*restored);
    visitor.visit_u64(*size);
    let numbers = [*class as u64, *dest, *latency_target, u64::from(*is_open), attempts.len() as u64];
    visit_numbers(numbers, visitor);
    visitor.visit_u64(key.map_or(0, |key| key.wrapping_add(1)));
    visit_times([*created_at, *received_at, *deadline], visitor);
    visitor.visit_f64(*value);
    for attempt in attempts {
        visit_attempt(attempt, visitor);
    }
}

fn visit_attempt(attempt: &Attempt, visitor: &mut impl StateVisitor) {
    let Attempt {
        endpoint,
        zone,
        route,
        call: _,
        sent,
        execution,
        reused_connection,
        cancelled,
        streams_body,
        latency_from,
    } = attempt;
    visitor.visit_bool(*streams_body);
    visitor.visit_time(*latency_from);
    visitor.visit_endpoint(*endpoint);
    visitor.visit_time(*sent);
    let numbers = [
        u64::from(*zone),
        *route as u64,
        *execution as u64,
        (*reused_connection).into(),
        (*cancelled).into(),
    ];
    visit_numbers(numbers, visitor);
}

fn visit_endpoints(endpoints: &BTreeMap<EndpointId, Endpoint>, visitor: &mut impl StateVisitor) {
    visitor.visit_u64(endpoints.len() as u64);
    for (id, endpoint) in endpoints {
        visitor.visit_endpoint(*id);
        visit_endpoint(endpoint, visitor);
    }
}

fn visit_endpoint(endpoint: &Endpoint, visitor: &mut impl StateVisitor) {
    let Endpoint {
        dest,
        route,
        zone,
        rate,
        listed,
        calls,
        idle_since,
        last_answer,
        last_refusal,
        full_until,
        tie_break,
    } = endpoint;
    let numbers =
        [*dest, *route as u64, (*zone).into(), (*calls).into(), (*listed).into(), idle_since.len() as u64];
    visit_numbers(numbers, visitor);
    visit_times(idle_since.iter().copied(), visitor);
    visit_times([*last_answer, *last_refusal, *full_until], visitor);
    visitor.visit_f64(*rate);
    visitor.visit_f64(*tie_break);
}

fn visit_destinations(destinations: &BTreeMap<DestId, Destination>, visitor: &mut impl StateVisitor) {
    visitor.visit_u64(destinations.len() as u64);
    for (id, Destination { kind, routes, waiting }) in destinations {
        visit_numbers([*id, *kind as u64, routes.len() as u64, waiting.len() as u64], visitor);
        visit_lengths(routes.iter().copied(), visitor);
        for message in waiting.iter() {
            visitor.visit_message(message);
        }
    }
}

/// Visits calls by their messages. The number of a call is left out, since it only counts the calls before it.
fn visit_calls(calls: &BTreeMap<CallNumber, CallInFlight>, visitor: &mut impl StateVisitor) {
    for CallInFlight { pending, timed_out } in calls.values() {
        visitor.visit_bool(*timed_out);
        for message in pending {
            visitor.visit_message(*message);
        }
    }
}

fn visit_key_queues(key_queues: &BTreeMap<u64, KeyQueue>, visitor: &mut impl StateVisitor) {
    for (key, KeyQueue { messages, cooldown_until }) in key_queues {
        visit_numbers([*key, messages.len() as u64], visitor);
        for message in messages {
            visitor.visit_message(*message);
        }
        visitor.visit_time(*cooldown_until);
    }
}

fn visit_tenant_shares(shares: &[TenantShare], visitor: &mut impl StateVisitor) {
    for TenantShare { tokens, counted_at } in shares {
        visitor.visit_f64(*tokens);
        visitor.visit_time(*counted_at);
    }
}

fn visit_routes(
    routes: &[Route],
    calls_in_flight: &BTreeMap<CallNumber, CallInFlight>,
    visitor: &mut impl StateVisitor,
) {
    let first_message = |call: &CallNumber| {
        let call = calls_in_flight.get(call);
        call.and_then(|call| call.pending.first()).copied().unwrap_or(MsgId::MAX)
    };
    for route in routes {
        visit_route(route, first_message, visitor);
    }
}

fn visit_route(route: &Route, first_message: impl Fn(&CallNumber) -> MsgId, visitor: &mut impl StateVisitor) {
    let Route {
        dest: _,
        endpoints,
        in_flight,
        open_streams,
        window,
        latency,
        answered_latency,
        // Visited by `visit_outcomes`, as are the other fields left out below.
        timeouts_in_row: _,
        last_success_sent,
        window_limited,
        last_shrink,
        wait_until,
        recent_failures: _,
        recent_errors: _,
        failures_in_row: _,
        refusals_in_row: _,
        first_failure_sent,
        in_outage,
        trial_call,
        guard_until,
        last_failure_seen,
        keep_until,
        recent_sends,
        last_sent,
        paced_at,
    } = route;
    let lengths = [endpoints.len(), in_flight.len(), latency.samples().iter().len(), recent_sends.len()];
    visit_lengths(lengths, visitor);
    for endpoint in endpoints {
        visitor.visit_endpoint(*endpoint);
    }
    for (call, sent) in in_flight {
        visitor.visit_message(first_message(call));
        visitor.visit_time(*sent);
    }
    visit_latency(latency, *open_streams, *window, *answered_latency, visitor);
    visit_outcomes(route, visitor);
    for flag in [*window_limited, *in_outage, trial_call.is_some()] {
        visitor.visit_bool(flag);
    }
    visitor.visit_message(trial_call.as_ref().map_or(MsgId::MAX, first_message));
    visit_times([*last_success_sent, *last_shrink, *wait_until, *first_failure_sent], visitor);
    visit_times([*guard_until, *last_failure_seen, *keep_until, *last_sent, *paced_at], visitor);
    visit_times(recent_sends.iter().copied(), visitor);
}

fn visit_latency(
    latency: &LatencyEstimate,
    open_streams: u32,
    window: f64,
    answered_latency: f64,
    visitor: &mut impl StateVisitor,
) {
    for (measured_at, sample) in latency.samples().iter() {
        visitor.visit_time(measured_at);
        visitor.visit_f64(sample);
    }
    visitor.visit_u64(open_streams.into());
    for value in [window, latency.smoothed.unwrap_or(-1.0), latency.baseline, answered_latency] {
        visitor.visit_f64(value);
    }
}

fn visit_outcomes(route: &Route, visitor: &mut impl StateVisitor) {
    let counts = [
        route.timeouts_in_row,
        route.recent_failures.into(),
        route.recent_errors.into(),
        route.failures_in_row,
        route.refusals_in_row,
    ];
    visit_numbers(counts.map(u64::from), visitor);
}
