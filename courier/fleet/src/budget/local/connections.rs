//! The connections of one courier to one partner, with the grants and the waiting calls of each tenant.

use crate::budget::breaks::{Break, is_enabled};
use crate::budget::divide::ONE_CONNECTION;
use crate::budget::state::Share;
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The time for which a refused call counts as waiting. Callers retry it within this time or abandon it.
pub const WAITING_TTL: Micros = 1_000_000;

/// The state of a connection between its permit and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum ConnectionState {
    /// A permit was given, and the connection is not open yet.
    Permitted,
    /// A call uses the connection.
    Busy,
    /// The connection is open and unused.
    Idle,
    /// Closed by this courier, or its call was aborted; it may still be open at the partner.
    Closing,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Connection {
    pub(super) tenant: String,
    pub(super) state: ConnectionState,
    /// When the connection entered its state.
    pub(super) since: Micros,
    /// The epoch under which the permit was given.
    pub(super) epoch: u64,
}

impl Connection {
    /// Whether the connection has been in its state for at least `duration`.
    pub(super) fn is_in_state_for(&self, duration: Micros, now: Micros) -> bool {
        now >= self.since.saturating_add(duration)
    }
}

/// A tenant's share, as this courier last received it from the replicated state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Grant {
    /// Connections that the courier may use for the tenant.
    pub(super) usable: u32,
    /// Whether the share is being recalled to [`Grant::usable`].
    pub(super) recalled: bool,
    /// The number of the share's last change.
    pub(super) number: u64,
    /// The highest number of connections that count against the share: the granted ones, or those confirmed under this
    /// number.
    pub(super) confirmed: u32,
}

impl Grant {
    /// Creates the grant for a share of the replicated state; a confirmation under the same number is retained.
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

/// The calls of a tenant that wait for a connection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct WaitingCalls {
    /// Calls that could be sent now, without those in flight.
    pub(super) count: u32,
    /// When a call was last refused.
    #[serde(rename = "refused")]
    pub(super) refused_at: Option<Micros>,
    /// When the tenant began to wait without any connection.
    #[serde(rename = "since")]
    pub(super) starved_since: Option<Micros>,
}

impl WaitingCalls {
    /// The number of calls that count as waiting at `now`.
    pub(super) fn count_at(&self, now: Micros) -> u32 {
        let was_refused =
            self.refused_at.is_some_and(|refused_at| now < refused_at.saturating_add(WAITING_TTL));
        self.count.max(u32::from(was_refused))
    }
}

/// The connections of this courier to one partner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct PartnerConnections {
    /// The floor in this courier's configuration. The floor in use is never higher than the committed one.
    #[serde(rename = "configured")]
    pub(super) configured_floor: u32,
    /// The longest time for which a closing connection counts.
    pub(super) close_timeout: Micros,
    /// The committed floor of this courier; `None` before the first replicated state.
    pub(super) agreed_floor: Option<u32>,
    /// Keyed by tenant.
    pub(super) grants: BTreeMap<String, Grant>,
    /// The sum of the connections that the grants allow.
    pub(super) usable: u32,
    /// Keyed by number; numbers are assigned in ascending order.
    pub(super) connections: BTreeMap<u64, Connection>,
    /// The numbers of the idle connections, keyed by tenant.
    pub(super) idle: BTreeMap<String, BTreeSet<u64>>,
    /// The count of connections in any state, keyed by tenant.
    pub(super) open: BTreeMap<String, u32>,
    /// Keyed by tenant.
    pub(super) waiting: BTreeMap<String, WaitingCalls>,
    /// The weights in millionths, keyed by tenant.
    pub(super) weights: BTreeMap<String, u64>,
    /// The exponentially weighted mean of the time for which a call uses a connection; 0 before the first call.
    pub(super) mean_call: Micros,
    /// The exponentially weighted mean of the time from the first demand to the grant; 0 before the first grant.
    pub(super) mean_grant: Micros,
}

