//! The last report of each courier, with the recent peaks of its demand.

use super::limits::{DEMAND_WINDOW, MAX_REPORT_LINES};
use crate::budget::report::{ConfirmedRecall, Report};
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// A demand and its peak within the last [`DEMAND_WINDOW`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DemandPeak {
    current: u32,
    peak: u32,
    peak_until: Micros,
}

impl DemandPeak {
    fn record(&mut self, demand: u32, now: Micros) {
        self.current = demand;
        if demand >= self.peak || now >= self.peak_until {
            (self.peak, self.peak_until) = (demand, now.saturating_add(DEMAND_WINDOW));
        }
    }

    /// The demand that the division uses: the peak until its window has ended.
    pub(super) fn value_at(&self, now: Micros) -> u32 {
        if now >= self.peak_until { self.current } else { self.peak.max(self.current) }
    }
}

/// The last report of a courier.
#[derive(Clone, Debug, Default)]
pub(super) struct CourierReport {
    pub(super) epoch: u64,
    sequence: u64,
    /// All open connections fit within the shares under the epoch.
    pub(super) clear: bool,
    /// The courier has stopped and has no connections open.
    pub(super) left: bool,
    /// Keyed by partner and tenant.
    pub(super) demand: BTreeMap<(u64, String), DemandPeak>,
    /// Keyed by partner and tenant.
    pub(super) confirmed_recalls: BTreeMap<(u64, String), ConfirmedRecall>,
}

impl CourierReport {
    /// Takes over the contents of a newer report; an older one is ignored.
    pub(super) fn update(&mut self, report: &Report, now: Micros) {
        if (report.epoch, report.sequence) <= (self.epoch, self.sequence) {
            return;
        }
        let mut old_demand = std::mem::take(&mut self.demand);
        if self.epoch != report.epoch {
            old_demand.clear();
        }
        self.confirmed_recalls.clear();
        (self.epoch, self.sequence) = (report.epoch, report.sequence);
        (self.clear, self.left) = (report.clear, report.left);
        for line in report.lines.iter().take(MAX_REPORT_LINES) {
            let key = (line.dest, line.tenant.clone());
            let mut demand = old_demand.remove(&key).unwrap_or_default();
            demand.record(line.demand, now);
            self.demand.insert(key.clone(), demand);
            if let Some(released) = line.released {
                self.confirmed_recalls.insert(key, released);
            }
        }
        // A demand that is no longer reported still counts until the window of its peak ends.
        for (key, mut demand) in old_demand {
            demand.record(0, now);
            if demand.peak > 0 {
                self.demand.insert(key, demand);
            }
        }
    }
}
