//! Pacing: the time of a route's next call, and the interval between its calls where a rate limit is known.

use super::slow_start::MIN_RATE;
use super::state::Dispatcher;
use super::window::{BASELINE_SPAN, LATENCY_FLOOR};
use crate::ids::Micros;

/// Maximum interval between two calls of a route with a window below one, microseconds: about the span of a
/// receiver's limit.
pub const PACE_INTERVAL_MAX: f64 = 2.0 * 1e6;
/// Number of calls that may be sent ahead of their interval.
pub const CALLS_AHEAD: f64 = 1.0;

impl Dispatcher {
    /// Earliest time at which the route may take its next call, as far as is known. A time that is not in the future
    /// means now.
    pub(super) fn available_at(&self, route: usize) -> Micros {
        let wait_until = self.routes[route].wait_until;
        let allowed_at = if self.routes[route].in_outage {
            wait_until.max(self.after_trial(route))
        } else {
            wait_until.max(self.after_window(route))
        };
        let ahead = (self.call_gap(route) as f64 * CALLS_AHEAD) as Micros;
        let allowed_at = allowed_at.max(self.routes[route].paced_at.saturating_sub(ahead));
        self.next_turn(route, allowed_at).unwrap_or_else(|| self.after_budget(route, allowed_at))
    }

    /// In an outage: time at which the trial call in flight exceeds its time-out; 0 without a trial call.
    fn after_trial(&self, route: usize) -> Micros {
        let down = &self.routes[route];
        match down.trial_call {
            Some(_) => down.last_sent + down.call_timeout(self.min_timeout),
            None => 0,
        }
    }

    /// Time at which the window has capacity for a call. Calls that have exceeded their time-out occupy slots but no
    /// longer count against the window.
    fn after_window(&self, route: usize) -> Micros {
        let open = &self.routes[route];
        let timeout = open.call_timeout(self.min_timeout);
        let window = open.effective_window(self.now);
        let sent_times = open.in_flight.iter().map(|(_, sent)| *sent);
        let mut counted = sent_times.filter(|sent| sent + timeout > self.now);
        let max_calls = if window >= 1.0 { window as usize } else { 2 - usize::from(window < open.window) };
        let mut allowed_at = 0;
        if let Some(first) = counted.next().filter(|_| counted.count() + 1 >= max_calls) {
            allowed_at = allowed_at.max(first + timeout);
        }
        if window < 1.0 && self.paced_interval(route, false).is_none() {
            // DEPARTURE: a window w below one limits the rate to one call every CAL / w.
            let latency = open.latency.smoothed.unwrap_or(LATENCY_FLOOR);
            allowed_at = allowed_at.max(open.last_sent + (latency / window).min(PACE_INTERVAL_MAX) as Micros);
        }
        allowed_at
    }

    /// Known rate limit of a route, calls a second: the lowest of its endpoints' rates.
    pub(super) fn listed_rate(&self, route: usize) -> Option<f64> {
        let rates = self.routes[route].endpoints.iter().map(|endpoint| self.endpoints[endpoint].rate);
        rates.filter(|rate| *rate > 0.0).reduce(f64::min).map(|rate| rate.max(MIN_RATE))
    }

    /// Maximum number of messages in one call of a route.
    pub(super) fn batch_limit(&self, route: usize) -> u32 {
        let destination = self.destinations.get(&self.routes[route].dest);
        let kind = destination.and_then(|destination| self.settings.kinds.get(destination.kind));
        kind.map_or(1, |kind| kind.batch.max(1))
    }

    /// Whether each endpoint of the route's destination has a route of its own.
    fn has_separate_routes(&self, route: usize) -> bool {
        let destination = self.destinations.get(&self.routes[route].dest);
        let kind = destination.and_then(|destination| self.settings.kinds.get(destination.kind));
        kind.is_some_and(|kind| kind.separate_routes)
    }

    /// Time between two calls of this sender if all senders share a known limit equally, microseconds; 0 for no such
    /// interval. Meanwhile messages accumulate for one call, instead of each one using a part of the limit.
    pub(super) fn call_gap(&self, route: usize) -> Micros {
        let rate = if self.batch_limit(route) > 1 { self.listed_rate(route) } else { None };
        let batch_gap = rate.map(|rate| 1e6 * f64::from(self.settings.sender_count.max(1)) / rate);
        let window_gap =
            || self.paced_interval(route, false).map(|interval| interval / self.routes[route].window);
        batch_gap.or_else(window_gap).unwrap_or(0.0) as Micros
    }

    /// Time in which this sender's share of the known rate allows one call, microseconds; `None` if that rate does
    /// not pace the route.
    ///
    /// DEPARTURE: a window of whole calls cannot enforce a share of a known rate that is below one call in CAL. A
    /// route whose window was shrunk within the last minute (or `shrinks` now) sends a window of calls in that time,
    /// since all other senders continue to send as well. The cost is that a burst at one sender is delivered late. It
    /// does not apply to separate routes, since other routes are available, nor to sparsely served ones, which have
    /// turns instead.
    pub(super) fn paced_interval(&self, route: usize, shrinks: bool) -> Option<f64> {
        let paced = &self.routes[route];
        let senders = f64::from(self.settings.sender_count.max(1));
        let recently_shrunk =
            shrinks || paced.last_shrink > 0 && self.now < paced.last_shrink + BASELINE_SPAN;
        let is_single = self.batch_limit(route) == 1 && !self.has_separate_routes(route);
        let rate = if recently_shrunk && is_single { self.listed_rate(route) } else { None };
        let interval = 1e6 * senders / rate?;
        let latency = paced.latency.smoothed.unwrap_or(LATENCY_FLOOR);
        (interval > latency && !self.is_sparsely_served(route)).then_some(interval)
    }
}
