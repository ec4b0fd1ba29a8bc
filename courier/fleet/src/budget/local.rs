//! A courier's own side of the budgets: what it may have open at each partner, and what it has.
//!
//! A connection counts from its permit until it is closed at the partner: while it is opened, used, idle and
//! closed, and so does one whose call was given up. It belongs to the tenant whose call is on it, or was
//! last; an idle one may be taken by another tenant's call, which owns it then.

use super::breaks::{Break, on};
use super::leader::{Report, ReportLine};
use super::state::BudgetState;
use super::{MAX_TENANTS, TimeBounds};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A refused call counts as one that waits for so long; it comes back within that, or wants it no more.
pub const WAITING_TTL: Micros = 1_000_000;
/// What a first connection takes from the asking to its grant, until one was seen: a report, a round of the
/// leader's, an entry of the log.
pub const INITIAL_GRANT_TIME: Micros = 200_000;
/// No refusal names less: the caller would be back before anything can have changed.
pub const MIN_RETRY_AFTER: Micros = 1_000;
/// A permit that isn't used within this is asked for anew; it is for the step from a decision to its socket.
pub const PERMIT_TTL: Micros = 1_000_000;
/// Reports at least so often, so that a lost one is made good.
pub const REPORT_INTERVAL: Micros = 250_000;
/// And not more often than this, whatever changes.
pub const MIN_REPORT_INTERVAL: Micros = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum ConnectionState {
    /// It may be opened, but hasn't been.
    Permitted,
    Busy,
    Idle,
    /// Closed by this side, or given up; still open at the partner as far as is known.
    Closing,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Connection {
    tenant: String,
    state: ConnectionState,
    since: Micros,
    /// Under which it was permitted.
    epoch: u64,
}

/// A grant as this courier knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Grant {
    usable: u32,
    recalled: bool,
    number: u64,
    /// At most so many count for it: granted, or what it has confirmed under this number.
    confirmed: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct WaitingCalls {
    /// Calls that would go out now, beside those that are out.
    count: u32,
    refused: Option<Micros>,
    /// Since when it wants a connection and has none.
    since: Option<Micros>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct PartnerConnections {
    /// As this courier's file has it, and no more than is agreed on.
    configured: u32,
    /// A closing connection counts no longer than this.
    close_timeout: Micros,
    agreed_floor: Option<u32>,
    grants: BTreeMap<String, Grant>,
    /// What the grants allow together.
    usable: u32,
    conns: BTreeMap<u64, Connection>,
    idle: BTreeMap<String, BTreeSet<u64>>,
    /// All of a tenant's connections, in any state.
    open: BTreeMap<String, u32>,
    waiting: BTreeMap<String, WaitingCalls>,
    weights: BTreeMap<String, u64>,
    /// How long a call holds a connection, smoothed; 0 before the first.
    mean_call: Micros,
    /// From the first asking to the grant, smoothed; 0 before the first.
    mean_grant: Micros,
}

/// Leave to use one connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    pub dest: u64,
    pub conn: u64,
    pub begin: PermitKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitKind {
    /// Open a connection; [`LocalBudget::confirm_open`] is asked directly before.
    Open,
    /// Go out on this one, which is idle.
    Reuse,
}

/// Why a call can't go out now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// All connections that the tenant may have here are in use.
    AllInUse,
    /// The tenant holds none here yet; the leader has to move one.
    NoShare,
    /// The courier is cut off, and the connections of its floor are in use or it has none.
    CutOff,
    /// All calls of the span that the tenant may begin here are begun.
    RateLimited,
    /// More tenants at once than are kept.
    TooManyTenants,
}

/// A refusal: when it makes sense to come back, by what is held and how fast it was seen to come free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub after: Micros,
    pub reason: RefusalReason,
    /// What the tenant may have open here, and has.
    pub usable: u32,
    pub open: u32,
}

/// What the courier has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOrder {
    /// Close this connection; it is idle, or its call has been on it for longer than any may.
    Close { dest: u64, conn: u64 },
}

