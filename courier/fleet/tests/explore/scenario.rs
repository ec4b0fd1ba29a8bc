//! The scenarios: a fleet of three couriers with one or two messages.

use crate::faults::Fault;
use quillmount_fleet::config::{FleetConfig, MissingReplicas, Peer};
use quillmount_policy::Micros;

pub const MS: Micros = 1_000;

pub const LEASE: Micros = 400 * MS;

pub const N: usize = 3;

/// The last fault is injected so long after the first message. All are healed some leases later.
pub const LAST_FAULT: Micros = LEASE * 5 / 2;

pub const HEAL: Micros = LEASE * 4;

pub const END: Micros = LEASE * 16;

#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub owner: usize,
    pub copies: usize,
    /// Destination, whether it is a debit, and when it is submitted.
    pub messages: Vec<(u64, bool, Micros)>,
    /// How long a call takes at the endpoint.
    pub call_duration: Micros,
    /// Maximum number of faults on a path.
    pub faults: usize,
    /// Which faults are injected.
    pub only: fn(&Fault) -> bool,
}

pub fn scenarios(faults: usize, only: fn(&Fault) -> bool) -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for (name, owner, debit, call_duration) in [
        ("debit fresh", 1, true, 5 * MS),
        ("debit out", 1, true, LEASE),
        ("keyed out", 1, false, LEASE),
        ("leader's debit", 0, true, 5 * MS),
    ] {
        scenarios.push(Scenario {
            name,
            owner,
            copies: 1,
            messages: vec![(1, debit, 0)],
            call_duration,
            faults,
            only,
        });
    }
    let messages = vec![(1, true, 0), (2, true, 2 * MS)];
    scenarios.push(Scenario {
        name: "two debits",
        owner: 1,
        copies: 1,
        messages,
        call_duration: 5 * MS,
        faults,
        only,
    });
    scenarios
}

pub fn any_fault(_: &Fault) -> bool {
    true
}

pub fn name(i: usize) -> String {
    format!("c{i:03}")
}

pub fn index_of(name: &str) -> usize {
    name[1..].parse().unwrap()
}

pub fn config(local_name: usize, copies: usize) -> FleetConfig {
    FleetConfig {
        local_name: name(local_name),
        peers: (0..N).map(|i| Peer { name: name(i), host: String::new() }).collect(),
        voters: (0..N).map(name).collect(),
        lease: LEASE,
        drift: 0.01,
        replicas: copies,
        missing_replicas: MissingReplicas::Require,
        budgets: Vec::new(),
        max_call: 2 * LEASE,
        max_idle: LEASE,
    }
}
