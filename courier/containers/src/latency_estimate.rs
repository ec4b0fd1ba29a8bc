//! Latencies of one place: their moving average, and what the fastest tenth of a span beat.

use crate::SlidingDecile;
use serde::{Deserialize, Serialize};

/// Moving average and lower decile of latencies. The same in the decision module and in the tier's latency window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyEstimate {
    /// Moving average; starts at the first sample.
    pub smoothed: Option<f64>,
    samples: SlidingDecile,
    /// What the fastest tenth of the span's samples beat.
    pub baseline: f64,
}

impl LatencyEstimate {
    /// No sample yet; `floor` stands for the baseline.
    pub fn new(floor: f64) -> LatencyEstimate {
        LatencyEstimate { baseline: floor, ..LatencyEstimate::default() }
    }

    /// The span's samples.
    pub fn samples(&self) -> &SlidingDecile {
        &self.samples
    }

    /// Adds a sample that is not below the floor, and returns the average. `alpha` is the weight of the past; samples
    /// from before `from` are forgotten.
    pub fn add(&mut self, now: u64, latency: f64, alpha: f64, from: u64, floor: f64) -> f64 {
        let smoothed =
            self.smoothed.map_or(latency, |past| (1.0 - alpha) * latency + alpha * past).max(floor);
        self.smoothed = Some(smoothed);
        self.samples.add(now, latency, from);
        self.baseline = self.samples.lower_decile().unwrap_or(floor);
        smoothed
    }
}
