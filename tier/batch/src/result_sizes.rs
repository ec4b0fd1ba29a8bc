//! How large the results of a route's items are. From this a store expects the size of the results that its jobs will still get, so that
//! it accepts only jobs whose results it can keep.

use crate::job::RESULT_OVERHEAD_BYTES;
use std::collections::{BTreeMap, HashMap};

/// Expected size of the text of a result on a route that has none yet, bytes.
const DEFAULT_TEXT_BYTES: f64 = 4096.0;
/// Weight of a new result in the average of its route.
const WEIGHT: f64 = 0.02;
/// Largest number of routes with an average; results of further routes are expected to have the default size.
const ROUTE_LIMIT: usize = 1024;

/// Average sizes of the texts of results, by route.
#[derive(Clone, Debug, Default)]
pub struct ResultSizes {
    averages: HashMap<String, f64>,
}

impl ResultSizes {
    /// Records the size of the text of a result, bytes.
    pub fn record(&mut self, route: &str, bytes: usize) {
        let bytes = bytes as f64;
        if let Some(average) = self.averages.get_mut(route) {
            *average += WEIGHT * (bytes - *average);
        } else if self.averages.len() < ROUTE_LIMIT {
            self.averages.insert(route.to_owned(), bytes);
        }
    }

    /// Returns the expected size of the results of these numbers of items, by route, bytes.
    #[must_use]
    pub fn expected_bytes(&self, waiting_items: &BTreeMap<String, usize>) -> f64 {
        let expected = |(route, items): (&String, &usize)| {
            let average = self.averages.get(route).copied().unwrap_or(DEFAULT_TEXT_BYTES);
            *items as f64 * (average + RESULT_OVERHEAD_BYTES as f64)
        };
        waiting_items.iter().map(expected).sum()
    }
}
