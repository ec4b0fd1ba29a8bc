//! Draws for the choice of a service: spread evenly over the interval, so that shares hold after few requests already.

use std::collections::HashMap;

/// The golden ratio less one: multiples of it, less their whole parts, fill the interval evenly at any length (Weyl sequence).
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;
/// Routes that are remembered at most; beyond, all begin anew.
const ROUTES_LIMIT: usize = 4_096;

/// A sequence of draws for each route. Independent draws would miss a share of 0.9 by 0.05 in every tenth hundred of requests.
#[derive(Clone, Debug, Default)]
pub struct ServiceDraws {
    /// Where the sequences begin: differs between processes.
    start: f64,
    /// Draws so far, by name of the route.
    draws: HashMap<String, u64>,
}

impl ServiceDraws {
    /// Sequences that begin at this number, 0 or more and less than 1.
    #[must_use]
    pub fn starting_at(start: f64) -> ServiceDraws {
        ServiceDraws { start, draws: HashMap::new() }
    }

    /// The next draw for a route, 0 or more and less than 1.
    pub fn next(&mut self, route: &str) -> f64 {
        if self.draws.len() >= ROUTES_LIMIT && !self.draws.contains_key(route) {
            self.draws.clear();
        }
        let number = self.draws.entry(route.to_owned()).or_default();
        *number += 1;
        (self.start + *number as f64 * GOLDEN_FRACTION).fract()
    }
}
