//! Usage counts of all processes, as reported to the primary of the core in their polls.

use quillmount_wire::messages::UsageWindow;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of windows for which counts are retained.
const WINDOW_LIMIT: usize = 16;

/// Request counts of one process in one window, by tenant.
type TenantCounts = BTreeMap<String, u64>;

/// Counts by window, then by the incarnation of the process that reported them. A restarted process has a new
/// incarnation, so its counts are added to those from before the restart.
#[derive(Debug, Default)]
pub(super) struct UsageTotals {
    windows: BTreeMap<u64, HashMap<u64, TenantCounts>>,
}

impl UsageTotals {
    /// Replaces the counts of an incarnation in the windows that it reports, and drops the oldest windows beyond
    /// [`WINDOW_LIMIT`].
    pub(super) fn update(&mut self, incarnation: u64, report: &[UsageWindow]) {
        for UsageWindow { window, counts } in report {
            let counts = counts.iter().cloned().collect();
            self.windows.entry(*window).or_default().insert(incarnation, counts);
        }
        while self.windows.len() > WINDOW_LIMIT {
            self.windows.pop_first();
        }
    }

    /// Counts of the requests that started in a window, summed over all processes and sorted by tenant.
    pub(super) fn total(&self, window: u64) -> UsageWindow {
        let mut total = TenantCounts::new();
        for counts in self.windows.get(&window).into_iter().flat_map(HashMap::values) {
            for (tenant, count) in counts {
                *total.entry(tenant.clone()).or_default() += count;
            }
        }
        UsageWindow { window, counts: total.into_iter().collect() }
    }
}
