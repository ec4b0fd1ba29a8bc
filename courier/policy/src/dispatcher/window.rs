//! The latency window of a route: how many of its calls may be in flight, and their time-out.
//!
//! The window follows the algorithm of Gulati and Ahmad: a smoothed latency (CAL) is compared with a threshold, a
//! multiple of a baseline, and the window grows or shrinks by their ratio. DEPARTURE marks where the code deviates
//! from it (`docs/design.md`).

use super::route::Route;
use super::time::{NEVER, SECOND};
use crate::ids::Micros;
use quillmount_containers::LatencyEstimate;

/// Weight of earlier samples in CAL: the value of the original design, which smooths over about three calls.
pub const LATENCY_SMOOTHING: f64 = 0.7;
/// Step of one window update: small, since the threshold is far above the usual latency.
const WINDOW_STEP: f64 = 0.02;
/// Constant growth of the window, calls: small, since one call in flight may already exceed a receiver's limit.
const WINDOW_GROWTH: f64 = 0.1;
/// Threshold as a multiple of the baseline. Service times vary widely even without queueing: if they are
/// exponentially distributed, the fastest tenth take less than a tenth of the mean, and CAL, over three calls,
/// deviates by two fifths of the mean.
pub const LATENCY_THRESHOLD: f64 = 16.0;
/// Lower bound of CAL and of a baseline, microseconds: the millisecond of the original design.
pub const LATENCY_FLOOR: f64 = 1_000.0;
/// Time span of the samples for the baseline, microseconds: the minute of the original design.
pub const BASELINE_SPAN: Micros = 60 * SECOND;
/// Time-out of a call, as a multiple of the average latency of answered calls.
pub const TIMEOUT_LATENCIES: f64 = 8.0;
/// Minimum time-out of a trial call in an outage, microseconds: the trial call detects the end of the outage.
const TRIAL_TIMEOUT_MIN: f64 = 1.0 * 1e6;
/// Each consecutive time-out doubles the time-out of the next call, at most this many times.
const TIMEOUT_DOUBLINGS: u32 = 2;

/// Upper bound of a route's window and of the calls in flight to a destination: three quarters of the slots, at least
/// one, as in the original design.
pub fn window_cap(slots: u32) -> u32 {
    (slots * 3 / 4).max(1)
}

impl Route {
    /// Creates a route without samples or failures; its window is half the cap.
    pub fn new(slots: u32) -> Self {
        let window = (f64::from(window_cap(slots)) / 2.0).max(1.0);
        Route {
            window,
            latency: LatencyEstimate::new(LATENCY_FLOOR),
            first_failure_sent: NEVER,
            ..Route::default()
        }
    }

    /// Updates CAL, the baseline and the window after a call of this latency (microseconds), as in the original design.
    pub fn add_latency_sample(&mut self, now: Micros, latency: f64) {
        let latency = latency.max(LATENCY_FLOOR);
        let samples_from = now.saturating_sub(BASELINE_SPAN);
        let smoothed = self.latency.add(now, latency, LATENCY_SMOOTHING, samples_from, LATENCY_FLOOR);
        let ratio = LATENCY_THRESHOLD * self.latency.baseline / smoothed;
        // DEPARTURE: a window that delayed no message does not grow. Otherwise a burst would meet a window far above
        // any number of calls ever in flight. The cost is that a route whose demand rises suddenly may be limited at
        // first.
        if ratio < 1.0 || self.window_limited {
            self.window =
                (1.0 - WINDOW_STEP) * self.window + WINDOW_STEP * (ratio * self.window + WINDOW_GROWTH);
        }
        self.window_limited = false;
    }

    /// Returns the window, reduced while a call is overdue.
    ///
    /// DEPARTURE: a call in flight for longer than the threshold counts as a latency sample before it ends, so that a
    /// destination that hangs occupies few slots. One exceptionally slow call could block a route, but pacing still
    /// allows some calls.
    pub fn effective_window(&self, now: Micros) -> f64 {
        let mut sent_times = self.in_flight.iter().map(|(_, sent)| *sent);
        let oldest_sent = sent_times.find(|sent| *sent > self.last_success_sent);
        let (Some(sent), Some(_)) = (oldest_sent, self.latency.smoothed) else {
            return self.window;
        };
        let age = (now - sent) as f64;
        let threshold = LATENCY_THRESHOLD * self.latency.baseline;
        if age > threshold { self.window * threshold / age } else { self.window }
    }

    /// Returns the time-out of a call of idempotent messages, microseconds: at least `min_timeout`, or in an outage
    /// at least [`TRIAL_TIMEOUT_MIN`]. It derives from answered calls only, since a time-out would otherwise lengthen
    /// the next one. Consecutive time-outs double it instead, to distinguish a slow receiver from one that does not
    /// answer.
    pub fn call_timeout(&self, min_timeout: f64) -> Micros {
        let doubled = f64::from(1u32 << self.timeouts_in_row.min(TIMEOUT_DOUBLINGS));
        let lower_bound = if self.in_outage { TRIAL_TIMEOUT_MIN } else { min_timeout };
        ((TIMEOUT_LATENCIES * self.answered_latency).max(lower_bound) * doubled) as Micros
    }
}
