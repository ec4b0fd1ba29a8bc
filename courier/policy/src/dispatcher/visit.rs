//! Shows a visitor every field of the dispatcher. The patterns name all fields, so that a new one that is not shown does
//! not compile.

use super::message::{Attempt, CallInFlight, CallNumber, PendingMessage};
use super::route::{Destination, Endpoint, Route};
use super::state::{ConnectRefusal, Dispatcher, KeyQueue, TenantShare};
use super::time::NEVER;
use super::window::LATENCY_THRESHOLD;
use crate::actions::RouteView;
use crate::ids::{DestId, EndpointId, MsgId};
use crate::state_visitor::StateVisitor;

impl Dispatcher {
    /// Shows all that decides. The settings stay as they are, and the actions are taken after each step.
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
            // These follow from the rest; a position only orders the messages that wait.
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
        for at in [*now, *next_expiry_check, *timer_at, *resubscribe_at, stop_at.unwrap_or(NEVER)] {
            visitor.visit_time(at);
        }
        let first_message = |call: &CallNumber| {
            let call = calls_in_flight.get(call);
            call.and_then(|call| call.pending.first()).copied().unwrap_or(MsgId::MAX)
        };
        for value in [*rng_state, *resubscribe_delay, u64::from(*open_messages)] {
            visitor.visit_u64(value);
        }
        let ConnectRefusal { dest, at } = last_connect_refusal;
        visitor.visit_u64(*dest);
        visitor.visit_time(*at);
        visitor.visit_f64(*min_timeout);
        visitor.visit_u64(messages.len() as u64);
        for (id, message) in messages {
            visitor.visit_message(*id);
            visit_message(message, visitor);
        }
        visitor.visit_u64(endpoints.len() as u64);
        for (id, endpoint) in endpoints {
            visitor.visit_endpoint(*id);
            visit_endpoint(endpoint, visitor);
        }
        visitor.visit_u64(destinations.len() as u64);
        for (id, destination) in destinations {
            visit_destination(*id, destination, visitor);
        }
        let lengths = [
            waiting_destinations.len(),
            routes.len(),
            free_routes.len(),
            calls_in_flight.len(),
            key_queues.len(),
        ];
        for length in lengths {
            visitor.visit_u64(length as u64);
        }
        for dest in waiting_destinations {
            visitor.visit_u64(*dest);
        }
        for route in routes {
            visit_route(route, first_message, visitor);
        }
        for route in free_routes {
            visitor.visit_u64(*route as u64);
        }
        // Calls are known by their messages: their numbers say only how many there were before.
        for call in calls_in_flight.values() {
            visit_call(call, visitor);
        }
        for (key, queue) in key_queues {
            visit_key_queue(*key, queue, visitor);
        }
        for TenantShare { tokens, counted_at } in tenant_shares {
            visitor.visit_f64(*tokens);
            visitor.visit_time(*counted_at);
        }
    }

    /// What the sender knows of the route that serves `endpoint`; `None` where it does not know the endpoint.
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
    let values =
        [*dest, *route as u64, (*zone).into(), (*calls).into(), (*listed).into(), idle_since.len() as u64];
    for value in values {
        visitor.visit_u64(value);
    }
    for at in idle_since.iter().chain([last_answer, last_refusal, full_until]) {
        visitor.visit_time(*at);
    }
    visitor.visit_f64(*rate);
    visitor.visit_f64(*tie_break);
}

fn visit_destination(id: DestId, destination: &Destination, visitor: &mut impl StateVisitor) {
    let Destination { kind, routes, waiting } = destination;
    for value in [id, *kind as u64, routes.len() as u64, waiting.len() as u64] {
        visitor.visit_u64(value);
    }
    for route in routes {
        visitor.visit_u64(*route as u64);
    }
    for message in waiting.iter() {
        visitor.visit_message(message);
    }
}

fn visit_call(call: &CallInFlight, visitor: &mut impl StateVisitor) {
    let CallInFlight { pending, timed_out } = call;
    visitor.visit_bool(*timed_out);
    for message in pending {
        visitor.visit_message(*message);
    }
}

fn visit_key_queue(key: u64, queue: &KeyQueue, visitor: &mut impl StateVisitor) {
    let KeyQueue { messages, cooldown_until } = queue;
    visitor.visit_u64(key);
    visitor.visit_u64(messages.len() as u64);
    for message in messages {
        visitor.visit_message(*message);
    }
    visitor.visit_time(*cooldown_until);
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
    for value in [*class as u64, *dest, *latency_target, u64::from(*is_open), attempts.len() as u64] {
        visitor.visit_u64(value);
    }
    visitor.visit_u64(key.map_or(0, |key| key.wrapping_add(1)));
    for at in [*created_at, *received_at, *deadline] {
        visitor.visit_time(at);
    }
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
    let values = [
        u64::from(*zone),
        *route as u64,
        *execution as u64,
        (*reused_connection).into(),
        (*cancelled).into(),
    ];
    for value in values {
        visitor.visit_u64(value);
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
        timeouts_in_row,
        last_success_sent,
        window_limited,
        last_shrink,
        wait_until,
        recent_failures,
        recent_errors,
        failures_in_row,
        refusals_in_row,
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
    for length in lengths {
        visitor.visit_u64(length as u64);
    }
    for endpoint in endpoints {
        visitor.visit_endpoint(*endpoint);
    }
    for (call, sent) in in_flight {
        visitor.visit_message(first_message(call));
        visitor.visit_time(*sent);
    }
    for (at, sample) in latency.samples().iter() {
        visitor.visit_time(at);
        visitor.visit_f64(sample);
    }
    visitor.visit_u64((*open_streams).into());
    for value in [*window, latency.smoothed.unwrap_or(-1.0), latency.baseline, *answered_latency] {
        visitor.visit_f64(value);
    }
    let counts = [
        u64::from(*timeouts_in_row),
        (*recent_failures).into(),
        (*recent_errors).into(),
        (*failures_in_row).into(),
        (*refusals_in_row).into(),
    ];
    for count in counts {
        visitor.visit_u64(count);
    }
    for flag in [*window_limited, *in_outage, trial_call.is_some()] {
        visitor.visit_bool(flag);
    }
    visitor.visit_message(trial_call.as_ref().map_or(MsgId::MAX, first_message));
    let times = [
        last_success_sent,
        last_shrink,
        wait_until,
        first_failure_sent,
        guard_until,
        last_failure_seen,
        keep_until,
        last_sent,
        paced_at,
    ];
    for at in times.into_iter().chain(recent_sends) {
        visitor.visit_time(*at);
    }
}
