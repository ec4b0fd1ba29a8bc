//! When a route may take its next call, and the interval between its calls where a rate is known.

use super::slow_start::MIN_RATE;
use super::state::Dispatcher;
use super::window::{BASELINE_SPAN, LATENCY_FLOOR};
use crate::ids::Micros;

/// Longest interval between two calls of a route with a window below one, microseconds: about a limit's fixed span.
pub const PACE_INTERVAL_MAX: f64 = 2.0 * 1e6;
/// Calls that may be sent ahead of their interval.
pub const CALLS_AHEAD: f64 = 1.0;

impl Dispatcher {
    /// The earliest time at which the route may take its next call, as far as is known; a time not after the present means
    /// now.
    pub(super) fn available_at(&self, route: usize) -> Micros {
        let wait_until = self.routes[route].wait_until;
        let at = if self.routes[route].in_outage {
            wait_until.max(self.after_trial(route))
        } else {
            wait_until.max(self.after_window(route))
        };
        let ahead = (self.call_gap(route) as f64 * CALLS_AHEAD) as Micros;
        let at = at.max(self.routes[route].paced_at.saturating_sub(ahead));
        self.next_turn(route, at).unwrap_or_else(|| self.after_budget(route, at))
    }

    /// In an outage: when a trial call in flight is past its time-out.
    fn after_trial(&self, route: usize) -> Micros {
        let down = &self.routes[route];
        match down.trial_call {
            Some(_) => down.last_sent + down.call_timeout(self.min_timeout),
            None => 0,
        }
    }

    /// When the window has capacity for a call. Calls past their time-out occupy slots, but no longer the window.
    fn after_window(&self, route: usize) -> Micros {
        let open = &self.routes[route];
        let timeout = open.call_timeout(self.min_timeout);
        let window = open.effective_window(self.now);
        let sent_times = open.in_flight.iter().map(|(_, sent)| *sent);
        let mut counted = sent_times.filter(|sent| sent + timeout > self.now);
        let max_calls = if window >= 1.0 { window as usize } else { 2 - usize::from(window < open.window) };
        let mut at = 0;
        if let Some(first) = counted.next().filter(|_| counted.count() + 1 >= max_calls) {
            at = at.max(first + timeout);
        }
        if window < 1.0 && self.paced_interval(route, false).is_none() {
            // DEPARTURE: a window w below one limits the rate to a call every CAL / w.
            let latency = open.latency.smoothed.unwrap_or(LATENCY_FLOOR);
            at = at.max(open.last_sent + (latency / window).min(PACE_INTERVAL_MAX) as Micros);
        }
        at
    }

    /// The known rate of a route, calls a second: the least of its endpoints' that have one.
    pub(super) fn listed_rate(&self, route: usize) -> Option<f64> {
        let rates = self.routes[route].endpoints.iter().map(|endpoint| self.endpoints[endpoint].rate);
        rates.filter(|rate| *rate > 0.0).reduce(f64::min).map(|rate| rate.max(MIN_RATE))
    }

    /// Messages that one call of a route may carry.
    pub(super) fn batch_limit(&self, route: usize) -> u32 {
        let destination = self.destinations.get(&self.routes[route].dest);
        let kind = destination.and_then(|destination| self.settings.kinds.get(destination.kind));
        kind.map_or(1, |kind| kind.batch.max(1))
    }

    /// Whether the route is one of several of its destination.
    fn has_separate_routes(&self, route: usize) -> bool {
        let destination = self.destinations.get(&self.routes[route].dest);
        let kind = destination.and_then(|destination| self.settings.kinds.get(destination.kind));
        kind.is_some_and(|kind| kind.separate_routes)
    }

    /// Time between two calls of this sender if all senders share a known limit equally. Messages that fit into one call
    /// accumulate meanwhile, instead of each using up a share of the limit.
    pub(super) fn call_gap(&self, route: usize) -> Micros {
        let rate = if self.batch_limit(route) > 1 { self.listed_rate(route) } else { None };
        let batch_gap = rate.map(|rate| 1e6 * f64::from(self.settings.sender_count.max(1)) / rate);
        let window_gap =
            || self.paced_interval(route, false).map(|interval| interval / self.routes[route].window);
        batch_gap.or_else(window_gap).unwrap_or(0.0) as Micros
    }

    /// Time in which this sender's share of the known rate allows one call, microseconds, if the route is paced by it.
    ///
    /// DEPARTURE: a window of full calls cannot enforce a share of a known rate that is below one call in CAL. A route whose
    /// window was shrunk within a minute (or `shrinks` now) sends a window of calls in that time, since all other senders
    /// continue as well. The cost is that a burst at one sender is delivered late. It does not apply to separate routes, among
    /// which there is a choice, nor to sparsely served ones, which have turns instead.
    pub(super) fn paced_interval(&self, route: usize, shrinks: bool) -> Option<f64> {
        let paced = &self.routes[route];
        let senders = f64::from(self.settings.sender_count.max(1));
        let shrunk = shrinks || paced.last_shrink > 0 && self.now < paced.last_shrink + BASELINE_SPAN;
        let single = self.batch_limit(route) == 1 && !self.has_separate_routes(route);
        let rate = if shrunk && single { self.listed_rate(route) } else { None };
        let interval = 1e6 * senders / rate?;
        let latency = paced.latency.smoothed.unwrap_or(LATENCY_FLOOR);
        (interval > latency && !self.is_sparsely_served(route)).then_some(interval)
    }
}
