//! What an operator wants of a fleet, as its machines go by it.

use crate::budget::{Budget, TimeBounds};
use quillmount_policy::Micros;
use std::collections::BTreeSet;

/// A courier's name in its fleet, as the operator file has it.
pub type Name = String;

/// One of the couriers that the operator file names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    pub name: Name,
    /// The machine or zone that it shares its fate with; empty: told nowhere, and like no other's.
    pub host: String,
}

/// What a courier does with messages where too few copies are in step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MissingReplicas {
    /// It takes nothing on and begins no call until a copy is there.
    #[default]
    Require,
    /// It goes on with its own journal alone, once the fleet has agreed that it has no copy, and says so.
    Prefer,
}

/// A fleet's settings. The machines take them as checked: [`quillmount-operator`] refuses what can't be.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    pub local_name: Name,
    pub peers: Vec<Peer>,
    /// Those who agree; the first of them begins a new fleet.
    pub voters: Vec<Name>,
    /// How long a member counts as there after a word of it, by the leader's clock.
    pub lease: Micros,
    /// By how much two clocks' rates may differ from true time, each.
    pub drift: f64,
    /// Copies of each book at other couriers.
    pub replicas: usize,
    pub missing_replicas: MissingReplicas,
    /// Partners' budgets.
    pub budgets: Vec<Budget>,
    /// The longest that a call writes, and that a connection stays open after that.
    pub max_call: Micros,
    pub max_idle: Micros,
}

impl FleetConfig {
    /// The bounds on time that budgets are held to.
    pub fn time_bounds(&self) -> TimeBounds {
        TimeBounds { max_call: self.max_call, max_idle: self.max_idle, lease: self.lease }
    }

    pub fn couriers(&self) -> Vec<Name> {
        self.peers.iter().map(|peer| peer.name.clone()).collect()
    }

    /// How long a lease lasts by the member's own clock: it ends before the leader's does, at the worst rates of both.
    pub fn member_lease(&self) -> Micros {
        (self.lease as f64 * (1.0 - self.drift) / (1.0 + self.drift)) as Micros
    }

    /// The machine that a courier shares its fate with: its own name where none is told.
    pub fn host_of<'a>(&'a self, name: &'a str) -> &'a str {
        let configured = self.peers.iter().find(|peer| peer.name == name).map(|peer| peer.host.as_str());
        configured.filter(|host| !host.is_empty()).unwrap_or(name)
    }

    /// All couriers but this one.
    pub fn others(&self) -> impl Iterator<Item = &Name> {
        self.peers.iter().map(|peer| &peer.name).filter(|name| **name != self.local_name)
    }

    pub fn is_voter(&self, name: &str) -> bool {
        self.voters.iter().any(|voter| voter == name)
    }

    /// Those that may hold copies of this courier's book, best first: by a hash that all draw alike, those of other hosts
    /// before those of its own.
    pub fn replica_order(&self, serving: &BTreeSet<Name>) -> Vec<Name> {
        let mine = self.host_of(&self.local_name);
        let mut order: Vec<_> = serving.iter().filter(|name| **name != self.local_name).collect();
        order.sort_by_key(|name| {
            (
                self.host_of(name) == mine,
                std::cmp::Reverse(rendezvous_weight(self.local_name.as_bytes(), name)),
            )
        });
        order.into_iter().cloned().collect()
    }
}

/// How much a member is wanted for something, by rendezvous hashing: whoever has the most gets it.
pub fn rendezvous_weight(key: &[u8], member: &str) -> u64 {
    // FNV-1a, then a finish that spreads close names.
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    for byte in key.iter().chain(&[0xff]).chain(member.as_bytes()) {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
