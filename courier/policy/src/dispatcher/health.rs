//! Updates a route by the outcome of a call: latency, window, back-off, outages and the slow-start guard.

use super::message::Attempt;
use super::pacing::{CALLS_AHEAD, PACE_INTERVAL_MAX};
use super::retry::backoff;
use super::route::Route;
use super::state::Dispatcher;
use super::time::{NEVER, SECOND};
use super::window::{LATENCY_FLOOR, LATENCY_SMOOTHING, window_cap};
use crate::actions::DispatchAction;
use crate::events::{Completion, Outcome};
use crate::ids::{EndpointId, Micros};

/// Factor by which a refusal (`Outcome::Full`) or a repeated failure shrinks the window: the value of the original
/// design.
const WINDOW_SHRINK: f64 = 0.5;
/// Minimum interval between two shrinks of the window, microseconds: refusals within it are due to the same exhausted
/// span of the receiver's limit.
const SHRINK_INTERVAL: Micros = SECOND;
/// Minimum window of a route that is paced by a known rate. It covers a listed rate that is half too high, combined
/// with a limit that was reduced to a fifth.
const PACED_WINDOW_MIN: f64 = 0.125;
/// Consecutive failures that indicate an outage: errors seldom occur in pairs. Two time-outs already activate the
/// guard.
const OUTAGE_FAILURES: u32 = 3;
/// Failures among the last eight calls that indicate an outage.
const OUTAGE_RECENT_FAILURES: u32 = 6;
/// If more than this many of the last eight calls failed, the upper bound of the window is halved.
const HALF_CAP_RECENT_FAILURES: u32 = 4;
/// Errors among the last eight calls that activate the guard without an outage: the endpoint then fails a large
/// fraction of its calls, while normally one call in a hundred fails.
const GUARD_ERRORS: u32 = 3;
/// Refusals over this time, or a requested wait longer than it, also indicate an outage, microseconds: the span of a
/// receiver's limit is at most two seconds.
const OUTAGE_REFUSAL_SPAN: Micros = 5 * SECOND / 2;
/// Proportional back-off, as a multiple of the time for which the route has failed.
const FAILED_TIME_FACTOR: f64 = 2.0;
/// Proportional back-off, as a multiple of the time that the call took to fail: slow failures indicate an outage.
const SLOW_FAILURE_FACTOR: f64 = 6.0;
/// First proportional back-off, as a fraction of the time between two turns of the sender.
const FIRST_BACKOFF_SHARE: f64 = 0.1;
/// Jitter of the proportional back-off, large since the messages of a burst fail together.
const PROPORTIONAL_JITTER: f64 = 0.8;
/// Jitter of back-offs, so that senders do not synchronize.
pub const JITTER: f64 = 0.2;
/// An allowance counts as used up if less than this is reported as remaining: the report is slightly out of date.
const ALLOWANCE_USED_UP: f64 = 0.75;

/// The outcome of a call, with the properties of its route before the outcome is counted.
struct CallResult {
    endpoint: EndpointId,
    route: usize,
    outcome: Outcome,
    /// Start of the latency measurement: the time of the call or, for a stream, of its last byte.
    sent: Micros,
    /// Duration of the call, microseconds.
    elapsed: f64,
    /// Wait that the receiver requested, microseconds; 0 for none.
    wait: Micros,
    /// Whether the call is a stream whose last byte was not written, so that its duration is not a latency.
    streaming: bool,
    /// Random factor for back-offs.
    jitter: f64,
    sparsely_served: bool,
    /// Time between two turns of this sender, microseconds.
    turn_cycle: f64,
    /// Result of [`Dispatcher::paced_interval`] under the assumption that the window shrinks now.
    paced_interval: Option<f64>,
    /// Whether the call was refused and the load report shows a used-up allowance: a limit, not an outage.
    allowance_used_up: bool,
}

impl Dispatcher {
    /// Updates a route by the outcome of one of its calls.
    pub(super) fn update_health(&mut self, attempt: &Attempt, completion: &Completion) {
        let result = self.call_result(attempt, completion);
        if result.outcome == Outcome::Moot {
            return;
        }
        let now = self.now;
        let route = &mut self.routes[result.route];
        route.count_outcome(now, &result);
        match result.outcome {
            Outcome::Ok => self.on_success(&result),
            Outcome::Full => route.refusals_in_row += 1,
            _ => route.failures_in_row += 1,
        }
        if result.outcome != Outcome::Ok {
            self.back_off(&result);
        }
        let outage_begins = self.detect_outage(&result);
        self.clamp_window(&result);
        self.update_guard(&result, outage_begins);
    }