/// Updates an exponentially weighted mean; the sample has weight 1/8.
fn smooth(mean: Micros, sample: Micros) -> Micros {
    if mean == 0 { sample.max(1) } else { (mean / 8).saturating_mul(7).saturating_add(sample / 8).max(1) }
}

impl PartnerConnections {
    /// The number of connections in any state.
    pub(super) fn total(&self) -> u32 {
        if is_enabled(Break::ClosingUncounted) {
            let connections = self.connections.values();
            return connections.filter(|c| c.state != ConnectionState::Closing).count() as u32;
        }
        self.connections.len() as u32
    }

    /// The number of the tenant's connections in any state.
    pub(super) fn open(&self, tenant: &str) -> u32 {
        self.open.get(tenant).copied().unwrap_or(0)
    }

    /// The number of connections that the tenant's grant allows.
    pub(super) fn usable(&self, tenant: &str) -> u32 {
        self.grants.get(tenant).map_or(0, |grant| grant.usable)
    }

    /// The floor that this courier may use: the lower of the configured and the committed one.
    pub(super) fn floor(&self) -> u32 {
        self.agreed_floor
            .map_or(self.configured_floor, |agreed_floor| agreed_floor.min(self.configured_floor))
    }

    /// The sum of a value over all grants.
    pub(super) fn sum(&self, value: impl Fn(&Grant) -> u32) -> u32 {
        self.grants.values().map(value).fold(0, u32::saturating_add)
    }

    /// Adds a sample to the mean duration of calls.
    pub(super) fn record_call(&mut self, duration: Micros) {
        self.mean_call = smooth(self.mean_call, duration);
    }

    /// Records how long the tenant waited for its first grant.
    pub(super) fn record_grant(&mut self, tenant: &str, now: Micros) {
        let starved_since = self.waiting.get_mut(tenant).and_then(|waiting| waiting.starved_since.take());
        if let Some(starved_since) = starved_since {
            self.mean_grant = smooth(self.mean_grant, now.saturating_sub(starved_since));
        }
    }

    /// Adds a connection for which a permit is given.
    pub(super) fn insert(&mut self, number: u64, connection: Connection) {
        *self.open.entry(connection.tenant.clone()).or_insert(0) += 1;
        self.connections.insert(number, connection);
    }

    /// Changes the state of a connection, and transfers it to `tenant` if that is given.
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
            let old_tenant = std::mem::replace(&mut connection.tenant, tenant.to_string());
            self.decrement_open(&old_tenant);
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

    /// Removes a connection; returns whether it existed.
    pub(super) fn remove(&mut self, number: u64, now: Micros) -> bool {
        self.set_state(number, None, ConnectionState::Closing, now);
        let connection = self.connections.remove(&number);
        connection.iter().for_each(|c| self.decrement_open(&c.tenant));
        connection.is_some()
    }

    /// Whether the tenant may use a connection of the floor, which is divided by weight. It may not while another
    /// tenant waits that would have fewer connections relative to its weight after getting one more.
    pub(super) fn has_floor_priority(&self, tenant: &str, now: Micros) -> bool {
        let weight = |t: &str| u128::from(self.weights.get(t).copied().unwrap_or(ONE_CONNECTION as u64));
        let open_after = |t: &str| u128::from(self.open(t) + 1);
        let mut others = self.waiting.iter().filter(|(t, w)| *t != tenant && w.count_at(now) > 0);
        others.all(|(t, _)| open_after(tenant) * weight(t) <= open_after(t) * weight(tenant))
    }

    /// Returns an idle connection of the tenant, or else of the tenant that exceeds its grant by the most connections.
    pub(super) fn idle(&self, tenant: &str) -> Option<u64> {
        let excess = |t: &String| i64::from(self.open(t)) - i64::from(self.usable(t));
        let largest_excess = || self.idle.iter().max_by_key(|(t, _)| excess(t)).map(|(_, idle)| idle);
        let idle = self.idle.get(tenant).or_else(largest_excess)?;
        // The newest one, because the older ones may be closed soon.
        idle.last().copied()
    }
}
