//! What couriers have reported, with the peaks of their demands.

use super::limits::{DEMAND_WINDOW, MAX_REPORT_LINES};
use crate::budget::report::{ConfirmedRecall, Report};
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// A demand, as the highest of the last [`DEMAND_WINDOW`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DemandPeak {
    now: u32,
    peak: u32,
    until: Micros,
}

impl DemandPeak {
    fn record(&mut self, demand: u32, now: Micros) {
        self.now = demand;
        if demand >= self.peak || now >= self.until {
            (self.peak, self.until) = (demand, now.saturating_add(DEMAND_WINDOW));
        }
    }

    /// The demand that counts.
    pub(super) fn value_at(&self, now: Micros) -> u32 {
        if now >= self.until { self.now } else { self.peak.max(self.now) }
    }
}

/// The last report of a courier.
#[derive(Clone, Debug, Default)]
pub(super) struct CourierReport {
    pub(super) epoch: u64,
    sequence: u64,
    /// All that it has open is within its shares under the epoch.
    pub(super) clear: bool,
    /// It has stopped, with nothing open.
    pub(super) left: bool,
    /// By partner and tenant.
    pub(super) demand: BTreeMap<(u64, String), DemandPeak>,
    /// By partner and tenant.
    pub(super) released: BTreeMap<(u64, String), ConfirmedRecall>,
}

impl CourierReport {
    /// Replaces it by a newer report; an older one is ignored.
    pub(super) fn update(&mut self, report: &Report, now: Micros) {
        if (report.epoch, report.sequence) <= (self.epoch, self.sequence) {
            return;
        }
        let mut old = std::mem::take(&mut self.demand);
        if self.epoch != report.epoch {
            old.clear();
        }
        self.released.clear();
        (self.epoch, self.sequence) = (report.epoch, report.sequence);
        (self.clear, self.left) = (report.clear, report.left);
        for line in report.lines.iter().take(MAX_REPORT_LINES) {
            let key = (line.dest, line.tenant.clone());
            let mut demand = old.remove(&key).unwrap_or_default();
            demand.record(line.demand, now);
            self.demand.insert(key.clone(), demand);
            if let Some(released) = line.released {
                self.released.insert(key, released);
            }
        }
        // What is no longer reported counts until its window ends.
        for (key, mut demand) in old {
            demand.record(0, now);
            if demand.peak > 0 {
                self.demand.insert(key, demand);
            }
        }
    }
}