    fn call_result(&mut self, attempt: &Attempt, completion: &Completion) -> CallResult {
        let jitter = self.jitter();
        let route = self.endpoints[&attempt.endpoint].route;
        CallResult {
            endpoint: attempt.endpoint,
            route,
            // Counted as a time-out, since only calls that are long overdue are cancelled.
            outcome: match completion.outcome {
                Outcome::Cancelled => Outcome::Timeout,
                outcome => outcome,
            },
            sent: attempt.latency_from,
            elapsed: completion.elapsed as f64,
            wait: completion.wait,
            streaming: attempt.streams_body,
            jitter,
            sparsely_served: self.is_sparsely_served(route),
            turn_cycle: self.turn_cycle(route) as f64,
            paced_interval: self.paced_interval(route, true),
            allowance_used_up: self.is_allowance_used_up(completion),
        }
    }

    fn is_allowance_used_up(&self, completion: &Completion) -> bool {
        let reported = |field: usize| completion.load_report.get(field).copied().unwrap_or(1.0);
        self.settings.limit_report.is_some_and(|fields| {
            completion.outcome == Outcome::Full
                && reported(fields.rate) > 0.0
                && reported(fields.left) < ALLOWANCE_USED_UP
        })
    }

    /// Updates the answered latency and resets the counts of consecutive failures. A success of a call that was sent
    /// after the last failure ends an outage, and limits the guard to the time of the slow start.
    fn on_success(&mut self, result: &CallResult) {
        let has_turns = !result.sparsely_served && result.turn_cycle > self.settings.overload_span as f64;
        let route = &mut self.routes[result.route];
        route.add_answered_latency(result);
        route.last_success_sent = route.last_success_sent.max(result.sent);
        route.failures_in_row = 0;
        route.refusals_in_row = 0;
        route.first_failure_sent = NEVER;
        if result.sent <= route.last_failure_seen {
            return;
        }
        if route.in_outage {
            route.in_outage = false;
            route.window = route.window.max(1.0);
            let text = format!("endpoint {}: answers again", result.endpoint);
            self.actions.push(DispatchAction::Log(text));
        }
        let extra_span = if has_turns { self.settings.overload_span } else { 0 };
        route.guard_until = route.guard_until.min(self.now + self.settings.slow_start + extra_span);
    }

    /// Shrinks the window and sets the back-off before the next call.
    ///
    /// DEPARTURE: a receiver whose limit is exhausted or that is down is retried after a growing back-off; a single
    /// failure among successes causes no back-off. The cost is unnecessary delay where one call in many is refused at
    /// random.
    fn back_off(&mut self, result: &CallResult) {
        let now = self.now;
        let route = &mut self.routes[result.route];
        let consecutive = route.failures_in_row + route.refusals_in_row;
        let is_repeated = route.refusals_in_row > 0 || consecutive > 1;
        let delay = if is_repeated { backoff(consecutive - 1, result.jitter) } else { 0 };
        // The window shrinks at most once in a span and once for calls that were in flight together, since their
        // outcomes give the same information.
        if is_repeated && result.sent >= route.last_shrink && now >= route.last_shrink + SHRINK_INTERVAL {
            route.window *= WINDOW_SHRINK;
            route.last_shrink = now;
        }
        route.first_failure_sent = route.first_failure_sent.min(result.sent);
        let spread = 1.0 + PROPORTIONAL_JITTER * (result.jitter - 1.0) / JITTER;
        let paced_interval = result.paced_interval.filter(|_| result.outcome == Outcome::Full);
        let is_proportional = is_repeated
            && result.turn_cycle > 2.0 * self.settings.overload_span as f64
            && (result.allowance_used_up || !result.sparsely_served)
            && paced_interval.is_none();
        let proportional = if is_proportional { self.proportional_backoff(result, spread) } else { 0 };
        let route = &mut self.routes[result.route];
        route.wait_until = route.wait_until.max(now + delay.max(proportional));
        if let Some(interval) = paced_interval {
            // Unused calls are not carried over: the next call is made a full interval later, with a random spread so
            // that the senders do not call together.
            let gap = interval / route.window.max(PACED_WINDOW_MIN) * (CALLS_AHEAD + spread);
            route.paced_at = route.paced_at.max(now + gap as Micros);
        }
    }

