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

/// A replica on its owner's host fails together with it: such a courier comes last.
#[test]
fn replicas_prefer_other_hosts() {
    let config = config(&[("a", "h1"), ("b", "h1"), ("c", "h2"), ("d", "")]);
    let serving: BTreeSet<Name> = ["a", "b", "c", "d"].map(Name::from).into();
    let order = config.replica_order(&serving);
    assert_eq!((order.len(), order[2].as_str()), (3, "b"), "{order:?}");
}

/// The member's lease, by the slowest clock, expires before the leader's, by the fastest one.
#[test]
fn a_lease_expires_at_the_member_first() {
    let config = config(&[("a", "")]);
    let (slow, fast) = (1.0 - config.drift, 1.0 + config.drift);
    assert!(config.member_lease() as f64 / slow <= config.lease as f64 / fast);
    assert!(config.member_lease() > config.lease * 9 / 10);
}
