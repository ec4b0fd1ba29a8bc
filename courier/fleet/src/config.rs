//! A fleet's settings in the form that its state machines use, and values derived from them.

use crate::budget::{Budget, TimeBounds};
use quillmount_policy::Micros;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// A courier's name, which is unique in its fleet. The operator file defines it.
pub type Name = String;

/// A courier of the fleet, as listed in the operator file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The courier's unique name.
    pub name: Name,
    /// The courier's failure domain: couriers with the same host or zone may fail together. An empty value means that
    /// none is configured; the courier then has a failure domain of its own.
    pub host: String,
}

/// The behaviour of a courier while its journal has no replica that has caught up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MissingReplicas {
    /// The courier accepts no messages and starts no calls until there is a replica.
    #[default]
    Require,
    /// The courier continues without replicas, once the fleet has committed that there are none, and logs a warning.
    Prefer,
}

/// A fleet's settings. The package `quillmount-operator` validates them before they get here.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The name of this courier.
    pub local_name: Name,
    /// All couriers of the fleet, this one included.
    pub peers: Vec<Peer>,
    /// The configured voters of the Raft group. The first one creates a new fleet.
    pub voters: Vec<Name>,
    /// Duration of a lease by the leader's clock, in microseconds.
    pub lease: Micros,
    /// Maximum relative error of the rate of each courier's clock, for example 0.01 for 1 %.
    pub drift: f64,
    /// Number of replicas of each journal at other couriers.
    pub replicas: usize,
    /// The behaviour of this courier while its journal has no replica.
    pub missing_replicas: MissingReplicas,
    /// Budgets of connections and calls to partners, which the fleet shares.
    pub budgets: Vec<Budget>,
    /// Maximum time in microseconds during which a call sends its request.
    pub max_call: Micros,
    /// Maximum time in microseconds for which a connection stays open after a call.
    pub max_idle: Micros,
}

impl FleetConfig {
    /// The time bounds that the machines of budgets use.
    pub fn time_bounds(&self) -> TimeBounds {
        TimeBounds { max_call: self.max_call, max_idle: self.max_idle, lease: self.lease }
    }

    /// The names of all couriers, this one included.
    pub fn couriers(&self) -> Vec<Name> {
        self.peers.iter().map(|peer| peer.name.clone()).collect()
    }

    /// Duration of a lease by the member's clock, in microseconds. Even if both clock rates have the maximum error, the
    /// lease expires at the member before it expires at the leader.
    pub fn member_lease(&self) -> Micros {
        (self.lease as f64 * (1.0 - self.drift) / (1.0 + self.drift)) as Micros
    }

    /// Returns the failure domain of a courier, or the courier's name if none is configured.
    pub fn host_of<'a>(&'a self, name: &'a str) -> &'a str {
        let configured = self.peers.iter().find(|peer| peer.name == name).map(|peer| peer.host.as_str());
        configured.filter(|host| !host.is_empty()).unwrap_or(name)
    }

    /// The names of all couriers but this one.
    pub fn others(&self) -> impl Iterator<Item = &Name> {
        self.peers.iter().map(|peer| &peer.name).filter(|name| **name != self.local_name)
    }

    /// Whether a courier is one of the configured voters.
    pub fn is_voter(&self, name: &str) -> bool {
        self.voters.iter().any(|voter| voter == name)
    }

    /// The serving couriers that may have a replica of this courier's journal, in descending order of preference:
    /// couriers in other failure domains come first, and each group is sorted by descending rendezvous weight.
    pub fn replica_order(&self, serving: &BTreeSet<Name>) -> Vec<Name> {
        let own_host = self.host_of(&self.local_name);
        let mut order: Vec<_> = serving.iter().filter(|name| **name != self.local_name).collect();
        order.sort_by_key(|name| {
            (self.host_of(name) == own_host, Reverse(rendezvous_weight(self.local_name.as_bytes(), name)))
        });
        order.into_iter().cloned().collect()
    }
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// First multiplier of MurmurHash3's 64-bit finalizer.
const MURMUR_MULTIPLIER: u64 = 0xff51_afd7_ed55_8ccd;
/// Separator of key and name in the hashed bytes. UTF-8 contains no byte with this value.
const KEY_SEPARATOR: u8 = 0xff;

/// The weight of a member for a key in rendezvous hashing (Thaler and Ravishankar, 1998). The key is assigned to the
/// member with the highest weight.
pub fn rendezvous_weight(key: &[u8], member: &str) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in key.iter().chain(&[KEY_SEPARATOR]).chain(member.as_bytes()) {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    // FNV-1a alone yields similar high bits for similar names, so the hash is mixed once more.
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(MURMUR_MULTIPLIER);
    hash ^ (hash >> 33)
}
