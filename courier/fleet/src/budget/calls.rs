//! Rate limits: the number of calls that begin in a span of time.
//!
//! The state machines of the connection budget are reused, with a [`BudgetState`], a
//! [`BudgetLeader`](super::BudgetLeader) and a [`LocalBudget`] of their own in which a call takes the place of a
//! connection. A call counts from its first byte until one span later, by the courier's clock and with a margin for
//! clock drift. In no span do more calls begin than the budget allows, under the same faults as for connections.
//! Network delay may still make calls arrive at the partner closer together than they were sent.

use super::local::{ConnectionOrder, LocalBudget, Permit, Refusal, RefusalReason};
use super::model::{Budget, CLOCK_DRIFT_DIVISOR, Tenant, TimeBounds};
use super::report::Report;
use super::state::BudgetState;
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// Upper limit of the calls to one partner in a span. It bounds memory: a courier keeps a record of each call that it
/// began for one span.
pub const MAX_CALLS: u32 = 100_000;

/// Returns the partner's budget of calls in the form of a budget of connections, or `None` if it limits no calls.
/// Tenants keep their weights; floors and ceilings of tenants apply to connections only. The floor of a courier is the
/// same fraction of the calls as of the connections.
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

/// Returns the time bounds of the state machines that count calls: no call counts for longer than the longest span.
pub fn call_bounds(bounds: TimeBounds, budgets: &[Budget]) -> TimeBounds {
    let spans = budgets.iter().filter_map(|b| b.calls.and(b.span_ms));
    let longest = spans.max().unwrap_or(0).saturating_mul(1_000);
    TimeBounds { max_call: 0, max_idle: longest, lease: bounds.lease }
}

/// The reports of a courier to the leader that are due at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateReports {
    /// The report on connections, if it is due.
    pub connections: Option<Report>,
    /// The report on calls, if it is due.
    pub calls: Option<Report>,
}

/// Admission of calls at one courier: a call is sent only if a connection is available and the rate limit of the span
/// is not used up. An upgrade hands this state to the new process in postcard encoding, which depends on the order of
/// the fields.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetGate {
    /// Limits the connections that are open at once.
    pub connections: LocalBudget,
    /// Limits the calls that begin in a span.
    pub calls: LocalBudget,
}

impl BudgetGate {
    /// Creates the state of a process that starts at `now` with the configured budgets.
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

    /// Records that the courier has joined the fleet under this epoch.
    pub fn joined(&mut self, epoch: u64) {
        self.connections.joined(epoch);
        self.calls.joined(epoch);
    }

    /// Extends the courier's lease to `until`, by the courier's own clock.
    pub fn extend_lease(&mut self, until: Micros) {
        self.connections.extend_lease(until);
        self.calls.extend_lease(until);
    }

    /// Ends the courier's lease at once, because it was revoked.
    pub fn end_lease(&mut self) {
        self.connections.end_lease();
        self.calls.end_lease();
    }

    /// Begins a planned stop: no further calls are admitted.
    pub fn leave(&mut self) {
        self.connections.leave();
        self.calls.leave();
    }

    /// Applies the replicated state of both budgets as far as this courier has received it; returns the connections to
    /// close.
    pub fn apply_state(
        &mut self,
        connections: &BudgetState,
        calls: &BudgetState,
        now: Micros,
    ) -> Vec<ConnectionOrder> {
        self.calls.apply_state(calls, now);
        self.connections.apply_state(connections, now)
    }

    /// Removes ended connections and closes overdue ones: see [`LocalBudget::tick`].
    pub fn tick(&mut self, now: Micros) -> Vec<ConnectionOrder> {
        self.calls.tick(now);
        self.connections.tick(now)
    }

    /// Returns the reports that are due at `now`.
    pub fn reports(&mut self, now: Micros) -> GateReports {
        GateReports { connections: self.connections.report(now), calls: self.calls.report(now) }
    }

    /// Sets the number of the tenant's waiting calls, without those in flight.
    pub fn set_waiting(&mut self, dest: u64, tenant: &str, count: u32, now: Micros) {
        self.connections.set_waiting(dest, tenant, count, now);
        self.calls.set_waiting(dest, tenant, count, now);
    }

    /// Acquires a permit for a call of the tenant. The returned permit is that of the connection. The call counts
    /// against the rate limit from now on, even if it is never written.
    ///
    /// # Errors
    /// Returns a refusal with a retry delay if no connection is available or the rate limit of the span is used up.
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

    /// Whether the rate limit refused the call. It applies to the whole partner, so another of its endpoints would be
    /// refused as well.
    pub fn is_rate_limited(refusal: &Refusal) -> bool {
        refusal.reason == RefusalReason::RateLimited
    }
}
