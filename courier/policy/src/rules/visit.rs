//! Shows an eye every field of the dispatcher. The patterns name all fields, so that a new one that is
//! not shown does not compile.

use super::*;
use crate::state_visitor::StateVisitor;

impl Dispatcher {
    /// Shows all that decides. The settings stay as they are, and the actions are taken after each step.
    pub fn visit_state(&self, visitor: &mut impl StateVisitor) {
        #[rustfmt::skip]
        let Dispatcher {
            settings: _, rng_state, now, min_timeout, messages, open_messages, endpoints, destinations, waiting_destinations, lanes, free_lanes, calls_in_flight, key_queues, tenant_shares,
            // The first two follow from the rest; a place only orders those held.
            message_expiries: _, guarded_lanes: _, next_call: _, next_position: _, ready_destinations: _, blocked_destinations: _,
            next_expiry_check, timer_at, last_connect_refusal, resubscribe_at, resubscribe_delay, stop_at, actions: _,
        } = self;
        [*now, *next_expiry_check, *timer_at, *resubscribe_at, stop_at.unwrap_or(NEVER)]
            .into_iter()
            .for_each(|t| visitor.visit_time(t));
        let first = |call: &CallNumber| {
            calls_in_flight.get(call).and_then(|o| o.pending.first()).copied().unwrap_or(MsgId::MAX)
        };
        [*rng_state, *resubscribe_delay, u64::from(*open_messages)]
            .into_iter()
            .for_each(|w| visitor.visit_u64(w));
        visitor.visit_u64(last_connect_refusal.0);
        visitor.visit_time(last_connect_refusal.1);
        visitor.visit_f64(*min_timeout);
        visitor.visit_u64(messages.len() as u64);
        for (id, m) in messages {
            visitor.visit_message(*id);
            visit_message(m, visitor);
        }
        visitor.visit_u64(endpoints.len() as u64);
        for (id, e) in endpoints {
            visitor.visit_endpoint(*id);
            let Endpoint {
                dest,
                lane,
                zone,
                rate,
                listed,
                calls,
                idle_since,
                last_answer,
                last_refusal,
                full_until,
                tie_break,
            } = e;
            [*dest, *lane as u64, (*zone).into(), (*calls).into(), (*listed).into(), idle_since.len() as u64]
                .into_iter()
                .for_each(|w| visitor.visit_u64(w));
            idle_since
                .iter()
                .chain([last_answer, last_refusal, full_until])
                .for_each(|t| visitor.visit_time(*t));
            [*rate, *tie_break].into_iter().for_each(|x| visitor.visit_f64(x));
        }
        visitor.visit_u64(destinations.len() as u64);
        for (id, d) in destinations {
            let Destination { kind, lanes, waiting } = d;
            [*id, *kind as u64, lanes.len() as u64, waiting.len() as u64]
                .into_iter()
                .for_each(|w| visitor.visit_u64(w));
            lanes.iter().for_each(|l| visitor.visit_u64(*l as u64));
            waiting.iter().for_each(|m| visitor.visit_message(m));
        }
        [waiting_destinations.len(), lanes.len(), free_lanes.len(), calls_in_flight.len(), key_queues.len()]
            .into_iter()
            .for_each(|n| visitor.visit_u64(n as u64));
        waiting_destinations.iter().for_each(|d| visitor.visit_u64(*d));
        lanes.iter().for_each(|l| visit_lane(l, first, visitor));
        free_lanes.iter().for_each(|n| visitor.visit_u64(*n as u64));
        // Calls are known by their messages: their numbers tell only how many there were before.
        for CallInFlight { pending, timed_out } in calls_in_flight.values() {
            visitor.visit_bool(*timed_out);
            pending.iter().for_each(|m| visitor.visit_message(*m));
        }
        for (key, (turn, rest)) in key_queues {
            [*key, turn.len() as u64].into_iter().for_each(|w| visitor.visit_u64(w));
            turn.iter().for_each(|m| visitor.visit_message(*m));
            visitor.visit_time(*rest);
        }
        for (left, at) in tenant_shares {
            visitor.visit_f64(*left);
            visitor.visit_time(*at);
        }
    }

