//! The connections of one courier at one partner, by tenant, beside what was granted and what waits.

use crate::budget::breaks::{Break, is_enabled};
use crate::budget::divide::ONE_CONNECTION;
use crate::budget::state::Share;
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A call that was refused counts as waiting for so long: it is retried within that, or given up.
pub const WAITING_TTL: Micros = 1_000_000;

/// Where a connection is between its permit and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum ConnectionState {
    /// It may be opened, but hasn't been.
    Permitted,
    /// A call is on it.
    Busy,
    /// It is open, and no call is on it.
    Idle,
    /// Closed by this side, or given up; still open at the partner as far as is known.
    Closing,
}

/// One connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Connection {
    pub(super) tenant: String,
    pub(super) state: ConnectionState,
    /// When it entered the state.
    pub(super) since: Micros,
    /// The epoch under which it was permitted.
    pub(super) epoch: u64,
}

impl Connection {
    /// Whether it has been in its state for so long.
    pub(super) fn is_past(&self, span: Micros, now: Micros) -> bool {
        now >= self.since.saturating_add(span)
    }
}

/// A tenant's share as this courier knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Grant {
    /// Connections that may be used.
    pub(super) usable: u32,
    /// The share is recalled to [`Grant::usable`].
    pub(super) recalled: bool,
    /// The number of the share's last change.
    pub(super) number: u64,
    /// Connections that count for it at most: granted, or what was confirmed under this number.
    pub(super) confirmed: u32,
}

impl Grant {
    /// The grant of an agreed share; a confirmation under the same number stays.
    pub(super) fn new(share: &Share, old: &Grant) -> Grant {
        let confirmed = if old.number == share.number { old.confirmed } else { u32::MAX };
        Grant {
            usable: share.usable(),
            recalled: share.recalled.is_some(),
            number: share.number,
            confirmed: confirmed.min(share.granted),
        }
    }
}

/// A tenant's calls that wait for a connection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct WaitingCalls {
    /// Calls that would be sent now, beside those in flight.
    pub(super) count: u32,
    /// When a call was refused last.
    pub(super) refused: Option<Micros>,
    /// Since when it wants a connection and has none.
    pub(super) since: Option<Micros>,
}

impl WaitingCalls {
    /// The calls that count as waiting.
    pub(super) fn count_at(&self, now: Micros) -> u32 {
        let was_refused = self.refused.is_some_and(|at| now < at.saturating_add(WAITING_TTL));
        self.count.max(u32::from(was_refused))
    }
}

/// One partner's connections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct PartnerConnections {
    /// The floor in this courier's configuration; no more than the agreed floor is used.
    pub(super) configured: u32,
    /// A closing connection counts no longer than this.
    pub(super) close_timeout: Micros,
    pub(super) agreed_floor: Option<u32>,
    /// By tenant.
    pub(super) grants: BTreeMap<String, Grant>,
    /// The connections that the grants allow together.
    pub(super) usable: u32,
    /// By number, which grows.
    pub(super) connections: BTreeMap<u64, Connection>,
    /// The numbers of each tenant's idle connections.
    pub(super) idle: BTreeMap<String, BTreeSet<u64>>,
    /// The number of each tenant's connections, in any state.
    pub(super) open: BTreeMap<String, u32>,
    /// By tenant.
    pub(super) waiting: BTreeMap<String, WaitingCalls>,
    /// In millionths, by tenant.
    pub(super) weights: BTreeMap<String, u64>,
    /// How long a call uses a connection, smoothed; 0 before the first.
    pub(super) mean_call: Micros,
    /// From the first demand to the grant, smoothed; 0 before the first.
    pub(super) mean_grant: Micros,
}

/// An exponentially weighted mean, with 1/8 for the sample.
fn smooth(old: Micros, sample: Micros) -> Micros {
    if old == 0 { sample.max(1) } else { (old / 8).saturating_mul(7).saturating_add(sample / 8).max(1) }
}

