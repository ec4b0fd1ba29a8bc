//! Latency of one receiver: an exponentially weighted moving average, and the lower decile of a sliding window as a
//! baseline without queueing delay.

use crate::SlidingDecile;
use serde::{Deserialize, Serialize};

/// Moving average and lower decile of latencies, in any unit. The courier's policy and the serving tier's latency
/// window both use it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyEstimate {
    /// Moving average, which starts at the first sample; `None` before it.
    pub smoothed: Option<f64>,
    samples: SlidingDecile,
    /// Lower decile of the samples in the window: the fastest tenth are not above it. The `floor` before the first
    /// sample.
    pub baseline: f64,
}

impl LatencyEstimate {
    /// Creates an estimate without samples, whose baseline is `floor`.
    pub fn new(floor: f64) -> LatencyEstimate {
        LatencyEstimate { baseline: floor, ..LatencyEstimate::default() }
    }

    /// Returns the samples of the sliding window.
    pub fn samples(&self) -> &SlidingDecile {
        &self.samples
    }

    /// Adds a sample measured at `now` and returns the moving average. The caller ensures that the sample is not
    /// below `floor`. `alpha` is the weight of earlier samples (0 to 1). Samples measured before `window_start` leave
    /// the window.
    pub fn add(&mut self, now: u64, latency: f64, alpha: f64, window_start: u64, floor: f64) -> f64 {
        let smoothed =
            self.smoothed.map_or(latency, |previous| (1.0 - alpha) * latency + alpha * previous).max(floor);
        self.smoothed = Some(smoothed);
        self.samples.add(now, latency, window_start);
        self.baseline = self.samples.lower_decile().unwrap_or(floor);
        smoothed
    }
}
