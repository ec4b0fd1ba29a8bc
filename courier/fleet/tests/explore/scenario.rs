//! The scenarios: a fleet of three couriers with one or two messages.

use crate::faults::Fault;
use quillmount_fleet::config::{FleetConfig, MissingReplicas, Peer};
use quillmount_policy::Micros;

/// One millisecond in microseconds.
pub const MS: Micros = 1_000;

pub const LEASE: Micros = 400 * MS;

pub const COURIER_COUNT: usize = 3;

/// Time after the first message until which faults are injected.
pub const LAST_FAULT_AFTER: Micros = LEASE * 5 / 2;

/// Time after the first message at which all faults are healed.
pub const HEAL_AFTER: Micros = LEASE * 4;

/// Maximum duration of a path after the first message.
pub const MAX_PATH_DURATION: Micros = LEASE * 16;

#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub owner: usize,
    pub replicas: usize,
    /// Destination of each message, whether it is a debit, and its submit time after the start.
    pub messages: Vec<(u64, bool, Micros)>,
    /// Duration of a call at the endpoint.
    pub call_duration: Micros,
    /// Maximum number of faults on a path.
    pub faults: usize,
    /// Selects the faults that are injected.
    pub fault_filter: fn(&Fault) -> bool,
}

pub fn scenarios(faults: usize, fault_filter: fn(&Fault) -> bool) -> Vec<Scenario> {
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
            replicas: 1,
            messages: vec![(1, debit, 0)],
            call_duration,
            faults,
            fault_filter,
        });
    }
    let messages = vec![(1, true, 0), (2, true, 2 * MS)];
    scenarios.push(Scenario {
        name: "two debits",
        owner: 1,
        replicas: 1,
        messages,
        call_duration: 5 * MS,
        faults,
        fault_filter,
    });
    scenarios
}

pub fn any_fault(_: &Fault) -> bool {
    true
}

pub fn courier_name(i: usize) -> String {
    format!("c{i:03}")
}

pub fn index_of(name: &str) -> usize {
    name[1..].parse().unwrap()
}

pub fn config(local_name: usize, replica_count: usize) -> FleetConfig {
    FleetConfig {
        local_name: courier_name(local_name),
        peers: (0..COURIER_COUNT).map(|i| Peer { name: courier_name(i), host: String::new() }).collect(),
        voters: (0..COURIER_COUNT).map(courier_name).collect(),
        lease: LEASE,
        drift: 0.01,
        replicas: replica_count,
        missing_replicas: MissingReplicas::Require,
        budgets: Vec::new(),
        max_call: 2 * LEASE,
        max_idle: LEASE,
    }
}
