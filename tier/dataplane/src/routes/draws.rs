//! Evenly distributed draws for the choice of a service, so that traffic shares are accurate after a small number of requests.

use std::collections::HashMap;

/// The golden ratio minus one. The fractional parts of its multiples are a low-discrepancy sequence (Weyl sequence): any number of
/// them is spread evenly over the interval from 0 to 1.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;
/// Maximum number of routes with a sequence; when it is exceeded, all sequences restart.
const MAX_ROUTES: usize = 4_096;

/// A low-discrepancy sequence of draws for each route. With independent draws, one in ten groups of 100 requests would miss a share
/// of 0.9 by 0.05.
#[derive(Clone, Debug, Default)]
pub struct ServiceDraws {
    /// Start of all sequences, 0 or more and less than 1; differs between processes.
    offset: f64,
    /// Number of draws so far for each route name.
    draw_counts: HashMap<String, u64>,
}

impl ServiceDraws {
    /// Sequences with this offset, 0 or more and less than 1.
    #[must_use]
    pub fn with_offset(offset: f64) -> ServiceDraws {
        ServiceDraws { offset, draw_counts: HashMap::new() }
    }

    /// Returns the next draw for a route, 0 or more and less than 1. This runs for each client request, so the name is copied only for
    /// the first draw of a route.
    pub fn next(&mut self, route: &str) -> f64 {
        let draw_count = self.increment(route);
        (self.offset + draw_count as f64 * GOLDEN_FRACTION).fract()
    }

    /// Increments the number of draws of a route and returns it.
    fn increment(&mut self, route: &str) -> u64 {
        if let Some(draw_count) = self.draw_counts.get_mut(route) {
            *draw_count += 1;
            return *draw_count;
        }
        if self.draw_counts.len() >= MAX_ROUTES {
            self.draw_counts.clear();
        }
        self.draw_counts.insert(route.to_owned(), 1);
        1
    }
}
