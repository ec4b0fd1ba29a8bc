//! The latency window of a route: how many of its calls may be in flight, and how long one is waited for.
//!
//! After Gulati and Ahmad: a smoothed latency CAL is compared with a threshold over a
//! baseline, and the window grows or shrinks by their ratio. DEPARTURE marks where the code departs from it (`docs/design.md`).

use super::route::Route;
use super::time::{NEVER, SECOND};
use crate::ids::Micros;
use quillmount_containers::LatencyEstimate;

/// Weight of the past in CAL: the design's value, which smooths over about three calls.
pub const LATENCY_SMOOTHING: f64 = 0.7;
/// Step of one window update: small, since the threshold lies far above the usual latency.
const WINDOW_STEP: f64 = 0.02;
/// Constant growth, calls: small, since one call in flight may already be over a limit.
const WINDOW_GROWTH: f64 = 0.1;
/// Threshold over the baseline. Service times spread widely even without a queue: where they are exponential,
/// the fastest tenth take less than a tenth of the mean, and CAL, over three calls, spreads by two fifths of it.
pub const LATENCY_THRESHOLD: f64 = 16.0;
/// Floor of CAL and of a baseline, microseconds: the design's millisecond.
pub const LATENCY_FLOOR: f64 = 1_000.0;
/// The span over which the baseline is taken, microseconds: the design's minute.
pub const BASELINE_SPAN: Micros = 60 * SECOND;
/// Time-out of a call, multiples of the average latency of answered calls.
pub const TIMEOUT_LATENCIES: f64 = 8.0;
/// Least time-out of a trial call in an outage, microseconds: it is to detect the end of the outage.
const TRIAL_TIMEOUT_MIN: f64 = 1.0 * 1e6;
/// Time-outs in a row double the next one, this many times at most.
const TIMEOUT_DOUBLINGS: u32 = 2;

/// Upper bound of the windows of a destination, calls: three quarters of the slots, one at least (the design's cap).
pub fn window_cap(slots: u32) -> u32 {
    (slots * 3 / 4).max(1)
}

impl Route {
    /// A route without a sample: half the cap, and no failure seen.
    pub fn new(slots: u32) -> Self {
        let window = (f64::from(window_cap(slots)) / 2.0).max(1.0);
        Route {
            window,
            latency: LatencyEstimate::new(LATENCY_FLOOR),
            first_failure_sent: NEVER,
            ..Route::default()
        }
    }

    /// The design's update after a call of this latency (microseconds): CAL, the baseline of the last minute, the window.
    pub fn add_latency_sample(&mut self, now: Micros, latency: f64) {
        let latency = latency.max(LATENCY_FLOOR);
        let samples_from = now.saturating_sub(BASELINE_SPAN);
        let smoothed = self.latency.add(now, latency, LATENCY_SMOOTHING, samples_from, LATENCY_FLOOR);
        let ratio = LATENCY_THRESHOLD * self.latency.baseline / smoothed;
        // DEPARTURE: a window that limits nothing does not grow. Otherwise a burst would find a window far above any that
        // was ever used; the cost is that a route whose demand jumps may be limited at first.
        if ratio < 1.0 || self.window_limited {
            self.window =
                (1.0 - WINDOW_STEP) * self.window + WINDOW_STEP * (ratio * self.window + WINDOW_GROWTH);
        }
        self.window_limited = false;
    }

    /// The window while calls are overdue.
    ///
    /// DEPARTURE: a call in flight for longer than the threshold counts as a latency sample before it ends, so that a
    /// destination that hangs occupies few slots. One exceptionally slow call could starve a route, but pacing still allows
    /// some calls.
    pub fn effective_window(&self, now: Micros) -> f64 {
        let mut sent_times = self.in_flight.iter().map(|(_, sent)| *sent);
        let oldest = sent_times.find(|sent| *sent > self.last_success_sent);
        let (Some(sent), Some(_)) = (oldest, self.latency.smoothed) else {
            return self.window;
        };
        let age = (now - sent) as f64;
        let limit = LATENCY_THRESHOLD * self.latency.baseline;
        if age > limit { self.window * limit / age } else { self.window }
    }

    /// How long a call of idempotent messages is waited for, at least `min_timeout` microseconds (in an outage at least
    /// the trial's). It derives from answered calls only, since a time-out would otherwise extend the next one; time-outs
    /// double it instead, to distinguish a slow receiver from a silent one.
    pub fn call_timeout(&self, min_timeout: f64) -> Micros {
        let doubled = f64::from(1u32 << self.timeouts_in_row.min(TIMEOUT_DOUBLINGS));
        let least = if self.in_outage { TRIAL_TIMEOUT_MIN } else { min_timeout };
        ((TIMEOUT_LATENCIES * self.answered_latency).max(least) * doubled) as Micros
    }
}
