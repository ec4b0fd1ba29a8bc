//! Admission of calls: whether a call may be sent now and on which connection, or when to retry.

use super::connections::{Connection, ConnectionState, PartnerConnections, WAITING_TTL};
use super::{Allowance, LocalBudget};
use crate::budget::model::MAX_TENANTS;
use quillmount_policy::Micros;

/// The assumed time from a tenant's first demand to its grant, until one has been measured. It covers a report, a
/// round of the leader and the commit of a log entry.
pub const INITIAL_GRANT_TIME: Micros = 200_000;
/// The shortest retry delay of a refusal, because nothing can change sooner.
pub const MIN_RETRY_AFTER: Micros = 1_000;
/// Validity of a permit. After it, [`LocalBudget::confirm_open`] confirms the permit only if a new one would be given.
pub const PERMIT_TTL: Micros = 1_000_000;

/// Permission to use one connection for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The destination id of the partner.
    pub dest: u64,
    /// The connection's number.
    pub conn: u64,
    /// Whether the connection is to be opened or reused.
    pub kind: PermitKind,
}

/// The operation that a permit allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitKind {
    /// Open a new connection. [`LocalBudget::confirm_open`] has to confirm it directly before.
    Open,
    /// Send the call on this idle connection.
    Reuse,
}

/// The reason for which a call can't be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// All connections that the tenant may have at this courier are in use.
    AllInUse,
    /// The tenant has no share at this courier yet; the leader has to assign one.
    NoShare,
    /// The courier's lease has expired, and its floor is 0 or in use.
    CutOff,
    /// The tenant has begun all calls that it may begin at this courier in the current span.
    RateLimited,
    /// Calls of [`MAX_TENANTS`] other tenants are already waiting.
    TooManyTenants,
}

/// The refusal of a call, with a delay for the retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The delay until a retry in microseconds, estimated from the grants and from how fast connections become free.
    pub retry_after: Micros,
    /// The reason for the refusal.
    pub reason: RefusalReason,
    /// Connections that the tenant may have at this courier.
    pub usable: u32,
    /// Connections that the tenant has at this courier, in any state.
    pub open: u32,
}

impl Refusal {
    /// The refusal while this courier hasn't received the partner's budget yet.
    const NO_BUDGET: Refusal =
        Refusal { retry_after: INITIAL_GRANT_TIME, reason: RefusalReason::NoShare, usable: 0, open: 0 };
}

impl LocalBudget {
    /// Acquires a permit for a call of the tenant. Calls to a partner without a budget need no permit.
    ///
    /// # Errors
    /// Returns a refusal with a retry delay if no connection is available now.
    pub fn acquire(&mut self, dest: u64, tenant: &str, now: Micros) -> Result<Permit, Refusal> {
        let allowance = self.allowance(now);
        let Some(partner) = self.partners.get_mut(&dest) else {
            return Err(Refusal::NO_BUDGET);
        };
        let new_number = self.last_connection + 1;
        let Some((conn, kind)) = partner.available(tenant, new_number, allowance, now) else {
            return Err(self.refusal(dest, tenant, now));
        };
        self.last_connection = self.last_connection.max(conn);
        match kind {
            PermitKind::Reuse => partner.set_state(conn, Some(tenant), ConnectionState::Busy, now),
            PermitKind::Open => {
                let state = ConnectionState::Permitted;
                let connection =
                    Connection { tenant: tenant.to_string(), state, since: now, epoch: self.epoch };
                partner.insert(conn, connection);
            }
        }
        if let Some(waiting) = partner.waiting.get_mut(tenant) {
            (waiting.refused_at, waiting.starved_since) = (None, None);
        }
        self.changed = true;
        Ok(Permit { dest, conn, kind })
    }

    fn refusal(&mut self, dest: u64, tenant: &str, now: Micros) -> Refusal {
        let allowance = self.allowance(now);
        let Some(partner) = self.partners.get_mut(&dest) else { return Refusal::NO_BUDGET };
        let (open, usable) = (partner.open(tenant), allowance.usable(partner, tenant));
        if !partner.has_capacity_to_wait(tenant, now) {
            return Refusal { retry_after: WAITING_TTL, reason: RefusalReason::TooManyTenants, usable, open };
        }
        let waiting = partner.waiting.entry(tenant.to_string()).or_default();
        self.changed |= waiting.count_at(now) == 0;
        waiting.refused_at = Some(now);
        waiting.starved_since = waiting.starved_since.or((open == 0).then_some(now));
        let queue_position = u64::from(waiting.count.max(1));
        let (reason, retry_after) = if self.counts_calls && open > 0 {
            let reason =
                if allowance.is_cut_off { RefusalReason::CutOff } else { RefusalReason::RateLimited };
            (reason, partner.rate_limit_delay(tenant, queue_position.min(u64::from(open)), now))
        } else {
            let (reason, retry_after) = self.connection_delay(dest, usable, queue_position, now);
            let max_delay = self.bounds.recall_time().max(MIN_RETRY_AFTER);
            (reason, retry_after.clamp(MIN_RETRY_AFTER, max_delay))
        };
        Refusal { retry_after, reason, usable, open }
    }

