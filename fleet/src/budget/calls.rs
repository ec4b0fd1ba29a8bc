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

#[cfg(test)]
mod tests {
    use super::super::{Begin, Command};
    use super::*;

    const TERMS: Terms = Terms { call: 2_000_000, quiet: 500_000, lease: 1_000_000 };
    const SPAN: Micros = 1_020_001;

    #[test]
    fn in_no_span_do_more_calls_begin_than_are_held() {
        let tenants =
            vec![super::super::Tenant { name: "a".into(), weight: 2.0, floor: 2, ceiling: Some(3) }];
        let budget = Budget {
            dest: 1,
            connections: 8,
            calls: Some(40),
            span_ms: Some(1000),
            courier_floor: 1,
            tenants,
        };
        let calls_of = of(&budget).unwrap();
        assert_eq!((calls_of.connections, calls_of.courier_floor), (40, 5));
        assert_eq!((calls_of.tenants[0].floor, calls_of.tenants[0].ceiling), (0, None));
        let mut gate = Gate::new("me", TERMS, std::slice::from_ref(&budget), 0);
        let mut agreed = [Agreed::default(), Agreed::default()];
        for (agreed, of, to) in
            agreed.iter_mut().zip([&budget, &calls_of]).zip([3, 10]).map(|((a, b), t)| (a, b, t))
        {
            let (connections, floor, courier) = (of.connections, of.courier_floor, "me".to_string());
            agreed.apply(&Command::Budget { dest: 1, connections, floor, couriers: vec![courier.clone()] });
            agreed.apply(&Command::Joined { courier: courier.clone(), epoch: 1 });
            agreed.apply(&Command::Aged { courier: courier.clone(), epoch: 1 });
            agreed.apply(&Command::Set { dest: 1, tenant: "a".into(), courier, epoch: 1, to });
        }
        gate.joined(1);
        gate.agreed(&agreed[0], &agreed[1], 0);
        gate.leased(10_000_000);
        let mut begun: Vec<Micros> = Vec::new();
        let mut told = None;
        for now in (0..5_000_000).step_by(10_000) {
            match gate.may_begin(1, "a", now) {
                Ok(permit) => {
                    assert!(
                        told.take().is_none_or(|at| now >= at && now < at + 10_000),
                        "what was told is true"
                    );
                    assert!(permit.begin == Begin::Reuse || gate.connections.opens(1, permit.conn, now));
                    gate.connections.released(&permit, now);
                    begun.push(now);
                }
                Err(refusal) => {
                    assert!(Gate::by_rate(&refusal));
                    told = Some(told.unwrap_or(now + refusal.after));
                }
            }
        }
        let most =
            begun.iter().map(|at| begun.iter().filter(|b| (*at..at + SPAN).contains(*b)).count()).max();
        assert_eq!((most, begun.len()), (Some(10), 50));
        // What a tenant sends in a span is what it asks for; it isn't called back for being idle just now.
        let report = gate.reports(5_000_000).1.unwrap();
        assert_eq!((report.lines[0].asks, report.lines[0].open), (11, 10), "and the one that was refused");
        // No connection: the call isn't counted.
        let permits: Vec<_> =
            (0..3).map(|_| gate.connections.may_begin(1, "a", 7_000_000).unwrap()).collect();
        assert_eq!(permits.len(), 3);
        assert_eq!(gate.may_begin(1, "a", 7_000_000).unwrap_err().why, Why::InUse);
        assert_eq!(gate.calls.open(1), 0);
        // Cut off, there is its floor's part.
        permits.iter().for_each(|p| drop(gate.connections.released(p, 7_000_000)));
        for Order::Close { conn, .. } in gate.tick(20_000_000) {
            gate.connections.closed(1, conn, 20_000_000);
        }
        let begins = (0..20).filter(|n| {
            let now = 20_000_000 + n;
            gate.may_begin(1, "a", now).is_ok_and(|p| {
                gate.connections.released(&p, now);
                true
            })
        });
        assert_eq!(begins.count(), 5);
    }
}
