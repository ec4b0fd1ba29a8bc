//! Counts of requests by tenant and usage window, from which the primary of the core makes the usage reports.

use quillmount_wire::messages::UsageWindow;
use std::collections::{BTreeMap, HashMap};

/// Most windows that a process reports; older ones have been reported by then.
const WINDOW_LIMIT: usize = 6;

/// Requests that began to run in this process, by window of the wall clock and by tenant.
#[derive(Debug, Default)]
pub struct UsageCounts {
    windows: BTreeMap<u64, HashMap<String, u64>>,
}

impl UsageCounts {
    /// Counts one request of a tenant in a window and drops the oldest window beyond the limit.
    pub fn record(&mut self, window: u64, tenant: &str) {
        *self.windows.entry(window).or_default().entry(tenant.to_owned()).or_default() += 1;
        while self.windows.len() > WINDOW_LIMIT {
            self.windows.pop_first();
        }
    }

    /// The counts of all windows in their order, each sorted by tenant.
    #[must_use]
    pub fn report(&self) -> Vec<UsageWindow> {
        self.windows.iter().map(|(window, counts)| report_window(*window, counts)).collect()
    }
}

fn report_window(window: u64, counts: &HashMap<String, u64>) -> UsageWindow {
    let mut counts: Vec<(String, u64)> =
        counts.iter().map(|(tenant, count)| (tenant.clone(), *count)).collect();
    counts.sort();
    UsageWindow { window, counts }
}
