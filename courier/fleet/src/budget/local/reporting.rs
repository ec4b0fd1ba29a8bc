//! Reports to the leader: the demand of each tenant at this courier, and the recalls that it has met.

use super::LocalBudget;
use super::connections::{ConnectionState, PartnerConnections};
use super::permit::PERMIT_TTL;
use crate::budget::report::{ConfirmedRecall, Report, ReportLine};
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The longest interval between reports, so that a lost report is soon replaced.
pub const REPORT_INTERVAL: Micros = 250_000;
/// The shortest interval between reports, however often the state changes.
pub const MIN_REPORT_INTERVAL: Micros = 20_000;

impl LocalBudget {
    /// Creates the next report to the current leader, or returns `None` if it isn't due yet.
    pub fn report(&mut self, now: Micros) -> Option<Report> {
        let elapsed = self.reported_at.map(|reported_at| now.saturating_sub(reported_at));
        let is_due =
            elapsed.is_none_or(|t| t >= REPORT_INTERVAL || (self.changed && t >= MIN_REPORT_INTERVAL));
        if !is_due || self.epoch == 0 {
            return None;
        }
        (self.reported_at, self.changed) = (Some(now), false);
        self.sequence += 1;
        let has_floor = now >= self.floor_from;
        let mut lines = Vec::new();
        let mut clear = has_floor;
        for (dest, partner) in &mut self.partners {
            clear &= partner.total() <= partner.floor().max(partner.sum(|grant| grant.confirmed));
            let floor = if has_floor { partner.floor() } else { 0 };
            for (tenant, demand) in partner.demands(self.counts_calls, now) {
                let open = partner.open(&tenant);
                let released = partner.confirm_recall(&tenant, open, floor);
                lines.push(ReportLine { dest: *dest, tenant, demand, open, released });
            }
        }
        Some(Report {
            courier: self.local_name.clone(),
            epoch: self.epoch,
            sequence: self.sequence,
            clear,
            left: self.has_left(),
            lines,
        })
    }

    /// The time at which [`LocalBudget::tick`] and [`LocalBudget::report`] are due next.
    pub fn wake_at(&self, now: Micros) -> Micros {
        let interval = if self.changed { MIN_REPORT_INTERVAL } else { REPORT_INTERVAL };
        let mut wake_at = self.reported_at.map_or(now, |reported_at| reported_at + interval);
        if now < self.lease_until {
            wake_at = wake_at.min(self.lease_until);
        }
        for partner in self.partners.values() {
            for connection in partner.connections.values() {
                let timeout = match connection.state {
                    ConnectionState::Busy => self.bounds.max_call,
                    ConnectionState::Closing => partner.close_timeout,
                    ConnectionState::Permitted => PERMIT_TTL * 2,
                    ConnectionState::Idle => continue,
                };
                wake_at = wake_at.min(connection.since.saturating_add(timeout));
            }
        }
        wake_at.max(now)
    }
}

impl PartnerConnections {
    /// The connections that each tenant could use now, sorted by tenant.
    fn demands(&self, counts_calls: bool, now: Micros) -> Vec<(String, u32)> {
        let tenants = self.grants.keys().chain(self.waiting.keys()).chain(self.open.keys());
        let tenants: BTreeSet<&String> = tenants.collect();
        let mut busy = BTreeMap::<&str, u32>::new();
        for connection in self.connections.values() {
            if matches!(connection.state, ConnectionState::Busy | ConnectionState::Permitted) {
                *busy.entry(&connection.tenant).or_default() += 1;
            }
        }
        let demand = |tenant: &str| {
            let in_use = match counts_calls {
                // The calls of the last span count as demand, because the tenant is expected to continue at that rate.
                true => self.open(tenant),
                false => busy.get(tenant).copied().unwrap_or(0),
            };
            in_use.saturating_add(self.waiting.get(tenant).map_or(0, |waiting| waiting.count_at(now)))
        };
        tenants.into_iter().map(|tenant| (tenant.clone(), demand(tenant))).collect()
    }

    /// Confirms a recall as far as it is met now. The confirmed number covers the tenant's open connections, and
    /// together with the other grants it covers all open connections.
    fn confirm_recall(&mut self, tenant: &str, open: u32, floor: u32) -> Option<ConfirmedRecall> {
        let (total, confirmed) = (self.total(), self.sum(|grant| grant.confirmed));
        let grant = self.grants.get_mut(tenant).filter(|grant| grant.recalled)?;
        let other_tenants = confirmed - grant.confirmed;
        // Connections that fit into the floor need no grant.
        let needed = if total <= floor { 0 } else { open.max(total.saturating_sub(other_tenants)) };
        grant.confirmed = grant.confirmed.min(grant.usable.max(needed));
        Some(ConfirmedRecall { number: grant.number, connections: grant.confirmed })
    }
}
