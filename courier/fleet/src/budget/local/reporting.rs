//! Reports to the leader: what each tenant demands here, and which recalls are met.

use super::LocalBudget;
use super::connections::{ConnectionState, PartnerConnections};
use super::permit::PERMIT_TTL;
use crate::budget::report::{ConfirmedRecall, Report, ReportLine};
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The longest interval between reports, so that a lost one is soon replaced.
pub const REPORT_INTERVAL: Micros = 250_000;
/// The shortest interval between reports, whatever changes.
pub const MIN_REPORT_INTERVAL: Micros = 20_000;

impl LocalBudget {
    /// The report to whoever leads, if one is due.
    pub fn report(&mut self, now: Micros) -> Option<Report> {
        let since = self.reported.map(|at| now.saturating_sub(at));
        let due = since.is_none_or(|s| s >= REPORT_INTERVAL || (self.changed && s >= MIN_REPORT_INTERVAL));
        if !due || self.epoch == 0 {
            return None;
        }
        (self.reported, self.changed) = (Some(now), false);
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

    /// When [`LocalBudget::tick`] and [`LocalBudget::report`] are wanted next.
    pub fn wake_at(&self, now: Micros) -> Micros {
        let interval = if self.changed { MIN_REPORT_INTERVAL } else { REPORT_INTERVAL };
        let mut at = self.reported.map_or(now, |reported| reported + interval);
        if now < self.lease_until {
            at = at.min(self.lease_until);
        }
        for partner in self.partners.values() {
            for connection in partner.connections.values() {
                let span = match connection.state {
                    ConnectionState::Busy => self.bounds.max_call,
                    ConnectionState::Closing => partner.close_timeout,
                    ConnectionState::Permitted => PERMIT_TTL * 2,
                    ConnectionState::Idle => continue,
                };
                at = at.min(connection.since.saturating_add(span));
            }
        }
        at.max(now)
    }
}

impl PartnerConnections {
    /// The connections that each tenant would use now, in the order of names.
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
                // The calls of the last span are demanded: the tenant continues at its rate.
                true => self.open(tenant),
                false => busy.get(tenant).copied().unwrap_or(0),
            };
            in_use.saturating_add(self.waiting.get(tenant).map_or(0, |waiting| waiting.count_at(now)))
        };
        tenants.into_iter().map(|tenant| (tenant.clone(), demand(tenant))).collect()
    }

    /// What can be confirmed of a recall now, no less than is open and than all that is open needs.
    fn confirm_recall(&mut self, tenant: &str, open: u32, floor: u32) -> Option<ConfirmedRecall> {
        let (total, confirmed) = (self.total(), self.sum(|grant| grant.confirmed));
        let grant = self.grants.get_mut(tenant).filter(|grant| grant.recalled)?;
        let others = confirmed - grant.confirmed;
        // What fits into the floor needs no grant.
        let need = if total <= floor { 0 } else { open.max(total.saturating_sub(others)) };
        grant.confirmed = grant.confirmed.min(grant.usable.max(need));
        Some(ConfirmedRecall { number: grant.number, connections: grant.confirmed })
    }
}