    /// Estimates the time until a connection is available for the waiting call at `queue_position`, counted from 1.
    fn connection_delay(
        &self,
        dest: u64,
        usable: u32,
        queue_position: u64,
        now: Micros,
    ) -> (RefusalReason, Micros) {
        let Some(partner) = self.partners.get(&dest) else {
            return (RefusalReason::NoShare, INITIAL_GRANT_TIME);
        };
        let grant_time = if partner.mean_grant == 0 { INITIAL_GRANT_TIME } else { partner.mean_grant };
        // Until a call has ended, the longest allowed duration is assumed.
        let call_time = if partner.mean_call == 0 { self.bounds.max_call } else { partner.mean_call };
        // Each connection in use becomes free once in the duration of a call.
        let queue_delay =
            |connections: u32| call_time.saturating_mul(queue_position) / u64::from(connections);
        match (self.is_cut_off(now), usable) {
            (false, 1..) => (RefusalReason::AllInUse, queue_delay(usable)),
            (false, 0) => (RefusalReason::NoShare, grant_time),
            (true, _) if partner.floor() == 0 => (RefusalReason::CutOff, self.bounds.lease),
            (true, _) if now < self.floor_from => (RefusalReason::CutOff, self.floor_from - now),
            (true, _) => (RefusalReason::CutOff, queue_delay(partner.floor())),
        }
    }

    /// Sets the number of the tenant's waiting calls, without those in flight.
    pub fn set_waiting(&mut self, dest: u64, tenant: &str, count: u32, now: Micros) {
        let Some(partner) = self.partners.get_mut(&dest) else { return };
        let is_waiting = partner.waiting.contains_key(tenant);
        if !is_waiting && (count == 0 || partner.waiting.len() >= MAX_TENANTS) {
            return;
        }
        let has_no_connection = partner.open(tenant) == 0;
        let waiting = partner.waiting.entry(tenant.to_string()).or_default();
        self.changed |= waiting.count != count;
        waiting.count = count;
        if count == 0 {
            partner.waiting.remove(tenant);
        } else {
            waiting.starved_since = waiting.starved_since.or(has_no_connection.then_some(now));
        }
    }

    /// Returns whether a permitted connection may still be opened. It has to be called directly before opening,
    /// because the process may have been suspended since it acquired the permit. If the result is `false`, the permit
    /// has ended and the connection no longer counts.
    pub fn confirm_open(&mut self, dest: u64, conn: u64, now: Micros) -> bool {
        let allowance = self.allowance(now);
        let Some(partner) = self.partners.get_mut(&dest) else { return false };
        let connection = partner.connections.get(&conn).filter(|c| c.state == ConnectionState::Permitted);
        let Some(connection) = connection else { return false };
        let is_fresh = !connection.is_in_state_for(PERMIT_TTL, now)
            && !allowance.is_cut_off
            && connection.epoch == self.epoch;
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
    /// Returns the connection that a call of the tenant may use: an idle one, or a new one with the number
    /// `new_number`.
    fn available(
        &self,
        tenant: &str,
        new_number: u64,
        allowance: Allowance,
        now: Micros,
    ) -> Option<(u64, PermitKind)> {
        let (floor, cap) = (allowance.floor(self), allowance.cap(self));
        let (open, total) = (self.open(tenant), self.total());
        let usable = allowance.usable(self, tenant);
        let idle = self.idle(tenant);
        let is_own_idle = idle.is_some_and(|number| self.connections[&number].tenant == tenant);
        // Reusing its own idle connection leaves the tenant's count unchanged; any other connection adds one.
        let fits_grant = if is_own_idle { open <= usable } else { open < usable };
        let fits_floor = if idle.is_some() { total <= floor } else { total < floor };
        let is_allowed = fits_grant || (fits_floor && self.has_floor_priority(tenant, now));
        match idle {
            Some(number) if is_allowed && total <= cap => Some((number, PermitKind::Reuse)),
            None if is_allowed && total < cap => Some((new_number, PermitKind::Open)),
            _ => None,
        }
    }

    /// Whether the tenant's waiting calls can be recorded. At the limit, tenants without waiting calls are removed
    /// first.
    fn has_capacity_to_wait(&mut self, tenant: &str, now: Micros) -> bool {
        if self.waiting.len() < MAX_TENANTS || self.waiting.contains_key(tenant) {
            return true;
        }
        self.waiting.retain(|_, waiting| waiting.count_at(now) > 0);
        self.waiting.len() < MAX_TENANTS
    }

    /// Returns the time until `calls` of the tenant's calls are a span old; `calls` is at least 1.
    fn rate_limit_delay(&self, tenant: &str, calls: u64, now: Micros) -> Micros {
        let mut tenant_calls = self.connections.values().filter(|c| c.tenant == tenant);
        let last_begun_at = tenant_calls.nth((calls - 1) as usize).map_or(now, |c| c.since);
        last_begun_at.saturating_add(self.close_timeout).saturating_sub(now).max(MIN_RETRY_AFTER)
    }
}
