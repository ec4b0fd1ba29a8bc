//! Permits: whether a call may be sent now and on which connection, or when to retry.

use super::connections::{Connection, ConnectionState, PartnerConnections, WAITING_TTL};
use super::{Allowance, LocalBudget};
use crate::budget::model::MAX_TENANTS;
use quillmount_policy::Micros;

/// How long the first connection of a tenant takes from the demand to the grant, until one was observed: a report, a
/// round of the leader, an entry of the log.
pub const INITIAL_GRANT_TIME: Micros = 200_000;
/// No refusal names a shorter wait: nothing could have changed by then.
pub const MIN_RETRY_AFTER: Micros = 1_000;
/// A permit that isn't used within this is confirmed by [`LocalBudget::confirm_open`] only if another would be given.
pub const PERMIT_TTL: Micros = 1_000_000;

/// Permission to use one connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The partner.
    pub dest: u64,
    /// The connection's number.
    pub conn: u64,
    /// Whether to open or to reuse it.
    pub begin: PermitKind,
}

/// What a permit allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitKind {
    /// Open a connection, if [`LocalBudget::confirm_open`] directly before allows it still.
    Open,
    /// Send on this connection, which is idle.
    Reuse,
}

/// Why a call can't be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// All connections that the tenant may have here are in use.
    AllInUse,
    /// The tenant has no share here yet; the leader has to move one.
    NoShare,
    /// The courier is cut off, and the connections of its floor are in use or it has none.
    CutOff,
    /// All calls of the span that the tenant may begin here have begun.
    RateLimited,
    /// Calls of [`MAX_TENANTS`] other tenants are waiting already.
    TooManyTenants,
}

/// A refusal, with the wait after which a retry makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Microseconds from now, by what is granted and how fast connections were seen to become free.
    pub after: Micros,
    /// Why the call can't be sent.
    pub reason: RefusalReason,
    /// Connections that the tenant may have here.
    pub usable: u32,
    /// Connections that the tenant has here.
    pub open: u32,
}

impl Refusal {
    /// The partner's budget is not known here yet.
    const NO_BUDGET: Refusal =
        Refusal { after: INITIAL_GRANT_TIME, reason: RefusalReason::NoShare, usable: 0, open: 0 };
}

impl LocalBudget {
    /// A permit for a call of the tenant. Calls to a partner without a budget need none.
    ///
    /// # Errors
    /// There is no connection for it now; the refusal says when to retry.
    pub fn acquire(&mut self, dest: u64, tenant: &str, now: Micros) -> Result<Permit, Refusal> {
        let allowance = self.allowance(now);
        let Some(partner) = self.partners.get_mut(&dest) else {
            return Err(Refusal::NO_BUDGET);
        };
        let new = self.last_connection + 1;
        let Some((conn, begin)) = partner.available(tenant, new, allowance, now) else {
            return Err(self.refusal(dest, tenant, now));
        };
        self.last_connection = self.last_connection.max(conn);
        match begin {
            PermitKind::Reuse => partner.set_state(conn, Some(tenant), ConnectionState::Busy, now),
            PermitKind::Open => {
                let state = ConnectionState::Permitted;
                let connection =
                    Connection { tenant: tenant.to_string(), state, since: now, epoch: self.epoch };
                partner.insert(conn, connection);
            }
        }
        if let Some(waiting) = partner.waiting.get_mut(tenant) {
            (waiting.refused, waiting.since) = (None, None);
        }
        self.changed = true;
        Ok(Permit { dest, conn, begin })
    }

    fn refusal(&mut self, dest: u64, tenant: &str, now: Micros) -> Refusal {
        let allowance = self.allowance(now);
        let Some(partner) = self.partners.get_mut(&dest) else { return Refusal::NO_BUDGET };
        let (open, usable) = (partner.open(tenant), allowance.usable(partner, tenant));
        if !partner.has_capacity_to_wait(tenant, now) {
            return Refusal { after: WAITING_TTL, reason: RefusalReason::TooManyTenants, usable, open };
        }
        let waiting = partner.waiting.entry(tenant.to_string()).or_default();
        self.changed |= waiting.count_at(now) == 0;
        waiting.refused = Some(now);
        waiting.since = waiting.since.or((open == 0).then_some(now));
        let ahead = u64::from(waiting.count.max(1));
        let (reason, after) = if self.counts_calls && open > 0 {
            let reason =
                if allowance.is_cut_off { RefusalReason::CutOff } else { RefusalReason::RateLimited };
            (reason, partner.span_wait(tenant, ahead.min(u64::from(open)), now))
        } else {
            let (reason, after) = self.connection_wait(dest, usable, ahead, now);
            let longest = self.bounds.recall_time().max(MIN_RETRY_AFTER);
            (reason, after.clamp(MIN_RETRY_AFTER, longest))
        };
        Refusal { after, reason, usable, open }
    }

