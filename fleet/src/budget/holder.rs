//! A courier's own side of the budgets: what it may have open at each partner, and what it has.
//!
//! A connection counts from its permit until it is closed at the partner: while it is opened, used, idle and
//! closed, and so does one whose call was given up. It belongs to the tenant whose call is on it, or was
//! last; an idle one may be taken by another tenant's call, which owns it then.

use super::agreed::Agreed;
use super::breaks::{Break, on};
use super::leader::{Line, Report};
use super::{TENANTS_MAX, Terms};
use serde::{Deserialize, Serialize};
use spurshore::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A refused call counts as one that waits for so long; it comes back within that, or wants it no more.
pub const WAIT_KEPT: Micros = 1_000_000;
/// What a first connection takes from the asking to its grant, until one was seen: a report, a round of the
/// leader's, an entry of the log.
pub const GRANT_FIRST: Micros = 200_000;
/// No refusal names less: the caller would be back before anything can have changed.
pub const AFTER_LEAST: Micros = 1_000;
/// A permit that isn't used within this is asked for anew; it is for the step from a decision to its socket.
pub const OPEN_MAX: Micros = 1_000_000;
/// Reports at least so often, so that a lost one is made good.
pub const REPORT: Micros = 250_000;
/// And not more often than this, whatever changes.
pub const REPORT_LEAST: Micros = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum State {
    /// It may be opened, but hasn't been.
    Permitted,
    Busy,
    Idle,
    /// Closed by this side, or given up; still open at the partner as far as is known.
    Closing,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Conn {
    tenant: String,
    state: State,
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
    told: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Wants {
    /// Calls that would go out now, beside those that are out.
    count: u32,
    refused: Option<Micros>,
    /// Since when it wants a connection and has none.
    since: Option<Micros>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Partner {
    /// As this courier's file has it, and no more than is agreed on.
    configured: u32,
    /// A closing connection counts no longer than this.
    closed: Micros,
    agreed: Option<u32>,
    grants: BTreeMap<String, Grant>,
    /// What the grants allow together.
    usable: u32,
    conns: BTreeMap<u64, Conn>,
    idle: BTreeMap<String, BTreeSet<u64>>,
    /// All of a tenant's connections, in any state.
    open: BTreeMap<String, u32>,
    wants: BTreeMap<String, Wants>,
    weights: BTreeMap<String, u64>,
    /// How long a call holds a connection, smoothed; 0 before the first.
    call: Micros,
    /// From the first asking to the grant, smoothed; 0 before the first.
    grant: Micros,
}

/// Leave to use one connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    pub dest: u64,
    pub conn: u64,
    pub begin: Begin,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Open a connection; [`Holder::opens`] is asked directly before.
    Open,
    /// Go out on this one, which is idle.
    Reuse,
}

/// Why a call can't go out now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// All connections that the tenant may have here are in use.
    InUse,
    /// The tenant holds none here yet; the leader has to move one.
    NotHeld,
    /// The courier is cut off, and the connections of its floor are in use or it has none.
    CutOff,
    /// All calls of the span that the tenant may begin here are begun.
    Rate,
    /// More tenants at once than are kept.
    Crowd,
}

/// A refusal: when it makes sense to come back, by what is held and how fast it was seen to come free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub after: Micros,
    pub why: Why,
    /// What the tenant may have open here, and has.
    pub usable: u32,
    pub open: u32,
}

/// What the courier has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Close this connection; it is idle, or its call has been on it for longer than any may.
    Close { dest: u64, conn: u64 },
}

/// What one courier holds and uses. An upgrade hands it to the next process whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    me: String,
    terms: Terms,
    epoch: u64,
    lease: Micros,
    /// From then on no earlier process's connections are open.
    floor_from: Micros,
    partners: BTreeMap<u64, Partner>,
    /// It counts calls of a span in place of connections: see [`super::calls`].
    tokens: bool,
    /// It begins nothing more.
    leaving: bool,
    conns: u64,
    turn: u64,
    changed: bool,
    reported: Option<Micros>,
}

fn smooth(old: Micros, seen: Micros) -> Micros {
    if old == 0 { seen.max(1) } else { (old / 8).saturating_mul(7).saturating_add(seen / 8).max(1) }
}

