//! Presence by lease: a member asks for one again and again, and the leader grants it after the voters have confirmed that it
//! still leads. At the member a lease runs from the moment of asking, at the leader from that of hearing, so that the member's
//! is over first; a new leader waits a whole lease before it counts anybody as gone.

use crate::config::{FleetConfig, Name};
use crate::state::Epoch;
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// A lease is asked for so many times in its length: two words may be lost.
const RENEWALS_PER_LEASE: Micros = 4;
/// Questions of a member that are not answered, remembered at most: those of one lease.
const MAX_PENDING_RENEWALS: usize = 16;

/// The member's side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldLease {
    until: Micros,
    /// When each question was asked, by its number.
    pending_renewals: BTreeMap<u64, Micros>,
    last_ticket: u64,
    renew_at: Micros,
}

impl HeldLease {
    /// Whether the member may act.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.until
    }

    /// When it ends, if nothing more is heard.
    pub fn until(&self) -> Micros {
        self.until
    }

    pub fn wake_at(&self) -> Micros {
        self.renew_at
    }

    /// The number of a question to ask now, if it is time for one.
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

    /// The leader grants what was asked then.
    pub fn granted(&mut self, ticket: u64, config: &FleetConfig) {
        let Some(at) = self.pending_renewals.remove(&ticket) else { return };
        self.pending_renewals = self.pending_renewals.split_off(&ticket);
        self.until = self.until.max(at + config.member_lease());
    }

    /// It is a member no more, or under another epoch.
    pub fn revoke(&mut self) {
        self.until = 0;
        self.pending_renewals.clear();
        self.renew_at = 0;
    }
}

/// The leader's side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantedLeases {
    renewed_at: BTreeMap<Name, (Epoch, Micros)>,
    /// Whom it has asked the fleet to count as gone: nothing more is granted, as that may be agreed at any moment.
    expiring: BTreeMap<Name, Epoch>,
    /// It began to lead then.
    since: Micros,
}

impl GrantedLeases {
    /// It leads from now on: whoever was granted a lease by the leader before may still hold it.
    pub fn begin_leadership(&mut self, now: Micros) {
        self.renewed_at.clear();
        self.expiring.clear();
        self.since = now;
    }

    /// A member asks; whether it may be granted a lease.
    pub fn renew(&mut self, name: &str, epoch: Epoch, now: Micros) -> bool {
        let is_renewed = self.expiring.get(name) != Some(&epoch);
        if is_renewed {
            self.renewed_at.insert(name.into(), (epoch, now));
        }
        is_renewed
    }

    /// Its lease has lapsed, and the fleet is asked to say so.
    pub fn mark_expiring(&mut self, name: &str, epoch: Epoch) {
        self.expiring.insert(name.into(), epoch);
    }

    /// A member is registered: it has a lease's time for its first question.
    pub fn joined(&mut self, name: &str, epoch: Epoch, now: Micros) {
        self.renew(name, epoch, now);
    }

    /// When the lease of a member lapses.
    pub fn expires_at(&self, name: &str, epoch: Epoch, config: &FleetConfig) -> Micros {
        let heard =
            self.renewed_at.get(name).filter(|(at, _)| *at == epoch).map_or(self.since, |(_, at)| *at);
        heard.max(self.since) + config.lease
    }
}
