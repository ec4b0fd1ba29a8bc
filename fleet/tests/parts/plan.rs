//! What follows from a fleet's settings.

use quillmount_fleet::plan::{Missing, Name, Peer, Plan};
use std::collections::BTreeSet;

fn plan(hosts: &[(&str, &str)]) -> Plan {
    Plan {
        me: hosts[0].0.into(),
        peers: hosts.iter().map(|(name, host)| Peer { name: (*name).into(), host: (*host).into() }).collect(),
        voters: vec![],
        lease: 2_000_000,
        drift: 0.01,
        copies: 1,
        missing: Missing::Require,
        budgets: vec![],
        call: 16_000_000,
        quiet: 15_000_000,
    }
}

/// A copy beside its owner goes down with it: only where there is no other.
#[test]
fn copies_go_to_other_hosts_first() {
    let plan = plan(&[("a", "h1"), ("b", "h1"), ("c", "h2"), ("d", "")]);
    let serving: BTreeSet<Name> = ["a", "b", "c", "d"].map(Name::from).into();
    let order = plan.copy_order(&serving);
    assert_eq!((order.len(), order[2].as_str()), (3, "b"), "{order:?}");
}

/// The member's lease, by a clock as slow as may be, is over before the leader's, by one as fast as may be.
#[test]
fn a_lease_ends_at_its_holder_first() {
    let plan = plan(&[("a", "")]);
    let (slow, fast) = (1.0 - plan.drift, 1.0 + plan.drift);
    assert!(plan.own_lease() as f64 / slow <= plan.lease as f64 / fast);
    assert!(plan.own_lease() > plan.lease * 9 / 10);
}