impl PartnerConnections {
    /// All connections, in any state.
    pub(super) fn total(&self) -> u32 {
        if is_enabled(Break::ClosingUncounted) {
            let connections = self.connections.values();
            return connections.filter(|c| c.state != ConnectionState::Closing).count() as u32;
        }
        self.connections.len() as u32
    }

    /// The tenant's connections, in any state.
    pub(super) fn open(&self, tenant: &str) -> u32 {
        self.open.get(tenant).copied().unwrap_or(0)
    }

    /// The connections that the tenant's grant allows.
    pub(super) fn usable(&self, tenant: &str) -> u32 {
        self.grants.get(tenant).map_or(0, |grant| grant.usable)
    }

    /// The courier's floor.
    pub(super) fn floor(&self) -> u32 {
        self.agreed_floor.map_or(self.configured, |agreed| agreed.min(self.configured))
    }

    /// The sum over the grants.
    pub(super) fn sum(&self, value: impl Fn(&Grant) -> u32) -> u32 {
        self.grants.values().map(value).fold(0, u32::saturating_add)
    }

    /// A call on a connection has taken so long.
    pub(super) fn record_call(&mut self, took: Micros) {
        self.mean_call = smooth(self.mean_call, took);
    }

    /// The tenant is granted a connection, and had none before.
    pub(super) fn granted(&mut self, tenant: &str, now: Micros) {
        let since = self.waiting.get_mut(tenant).and_then(|waiting| waiting.since.take());
        if let Some(since) = since {
            self.mean_grant = smooth(self.mean_grant, now.saturating_sub(since));
        }
    }

    /// Adds a connection that may be opened.
    pub(super) fn insert(&mut self, number: u64, connection: Connection) {
        *self.open.entry(connection.tenant.clone()).or_insert(0) += 1;
        self.connections.insert(number, connection);
    }

    /// Puts a connection into a state; `tenant`: it belongs to this tenant from now on.
    pub(super) fn set_state(
        &mut self,
        number: u64,
        tenant: Option<&str>,
        state: ConnectionState,
        now: Micros,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if connection.state == ConnectionState::Idle
            && let Some(idle) = self.idle.get_mut(&connection.tenant)
        {
            idle.remove(&number);
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
            self.idle.entry(connection.tenant.clone()).or_default().insert(number);
        }
    }

    fn decrement_open(&mut self, tenant: &str) {
        if let Some(count) = self.open.get_mut(tenant) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.open.remove(tenant);
            }
        }
    }

    /// Removes a connection; whether it was there.
    pub(super) fn remove(&mut self, number: u64, now: Micros) -> bool {
        self.set_state(number, None, ConnectionState::Closing, now);
        let connection = self.connections.remove(&number);
        connection.iter().for_each(|c| self.decrement_open(&c.tenant));
        connection.is_some()
    }

    /// Whether the tenant is the next to use a connection of the floor, which is divided by weight: while another
    /// tenant waits that would have fewer for its weight with one more, this one gets none.
    pub(super) fn has_floor_priority(&self, tenant: &str, now: Micros) -> bool {
        let weight = |t: &str| u128::from(self.weights.get(t).copied().unwrap_or(ONE_CONNECTION as u64));
        let next = |t: &str| u128::from(self.open(t) + 1);
        let mut others = self.waiting.iter().filter(|(t, w)| *t != tenant && w.count_at(now) > 0);
        others.all(|(t, _)| next(tenant) * weight(t) <= next(t) * weight(tenant))
    }

    /// An idle connection: the tenant's own, or of the tenant that has most beyond its grant.
    pub(super) fn idle(&self, tenant: &str) -> Option<u64> {
        let excess = |t: &String| i64::from(self.open(t)) - i64::from(self.usable(t));
        let other = || self.idle.iter().max_by_key(|(t, _)| excess(t)).map(|(_, idle)| idle);
        let idle = self.idle.get(tenant).or_else(other)?;
        // The newest one: the others may be closed soon.
        idle.last().copied()
    }
}
