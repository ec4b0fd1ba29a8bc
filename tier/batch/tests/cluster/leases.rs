//! Leases of stores, as a primary of the core has them, and what it plans views from.

use quillmount_control::ShardPlanInputs;
use quillmount_test_support::simulation::{MILLI, Time};
use quillmount_wire::messages::{DiskId, ShardReport};
use std::collections::{BTreeMap, BTreeSet};

/// A store that has not polled for this time has lost its lease.
const LEASE: Time = 1_100 * MILLI;
/// Reports of a store are used for this time.
const REPORT_TTL: Time = 600 * MILLI;

/// When each store polled last, and what it reported then.
#[derive(Default)]
pub struct StoreLeases {
    leases: BTreeMap<DiskId, (Time, Vec<ShardReport>)>,
}

impl StoreLeases {
    /// Renews the lease of a store that polls.
    pub fn renew(&mut self, disk: DiskId, now: Time, reports: Vec<ShardReport>) {
        self.leases.insert(disk, (now, reports));
    }

    /// Forgets all leases.
    pub fn clear(&mut self) {
        self.leases.clear();
    }

    /// Live stores and recent reports, for the planning of views.
    pub fn plan_inputs(&self, now: Time, tolerated_failures: usize) -> ShardPlanInputs {
        let is_live = |polled_at: Time| now - polled_at < LEASE;
        let live = self.leases.iter().filter(|(_, (at, _))| is_live(*at)).map(|(disk, _)| *disk).collect();
        let recent = self.leases.values().filter(|(at, _)| now - at < REPORT_TTL);
        let reports = recent.flat_map(|(_, reports)| reports.iter().cloned()).collect();
        ShardPlanInputs { live, draining: BTreeSet::new(), reports, tolerated_failures }
    }
}