impl Partner {
    fn total(&self) -> u32 {
        if on(Break::ClosingUncounted) {
            return self.conns.values().filter(|c| c.state != State::Closing).count() as u32;
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
        self.agreed.map_or(self.configured, |n| n.min(self.configured))
    }

    fn sum(&self, of: impl Fn(&Grant) -> u32) -> u32 {
        self.grants.values().map(of).fold(0, u32::saturating_add)
    }

    /// A connection's next state; its tenant is the one that has it now.
    fn put(&mut self, conn: u64, tenant: Option<&str>, state: State, now: Micros) {
        let Some(one) = self.conns.get_mut(&conn) else { return };
        if one.state == State::Idle
            && let Some(idle) = self.idle.get_mut(&one.tenant)
        {
            idle.remove(&conn);
            if idle.is_empty() {
                self.idle.remove(&one.tenant);
            }
        }
        (one.state, one.since) = (state, now);
        if let Some(tenant) = tenant.filter(|t| *t != one.tenant) {
            let old = std::mem::replace(&mut one.tenant, tenant.to_string());
            self.less(&old);
            *self.open.entry(tenant.to_string()).or_insert(0) += 1;
        } else if state == State::Idle {
            self.idle.entry(one.tenant.clone()).or_default().insert(conn);
        }
    }

    fn less(&mut self, tenant: &str) {
        if let Some(n) = self.open.get_mut(tenant) {
            *n = n.saturating_sub(1);
            if *n == 0 {
                self.open.remove(tenant);
            }
        }
    }

    fn gone(&mut self, conn: u64, now: Micros) -> bool {
        self.put(conn, None, State::Closing, now);
        let one = self.conns.remove(&conn);
        one.iter().for_each(|c| self.less(&c.tenant));
        one.is_some()
    }

    /// Of the connections beyond tenants' grants, each tenant has its part by weight: while another waits
    /// that would have fewer with one more, a tenant gets none.
    fn first_in_floor(&self, tenant: &str, now: Micros) -> bool {
        let weight = |t: &str| u128::from(self.weights.get(t).copied().unwrap_or(1_000_000));
        let key = |t: &str| u128::from(self.open(t) + 1);
        let mut others = self.wants.iter().filter(|(t, w)| *t != tenant && w.now(now) > 0);
        others.all(|(t, _)| key(tenant) * weight(t) <= key(t) * weight(tenant))
    }

    /// An idle connection: the tenant's own, or of whoever has most beyond its grant.
    fn idle(&self, tenant: &str) -> Option<u64> {
        let over = |t: &String| i64::from(self.open(t)) - i64::from(self.usable(t));
        let other = || self.idle.iter().max_by_key(|(t, _)| over(t)).map(|(_, idle)| idle);
        let idle = self.idle.get(tenant).or_else(other)?;
        // The last that was used: the others may be closed soon.
        idle.last().copied()
    }
}

impl Wants {
    fn now(&self, now: Micros) -> u32 {
        let refused = self.refused.is_some_and(|at| now < at.saturating_add(WAIT_KEPT));
        self.count.max(u32::from(refused))
    }
}

impl Holder {
    /// A process that starts. What an earlier one of the same name had open may be open for [`Terms::hold`]
    /// yet.
    pub fn new(me: &str, terms: Terms, now: Micros) -> Holder {
        let floor_from = if on(Break::FloorTooSoon) { now } else { now.saturating_add(terms.hold()) };
        Holder {
            me: me.to_string(),
            terms,
            epoch: 0,
            lease: 0,
            floor_from,
            partners: BTreeMap::new(),
            tokens: false,
            leaving: false,
            conns: 0,
            turn: 0,
            changed: true,
            reported: None,
        }
    }

    /// The same for calls of a span: see [`super::calls`].
    pub(super) fn of_tokens(me: &str, terms: Terms, now: Micros) -> Holder {
        Holder { tokens: true, ..Holder::new(me, terms, now) }
    }

    /// A partner with a budget; the weights share this courier's floor while it is cut off.
    pub fn budget(&mut self, budget: &super::Budget) {
        let partner = self.partners.entry(budget.dest).or_default();
        partner.configured = budget.courier_floor;
        partner.closed = self.terms.closed();
        partner.weights = budget.tenants.iter().map(|t| (t.name.clone(), t.parts())).collect();
        self.changed = true;
    }

    /// Closing connections of this partner count for so long.
    pub(super) fn count_for(&mut self, dest: u64, span: Micros) {
        if let Some(partner) = self.partners.get_mut(&dest) {
            partner.closed = span;
        }
    }