    /// Back-off in proportion to the time for which the route has failed, microseconds.
    ///
    /// DEPARTURE: it applies where a single call gives little information and many senders have messages waiting. It
    /// also protects a limit against which refused calls count. The cost is that waiting messages are delayed.
    fn proportional_backoff(&self, result: &CallResult, spread: f64) -> Micros {
        let failed_for = (self.now - self.routes[result.route].first_failure_sent) as f64;
        let first = (result.turn_cycle * FIRST_BACKOFF_SHARE)
            .min(self.settings.slow_start as f64 / 2.0)
            .max(result.elapsed * SLOW_FAILURE_FACTOR);
        let backoff = first.max(failed_for * FAILED_TIME_FACTOR) * spread;
        backoff.min(result.turn_cycle) as Micros
    }

    /// Detects the start of an outage of the route; returns whether this outcome is its first sign.
    fn detect_outage(&mut self, result: &CallResult) -> bool {
        let route = &mut self.routes[result.route];
        let mostly_fails =
            route.recent_failures.count_ones() >= OUTAGE_RECENT_FAILURES && route.failures_in_row > 0;
        let refuses_long = route.refusals_in_row > 1
            && self.now >= route.first_failure_sent.saturating_add(OUTAGE_REFUSAL_SPAN);
        let long_wait = result.outcome == Outcome::Full && result.wait > OUTAGE_REFUSAL_SPAN;
        let refuses_all = !result.allowance_used_up && (refuses_long || long_wait);
        let fails = route.failures_in_row >= OUTAGE_FAILURES || refuses_all || mostly_fails;
        let begins = !route.in_outage && fails;
        if begins {
            route.in_outage = true;
            let text = format!("endpoint {}: outage, last outcome {:?}", result.endpoint, result.outcome);
            self.actions.push(DispatchAction::Log(text));
        }
        begins
    }

    /// Limits the window to the range from a floor, which derives from the longest interval between calls, to the
    /// cap. The cap is halved while most recent calls fail.
    fn clamp_window(&mut self, result: &CallResult) {
        let cap = window_cap(self.settings.slots);
        let route = &mut self.routes[result.route];
        let mostly_fails = route.recent_failures.count_ones() > HALF_CAP_RECENT_FAILURES;
        let upper_bound = if mostly_fails { cap / 2 } else { cap };
        let latency = route.latency.smoothed.unwrap_or(LATENCY_FLOOR);
        let floor = match result.paced_interval {
            Some(_) => PACED_WINDOW_MIN,
            None => (latency / PACE_INTERVAL_MAX).min(1.0),
        };
        route.window = route.window.clamp(floor, f64::from(upper_bound.max(1)));
    }

    /// Records a failure for the slow-start guard, unless it is due to a receiver's limit.
    fn update_guard(&mut self, result: &CallResult, outage_begins: bool) {
        let route = &self.routes[result.route];
        let is_limit = result.allowance_used_up
            || (result.outcome == Outcome::Full && !route.in_outage && !result.sparsely_served);
        let fails_often =
            result.outcome == Outcome::Error && route.recent_errors.count_ones() >= GUARD_ERRORS;
        if outage_begins || (result.outcome != Outcome::Ok && !is_limit) {
            let activates_guard = outage_begins || fails_often || route.timeouts_in_row > 1;
            self.record_failure(result.route, activates_guard);
        }
    }
}

impl Route {
    /// Adds a call's latency sample and its outcome to the recent ones.
    fn count_outcome(&mut self, now: Micros, result: &CallResult) {
        let outcome = result.outcome;
        if (outcome == Outcome::Ok || outcome == Outcome::Timeout) && !result.streaming {
            self.add_latency_sample(now, result.elapsed);
        }
        self.recent_failures = (self.recent_failures << 1) | u8::from(outcome != Outcome::Ok);
        self.recent_errors = (self.recent_errors << 1) | u8::from(outcome == Outcome::Error);
        self.timeouts_in_row = if outcome == Outcome::Timeout { self.timeouts_in_row + 1 } else { 0 };
    }

    /// Adds an answered call to the average latency from which time-outs derive. A stream that was answered before
    /// its last byte does not change the average, unless it is the first sample.
    fn add_answered_latency(&mut self, result: &CallResult) {
        let average = self.answered_latency;
        let elapsed = if result.streaming && average > 0.0 { average } else { result.elapsed };
        let previous = if average > 0.0 { average } else { elapsed };
        self.answered_latency = previous + (1.0 - LATENCY_SMOOTHING) * (elapsed - previous);
    }
}
