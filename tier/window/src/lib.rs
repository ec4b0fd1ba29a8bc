//! The latency window of one endpoint: how many calls one courier may have outstanding there.
//!
//! After the flow control of Gulati and Ahmad (published in PARDA, FAST 2009): smoothed latency `CAL(t) = (1 - alpha) l + alpha
//! CAL(t-1)`, window `w(t+1) = (1 - gamma) w + gamma (threshold / CAL w + beta)`, clamped between one and [`max_window`]. The
//! threshold is a multiple of the baseline, the lower decile of the latencies of the last minute. The caller reports the latency of
//! each finished call by [`Window::sample`] and each refusal by [`Window::refused`], and keeps at most [`Window::size`] calls
//! outstanding.

use quillmount_containers::LatencyEstimate;
use quillmount_wire::Micros;
use serde::{Deserialize, Serialize};

/// Lower bound of latencies and of the baseline, microseconds.
pub const LATENCY_FLOOR: f64 = 1_000.0;
/// Span of the samples that give the baseline, microseconds.
pub const BASELINE_SPAN: Micros = 60_000_000;

/// Parameters of the flow control, which a deployment may choose.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Parameters {
    /// Weight of the past in the smoothed latency, 0 to 1.
    pub alpha: f64,
    /// Weight of the new value in an update of the window, 0 to 1.
    pub gamma: f64,
    /// Growth per update that does not depend on latency, calls.
    pub beta: f64,
    /// Threshold as a multiple of the baseline.
    pub multiple: f64,
}

impl Default for Parameters {
    fn default() -> Self {
        Parameters { alpha: 0.7, gamma: 0.5, beta: 1.0, multiple: 3.0 }
    }
}

/// Largest window for an endpoint of which this courier has so many slots: three quarters, rounded down, at least one.
#[must_use]
pub fn max_window(slots: u32) -> u32 {
    (slots * 3 / 4).max(1)
}

/// Window, smoothed latency and baseline of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    parameters: Parameters,
    /// Calls; its integral part is the limit.
    size: f64,
    latency: LatencyEstimate,
}

impl Window {
    /// The window of a new endpoint: half of the largest.
    #[must_use]
    pub fn new(parameters: Parameters, slots: u32) -> Window {
        let size = (f64::from(max_window(slots)) / 2.0).max(1.0);
        Window { parameters, size, latency: LatencyEstimate::new(LATENCY_FLOOR) }
    }

    /// Adds the latency of a finished call, microseconds; a call that timed out counts with its time-out.
    pub fn sample(&mut self, now: Micros, latency: f64, slots: u32) {
        let latency = latency.max(LATENCY_FLOOR);
        let Parameters { alpha, gamma, beta, multiple } = self.parameters;
        let oldest = now.saturating_sub(BASELINE_SPAN);
        let smoothed = self.latency.add(now, latency, alpha, oldest, LATENCY_FLOOR);
        let ratio = multiple * self.latency.baseline / smoothed;
        self.size = (1.0 - gamma) * self.size + gamma * (ratio * self.size + beta);
        self.clamp(slots);
    }

    /// Halves the window after a refusal.
    pub fn refused(&mut self, slots: u32) {
        self.size /= 2.0;
        self.clamp(slots);
    }

    /// Number of calls that may be outstanding.
    #[must_use]
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    /// Smoothed latency, microseconds; `None` before the first sample.
    #[must_use]
    pub fn smoothed(&self) -> Option<f64> {
        self.latency.smoothed
    }

    /// Lower decile of the latencies within [`BASELINE_SPAN`], microseconds.
    #[must_use]
    pub fn baseline(&self) -> f64 {
        self.latency.baseline
    }

    fn clamp(&mut self, slots: u32) {
        self.size = self.size.clamp(1.0, f64::from(max_window(slots)));
    }
}
