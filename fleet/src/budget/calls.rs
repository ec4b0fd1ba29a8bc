//! Calls a span: the budget of connections once more, with an [`Agreed`](super::Agreed), a
//! [`Leader`](super::Leader) and a [`Holder`] of its own. Where that has a connection, here is a call: it
//! counts from its first byte until a span later, by the courier's clock and with a margin for its drift. So
//! in no span do more calls begin than the budget has, under the same faults; what the network holds up on
//! its way may arrive closer together than it was sent.

use super::holder::{Holder, Permit, Refusal, Why};
use super::{Agreed, Budget, DRIFT, Order, Report, Terms};
use serde::{Deserialize, Serialize};
use spurshore::Micros;

/// Calls of one partner in a span; each is remembered for its span by the courier that began it.
pub const CALLS_MAX: u32 = 100_000;

/// The budget of calls as one of connections, if the partner has one. Tenants have the same weights; floors
/// and ceilings are of connections alone. A courier that is cut off has the same part of the calls as of the
/// connections.
pub fn of(budget: &Budget) -> Option<Budget> {
    let (calls, _) = (budget.calls?.min(CALLS_MAX), budget.span_ms?);
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
pub fn terms(terms: Terms, budgets: &[Budget]) -> Terms {
    let spans = budgets.iter().filter_map(|b| b.calls.and(b.span_ms));
    let longest = spans.max().unwrap_or(0).saturating_mul(1_000);
    Terms { call: 0, quiet: longest, lease: terms.lease }
}

/// Both of a courier's sides: a call goes out if it has a connection and is one of the span's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Gate {
    pub connections: Holder,
    pub calls: Holder,
}

impl Gate {
    pub fn new(me: &str, terms: Terms, budgets: &[Budget], now: Micros) -> Gate {
        let mut connections = Holder::new(me, terms, now);
        let mut calls = Holder::of_tokens(me, self::terms(terms, budgets), now);
        for budget in budgets {
            connections.budget(budget);
            if let (Some(one), Some(span)) = (of(budget), budget.span_ms) {
                calls.budget(&one);
                let span = span.saturating_mul(1_000);
                calls.count_for(budget.dest, span.saturating_add(span / DRIFT).saturating_add(1));
            }
        }
        Gate { connections, calls }
    }

    pub fn joined(&mut self, epoch: u64) {
        self.connections.joined(epoch);
        self.calls.joined(epoch);
    }

    pub fn leased(&mut self, until: Micros) {
        self.connections.leased(until);
        self.calls.leased(until);
    }

    pub fn leave(&mut self) {
        self.connections.leave();
        self.calls.leave();
    }

    /// Both parts of the agreed state, as far as they are known here.
    pub fn agreed(&mut self, connections: &Agreed, calls: &Agreed, now: Micros) -> Vec<Order> {
        self.calls.agreed(calls, now);
        self.connections.agreed(connections, now)
    }

    pub fn tick(&mut self, now: Micros) -> Vec<Order> {
        self.calls.tick(now);
        self.connections.tick(now)
    }

    /// What the leader of the connections and that of the calls are to know, if it is time.
    pub fn reports(&mut self, now: Micros) -> (Option<Report>, Option<Report>) {
        (self.connections.report(now), self.calls.report(now))
    }

    /// So many calls of the tenant would go out now, beside those that are out.
    pub fn wants(&mut self, dest: u64, tenant: &str, count: u32, now: Micros) {
        self.connections.wants(dest, tenant, count, now);
        self.calls.wants(dest, tenant, count, now);
    }

    /// May a call of the tenant go out now? Its permit is for the connection; the call counts from now on,
    /// also if it is never written.
    ///
    /// # Errors There is no connection for it, or the span's calls are begun, and when one may be had.
    pub fn may_begin(&mut self, dest: u64, tenant: &str, now: Micros) -> Result<Permit, Refusal> {
        self.calls.expire(dest, now);
        let token = match self.calls.has(dest) {
            true => Some(self.calls.may_begin(dest, tenant, now)?),
            false => None,
        };
        let permit = self.connections.may_begin(dest, tenant, now);
        match (&permit, token) {
            (Ok(_), Some(token)) => self.calls.closing(dest, token.conn, now),
            (Err(_), Some(token)) => self.calls.closed(dest, token.conn, now),
            _ => {}
        }
        permit
    }

    /// Whether the refusal is for want of calls in this span: another endpoint of the partner won't help.
    pub fn by_rate(refusal: &Refusal) -> bool {
        refusal.why == Why::Rate
    }
}