/// What one courier holds and uses. An upgrade hands it to the next process whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LocalBudget {
    local_name: String,
    bounds: TimeBounds,
    epoch: u64,
    lease_until: Micros,
    /// From then on no earlier process's connections are open.
    floor_from: Micros,
    partners: BTreeMap<u64, PartnerConnections>,
    /// It counts calls of a span in place of connections: see [`super::calls`].
    counts_calls: bool,
    /// It begins nothing more.
    leaving: bool,
    conns: u64,
    sequence: u64,
    changed: bool,
    reported: Option<Micros>,
}

fn smooth(old: Micros, sample: Micros) -> Micros {
    if old == 0 { sample.max(1) } else { (old / 8).saturating_mul(7).saturating_add(sample / 8).max(1) }
}

impl PartnerConnections {
    fn total(&self) -> u32 {
        if on(Break::ClosingUncounted) {
            return self.conns.values().filter(|c| c.state != ConnectionState::Closing).count() as u32;
        }
        self.conns.len() as u32
    }

    fn open(&self, tenant: &str) -> u32 {
        self.open.get(tenant).copied().unwrap_or(0)
    }

    fn usable(&self, tenant: &str) -> u32 {
        self.grants.get(tenant).map_or(0, |g| g.usable)
    }

    fn floor(&self) -> u32 {
        self.agreed_floor.map_or(self.configured, |n| n.min(self.configured))
    }

    fn sum(&self, of: impl Fn(&Grant) -> u32) -> u32 {
        self.grants.values().map(of).fold(0, u32::saturating_add)
    }

    /// A connection's next state; its tenant is the one that has it now.
    fn set_state(&mut self, conn: u64, tenant: Option<&str>, state: ConnectionState, now: Micros) {
        let Some(connection) = self.conns.get_mut(&conn) else { return };
        if connection.state == ConnectionState::Idle
            && let Some(idle) = self.idle.get_mut(&connection.tenant)
        {
            idle.remove(&conn);
            if idle.is_empty() {
                self.idle.remove(&connection.tenant);
            }
        }
        (connection.state, connection.since) = (state, now);
        if let Some(tenant) = tenant.filter(|t| *t != connection.tenant) {
            let old = std::mem::replace(&mut connection.tenant, tenant.to_string());
            self.decrement_open(&old);
            *self.open.entry(tenant.to_string()).or_insert(0) += 1;
        } else if state == ConnectionState::Idle {
            self.idle.entry(connection.tenant.clone()).or_default().insert(conn);
        }
    }

    fn decrement_open(&mut self, tenant: &str) {
        if let Some(n) = self.open.get_mut(tenant) {
            *n = n.saturating_sub(1);
            if *n == 0 {
                self.open.remove(tenant);
            }
        }
    }

    fn remove(&mut self, conn: u64, now: Micros) -> bool {
        self.set_state(conn, None, ConnectionState::Closing, now);
        let connection = self.conns.remove(&conn);
        connection.iter().for_each(|c| self.decrement_open(&c.tenant));
        connection.is_some()
    }

    /// Of the connections beyond tenants' grants, each tenant has its part by weight: while another waits
    /// that would have fewer with one more, a tenant gets none.
    fn has_floor_priority(&self, tenant: &str, now: Micros) -> bool {
        let weight = |t: &str| u128::from(self.weights.get(t).copied().unwrap_or(1_000_000));
        let key = |t: &str| u128::from(self.open(t) + 1);
        let mut others = self.waiting.iter().filter(|(t, w)| *t != tenant && w.count_at(now) > 0);
        others.all(|(t, _)| key(tenant) * weight(t) <= key(t) * weight(tenant))
    }

    /// An idle connection: the tenant's own, or of whoever has most beyond its grant.
    fn idle(&self, tenant: &str) -> Option<u64> {
        let excess = |t: &String| i64::from(self.open(t)) - i64::from(self.usable(t));
        let other = || self.idle.iter().max_by_key(|(t, _)| excess(t)).map(|(_, idle)| idle);
        let idle = self.idle.get(tenant).or_else(other)?;
        // The last that was used: the others may be closed soon.
        idle.last().copied()
    }
}

impl WaitingCalls {
    fn count_at(&self, now: Micros) -> u32 {
        let refused = self.refused.is_some_and(|at| now < at.saturating_add(WAITING_TTL));
        self.count.max(u32::from(refused))
    }
}

