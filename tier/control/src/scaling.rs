//! Autoscaling: how many endpoints a service should have in each zone.
//!
//! The caller samples the demand of a service at intervals and requests the number of endpoints that
//! [`Scaler::desired`] returns.

use quillmount_wire::Micros;
use quillmount_wire::configuration::Autoscale;
use std::collections::VecDeque;

/// Utilization of the endpoints' capacity above which more endpoints are requested.
const TARGET_UTILIZATION: f64 = 0.75;
/// Time for which past demand prevents scaling down, microseconds.
const DEMAND_WINDOW: Micros = 8_000_000;
/// Upper bound on retained samples.
const SAMPLE_LIMIT: usize = 256;

/// Demand at one moment, in concurrent requests.
#[derive(Clone, Copy, Debug)]
struct DemandSample {
    sampled_at: Micros,
    demand: f64,
}

/// Autoscaler of one service: scales up at once, and down only as far as the highest demand of the last 8 seconds allows.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    /// Samples of the demand window, oldest first.
    samples: VecDeque<DemandSample>,
}

impl Scaler {
    /// Records the current demand and returns how many endpoints each zone should have.
    ///
    /// `demand` and `capacity` (of one endpoint) are in concurrent requests. The result is within `bounds`; if the floor
    /// is above the ceiling, the floor applies.
    pub fn desired(
        &mut self,
        now: Micros,
        demand: f64,
        capacity: f64,
        zones: usize,
        bounds: &Autoscale,
    ) -> u32 {
        self.record(DemandSample { sampled_at: now, demand });
        let peak = self.samples.iter().map(|sample| sample.demand).fold(0.0, f64::max);
        let endpoints = peak / TARGET_UTILIZATION / capacity.max(1.0);
        let per_zone = (endpoints / zones.max(1) as f64).ceil();
        per_zone.clamp(bounds.floor, bounds.ceiling.max(bounds.floor)) as u32
    }

    /// Adds a sample, and drops samples older than [`DEMAND_WINDOW`] and the oldest ones beyond [`SAMPLE_LIMIT`].
    fn record(&mut self, sample: DemandSample) {
        let now = sample.sampled_at;
        self.samples.push_back(sample);
        while self.samples.len() > SAMPLE_LIMIT
            || self
                .samples
                .front()
                .is_some_and(|oldest| now.saturating_sub(oldest.sampled_at) > DEMAND_WINDOW)
        {
            self.samples.pop_front();
        }
    }
}
