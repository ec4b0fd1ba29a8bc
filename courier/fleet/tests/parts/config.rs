//! What follows from a fleet's settings.

use quillmount_fleet::config::{FleetConfig, MissingReplicas, Name, Peer};
use std::collections::BTreeSet;

fn config(hosts: &[(&str, &str)]) -> FleetConfig {
    FleetConfig {
        local_name: hosts[0].0.into(),
        peers: hosts.iter().map(|(name, host)| Peer { name: (*name).into(), host: (*host).into() }).collect(),
        voters: vec![],
        lease: 2_000_000,
        drift: 0.01,
        replicas: 1,
        missing_replicas: MissingReplicas::Require,
        budgets: vec![],
        max_call: 16_000_000,
        max_idle: 15_000_000,
    }
}

/// A copy beside its owner goes down with it: only where there is no other.
#[test]
fn replicas_prefer_other_hosts() {
    let config = config(&[("a", "h1"), ("b", "h1"), ("c", "h2"), ("d", "")]);
    let serving: BTreeSet<Name> = ["a", "b", "c", "d"].map(Name::from).into();
    let order = config.replica_order(&serving);
    assert_eq!((order.len(), order[2].as_str()), (3, "b"), "{order:?}");
}

/// The member's lease, by a clock as slow as may be, is over before the leader's, by one as fast as may be.
#[test]
fn a_lease_expires_at_the_member_first() {
    let config = config(&[("a", "")]);
    let (slow, fast) = (1.0 - config.drift, 1.0 + config.drift);
    assert!(config.member_lease() as f64 / slow <= config.lease as f64 / fast);
    assert!(config.member_lease() > config.lease * 9 / 10);
}
