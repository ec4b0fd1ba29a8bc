//! Membership leases (Gray and Cheriton, "Leases", SOSP 1989). A member renews its lease several times per lease
//! duration, and the leader grants each renewal after a majority has confirmed its leadership.
//!
//! At the member, a lease starts when the renewal is sent; at the leader, it starts when the renewal is received. The
//! lease therefore expires at the member first. A new leader waits for a whole lease duration before it deregisters any
//! member, because it does not know which leases its predecessor has granted.

use crate::config::{FleetConfig, Name};
use crate::state::Epoch;
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// Number of renewals that a member sends per lease duration. Two messages in a row may be lost.
const RENEWALS_PER_LEASE: Micros = 4;
/// Maximum number of renewals without a reply that are tracked. It exceeds the number of renewals per lease.
const MAX_PENDING_RENEWALS: usize = 16;

/// The lease of a member, as the member itself tracks it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldLease {
    /// Expiry by the member's clock; 0 if there is no lease.
    expires_at: Micros,
    /// Send time of each renewal without a reply, by ticket.
    pending_renewals: BTreeMap<u64, Micros>,
    last_ticket: u64,
    renew_at: Micros,
}

impl HeldLease {
    /// Whether the lease is valid, so that the member may accept messages and start calls.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.expires_at
    }

    /// Expiry of the lease by the member's clock, unless the lease is extended.
    pub fn expires_at(&self) -> Micros {
        self.expires_at
    }

    /// Time at which the next renewal is due.
    pub fn wake_at(&self) -> Micros {
        self.renew_at
    }

    /// Returns the ticket of the renewal to be sent now, if one is due.
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

    /// Extends the lease after the leader has granted the renewal with this ticket. Older pending renewals are
    /// discarded; an unknown ticket has no effect.
    pub fn granted(&mut self, ticket: u64, config: &FleetConfig) {
        let Some(sent_at) = self.pending_renewals.remove(&ticket) else { return };
        self.pending_renewals = self.pending_renewals.split_off(&ticket);
        self.expires_at = self.expires_at.max(sent_at + config.member_lease());
    }

    /// Ends the lease after the member's registration has become void.
    pub fn revoke(&mut self) {
        self.expires_at = 0;
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

/// The leases of all members, as the leader tracks them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantedLeases {
    renewals: BTreeMap<Name, Renewal>,
    /// Registrations whose end this leader has proposed. Their leases are not renewed any more, as the end may be
    /// committed at any time.
    expiring: BTreeMap<Name, Epoch>,
    /// Time at which this courier became leader.
    leading_since: Micros,
}

impl GrantedLeases {
    /// Starts the leadership of this courier. Any member may have a lease that was granted by the previous leader until
    /// `now`.
    pub fn begin_leadership(&mut self, now: Micros) {
        self.renewals.clear();
        self.expiring.clear();
        self.leading_since = now;
    }

    /// Records a member's renewal. Returns whether the renewal may be granted.
    pub fn renew(&mut self, name: &str, epoch: Epoch, now: Micros) -> bool {
        if self.expiring.get(name) == Some(&epoch) {
            return false;
        }
        self.renewals.insert(name.into(), Renewal { epoch, received_at: now });
        true
    }

    /// Records that a member's lease has expired and the end of its registration is proposed.
    pub fn mark_expiring(&mut self, name: &str, epoch: Epoch) {
        self.expiring.insert(name.into(), epoch);
    }

    /// Records the registration of a member, which has a lease duration for its first renewal.
    pub fn joined(&mut self, name: &str, epoch: Epoch, now: Micros) {
        self.renew(name, epoch, now);
    }

    /// Expiry of a member's lease by the leader's clock.
    pub fn expires_at(&self, name: &str, epoch: Epoch, config: &FleetConfig) -> Micros {
        let renewal = self.renewals.get(name).filter(|renewal| renewal.epoch == epoch);
        let received_at = renewal.map_or(self.leading_since, |renewal| renewal.received_at);
        received_at.max(self.leading_since) + config.lease
    }
}