impl LocalBudget {
    /// A process that starts. What an earlier one of the same name had open may be open for [`TimeBounds::drain_time`]
    /// yet.
    pub fn new(local_name: &str, bounds: TimeBounds, now: Micros) -> LocalBudget {
        let floor_from = if on(Break::FloorTooSoon) { now } else { now.saturating_add(bounds.drain_time()) };
        LocalBudget {
            local_name: local_name.to_string(),
            bounds,
            epoch: 0,
            lease_until: 0,
            floor_from,
            partners: BTreeMap::new(),
            counts_calls: false,
            leaving: false,
            conns: 0,
            sequence: 0,
            changed: true,
            reported: None,
        }
    }

    /// The same for calls of a span: see [`super::calls`].
    pub(super) fn for_calls(local_name: &str, bounds: TimeBounds, now: Micros) -> LocalBudget {
        LocalBudget { counts_calls: true, ..LocalBudget::new(local_name, bounds, now) }
    }

    /// A partner with a budget; the weights share this courier's floor while it is cut off.
    pub fn budget(&mut self, budget: &super::Budget) {
        let partner = self.partners.entry(budget.dest).or_default();
        partner.configured = budget.courier_floor;
        partner.close_timeout = self.bounds.close_timeout();
        partner.weights = budget.tenants.iter().map(|t| (t.name.clone(), t.weight_millionths())).collect();
        self.changed = true;
    }

    /// Closing connections of this partner count for so long.
    pub(super) fn set_close_timeout(&mut self, dest: u64, span: Micros) {
        if let Some(partner) = self.partners.get_mut(&dest) {
            partner.close_timeout = span;
        }
    }

    /// Lets go of the connections at the front that have closed; they were begun in this order, and closed at
    /// once.
    pub(super) fn release_expired(&mut self, dest: u64, now: Micros) {
        let Some(partner) = self.partners.get_mut(&dest) else { return };
        while let Some((conn, connection)) = partner.conns.first_key_value()
            && connection.state == ConnectionState::Closing
            && now >= connection.since.saturating_add(partner.close_timeout)
        {
            let conn = *conn;
            self.changed |= partner.remove(conn, now);
        }
    }

    /// Whether the partner has a budget: calls to others need no permit.
    pub fn has_budget(&self, dest: u64) -> bool {
        self.partners.contains_key(&dest)
    }

