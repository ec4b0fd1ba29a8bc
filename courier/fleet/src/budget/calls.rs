//! Calls in a span of time: the budget of connections once more, with a [`BudgetState`], a
//! [`BudgetLeader`](super::BudgetLeader) and a [`LocalBudget`] of its own, where a call stands for a connection. It
//! counts from its first byte until a span later, by the courier's clock and with a margin for its drift. So in no span
//! do more calls begin than the budget has, under the same faults. What the network delays on its way may arrive closer
//! together than it was sent.

use super::local::{ConnectionOrder, LocalBudget, Permit, Refusal, RefusalReason};
use super::model::{Budget, CLOCK_DRIFT_DIVISOR, Tenant, TimeBounds};
use super::report::Report;
use super::state::BudgetState;
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// Calls of one partner in a span, at most; the courier that began one remembers it for the span.
pub const MAX_CALLS: u32 = 100_000;

/// The budget of calls in the form of one of connections, if the partner has one. Tenants have the same weights; floors
/// and ceilings are of connections only. A courier that is cut off has the same part of the calls as of the
/// connections.
pub fn call_budget(budget: &Budget) -> Option<Budget> {
    let (calls, _) = (budget.calls?.min(MAX_CALLS), budget.span_ms?);
    let floor = u64::from(budget.courier_floor) * u64::from(calls) / u64::from(budget.connections.max(1));
    let tenants = budget.tenants.iter().map(|t| Tenant { floor: 0, ceiling: None, ..t.clone() });
    Some(Budget {
        connections: calls,
        courier_floor: u32::try_from(floor).unwrap_or(calls),
        tenants: tenants.collect(),
        ..budget.clone()
    })
}

/// The bounds on time for the calls' leader and couriers: no call counts for longer than the longest span.
pub fn call_bounds(bounds: TimeBounds, budgets: &[Budget]) -> TimeBounds {
    let spans = budgets.iter().filter_map(|b| b.calls.and(b.span_ms));
    let longest = spans.max().unwrap_or(0).saturating_mul(1_000);
    TimeBounds { max_call: 0, max_idle: longest, lease: bounds.lease }
}

/// What a courier reports to the leader at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateReports {
    /// The report on connections, if it is due.
    pub connections: Option<Report>,
    /// The report on calls, if it is due.
    pub calls: Option<Report>,
}

/// Both of a courier's local budgets: a call is sent if it has a connection and the span has a call left. An upgrade
/// hands it over in postcard's form, which goes by position.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetGate {
    /// The budgets of connections.
    pub connections: LocalBudget,
    /// The budgets of calls.
    pub calls: LocalBudget,
}

impl BudgetGate {
    /// A process that starts, with these budgets configured.
    pub fn new(local_name: &str, bounds: TimeBounds, budgets: &[Budget], now: Micros) -> BudgetGate {
        let mut connections = LocalBudget::new(local_name, bounds, now);
        let mut calls = LocalBudget::for_calls(local_name, call_bounds(bounds, budgets), now);
        for budget in budgets {
            connections.set_budget(budget);
            if let (Some(call_budget), Some(span_ms)) = (call_budget(budget), budget.span_ms) {
                calls.set_budget(&call_budget);
                let span = span_ms.saturating_mul(1_000);
                calls.set_close_timeout(
                    budget.dest,
                    span.saturating_add(span / CLOCK_DRIFT_DIVISOR).saturating_add(1),
                );
            }
        }
        BudgetGate { connections, calls }
    }

    /// The courier is a member with this epoch.
    pub fn joined(&mut self, epoch: u64) {
        self.connections.joined(epoch);
        self.calls.joined(epoch);
    }

    /// The courier's lease runs until then.
    pub fn extend_lease(&mut self, until: Micros) {
        self.connections.extend_lease(until);
        self.calls.extend_lease(until);
    }

    /// The courier's lease was revoked.
    pub fn end_lease(&mut self) {
        self.connections.end_lease();
        self.calls.end_lease();
    }

    /// A planned stop: nothing more is begun.
    pub fn leave(&mut self) {
        self.connections.leave();
        self.calls.leave();
    }

    /// The agreed state of both, as far as it is known here.
    pub fn apply_state(
        &mut self,
        connections: &BudgetState,
        calls: &BudgetState,
        now: Micros,
    ) -> Vec<ConnectionOrder> {
        self.calls.apply_state(calls, now);
        self.connections.apply_state(connections, now)
    }

    /// Removes and closes what is overdue: see [`LocalBudget::tick`].
    pub fn tick(&mut self, now: Micros) -> Vec<ConnectionOrder> {
        self.calls.tick(now);
        self.connections.tick(now)
    }

    /// The reports that are due.
    pub fn reports(&mut self, now: Micros) -> GateReports {
        GateReports { connections: self.connections.report(now), calls: self.calls.report(now) }
    }

    /// The tenant has so many calls waiting, beside those in flight.
    pub fn set_waiting(&mut self, dest: u64, tenant: &str, count: u32, now: Micros) {
        self.connections.set_waiting(dest, tenant, count, now);
        self.calls.set_waiting(dest, tenant, count, now);
    }

    /// A permit for a call of the tenant. It is for the connection; the call counts from now on, even if it is never
    /// written.
    ///
    /// # Errors
    /// There is no connection for it, or the span has no call left; the refusal says when to retry.
    pub fn acquire(&mut self, dest: u64, tenant: &str, now: Micros) -> Result<Permit, Refusal> {
        self.calls.release_expired(dest, now);
        let call_permit = match self.calls.has_budget(dest) {
            true => Some(self.calls.acquire(dest, tenant, now)?),
            false => None,
        };
        let permit = self.connections.acquire(dest, tenant, now);
        match (&permit, call_permit) {
            (Ok(_), Some(call_permit)) => self.calls.closing(dest, call_permit.conn, now),
            (Err(_), Some(call_permit)) => self.calls.closed(dest, call_permit.conn, now),
            _ => {}
        }
        permit
    }

    /// Whether the span has no call left: another endpoint of the partner won't help.
    pub fn is_rate_limited(refusal: &Refusal) -> bool {
        refusal.reason == RefusalReason::RateLimited
    }
}
