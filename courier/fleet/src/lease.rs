//! Presence by lease (Gray and Cheriton, "Leases", SOSP 1989): a member renews its lease several times in its
//! length, and the leader grants each renewal after a majority has confirmed that it still leads.
//!
//! The member counts the lease from when it sent the renewal, and the leader from when it received it, so that the
//! lease expires at the member first. A new leader waits for a whole lease before it counts any member as gone, as
//! it does not know what its predecessor has granted.

use crate::config::{FleetConfig, Name};
use crate::state::Epoch;
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// Renewals sent in the length of a lease: two messages in a row may be lost.
const RENEWALS_PER_LEASE: Micros = 4;
/// Maximum number of renewals without a reply that are remembered: more than fall into one lease.
const MAX_PENDING_RENEWALS: usize = 16;

/// The member's side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldLease {
    until: Micros,
    /// When each renewal was sent, by its ticket.
    pending_renewals: BTreeMap<u64, Micros>,
    last_ticket: u64,
    renew_at: Micros,
}

impl HeldLease {
    /// Whether the member may act.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.until
    }

    /// When the lease expires, unless it is extended.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// When the next renewal is due.
    pub fn wake_at(&self) -> Micros {
        self.renew_at
    }

    /// The ticket of a renewal that is to be sent now, if one is due.
    pub fn next_renewal(&mut self, config: &FleetConfig, now: Micros) -> Option<u64> {
        if now < self.renew_at {
            return None;
        }
        self.renew_at = now + config.lease / RENEWALS_PER_LEASE;
        self.last_ticket += 1;
        self.pending_renewals.insert(self.last_ticket, now);
        while self.pending_renewals.len() > MAX_PENDING_RENEWALS {
            self.pending_renewals.pop_first();
        }
        Some(self.last_ticket)
    }

    /// The leader has granted the renewal with this ticket. Older ones are forgotten; an unknown ticket has no
    /// effect.
    pub fn granted(&mut self, ticket: u64, config: &FleetConfig) {
        let Some(sent_at) = self.pending_renewals.remove(&ticket) else { return };
        self.pending_renewals = self.pending_renewals.split_off(&ticket);
        self.until = self.until.max(sent_at + config.member_lease());
    }

    /// Ends the lease, as the registration that it belongs to is void.
    pub fn revoke(&mut self) {
        self.until = 0;
        self.pending_renewals.clear();
        self.renew_at = 0;
    }
}

/// The last renewal of a member that the leader has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Renewal {
    epoch: Epoch,
    received_at: Micros,
}

/// The leader's side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantedLeases {
    renewals: BTreeMap<Name, Renewal>,
    /// Registrations whose end this leader has proposed. They get no lease any more, as the end may be committed at
    /// any moment.
    expiring: BTreeMap<Name, Epoch>,
    /// When this courier began to lead.
    since: Micros,
}

impl GrantedLeases {
    /// This courier leads from now on: any member may have a lease that the leader before has granted.
    pub fn begin_leadership(&mut self, now: Micros) {
        self.renewals.clear();
        self.expiring.clear();
        self.since = now;
    }

    /// A member renews its lease; returns whether it may be granted.
    pub fn renew(&mut self, name: &str, epoch: Epoch, now: Micros) -> bool {
        if self.expiring.get(name) == Some(&epoch) {
            return false;
        }
        self.renewals.insert(name.into(), Renewal { epoch, received_at: now });
        true
    }

    /// A member's lease has expired, and the end of its registration is proposed.
    pub fn mark_expiring(&mut self, name: &str, epoch: Epoch) {
        self.expiring.insert(name.into(), epoch);
    }

    /// A member is registered: it has the length of a lease for its first renewal.
    pub fn joined(&mut self, name: &str, epoch: Epoch, now: Micros) {
        self.renew(name, epoch, now);
    }

    /// When a member's lease expires by the leader's clock.
    pub fn expires_at(&self, name: &str, epoch: Epoch, config: &FleetConfig) -> Micros {
        let renewal = self.renewals.get(name).filter(|renewal| renewal.epoch == epoch);
        let received_at = renewal.map_or(self.since, |renewal| renewal.received_at);
        received_at.max(self.since) + config.lease
    }
}