    /// The courier is a member with this epoch; nothing is granted under it yet.
    pub fn joined(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.partners.values_mut().for_each(|p| (p.usable, p.grants) = Default::default());
            self.changed = true;
        }
    }

    /// Its presence is leased until then, by its own clock.
    pub fn extend_lease(&mut self, until: Micros) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Its presence is over at once: it was told so.
    pub fn end_lease(&mut self) {
        self.lease_until = 0;
    }

    /// A partner's budget is out of the file: calls to it need no permit from now on. Connections that are
    /// there are forgotten.
    pub fn forget(&mut self, dest: u64) {
        self.changed |= self.partners.remove(&dest).is_some();
    }

    /// A planned stop: nothing more is begun, and idle connections are closed at the next [`LocalBudget::tick`].
    pub fn leave(&mut self) {
        (self.leaving, self.changed) = (true, true);
    }

    /// It is leaving, and nothing is open any more. What it says in its next reports is agreed on before its
    /// process ends; else its end is as that of a crash.
    pub fn left(&self) -> bool {
        self.leaving && self.partners.values().all(|p| p.conns.is_empty())
    }

    /// The agreed state as far as it is known here; called after each entry that was applied, or once for
    /// many.
    pub fn apply_state(&mut self, budget_state: &BudgetState, now: Micros) -> Vec<ConnectionOrder> {
        let member = budget_state.member(&self.local_name).filter(|m| m.epoch == self.epoch && !m.lapsed);
        let is_mine = member.is_some();
        if member.is_some_and(|m| m.aged) {
            self.floor_from = self.floor_from.min(now);
        }
        for (_, here) in self.partners.iter_mut().filter(|(d, _)| budget_state.partner(**d).is_none()) {
            here.grants.clear();
            here.usable = 0;
        }
        for (dest, partner) in budget_state.partners() {
            let new = || PartnerConnections {
                close_timeout: self.bounds.close_timeout(),
                ..PartnerConnections::default()
            };
            let here = self.partners.entry(dest).or_insert_with(new);
            here.agreed_floor = Some(partner.floor(&self.local_name));
            let mut grants = BTreeMap::new();
            for (tenant, share) in partner.shares(&self.local_name, self.epoch).filter(|_| is_mine) {
                let old = here.grants.get(tenant).copied().unwrap_or_default();
                let confirmed = if old.number == share.number { old.confirmed } else { u32::MAX };
                let recalled = share.recalled.is_some();
                let confirmed = confirmed.min(share.granted);
                grants.insert(
                    tenant.to_string(),
                    Grant { usable: share.usable(), recalled, number: share.number, confirmed },
                );
                if old.usable == 0 && share.usable() > 0 {
                    let since = here.waiting.get_mut(tenant).and_then(|w| w.since.take());
                    if let Some(since) = since {
                        here.mean_grant = smooth(here.mean_grant, now.saturating_sub(since));
                    }
                }
            }
            self.changed |= grants != here.grants;
            here.grants = grants;
            here.usable = here.sum(|g| g.usable);
        }
        self.tick(now)
    }

    fn cut_off(&self, now: Micros) -> bool {
        now >= self.lease_until && !on(Break::LeaseIgnored)
    }

    fn floor(&self, partner: &PartnerConnections, now: Micros) -> u32 {
        if now < self.floor_from || self.leaving { 0 } else { partner.floor() }
    }

    /// At most so many connections may be there when one more is begun.
    fn cap(&self, partner: &PartnerConnections, now: Micros) -> u32 {
        let floor = self.floor(partner, now);
        if self.cut_off(now) || self.leaving { floor } else { floor.max(partner.usable) }
    }

    /// May a call of the tenant go out now? A partner without a budget isn't asked about.
    ///
    /// # Errors
    /// There is no connection for it, and when one may be had.
    pub fn acquire(&mut self, dest: u64, tenant: &str, now: Micros) -> Result<Permit, Refusal> {
        let cut_off = self.cut_off(now);
        let Some(partner) = self.partners.get(&dest) else {
            return Err(Refusal {
                after: INITIAL_GRANT_TIME,
                reason: RefusalReason::NoShare,
                usable: 0,
                open: 0,
            });
        };
        let (floor, cap) = (self.floor(partner, now), self.cap(partner, now));
        let (open, total) = (partner.open(tenant), partner.total());
        let usable = if cut_off { 0 } else { partner.usable(tenant) };
        let idle = partner.idle(tenant);
        let own = idle.is_some_and(|n| partner.conns[&n].tenant == tenant);
        // With its own idle connection it has no more than before; with another's or a new one, one more.
        let granted = if own { open <= usable } else { open < usable };
        let in_floor = if idle.is_some() { total <= floor } else { total < floor };
        let allowed = granted || (in_floor && partner.has_floor_priority(tenant, now));
        let begin = match idle {
            Some(conn) if allowed && total <= cap => Some((conn, PermitKind::Reuse)),
            None if allowed && total < cap => Some((self.conns + 1, PermitKind::Open)),
            _ => None,
        };
        let Some((conn, begin)) = begin else { return Err(self.refusal(dest, tenant, now, usable, open)) };
        self.conns = self.conns.max(conn);
        let epoch = self.epoch;
        let Some(partner) = self.partners.get_mut(&dest) else {
            return Err(Refusal { after: INITIAL_GRANT_TIME, reason: RefusalReason::NoShare, usable, open });
        };
        if begin == PermitKind::Reuse {
            partner.set_state(conn, Some(tenant), ConnectionState::Busy, now);
        } else {
            let connection = Connection {
                tenant: tenant.to_string(),
                state: ConnectionState::Permitted,
                since: now,
                epoch,
            };
            partner.conns.insert(conn, connection);
            *partner.open.entry(tenant.to_string()).or_insert(0) += 1;
        }
        if let Some(waiting) = partner.waiting.get_mut(tenant) {
            (waiting.refused, waiting.since) = (None, None);
        }
        self.changed = true;
        Ok(Permit { dest, conn, begin })
    }

    fn refusal(&mut self, dest: u64, tenant: &str, now: Micros, usable: u32, open: u32) -> Refusal {
        let cut_off = self.cut_off(now);
        let floor_at = self.floor_from;
        let longest = self.bounds.recall_time();
        let Some(partner) = self.partners.get_mut(&dest) else {
            return Refusal { after: INITIAL_GRANT_TIME, reason: RefusalReason::NoShare, usable, open };
        };
        if partner.waiting.len() >= MAX_TENANTS && !partner.waiting.contains_key(tenant) {
            partner.waiting.retain(|_, w| w.count_at(now) > 0);
            if partner.waiting.len() >= MAX_TENANTS {
                return Refusal { after: WAITING_TTL, reason: RefusalReason::TooManyTenants, usable, open };
            }
        }
        let grant = if partner.mean_grant == 0 { INITIAL_GRANT_TIME } else { partner.mean_grant };
        // A call that was never seen to end has all its time before it.
        let call = if partner.mean_call == 0 { self.bounds.max_call } else { partner.mean_call };
        let floor = partner.floor();
        let waiting = partner.waiting.entry(tenant.to_string()).or_default();
        self.changed |= waiting.count_at(now) == 0;
        waiting.refused = Some(now);
        waiting.since = waiting.since.or((open == 0).then_some(now));
        let before = u64::from(waiting.count.max(1));
        if self.counts_calls && open > 0 {
            // When so many of its calls are a span old is known.
            let mut own = partner.conns.values().filter(|c| c.tenant == tenant);
            let last = own.nth((before.min(u64::from(open)) - 1) as usize).map_or(now, |c| c.since);
            let after = last.saturating_add(partner.close_timeout).saturating_sub(now).max(MIN_RETRY_AFTER);
            let reason = if cut_off { RefusalReason::CutOff } else { RefusalReason::RateLimited };
            return Refusal { after, reason, usable, open };
        }
        let (reason, after) = match (cut_off, usable) {
            // Each of those that are in use comes free once in a call's time.
            (false, 1..) => (RefusalReason::AllInUse, call.saturating_mul(before) / u64::from(usable)),
            (false, 0) => (RefusalReason::NoShare, grant),
            (true, _) if floor == 0 => (RefusalReason::CutOff, self.bounds.lease),
            (true, _) if now < floor_at => (RefusalReason::CutOff, floor_at - now),
            (true, _) => (RefusalReason::CutOff, call.saturating_mul(before) / u64::from(floor)),
        };
        Refusal { after: after.clamp(MIN_RETRY_AFTER, longest.max(MIN_RETRY_AFTER)), reason, usable, open }
    }

    /// So many calls of the tenant would go out now, beside those that are out.
    pub fn set_waiting(&mut self, dest: u64, tenant: &str, count: u32, now: Micros) {
        let Some(partner) = self.partners.get_mut(&dest) else { return };
        if count == 0 && !partner.waiting.contains_key(tenant) {
            return;
        }
        if partner.waiting.len() >= MAX_TENANTS && !partner.waiting.contains_key(tenant) {
            return;
        }
        let none = partner.open(tenant) == 0;
        let waiting = partner.waiting.entry(tenant.to_string()).or_default();
        self.changed |= waiting.count != count;
        waiting.count = count;
        if count == 0 {
            partner.waiting.remove(tenant);
        } else {
            waiting.since = waiting.since.or(none.then_some(now));
        }
    }

    /// Asked directly before a permitted connection is opened: a process may have been held up since its
    /// permit. If not, the permit is over, and the connection counts no longer.
    pub fn confirm_open(&mut self, dest: u64, conn: u64, now: Micros) -> bool {
        let cut_off = self.cut_off(now);
        let Some(partner) = self.partners.get(&dest) else { return false };
        let Some(connection) = partner.conns.get(&conn).filter(|c| c.state == ConnectionState::Permitted)
        else {
            return false;
        };
        let fresh =
            now < connection.since.saturating_add(PERMIT_TTL) && !cut_off && connection.epoch == self.epoch;
        let opens = fresh || partner.total() <= self.cap(partner, now);
        let Some(partner) = self.partners.get_mut(&dest) else { return false };
        if opens {
            partner.set_state(conn, None, ConnectionState::Busy, now);
        } else {
            self.changed |= partner.remove(conn, now);
        }
        opens
    }

    /// The connection's call has ended, and it can be used again. It is to be closed if the order says so.
    pub fn released(&mut self, permit: &Permit, now: Micros) -> Vec<ConnectionOrder> {
        if let Some(partner) = self.partners.get_mut(&permit.dest)
            && let Some(connection) = partner.conns.get(&permit.conn)
            && matches!(connection.state, ConnectionState::Busy | ConnectionState::Permitted)
        {
            let took = now.saturating_sub(connection.since);
            partner.set_state(permit.conn, None, ConnectionState::Idle, now);
            partner.mean_call = smooth(partner.mean_call, took);
            self.changed = true;
        }
        self.close_excess(permit.dest, now)
    }

    /// The connection is closed by this side, or its call was given up and nothing more will be written on
    /// it: it counts until [`LocalBudget::closed`], or until the partner must have ended it.
    pub fn closing(&mut self, dest: u64, conn: u64, now: Micros) {
        if let Some(partner) = self.partners.get_mut(&dest)
            && let Some(connection) = partner.conns.get(&conn)
            && connection.state != ConnectionState::Closing
        {
            if connection.state == ConnectionState::Busy {
                partner.mean_call = smooth(partner.mean_call, now.saturating_sub(connection.since));
            }
            partner.set_state(conn, None, ConnectionState::Closing, now);
        }
    }

    /// The partner has closed the connection: its end was read, or it never came to be.
    pub fn closed(&mut self, dest: u64, conn: u64, now: Micros) {
        if let Some(partner) = self.partners.get_mut(&dest) {
            self.changed |= partner.remove(conn, now);
        }
    }

    /// Idle connections beyond what may be had are closed, first those of tenants that have most too many.
    fn close_excess(&mut self, dest: u64, now: Micros) -> Vec<ConnectionOrder> {
        let mut orders = Vec::new();
        let cut_off = self.cut_off(now);
        let Some(partner) = self.partners.get(&dest) else { return orders };
        let (floor, cap) = (self.floor(partner, now), self.cap(partner, now));
        let Some(partner) = self.partners.get_mut(&dest) else { return orders };
        // Closing ones count, but closing more won't hasten their end.
        let mut live = BTreeMap::<String, u32>::new();
        let mut idle: Vec<(Micros, u64, String)> = Vec::new();
        for (n, connection) in partner.conns.iter().filter(|(_, c)| c.state != ConnectionState::Closing) {
            *live.entry(connection.tenant.clone()).or_default() += 1;
            if connection.state == ConnectionState::Idle {
                idle.push((connection.since, *n, connection.tenant.clone()));
            }
        }
        let mut total: u32 = live.values().sum();
        idle.sort();
        for (_, conn, tenant) in idle {
            let usable = if cut_off { 0 } else { partner.usable(&tenant) };
            let Some(here) = live.get_mut(&tenant) else { continue };
            if total > cap || (*here > usable && total > floor) {
                (*here, total) = (*here - 1, total - 1);
                partner.set_state(conn, None, ConnectionState::Closing, now);
                orders.push(ConnectionOrder::Close { dest, conn });
                self.changed = true;
            }
        }
        orders
    }

    /// Time has gone on: what is overdue is closed, and so is what is idle beyond what may be had.
    pub fn tick(&mut self, now: Micros) -> Vec<ConnectionOrder> {
        let mut orders = Vec::new();
        let call = self.bounds.max_call;
        let dests: Vec<u64> = self.partners.keys().copied().collect();
        for dest in dests {
            let Some(partner) = self.partners.get_mut(&dest) else { continue };
            let past = |c: &Connection, span: Micros| now >= c.since.saturating_add(span);
            let ended: Vec<u64> = partner
                .conns
                .iter()
                .filter(|(_, c)| match c.state {
                    ConnectionState::Closing => past(c, partner.close_timeout),
                    ConnectionState::Permitted => past(c, PERMIT_TTL.saturating_mul(2)),
                    ConnectionState::Busy | ConnectionState::Idle => false,
                })
                .map(|(n, _)| *n)
                .collect();
            for conn in ended {
                self.changed |= partner.remove(conn, now);
            }
            for (conn, connection) in
                partner.conns.iter_mut().filter(|(_, c)| c.state == ConnectionState::Busy && past(c, call))
            {
                (connection.state, connection.since) = (ConnectionState::Closing, now);
                orders.push(ConnectionOrder::Close { dest, conn: *conn });
            }
            partner.waiting.retain(|_, w| w.count_at(now) > 0);
            orders.extend(self.close_excess(dest, now));
        }
        orders
    }

    /// What the leader is to know, if it is time; sent to whoever leads.
    pub fn report(&mut self, now: Micros) -> Option<Report> {
        let since = self.reported.map(|at| now.saturating_sub(at));
        let due = since.is_none_or(|s| s >= REPORT_INTERVAL || (self.changed && s >= MIN_REPORT_INTERVAL));
        if !due || self.epoch == 0 {
            return None;
        }
        (self.reported, self.changed) = (Some(now), false);
        self.sequence += 1;
        let mut lines = Vec::new();
        let mut clear = now >= self.floor_from;
        let closed = |p: &PartnerConnections| p.total() <= p.floor().max(p.sum(|g| g.confirmed));
        for (dest, partner) in &mut self.partners {
            clear &= closed(partner);
            let floor = if now < self.floor_from { 0 } else { partner.floor() };
            let names = partner.grants.keys().chain(partner.waiting.keys()).chain(partner.open.keys());
            let names: BTreeSet<String> = names.cloned().collect();
            let mut busy = BTreeMap::<&str, u32>::new();
            for connection in partner
                .conns
                .values()
                .filter(|c| matches!(c.state, ConnectionState::Busy | ConnectionState::Permitted))
            {
                *busy.entry(&connection.tenant).or_default() += 1;
            }
            let mut rows = Vec::new();
            for tenant in names {
                // Calls of the last span are asked for: the tenant goes on at its rate.
                let out = match self.counts_calls {
                    true => partner.open(&tenant),
                    false => busy.get(tenant.as_str()).copied().unwrap_or(0),
                };
                let demand = out.saturating_add(partner.waiting.get(&tenant).map_or(0, |w| w.count_at(now)));
                rows.push((demand, partner.open(&tenant), tenant));
            }
            for (demand, open, tenant) in rows {
                let released = partner.confirm_recall(&tenant, open, floor);
                lines.push(ReportLine { dest: *dest, tenant, demand, open, released });
            }
        }
        let left = self.left();
        Some(Report {
            courier: self.local_name.clone(),
            epoch: self.epoch,
            sequence: self.sequence,
            clear,
            left,
            lines,
        })
    }

    /// When [`LocalBudget::tick`] and [`LocalBudget::report`] are wanted next.
    pub fn wake_at(&self, now: Micros) -> Micros {
        let mut at = self
            .reported
            .map_or(now, |r| r + if self.changed { MIN_REPORT_INTERVAL } else { REPORT_INTERVAL });
        if now < self.lease_until {
            at = at.min(self.lease_until);
        }
        for (partner, connection) in
            self.partners.values().flat_map(|p| p.conns.values().map(move |c| (p, c)))
        {
            let span = match connection.state {
                ConnectionState::Busy => self.bounds.max_call,
                ConnectionState::Closing => partner.close_timeout,
                ConnectionState::Permitted => PERMIT_TTL * 2,
                ConnectionState::Idle => continue,
            };
            at = at.min(connection.since.saturating_add(span));
        }
        at.max(now)
    }

    /// How many connections are there at a partner, in any state.
    pub fn open(&self, dest: u64) -> u32 {
        self.partners.get(&dest).map_or(0, |p| p.conns.len() as u32)
    }

    /// A connection that is closing counts for no longer than this.
    pub fn close_timeout_of(&self, dest: u64) -> Micros {
        self.partners.get(&dest).map_or(self.bounds.close_timeout(), |p| p.close_timeout)
    }

    /// How many connections a tenant has at a partner, in any state.
    pub fn open_for(&self, dest: u64, tenant: &str) -> u32 {
        self.partners.get(&dest).map_or(0, |p| p.open(tenant))
    }
}

impl PartnerConnections {
    /// What may be confirmed of a recall now: no less than is open, nor than all that is open needs.
    fn confirm_recall(&mut self, tenant: &str, open: u32, floor: u32) -> Option<(u64, u32)> {
        let (total, confirmed) = (self.total(), self.sum(|g| g.confirmed));
        let grant = self.grants.get_mut(tenant).filter(|g| g.recalled)?;
        let others = confirmed - grant.confirmed;
        // What fits into the floor needs no grant.
        let need = if total <= floor { 0 } else { open.max(total.saturating_sub(others)) };
        grant.confirmed = grant.confirmed.min(grant.usable.max(need));
        Some((grant.number, grant.confirmed))
    }
}
