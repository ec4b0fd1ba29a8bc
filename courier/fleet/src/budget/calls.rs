//! Calls a span: the budget of connections once more, with an [`BudgetState`](super::BudgetState), a
//! [`BudgetLeader`](super::Leader) and a [`LocalBudget`] of its own. Where that has a connection, here is a call: it
//! counts from its first byte until a span later, by the courier's clock and with a margin for its drift. So
//! in no span do more calls begin than the budget has, under the same faults; what the network holds up on
//! its way may arrive closer together than it was sent.

use super::local::{LocalBudget, Permit, Refusal, RefusalReason};
use super::{Budget, BudgetState, CLOCK_DRIFT_DIVISOR, ConnectionOrder, Report, TimeBounds};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// Calls of one partner in a span; each is remembered for its span by the courier that began it.
pub const MAX_CALLS: u32 = 100_000;

/// The budget of calls as one of connections, if the partner has one. Tenants have the same weights; floors
/// and ceilings are of connections alone. A courier that is cut off has the same part of the calls as of the
/// connections.
pub fn call_budget(budget: &Budget) -> Option<Budget> {
    let (calls, _) = (budget.calls?.min(MAX_CALLS), budget.span_ms?);
    let floor = u64::from(budget.courier_floor) * u64::from(calls) / u64::from(budget.connections.max(1));
    let tenants = budget.tenants.iter().map(|t| super::Tenant { floor: 0, ceiling: None, ..t.clone() });
    Some(Budget {
        connections: calls,
        courier_floor: u32::try_from(floor).unwrap_or(calls),
        tenants: tenants.collect(),
        ..budget.clone()
    })
}

/// The terms of the calls' leader and holder: nothing is longer open than the longest span.
pub fn call_bounds(bounds: TimeBounds, budgets: &[Budget]) -> TimeBounds {
    let spans = budgets.iter().filter_map(|b| b.calls.and(b.span_ms));
    let longest = spans.max().unwrap_or(0).saturating_mul(1_000);
    TimeBounds { max_call: 0, max_idle: longest, lease: bounds.lease }
}

/// Both of a courier's sides: a call goes out if it has a connection and is one of the span's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetGate {
    pub connections: LocalBudget,
    pub calls: LocalBudget,
}

impl BudgetGate {
    pub fn new(local_name: &str, bounds: TimeBounds, budgets: &[Budget], now: Micros) -> BudgetGate {
        let mut connections = LocalBudget::new(local_name, bounds, now);
        let mut calls = LocalBudget::for_calls(local_name, self::call_bounds(bounds, budgets), now);
        for budget in budgets {
            connections.budget(budget);
            if let (Some(one), Some(span)) = (call_budget(budget), budget.span_ms) {
                calls.budget(&one);
                let span = span.saturating_mul(1_000);
                calls.set_close_timeout(
                    budget.dest,
                    span.saturating_add(span / CLOCK_DRIFT_DIVISOR).saturating_add(1),
                );
            }
        }
        BudgetGate { connections, calls }
    }

    pub fn joined(&mut self, epoch: u64) {
        self.connections.joined(epoch);
        self.calls.joined(epoch);
    }

    pub fn extend_lease(&mut self, until: Micros) {
        self.connections.extend_lease(until);
        self.calls.extend_lease(until);
    }

    pub fn leave(&mut self) {
        self.connections.leave();
        self.calls.leave();
    }

    /// Both parts of the agreed state, as far as they are known here.
    pub fn apply_state(
        &mut self,
        connections: &BudgetState,
        calls: &BudgetState,
        now: Micros,
    ) -> Vec<ConnectionOrder> {
        self.calls.apply_state(calls, now);
        self.connections.apply_state(connections, now)
    }

    pub fn tick(&mut self, now: Micros) -> Vec<ConnectionOrder> {
        self.calls.tick(now);
        self.connections.tick(now)
    }

    /// What the leader of the connections and that of the calls are to know, if it is time.
    pub fn reports(&mut self, now: Micros) -> (Option<Report>, Option<Report>) {
        (self.connections.report(now), self.calls.report(now))
    }

    /// So many calls of the tenant would go out now, beside those that are out.
    pub fn set_waiting(&mut self, dest: u64, tenant: &str, count: u32, now: Micros) {
        self.connections.set_waiting(dest, tenant, count, now);
        self.calls.set_waiting(dest, tenant, count, now);
    }

    /// May a call of the tenant go out now? Its permit is for the connection; the call counts from now on,
    /// also if it is never written.
    ///
    /// # Errors There is no connection for it, or the span's calls are begun, and when one may be had.
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

    /// Whether the refusal is for want of calls in this span: another endpoint of the partner won't help.
    pub fn is_rate_limited(refusal: &Refusal) -> bool {
        refusal.reason == RefusalReason::RateLimited
    }
}
