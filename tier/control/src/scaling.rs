//! How many endpoints a service needs in each zone.

use quillmount_wire::configuration::Autoscale;
use std::collections::VecDeque;

/// Microseconds of a steady clock.
type Micros = u64;

/// Part of the endpoints' places that demand may fill before more endpoints are ordered.
const TARGET_UTILIZATION: f64 = 0.75;
/// Demand of so long ago keeps endpoints from being given up, microseconds.
const DEMAND_WINDOW: Micros = 8_000_000;
/// Samples remembered at most.
const SAMPLE_LIMIT: usize = 256;

/// Follows the demand of one service: up at once, down only when its highest demand of the last seconds allows.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    /// Places needed at once, and when.
    samples: VecDeque<(Micros, f64)>,
}

impl Scaler {
    /// Takes the places needed at once, and says how many endpoints each zone should have.
    pub fn desired(
        &mut self,
        now: Micros,
        demand: f64,
        capacity: f64,
        zones: usize,
        bounds: &Autoscale,
    ) -> u32 {
        self.samples.push_back((now, demand));
        while self.samples.len() > SAMPLE_LIMIT
            || self.samples.front().is_some_and(|(at, _)| now.saturating_sub(*at) > DEMAND_WINDOW)
        {
            self.samples.pop_front();
        }
        let highest = self.samples.iter().map(|(_, demand)| *demand).fold(0.0, f64::max);
        let endpoints = highest / TARGET_UTILIZATION / capacity.max(1.0);
        let each = (endpoints / zones.max(1) as f64).ceil();
        each.clamp(bounds.floor, bounds.ceiling.max(bounds.floor)) as u32
    }
}
