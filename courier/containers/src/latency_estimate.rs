//! Latency of one receiver: an exponentially weighted moving average, and a baseline without queueing, the lower decile of
//! a sliding window.

use crate::SlidingDecile;
use serde::{Deserialize, Serialize};

/// Moving average and lower decile of latencies, in any unit. The decision module and the serving tier's latency window
/// use the same one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyEstimate {
    /// Moving average; `None` before the first sample, which it starts at.
    pub smoothed: Option<f64>,
    samples: SlidingDecile,
    /// Lower decile of the window's samples: the fastest tenth are not above it.
    pub baseline: f64,
}

impl LatencyEstimate {
    /// An estimate without samples; `floor` stands for the baseline.
    pub fn new(floor: f64) -> LatencyEstimate {
        LatencyEstimate { baseline: floor, ..LatencyEstimate::default() }
    }

    /// The samples of the sliding window.
    pub fn samples(&self) -> &SlidingDecile {
        &self.samples
    }

    /// Adds a sample measured at `now`, which the caller keeps at `floor` or above, and returns the average. `alpha` is the
    /// weight of the past (0 to 1); samples from before `from` leave the window.
    pub fn add(&mut self, now: u64, latency: f64, alpha: f64, from: u64, floor: f64) -> f64 {
        let smoothed =
            self.smoothed.map_or(latency, |past| (1.0 - alpha) * latency + alpha * past).max(floor);
        self.smoothed = Some(smoothed);
        self.samples.add(now, latency, from);
        self.baseline = self.samples.lower_decile().unwrap_or(floor);
        smoothed
    }
}
