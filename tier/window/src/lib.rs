//! The latency window of one endpoint: the number of calls that one courier may have in flight there.
//!
//! Uses the flow control of PARDA (Gulati and Ahmad, FAST 2009): smoothed latency `CAL(t) = (1 - alpha) l + alpha
//! CAL(t-1)`, window `w(t+1) = (1 - gamma) w + gamma (threshold / CAL w + beta)`, clamped between one and [`max_window`]. The
//! threshold is a multiple of the baseline, which is the lower decile of the latencies of the last minute. The caller reports the
//! latency of each finished call with [`Window::record_latency`] and each refusal with [`Window::record_refusal`], and has at most
//! [`Window::size`] calls in flight.

use quillmount_containers::LatencyEstimate;
use quillmount_wire::Micros;
use serde::{Deserialize, Serialize};

/// Lower bound of each latency sample and of the baseline, microseconds.
pub const LATENCY_FLOOR: f64 = 1_000.0;
/// Age up to which samples count for the baseline, microseconds.
pub const BASELINE_SPAN: Micros = 60_000_000;

/// Parameters of the flow control, set by the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Parameters {
    /// Weight of the past in the smoothed latency, 0 to 1.
    pub alpha: f64,
    /// Weight of the new value in an update of the window, 0 to 1.
    pub gamma: f64,
    /// Growth of the window per update that does not depend on latency, calls.
    pub beta: f64,
    /// Latency threshold as a multiple of the baseline.
    #[serde(rename = "multiple")]
    pub threshold_multiple: f64,
}

impl Default for Parameters {
    fn default() -> Self {
        Parameters { alpha: 0.7, gamma: 0.5, beta: 1.0, threshold_multiple: 3.0 }
    }
}

/// Returns the largest window for an endpoint at which this courier has `slots` slots: three quarters of them, rounded down, and
/// at least one.
#[must_use]
pub fn max_window(slots: u32) -> u32 {
    (slots * 3 / 4).max(1)
}

/// Window, smoothed latency and latency baseline of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    parameters: Parameters,
    /// Window in calls; the integral part is the limit on calls in flight.
    size: f64,
    latency: LatencyEstimate,
}

impl Window {
    /// Creates the window of a new endpoint, with half of the largest size.
    #[must_use]
    pub fn new(parameters: Parameters, slots: u32) -> Window {
        let size = (f64::from(max_window(slots)) / 2.0).max(1.0);
        Window { parameters, size, latency: LatencyEstimate::new(LATENCY_FLOOR) }
    }

    /// Updates the window with the latency of a finished call, microseconds; for a call that timed out, the caller passes the
    /// time until the timeout.
    pub fn record_latency(&mut self, now: Micros, latency: f64, slots: u32) {
        let latency = latency.max(LATENCY_FLOOR);
        let Parameters { alpha, gamma, beta, threshold_multiple } = self.parameters;
        let oldest = now.saturating_sub(BASELINE_SPAN);
        let smoothed = self.latency.add(now, latency, alpha, oldest, LATENCY_FLOOR);
        let ratio = threshold_multiple * self.latency.baseline / smoothed;
        self.size = (1.0 - gamma) * self.size + gamma * (ratio * self.size + beta);
        self.clamp(slots);
    }

    /// Halves the window after the endpoint refused a call.
    pub fn record_refusal(&mut self, slots: u32) {
        self.size /= 2.0;
        self.clamp(slots);
    }

    /// Number of calls that may be in flight.
    #[must_use]
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    /// Smoothed latency, microseconds; `None` before the first sample.
    #[must_use]
    pub fn smoothed_latency(&self) -> Option<f64> {
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