    /// How long until a connection is expected for the last of `ahead` waiting calls.
    fn connection_wait(&self, dest: u64, usable: u32, ahead: u64, now: Micros) -> (RefusalReason, Micros) {
        let Some(partner) = self.partners.get(&dest) else {
            return (RefusalReason::NoShare, INITIAL_GRANT_TIME);
        };
        let grant_time = if partner.mean_grant == 0 { INITIAL_GRANT_TIME } else { partner.mean_grant };
        // Before any call has ended, one is expected to take the longest that it may.
        let call_time = if partner.mean_call == 0 { self.bounds.max_call } else { partner.mean_call };
        // Each connection in use becomes free once in a call's time.
        let turn = |connections: u32| call_time.saturating_mul(ahead) / u64::from(connections);
        match (self.is_cut_off(now), usable) {
            (false, 1..) => (RefusalReason::AllInUse, turn(usable)),
            (false, 0) => (RefusalReason::NoShare, grant_time),
            (true, _) if partner.floor() == 0 => (RefusalReason::CutOff, self.bounds.lease),
            (true, _) if now < self.floor_from => (RefusalReason::CutOff, self.floor_from - now),
            (true, _) => (RefusalReason::CutOff, turn(partner.floor())),
        }
    }

    /// The tenant has so many calls waiting, beside those in flight.
    pub fn set_waiting(&mut self, dest: u64, tenant: &str, count: u32, now: Micros) {
        let Some(partner) = self.partners.get_mut(&dest) else { return };
        let is_known = partner.waiting.contains_key(tenant);
        if !is_known && (count == 0 || partner.waiting.len() >= MAX_TENANTS) {
            return;
        }
        let has_none = partner.open(tenant) == 0;
        let waiting = partner.waiting.entry(tenant.to_string()).or_default();
        self.changed |= waiting.count != count;
        waiting.count = count;
        if count == 0 {
            partner.waiting.remove(tenant);
        } else {
            waiting.since = waiting.since.or(has_none.then_some(now));
        }
    }

    /// Whether a permitted connection may still be opened; asked directly before that, as the process may have been
    /// suspended since its permit. If not, the permit has ended, and the connection no longer counts.
    pub fn confirm_open(&mut self, dest: u64, conn: u64, now: Micros) -> bool {
        let allowance = self.allowance(now);
        let Some(partner) = self.partners.get_mut(&dest) else { return false };
        let connection = partner.connections.get(&conn).filter(|c| c.state == ConnectionState::Permitted);
        let Some(connection) = connection else { return false };
        let is_fresh =
            !connection.is_past(PERMIT_TTL, now) && !allowance.is_cut_off && connection.epoch == self.epoch;
        let may_open = is_fresh || partner.total() <= allowance.cap(partner);
        if may_open {
            partner.set_state(conn, None, ConnectionState::Busy, now);
        } else {
            self.changed |= partner.remove(conn, now);
        }
        may_open
    }
}

impl PartnerConnections {
    /// The connection that a call of the tenant may use: an idle one, or a new one of this number.
    fn available(
        &self,
        tenant: &str,
        new: u64,
        allowance: Allowance,
        now: Micros,
    ) -> Option<(u64, PermitKind)> {
        let (floor, cap) = (allowance.floor(self), allowance.cap(self));
        let (open, total) = (self.open(tenant), self.total());
        let usable = allowance.usable(self, tenant);
        let idle = self.idle(tenant);
        let is_own = idle.is_some_and(|number| self.connections[&number].tenant == tenant);
        // With its own idle connection it has no more than before; with another's or a new one, one more.
        let is_granted = if is_own { open <= usable } else { open < usable };
        let is_in_floor = if idle.is_some() { total <= floor } else { total < floor };
        let is_allowed = is_granted || (is_in_floor && self.has_floor_priority(tenant, now));
        match idle {
            Some(number) if is_allowed && total <= cap => Some((number, PermitKind::Reuse)),
            None if is_allowed && total < cap => Some((new, PermitKind::Open)),
            _ => None,
        }
    }

    /// Whether the tenant's waiting calls can be kept; forgets tenants that have none any more.
    fn has_capacity_to_wait(&mut self, tenant: &str, now: Micros) -> bool {
        if self.waiting.len() < MAX_TENANTS || self.waiting.contains_key(tenant) {
            return true;
        }
        self.waiting.retain(|_, waiting| waiting.count_at(now) > 0);
        self.waiting.len() < MAX_TENANTS
    }

    /// How long until so many of the tenant's calls, at least one, are a span old.
    fn span_wait(&self, tenant: &str, calls: u64, now: Micros) -> Micros {
        let mut own = self.connections.values().filter(|c| c.tenant == tenant);
        let last = own.nth((calls - 1) as usize).map_or(now, |c| c.since);
        last.saturating_add(self.close_timeout).saturating_sub(now).max(MIN_RETRY_AFTER)
    }
}
