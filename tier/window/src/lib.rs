//! The latency window of one endpoint: how many calls one courier may have outstanding there.
//!
//! After Gulati and Ahmad's flow control: smoothed latency `CAL(t) = (1 - alpha) l + alpha CAL(t-1)`, window
//! `w(t+1) = (1 - gamma) w + gamma (threshold / CAL w + beta)`, clamped between one and `w_max`. The threshold is a
//! multiple of the latency that the fastest tenth of the last minute's calls beat.

use quillmount_containers::LatencyEstimate;
use serde::{Deserialize, Serialize};

/// Microseconds of a steady clock.
pub type Micros = u64;

/// Floor of a latency and of a baseline, microseconds.
pub const LATENCY_FLOOR: f64 = 1_000.0;
/// The baseline looks back this far, microseconds.
pub const BASELINE_SPAN: Micros = 60_000_000;

/// What a deployment may choose.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Parameters {
    /// Weight of the past in the smoothed latency.
    pub alpha: f64,
    /// Step of one update.
    pub gamma: f64,
    /// Constant growth, calls.
    pub beta: f64,
    /// Threshold over the baseline.
    pub multiple: f64,
}

impl Default for Parameters {
    fn default() -> Self {
        Parameters { alpha: 0.7, gamma: 0.5, beta: 1.0, multiple: 3.0 }
    }
}

/// Three quarters of the slots rounded down, one at least.
pub fn max_window(slots: u32) -> u32 {
    (slots * 3 / 4).max(1)
}

/// Window, smoothed latency and baseline of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    parameters: Parameters,
    size: f64,
    latency: LatencyEstimate,
}

impl Window {
    /// The window of a new endpoint: half of its largest.
    pub fn new(parameters: Parameters, slots: u32) -> Window {
        let size = (f64::from(max_window(slots)) / 2.0).max(1.0);
        Window { parameters, size, latency: LatencyEstimate::new(LATENCY_FLOOR) }
    }

    /// Takes the latency of a call (microseconds); a time-out counts at its full length.
    pub fn sample(&mut self, now: Micros, latency: f64, slots: u32) {
        let latency = latency.max(LATENCY_FLOOR);
        let Parameters { alpha, gamma, beta, multiple } = self.parameters;
        let from = now.saturating_sub(BASELINE_SPAN);
        let smoothed = self.latency.add(now, latency, alpha, from, LATENCY_FLOOR);
        let ratio = multiple * self.latency.baseline / smoothed;
        self.size = (1.0 - gamma) * self.size + gamma * (ratio * self.size + beta);
        self.clamp(slots);
    }

    /// A refusal halves the window.
    pub fn refused(&mut self, slots: u32) {
        self.size /= 2.0;
        self.clamp(slots);
    }

    fn clamp(&mut self, slots: u32) {
        self.size = self.size.clamp(1.0, f64::from(max_window(slots)));
    }

    /// Calls that may be outstanding.
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    /// Smoothed latency, microseconds.
    pub fn smoothed(&self) -> Option<f64> {
        self.latency.smoothed
    }

    /// Latency that the fastest tenth beat, microseconds.
    pub fn baseline(&self) -> f64 {
        self.latency.baseline
    }
}