    /// What the sender knows of the lane that serves `endpoint`.
    pub fn lane(&self, endpoint: EndpointId) -> Option<LaneView> {
        let l = &self.lanes[self.endpoints.get(&endpoint)?.lane];
        let (threshold, in_flight) = (LATENCY_THRESHOLD * l.latency.baseline, l.in_flight.len() as u32);
        Some(LaneView {
            smoothed_latency: l.latency.smoothed,
            window: l.window,
            threshold,
            in_flight,
            in_outage: l.in_outage,
        })
    }

    /// From here on draws come from this seed.
    pub fn reseed(&mut self, seed: u64) {
        self.rng_state = seed;
    }
}

fn visit_message(m: &PendingMessage, visitor: &mut impl StateVisitor) {
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
    } = m;
    visitor.visit_bool(*stream);
    visitor.visit_bool(*restored);
    visitor.visit_u64(*size);
    [*class as u64, *dest, *latency_target, u64::from(*is_open), attempts.len() as u64]
        .into_iter()
        .for_each(|w| visitor.visit_u64(w));
    visitor.visit_u64(key.map_or(0, |k| k.wrapping_add(1)));
    [*created_at, *received_at, *deadline].into_iter().for_each(|t| visitor.visit_time(t));
    visitor.visit_f64(*value);
    for a in attempts {
        let Attempt {
            endpoint,
            zone,
            lane,
            call: _,
            sent,
            execution,
            reused_connection,
            cancelled,
            streams_body,
            latency_from,
        } = a;
        visitor.visit_bool(*streams_body);
        visitor.visit_time(*latency_from);
        visitor.visit_endpoint(*endpoint);
        visitor.visit_time(*sent);
        [u64::from(*zone), *lane as u64, *execution as u64, (*reused_connection).into(), (*cancelled).into()]
            .into_iter()
            .for_each(|w| visitor.visit_u64(w));
    }
}

fn visit_lane(l: &Lane, first: impl Fn(&CallNumber) -> MsgId, visitor: &mut impl StateVisitor) {
    #[rustfmt::skip]
    let Lane {
        dest: _, endpoints, in_flight, open_streams, window, latency, answered_latency, timeouts_in_row, last_success_sent,
        window_limited, last_shrink, wait_until,
        recent_failures, recent_errors, failures_in_row, refusals_in_row, first_failure_sent, in_outage, trial_call,
        guard_until, last_failure_seen, keep_until, recent_sends, last_sent, paced_at,
    } = l;
    [endpoints.len(), in_flight.len(), latency.samples().iter().len(), recent_sends.len()]
        .into_iter()
        .for_each(|n| visitor.visit_u64(n as u64));
    endpoints.iter().for_each(|e| visitor.visit_endpoint(*e));
    for (call, at) in in_flight {
        visitor.visit_message(first(call));
        visitor.visit_time(*at);
    }
    for (at, sample) in latency.samples().iter() {
        visitor.visit_time(at);
        visitor.visit_f64(sample);
    }
    visitor.visit_u64((*open_streams).into());
    [*window, latency.smoothed.unwrap_or(-1.0), latency.baseline, *answered_latency]
        .into_iter()
        .for_each(|x| visitor.visit_f64(x));
    [
        u64::from(*timeouts_in_row),
        (*recent_failures).into(),
        (*recent_errors).into(),
        (*failures_in_row).into(),
        (*refusals_in_row).into(),
    ]
    .into_iter()
    .for_each(|n| visitor.visit_u64(n));
    [*window_limited, *in_outage, trial_call.is_some()].into_iter().for_each(|f| visitor.visit_bool(f));
    visitor.visit_message(trial_call.as_ref().map_or(MsgId::MAX, first));
    [
        *last_success_sent,
        *last_shrink,
        *wait_until,
        *first_failure_sent,
        *guard_until,
        *last_failure_seen,
        *keep_until,
        *last_sent,
        *paced_at,
    ]
    .into_iter()
    .chain(recent_sends.iter().copied())
    .for_each(|t| visitor.visit_time(t));
}
