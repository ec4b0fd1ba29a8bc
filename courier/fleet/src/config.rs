//! A fleet's settings, in the form in which its state machines use them, and what follows from them.

use crate::budget::{Budget, TimeBounds};
use quillmount_policy::Micros;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// A courier's name in its fleet, as in the operator file.
pub type Name = String;

/// One of the couriers in the operator file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Its failure domain: couriers with the same host or zone fail together. Empty: not configured, and different from
    /// all others.
    pub host: String,
}

/// What a courier does while its journal has too few replicas that are caught up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MissingReplicas {
    /// It accepts no message and begins no call until there is a replica.
    #[default]
    Require,
    /// It goes on without replicas, once the fleet has agreed that there are none, and reports it.
    Prefer,
}

/// A fleet's settings. They are valid: the package `quillmount-operator` rejects others.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// This courier's name.
    pub local_name: Name,
    /// All couriers of the fleet, this one included.
    pub peers: Vec<Peer>,
    /// The voters of the agreement. The first one starts a new fleet.
    pub voters: Vec<Name>,
    /// Length of a lease by the leader's clock, in microseconds.
    pub lease: Micros,
    /// Maximum relative error of the rate of each courier's clock.
    pub drift: f64,
    /// Number of replicas of each journal at other couriers.
    pub replicas: usize,
    /// What a courier does without enough replicas.
    pub missing_replicas: MissingReplicas,
    /// Partners' budgets.
    pub budgets: Vec<Budget>,
    /// The longest time in microseconds for which a call writes.
    pub max_call: Micros,
    /// The longest time in microseconds for which a connection stays open after a call.
    pub max_idle: Micros,
}

impl FleetConfig {
    /// The bounds on time that budgets depend on.
    pub fn time_bounds(&self) -> TimeBounds {
        TimeBounds { max_call: self.max_call, max_idle: self.max_idle, lease: self.lease }
    }

    /// The names of all couriers, this one included.
    pub fn couriers(&self) -> Vec<Name> {
        self.peers.iter().map(|peer| peer.name.clone()).collect()
    }

    /// Length of a lease by the member's clock, in microseconds: at the worst rates of both clocks it still expires
    /// there before it does at the leader.
    pub fn member_lease(&self) -> Micros {
        (self.lease as f64 * (1.0 - self.drift) / (1.0 + self.drift)) as Micros
    }

    /// A courier's failure domain; its own name if none is configured.
    pub fn host_of<'a>(&'a self, name: &'a str) -> &'a str {
        let configured = self.peers.iter().find(|peer| peer.name == name).map(|peer| peer.host.as_str());
        configured.filter(|host| !host.is_empty()).unwrap_or(name)
    }

    /// The names of all couriers but this one.
    pub fn others(&self) -> impl Iterator<Item = &Name> {
        self.peers.iter().map(|peer| &peer.name).filter(|name| **name != self.local_name)
    }

    /// Whether a courier is a configured voter.
    pub fn is_voter(&self, name: &str) -> bool {
        self.voters.iter().any(|voter| voter == name)
    }

    /// The couriers that may have a replica of this courier's journal, best first: those of other hosts before those of
    /// its own, each in the order of their rendezvous weights.
    pub fn replica_order(&self, serving: &BTreeSet<Name>) -> Vec<Name> {
        let own_host = self.host_of(&self.local_name);
        let mut order: Vec<_> = serving.iter().filter(|name| **name != self.local_name).collect();
        order.sort_by_key(|name| {
            (self.host_of(name) == own_host, Reverse(rendezvous_weight(self.local_name.as_bytes(), name)))
        });
        order.into_iter().cloned().collect()
    }
}

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// First multiplier of MurmurHash3's 64-bit finalizer.
const MURMUR_MULTIPLIER: u64 = 0xff51_afd7_ed55_8ccd;
/// Separates key and name: no byte of UTF-8 has this value.
const KEY_SEPARATOR: u8 = 0xff;

/// The weight of a member for a key, by rendezvous hashing (Thaler and Ravishankar, 1998): the member with the highest
/// weight gets the key.
pub fn rendezvous_weight(key: &[u8], member: &str) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in key.iter().chain(&[KEY_SEPARATOR]).chain(member.as_bytes()) {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    // FNV-1a alone gives similar names similar high bits.
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(MURMUR_MULTIPLIER);
    hash ^ (hash >> 33)
}
