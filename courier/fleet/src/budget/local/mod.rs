//! A courier's own side of the budgets: the connections that it may open to each partner, and those that it has.
//!
//! A connection counts from its permit until it is closed at the partner, in all states in between: opening, in use,
//! idle and closing, even if its call was aborted. It belongs to the tenant whose call uses it or used it last. A call
//! of another tenant may reuse an idle connection, which then belongs to that tenant.
//!
//! The caller applies each change of the replicated state ([`LocalBudget::apply_state`]), acquires a [`Permit`] before
//! each call ([`LocalBudget::acquire`]), reports each change of the connection's state, and sends the reports
//! ([`LocalBudget::report`]) to the leader. It carries out the returned [`ConnectionOrder`]s.
//!
//! Modules: `connections` has the state for one partner, `permit` decides on calls, `closing` ends connections, and
//! `reporting` creates the reports.

mod closing;
mod connections;
mod permit;
mod reporting;

pub use closing::ConnectionOrder;
pub use connections::WAITING_TTL;
pub use permit::{
    INITIAL_GRANT_TIME, MIN_RETRY_AFTER, PERMIT_TTL, Permit, PermitKind, Refusal, RefusalReason,
};
pub use reporting::{MIN_REPORT_INTERVAL, REPORT_INTERVAL};

use super::breaks::{Break, is_enabled};
use super::model::{Budget, TimeBounds};
use super::state::{BudgetState, PartnerBudget};
use connections::{Grant, PartnerConnections};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The grants and connections of one courier. An upgrade passes this state to the new process in postcard encoding,
/// which depends on the order of the fields.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LocalBudget {
    local_name: String,
    bounds: TimeBounds,
    epoch: u64,
    lease_until: Micros,
    /// The time from which no connection of an earlier process is open.
    floor_from: Micros,
    partners: BTreeMap<u64, PartnerConnections>,
    /// Whether the calls of a span are counted instead of connections: see [`super::calls`].
    counts_calls: bool,
    /// Whether the courier is stopping and begins no more calls.
    leaving: bool,
    /// The number of the last connection.
    last_connection: u64,
    /// The number of the last report.
    sequence: u64,
    /// Whether a reported value has changed since the last report.
    changed: bool,
    /// When the last report was created.
    #[serde(rename = "reported")]
    reported_at: Option<Micros>,
}

/// What the courier's membership allows at a point in time.
#[derive(Clone, Copy)]
struct Allowance {
    /// The lease has expired, so grants can't be used.
    is_cut_off: bool,
    /// The floor may be used: no connection of an earlier process can be open, and this process isn't stopping.
    has_floor: bool,
    is_leaving: bool,
}

impl Allowance {
    /// The connections of the courier's floor at the partner that may be used now.
    fn floor(self, partner: &PartnerConnections) -> u32 {
        if self.has_floor { partner.floor() } else { 0 }
    }

    /// The highest total of connections to the partner, including a new one.
    fn cap(self, partner: &PartnerConnections) -> u32 {
        let floor = self.floor(partner);
        if self.is_cut_off || self.is_leaving { floor } else { floor.max(partner.usable) }
    }

    /// The connections that the tenant's grant allows now.
    fn usable(self, partner: &PartnerConnections, tenant: &str) -> u32 {
        if self.is_cut_off { 0 } else { partner.usable(tenant) }
    }
}

impl LocalBudget {
    /// Creates the state of a process that starts at `now`. Connections of an earlier process with the same name may
    /// still be open for [`TimeBounds::drain_time`].
    pub fn new(local_name: &str, bounds: TimeBounds, now: Micros) -> LocalBudget {
        let floor_from =
            if is_enabled(Break::FloorTooSoon) { now } else { now.saturating_add(bounds.drain_time()) };
        LocalBudget {
            local_name: local_name.to_string(),
            bounds,
            epoch: 0,
            lease_until: 0,
            floor_from,
            partners: BTreeMap::new(),
            counts_calls: false,
            leaving: false,
            last_connection: 0,
            sequence: 0,
            changed: true,
            reported_at: None,
        }
    }

    /// Creates the state that counts the calls of a span: see [`super::calls`].
    pub(super) fn for_calls(local_name: &str, bounds: TimeBounds, now: Micros) -> LocalBudget {
        LocalBudget { counts_calls: true, ..LocalBudget::new(local_name, bounds, now) }
    }