    /// Lets go of the connections at the front that have closed; they were begun in this order, and closed at
    /// once.
    pub(super) fn expire(&mut self, dest: u64, now: Micros) {
        let Some(partner) = self.partners.get_mut(&dest) else { return };
        while let Some((conn, one)) = partner.conns.first_key_value()
            && one.state == State::Closing
            && now >= one.since.saturating_add(partner.closed)
        {
            let conn = *conn;
            self.changed |= partner.gone(conn, now);
        }
    }

    /// Whether the partner has a budget: calls to others need no permit.
    pub fn has(&self, dest: u64) -> bool {
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
    pub fn leased(&mut self, until: Micros) {
        self.lease = self.lease.max(until);
    }

    /// Its presence is over at once: it was told so.
    pub fn lease_over(&mut self) {
        self.lease = 0;
    }

    /// A partner's budget is out of the file: calls to it need no permit from now on. Connections that are
    /// there are forgotten.
    pub fn forget(&mut self, dest: u64) {
        self.changed |= self.partners.remove(&dest).is_some();
    }

    /// A planned stop: nothing more is begun, and idle connections are closed at the next [`Holder::tick`].
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
    pub fn agreed(&mut self, agreed: &Agreed, now: Micros) -> Vec<Order> {
        let member = agreed.member(&self.me).filter(|m| m.epoch == self.epoch && !m.lapsed);
        let mine = member.is_some();
        if member.is_some_and(|m| m.aged) {
            self.floor_from = self.floor_from.min(now);
        }
        for (_, here) in self.partners.iter_mut().filter(|(d, _)| agreed.partner(**d).is_none()) {
            here.grants.clear();
            here.usable = 0;
        }
        for (dest, partner) in agreed.partners() {
            let new = || Partner { closed: self.terms.closed(), ..Partner::default() };
            let here = self.partners.entry(dest).or_insert_with(new);
            here.agreed = Some(partner.floor(&self.me));
            let mut grants = BTreeMap::new();
            for (tenant, holding) in partner.held(&self.me, self.epoch).filter(|_| mine) {
                let old = here.grants.get(tenant).copied().unwrap_or_default();
                let told = if old.number == holding.number { old.told } else { u32::MAX };
                let recalled = holding.recalled.is_some();
                let told = told.min(holding.granted);
                grants.insert(
                    tenant.to_string(),
                    Grant { usable: holding.usable(), recalled, number: holding.number, told },
                );
                if old.usable == 0 && holding.usable() > 0 {
                    let since = here.wants.get_mut(tenant).and_then(|w| w.since.take());
                    if let Some(since) = since {
                        here.grant = smooth(here.grant, now.saturating_sub(since));
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
        now >= self.lease && !on(Break::LeaseIgnored)
    }

    fn floor(&self, partner: &Partner, now: Micros) -> u32 {
        if now < self.floor_from || self.leaving { 0 } else { partner.floor() }
    }

    /// At most so many connections may be there when one more is begun.
    fn cap(&self, partner: &Partner, now: Micros) -> u32 {
        let floor = self.floor(partner, now);
        if self.cut_off(now) || self.leaving { floor } else { floor.max(partner.usable) }
    }

    /// May a call of the tenant go out now? A partner without a budget isn't asked about.
    ///
    /// # Errors
    /// There is no connection for it, and when one may be had.
    pub fn may_begin(&mut self, dest: u64, tenant: &str, now: Micros) -> Result<Permit, Refusal> {
        let cut_off = self.cut_off(now);
        let Some(partner) = self.partners.get(&dest) else {
            return Err(Refusal { after: GRANT_FIRST, why: Why::NotHeld, usable: 0, open: 0 });
        };
        let (floor, cap) = (self.floor(partner, now), self.cap(partner, now));
        let (open, total) = (partner.open(tenant), partner.total());
        let usable = if cut_off { 0 } else { partner.usable(tenant) };
        let idle = partner.idle(tenant);
        let own = idle.is_some_and(|n| partner.conns[&n].tenant == tenant);
        // With its own idle connection it has no more than before; with another's or a new one, one more.
        let granted = if own { open <= usable } else { open < usable };
        let in_floor = if idle.is_some() { total <= floor } else { total < floor };
        let allowed = granted || (in_floor && partner.first_in_floor(tenant, now));
        let begin = match idle {
            Some(conn) if allowed && total <= cap => Some((conn, Begin::Reuse)),
            None if allowed && total < cap => Some((self.conns + 1, Begin::Open)),
            _ => None,
        };
        let Some((conn, begin)) = begin else { return Err(self.refuse(dest, tenant, now, usable, open)) };
        self.conns = self.conns.max(conn);
        let epoch = self.epoch;
        let Some(partner) = self.partners.get_mut(&dest) else {
            return Err(Refusal { after: GRANT_FIRST, why: Why::NotHeld, usable, open });
        };
        if begin == Begin::Reuse {
            partner.put(conn, Some(tenant), State::Busy, now);
        } else {
            let one = Conn { tenant: tenant.to_string(), state: State::Permitted, since: now, epoch };
            partner.conns.insert(conn, one);
            *partner.open.entry(tenant.to_string()).or_insert(0) += 1;
        }
        if let Some(wants) = partner.wants.get_mut(tenant) {
            (wants.refused, wants.since) = (None, None);
        }
        self.changed = true;
        Ok(Permit { dest, conn, begin })
    }

    fn refuse(&mut self, dest: u64, tenant: &str, now: Micros, usable: u32, open: u32) -> Refusal {
        let cut_off = self.cut_off(now);
        let floor_at = self.floor_from;
        let longest = self.terms.attrition();
        let Some(partner) = self.partners.get_mut(&dest) else {
            return Refusal { after: GRANT_FIRST, why: Why::NotHeld, usable, open };
        };
        if partner.wants.len() >= TENANTS_MAX && !partner.wants.contains_key(tenant) {
            partner.wants.retain(|_, w| w.now(now) > 0);
            if partner.wants.len() >= TENANTS_MAX {
                return Refusal { after: WAIT_KEPT, why: Why::Crowd, usable, open };
            }
        }
        let grant = if partner.grant == 0 { GRANT_FIRST } else { partner.grant };
        // A call that was never seen to end has all its time before it.
        let call = if partner.call == 0 { self.terms.call } else { partner.call };
        let floor = partner.floor();
        let wants = partner.wants.entry(tenant.to_string()).or_default();
        self.changed |= wants.now(now) == 0;
        wants.refused = Some(now);
        wants.since = wants.since.or((open == 0).then_some(now));
        let before = u64::from(wants.count.max(1));
        if self.tokens && open > 0 {
            // When so many of its calls are a span old is known.
            let mut mine = partner.conns.values().filter(|c| c.tenant == tenant);
            let last = mine.nth((before.min(u64::from(open)) - 1) as usize).map_or(now, |c| c.since);
            let after = last.saturating_add(partner.closed).saturating_sub(now).max(AFTER_LEAST);
            let why = if cut_off { Why::CutOff } else { Why::Rate };
            return Refusal { after, why, usable, open };
        }
        let (why, after) = match (cut_off, usable) {
            // Each of those that are in use comes free once in a call's time.
            (false, 1..) => (Why::InUse, call.saturating_mul(before) / u64::from(usable)),
            (false, 0) => (Why::NotHeld, grant),
            (true, _) if floor == 0 => (Why::CutOff, self.terms.lease),
            (true, _) if now < floor_at => (Why::CutOff, floor_at - now),
            (true, _) => (Why::CutOff, call.saturating_mul(before) / u64::from(floor)),
        };
        Refusal { after: after.clamp(AFTER_LEAST, longest.max(AFTER_LEAST)), why, usable, open }
    }

    /// So many calls of the tenant would go out now, beside those that are out.
    pub fn wants(&mut self, dest: u64, tenant: &str, count: u32, now: Micros) {
        let Some(partner) = self.partners.get_mut(&dest) else { return };
        if count == 0 && !partner.wants.contains_key(tenant) {
            return;
        }
        if partner.wants.len() >= TENANTS_MAX && !partner.wants.contains_key(tenant) {
            return;
        }
        let none = partner.open(tenant) == 0;
        let wants = partner.wants.entry(tenant.to_string()).or_default();
        self.changed |= wants.count != count;
        wants.count = count;
        if count == 0 {
            partner.wants.remove(tenant);
        } else {
            wants.since = wants.since.or(none.then_some(now));
        }
    }

    /// Asked directly before a permitted connection is opened: a process may have been held up since its
    /// permit. If not, the permit is over, and the connection counts no longer.
    pub fn opens(&mut self, dest: u64, conn: u64, now: Micros) -> bool {
        let cut_off = self.cut_off(now);
        let Some(partner) = self.partners.get(&dest) else { return false };
        let Some(one) = partner.conns.get(&conn).filter(|c| c.state == State::Permitted) else {
            return false;
        };
        let fresh = now < one.since.saturating_add(OPEN_MAX) && !cut_off && one.epoch == self.epoch;
        let opens = fresh || partner.total() <= self.cap(partner, now);
        let Some(partner) = self.partners.get_mut(&dest) else { return false };
        if opens {
            partner.put(conn, None, State::Busy, now);
        } else {
            self.changed |= partner.gone(conn, now);
        }
        opens
    }

    /// The connection's call has ended, and it can be used again. It is to be closed if the order says so.
    pub fn released(&mut self, permit: &Permit, now: Micros) -> Vec<Order> {
        if let Some(partner) = self.partners.get_mut(&permit.dest)
            && let Some(one) = partner.conns.get(&permit.conn)
            && matches!(one.state, State::Busy | State::Permitted)
        {
            let took = now.saturating_sub(one.since);
            partner.put(permit.conn, None, State::Idle, now);
            partner.call = smooth(partner.call, took);
            self.changed = true;
        }
        self.shed(permit.dest, now)
    }

    /// The connection is closed by this side, or its call was given up and nothing more will be written on
    /// it: it counts until [`Holder::closed`], or until the partner must have ended it.
    pub fn closing(&mut self, dest: u64, conn: u64, now: Micros) {
        if let Some(partner) = self.partners.get_mut(&dest)
            && let Some(one) = partner.conns.get(&conn)
            && one.state != State::Closing
        {
            if one.state == State::Busy {
                partner.call = smooth(partner.call, now.saturating_sub(one.since));
            }
            partner.put(conn, None, State::Closing, now);
        }
    }

    /// The partner has closed the connection: its end was read, or it never came to be.
    pub fn closed(&mut self, dest: u64, conn: u64, now: Micros) {
        if let Some(partner) = self.partners.get_mut(&dest) {
            self.changed |= partner.gone(conn, now);
        }
    }

    /// Idle connections beyond what may be had are closed, first those of tenants that have most too many.
    fn shed(&mut self, dest: u64, now: Micros) -> Vec<Order> {
        let mut orders = Vec::new();
        let cut_off = self.cut_off(now);
        let Some(partner) = self.partners.get(&dest) else { return orders };
        let (floor, cap) = (self.floor(partner, now), self.cap(partner, now));
        let Some(partner) = self.partners.get_mut(&dest) else { return orders };
        // Closing ones count, but closing more won't hasten their end.
        let mut live = BTreeMap::<String, u32>::new();
        let mut idle: Vec<(Micros, u64, String)> = Vec::new();
        for (n, one) in partner.conns.iter().filter(|(_, c)| c.state != State::Closing) {
            *live.entry(one.tenant.clone()).or_default() += 1;
            if one.state == State::Idle {
                idle.push((one.since, *n, one.tenant.clone()));
            }
        }
        let mut total: u32 = live.values().sum();
        idle.sort();
        for (_, conn, tenant) in idle {
            let usable = if cut_off { 0 } else { partner.usable(&tenant) };
            let Some(here) = live.get_mut(&tenant) else { continue };
            if total > cap || (*here > usable && total > floor) {
                (*here, total) = (*here - 1, total - 1);
                partner.put(conn, None, State::Closing, now);
                orders.push(Order::Close { dest, conn });
                self.changed = true;
            }
        }
        orders
    }

    /// Time has gone on: what is overdue is closed, and so is what is idle beyond what may be had.
    pub fn tick(&mut self, now: Micros) -> Vec<Order> {
        let mut orders = Vec::new();
        let call = self.terms.call;
        let dests: Vec<u64> = self.partners.keys().copied().collect();
        for dest in dests {
            let Some(partner) = self.partners.get_mut(&dest) else { continue };
            let past = |c: &Conn, span: Micros| now >= c.since.saturating_add(span);
            let ended: Vec<u64> = partner
                .conns
                .iter()
                .filter(|(_, c)| match c.state {
                    State::Closing => past(c, partner.closed),
                    State::Permitted => past(c, OPEN_MAX.saturating_mul(2)),
                    State::Busy | State::Idle => false,
                })
                .map(|(n, _)| *n)
                .collect();
            for conn in ended {
                self.changed |= partner.gone(conn, now);
            }
            for (conn, one) in
                partner.conns.iter_mut().filter(|(_, c)| c.state == State::Busy && past(c, call))
            {
                (one.state, one.since) = (State::Closing, now);
                orders.push(Order::Close { dest, conn: *conn });
            }
            partner.wants.retain(|_, w| w.now(now) > 0);
            orders.extend(self.shed(dest, now));
        }
        orders
    }

    /// What the leader is to know, if it is time; sent to whoever leads.
    pub fn report(&mut self, now: Micros) -> Option<Report> {
        let since = self.reported.map(|at| now.saturating_sub(at));
        let due = since.is_none_or(|s| s >= REPORT || (self.changed && s >= REPORT_LEAST));
        if !due || self.epoch == 0 {
            return None;
        }
        (self.reported, self.changed) = (Some(now), false);
        self.turn += 1;
        let mut lines = Vec::new();
        let mut clear = now >= self.floor_from;
        let closed = |p: &Partner| p.total() <= p.floor().max(p.sum(|g| g.told));
        for (dest, partner) in &mut self.partners {
            clear &= closed(partner);
            let floor = if now < self.floor_from { 0 } else { partner.floor() };
            let names = partner.grants.keys().chain(partner.wants.keys()).chain(partner.open.keys());
            let names: BTreeSet<String> = names.cloned().collect();
            let mut busy = BTreeMap::<&str, u32>::new();
            for one in partner.conns.values().filter(|c| matches!(c.state, State::Busy | State::Permitted)) {
                *busy.entry(&one.tenant).or_default() += 1;
            }
            let mut told = Vec::new();
            for tenant in names {
                // Calls of the last span are asked for: the tenant goes on at its rate.
                let out = match self.tokens {
                    true => partner.open(&tenant),
                    false => busy.get(tenant.as_str()).copied().unwrap_or(0),
                };
                let asks = out.saturating_add(partner.wants.get(&tenant).map_or(0, |w| w.now(now)));
                told.push((asks, partner.open(&tenant), tenant));
            }
            for (asks, open, tenant) in told {
                let released = partner.confirm(&tenant, open, floor);
                lines.push(Line { dest: *dest, tenant, asks, open, released });
            }
        }
        let left = self.left();
        Some(Report { courier: self.me.clone(), epoch: self.epoch, turn: self.turn, clear, left, lines })
    }

    /// When [`Holder::tick`] and [`Holder::report`] are wanted next.
    pub fn wake_at(&self, now: Micros) -> Micros {
        let mut at = self.reported.map_or(now, |r| r + if self.changed { REPORT_LEAST } else { REPORT });
        if now < self.lease {
            at = at.min(self.lease);
        }
        for (partner, one) in self.partners.values().flat_map(|p| p.conns.values().map(move |c| (p, c))) {
            let span = match one.state {
                State::Busy => self.terms.call,
                State::Closing => partner.closed,
                State::Permitted => OPEN_MAX * 2,
                State::Idle => continue,
            };
            at = at.min(one.since.saturating_add(span));
        }
        at.max(now)
    }

    /// How many connections are there at a partner, in any state.
    pub fn open(&self, dest: u64) -> u32 {
        self.partners.get(&dest).map_or(0, |p| p.conns.len() as u32)
    }

    /// A connection that is closing counts for no longer than this.
    pub fn closes_within(&self, dest: u64) -> Micros {
        self.partners.get(&dest).map_or(self.terms.closed(), |p| p.closed)
    }

    /// How many connections a tenant has at a partner, in any state.
    pub fn open_of(&self, dest: u64, tenant: &str) -> u32 {
        self.partners.get(&dest).map_or(0, |p| p.open(tenant))
    }
}

impl Partner {
    /// What may be confirmed of a recall now: no less than is open, nor than all that is open needs.
    fn confirm(&mut self, tenant: &str, open: u32, floor: u32) -> Option<(u64, u32)> {
        let (total, told) = (self.total(), self.sum(|g| g.told));
        let grant = self.grants.get_mut(tenant).filter(|g| g.recalled)?;
        let others = told - grant.told;
        // What fits into the floor needs no grant.
        let need = if total <= floor { 0 } else { open.max(total.saturating_sub(others)) };
        grant.told = grant.told.min(grant.usable.max(need));
        Some((grant.number, grant.told))
    }
}
