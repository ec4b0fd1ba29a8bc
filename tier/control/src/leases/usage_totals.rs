//! Usage counts of all processes, as their polls brought them to the primary of the core.

use quillmount_wire::messages::UsageWindow;
use std::collections::{BTreeMap, HashMap};

/// Most windows for which counts are retained.
const WINDOW_LIMIT: usize = 16;

/// Counts of one process in one window, by tenant.
type TenantCounts = BTreeMap<String, u64>;

/// Counts by window, then by the incarnation of the process that reported them: counts of a process that was restarted
/// are added to those of its earlier incarnation.
#[derive(Debug, Default)]
pub(super) struct UsageTotals {
    windows: BTreeMap<u64, HashMap<u64, TenantCounts>>,
}

impl UsageTotals {
    /// Replaces the counts of an incarnation in the windows that it reports, and drops the oldest beyond the limit.
    pub(super) fn update(&mut self, incarnation: u64, report: &[UsageWindow]) {
        for UsageWindow { window, counts } in report {
            let counts = counts.iter().cloned().collect();
            self.windows.entry(*window).or_default().insert(incarnation, counts);
        }
        while self.windows.len() > WINDOW_LIMIT {
            self.windows.pop_first();
        }
    }

    /// Requests that began to run in a window, summed over all processes, sorted by tenant.
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