    /// Sets the configured budget of a partner. The tenants' weights divide this courier's floor while it is cut off.
    pub fn set_budget(&mut self, budget: &Budget) {
        let partner = self.partners.entry(budget.dest).or_default();
        partner.configured_floor = budget.courier_floor;
        partner.close_timeout = self.bounds.close_timeout();
        partner.weights = budget.tenants.iter().map(|t| (t.name.clone(), t.weight_millionths())).collect();
        self.changed = true;
    }

    /// Sets the longest time for which closing connections of this partner count.
    pub(super) fn set_close_timeout(&mut self, dest: u64, timeout: Micros) {
        if let Some(partner) = self.partners.get_mut(&dest) {
            partner.close_timeout = timeout;
        }
    }

    /// Whether the partner has a budget. Calls to other partners need no permit.
    pub fn has_budget(&self, dest: u64) -> bool {
        self.partners.contains_key(&dest)
    }

    /// Records that the courier has joined the fleet under this epoch, and drops the grants of earlier epochs.
    pub fn joined(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.partners.values_mut().for_each(|p| (p.usable, p.grants) = Default::default());
            self.changed = true;
        }
    }

    /// Extends the courier's lease to `until`, by its own clock.
    pub fn extend_lease(&mut self, until: Micros) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Ends the courier's lease at once, because it was revoked.
    pub fn end_lease(&mut self) {
        self.lease_until = 0;
    }

    /// Begins a planned stop: no more calls begin, and idle connections are closed at the next [`LocalBudget::tick`].
    pub fn leave(&mut self) {
        (self.leaving, self.changed) = (true, true);
    }

    /// Whether the courier is stopping and has no connections open any more. If the process ends before the state from
    /// its next report is committed, the stop is treated like a crash.
    pub fn has_left(&self) -> bool {
        self.leaving && self.partners.values().all(|p| p.connections.is_empty())
    }

    /// Applies the replicated state as far as this courier has received it, after each log entry or once for several.
    /// Returns the connections to close.
    pub fn apply_state(&mut self, budget_state: &BudgetState, now: Micros) -> Vec<ConnectionOrder> {
        let member = budget_state.member(&self.local_name).filter(|m| m.epoch == self.epoch && !m.lapsed);
        let is_member = member.is_some();
        if member.is_some_and(|m| m.aged) {
            self.floor_from = self.floor_from.min(now);
        }
        for (_, partner) in self.partners.iter_mut().filter(|(d, _)| budget_state.partner(**d).is_none()) {
            partner.grants.clear();
            partner.usable = 0;
        }
        for (dest, agreed) in budget_state.partners() {
            self.apply_partner(dest, agreed, is_member, now);
        }
        self.tick(now)
    }

    fn apply_partner(&mut self, dest: u64, agreed: &PartnerBudget, is_member: bool, now: Micros) {
        let close_timeout = self.bounds.close_timeout();
        let partner = self
            .partners
            .entry(dest)
            .or_insert_with(|| PartnerConnections { close_timeout, ..PartnerConnections::default() });
        partner.agreed_floor = Some(agreed.floor(&self.local_name));
        let mut grants = BTreeMap::new();
        for (tenant, share) in agreed.shares(&self.local_name, self.epoch).filter(|_| is_member) {
            let old = partner.grants.get(tenant).copied().unwrap_or_default();
            grants.insert(tenant.to_string(), Grant::new(share, &old));
            if old.usable == 0 && share.usable() > 0 {
                partner.record_grant(tenant, now);
            }
        }
        self.changed |= grants != partner.grants;
        partner.grants = grants;
        partner.usable = partner.sum(|grant| grant.usable);
    }

    fn is_cut_off(&self, now: Micros) -> bool {
        now >= self.lease_until && !is_enabled(Break::LeaseIgnored)
    }

    fn allowance(&self, now: Micros) -> Allowance {
        Allowance {
            is_cut_off: self.is_cut_off(now),
            has_floor: now >= self.floor_from && !self.leaving,
            is_leaving: self.leaving,
        }
    }

    /// The number of connections to a partner in any state.
    pub fn open(&self, dest: u64) -> u32 {
        self.partners.get(&dest).map_or(0, |p| p.connections.len() as u32)
    }

    /// The number of a tenant's connections to a partner in any state.
    pub fn open_for(&self, dest: u64, tenant: &str) -> u32 {
        self.partners.get(&dest).map_or(0, |p| p.open(tenant))
    }

    /// The longest time for which a closing connection to the partner counts, in microseconds.
    pub fn close_timeout_of(&self, dest: u64) -> Micros {
        self.partners.get(&dest).map_or(self.bounds.close_timeout(), |p| p.close_timeout)
    }
}
