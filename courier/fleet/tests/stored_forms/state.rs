//! Encoding of the agreed state and of a courier's budget gate.

use crate::values::{FIXTURES, NOW, commands, id, journal_id, verdicts};
use quillmount_fleet::budget::{self, Budget, BudgetGate, Tenant, TimeBounds};
use quillmount_fleet::settlement::{self, SettlementId};
use quillmount_fleet::shares::BudgetKind;
use quillmount_fleet::state::{FleetCommand, FleetState, PARTITIONS, PartitionId, PartitionState};
use std::collections::BTreeSet;

/// A state that contains values of each kind.
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn fleet_state() -> FleetState {
    let mut agreed = FleetState::default();
    let join = |name: &str, incarnation, journal| FleetCommand::Join {
        name: name.into(),
        node_id: 7 + incarnation,
        incarnation,
        journal,
    };
    for (name, incarnation) in [("a", 300), ("b", 301), ("c", 302)] {
        agreed.apply(join(name, incarnation, None));
    }
    let set_replica = |owner: &str, epoch, replica: &str| FleetCommand::SetReplicas {
        journal: journal_id(owner, epoch),
        version: 0,
        replicas: BTreeSet::from([replica.to_string()]),
    };
    agreed.apply(set_replica("a", 1, "b"));
    agreed.apply(set_replica("b", 2, "c"));
    for kind in [BudgetKind::Connections, BudgetKind::Calls] {
        let set = |tenant: &str, courier: &str, epoch, to| budget::BudgetCommand::Set {
            dest: 700,
            tenant: tenant.into(),
            courier: courier.into(),
            epoch,
            to,
        };
        let couriers = vec!["a".into(), "b".into(), "c".into()];
        for command in [
            budget::BudgetCommand::Budget {
                dest: 700,
                connections: 18,
                floor: 2,
                couriers: couriers.clone(),
            },
            budget::BudgetCommand::Aged { courier: "a".into(), epoch: 1 },
            set("north", "a", 1, 5),
            set("north", "b", 2, 4),
            set("south", "b", 2, 3),
            // The recall of this share is not confirmed.
            set("north", "b", 2, 1),
            // The floor is raised, but the budget has no free connections for it.
            budget::BudgetCommand::Budget { dest: 700, connections: 18, floor: 6, couriers },
        ] {
            agreed.apply(FleetCommand::Budget(kind, command));
        }
    }
    let name = |n: u64| SettlementId { name: format!("s{n}"), dest: n, ..id() };
    for n in 0..20 {
        let owner = (["a", "b"][n as usize % 2], 1 + n % 2);
        let open =
            settlement::SettlementCommand::Open { id: name(n), owner: owner.0.into(), owner_epoch: owner.1 };
        agreed.apply(FleetCommand::Settlement(open));
    }
    for (n, verdict) in (0..).zip(verdicts()) {
        let term = agreed.settlements.owner(&name(n)).unwrap().term;
        let close =
            settlement::SettlementCommand::Close { id: name(n), term, verdict, retain_until: NOW + n };
        agreed.apply(FleetCommand::Settlement(close));
    }
    let moved = name(10);
    let term = agreed.settlements.owner(&moved).unwrap().term;
    let to = settlement::SettlementCommand::Move {
        id: moved,
        term,
        to: "c".into(),
        to_epoch: 3,
        at_boundary: true,
    };
    agreed.apply(FleetCommand::Settlement(to));
    // The journal of the deregistered courier is sealed, and its partitions are in each state of the takeover.
    agreed.apply(FleetCommand::Deregister { name: "b".into(), epoch: 2 });
    let assigned: Vec<(PartitionId, String, u64)> = ["a", "c"]
        .into_iter()
        .zip([1, 3])
        .flat_map(|(name, epoch)| {
            agreed
                .assigned_to(name, epoch)
                .map(move |source| (source, name.to_string(), epoch))
                .collect::<Vec<_>>()
        })
        .collect();
    for (n, (source, by, epoch)) in assigned.into_iter().enumerate().filter(|(n, _)| n % 3 > 0) {
        agreed.apply(FleetCommand::Adopted { source: source.clone(), by: by.clone(), epoch });
        if n % 3 == 2 {
            agreed.apply(FleetCommand::Done { source, by, epoch });
        }
    }
    // The courier is registered again, while other couriers take over its old journal.
    agreed.apply(join("b", 400, Some(2)));
    agreed
}

#[test]
fn agreed_state_keeps_its_encoding() {
    let state = fleet_state();
    let stored = FIXTURES.check("agreed_state.bin", &postcard::to_stdvec(&state).unwrap());
    let read: FleetState = postcard::from_bytes(&stored).unwrap();
    assert_eq!(read, state);
    assert_eq!(read.epoch, 4);
    let member = |name: &str| {
        let m = &read.members[name];
        (m.node_id, m.incarnation, m.epoch, m.serving)
    };
    assert_eq!(member("a"), (307, 300, 1, true));
    assert_eq!(member("b"), (407, 400, 4, true));
    assert_eq!(member("c"), (309, 302, 3, true));
    let sealed = &read.journals[&journal_id("b", 2)];
    let partitions = sealed.sealed.as_ref().unwrap();
    assert_eq!((sealed.lineage, partitions.len()), (2, PARTITIONS));
    let done = partitions.iter().filter(|partition| **partition == PartitionState::Done).count();
    let adopted =
        partitions.iter().filter(|partition| matches!(partition, PartitionState::Adopted(..))).count();
    let assigned =
        partitions.iter().filter(|partition| matches!(partition, PartitionState::Assigned(..))).count();
    assert_eq!((assigned, adopted, done), (6, 5, 5));
    let own = &read.journals[&journal_id("a", 1)];
    assert_eq!((own.lineage, own.sealed.is_none()), (1, true));
    for shared in [&read.shared.connections, &read.shared.calls] {
        let partner = shared.partner(700).unwrap();
        assert_eq!(partner.connections, 18);
        let shares = |courier: &str, epoch| {
            let shares = partner.shares(courier, epoch);
            shares
                .map(|(t, share)| (t.to_string(), share.granted, share.recalled, share.number))
                .collect::<Vec<_>>()
        };
        assert_eq!(shares("a", 1), [("north".into(), 5, None, 1)]);
        assert_eq!(shares("b", 2), [("north".into(), 4, Some(1), 4), ("south".into(), 3, None, 3)]);
        let floors = ["a", "b", "c"].map(|c| (partner.floor(c), partner.target_floor(c)));
        assert_eq!(
            floors,
            [(6, 6), (6, 6), (2, 6)],
            "the raised floor of one courier has no free connections yet"
        );
    }
    let name = |n: u64| SettlementId { name: format!("s{n}"), dest: n, ..id() };
    let owner = read.settlements.owner(&name(10)).unwrap();
    assert_eq!((owner.courier.as_str(), owner.epoch), ("c", 3));
    assert_eq!(read.settlements.owner(&name(0)), None, "the settlement is closed");
    // The decoded state of an earlier version behaves like the current one.
    let (mut one, mut other) = (read, state);
    for command in commands() {
        assert_eq!(one.apply(command.clone()), other.apply(command));
    }
    assert_eq!(one, other);
}

/// A courier's gate for partners' budgets, with connections in each state.
#[test]
fn budget_gate_keeps_its_encoding() {
    let terms = TimeBounds { max_call: 2_000_000, max_idle: 1_000_000, lease: 2_000_000 };
    let tenant = |name: &str| Tenant { name: name.into(), weight: 2.5, floor: 1, ceiling: Some(9) };
    let budget = Budget {
        dest: 700,
        connections: 20,
        calls: Some(300),
        span_ms: Some(1_000),
        courier_floor: 2,
        tenants: vec![tenant("north")],
    };
    let mut gate = BudgetGate::new("a", terms, &[budget], NOW);
    let state = fleet_state();
    gate.joined(1);
    gate.extend_lease(NOW + 60_000_000);
    gate.apply_state(&state.shared.connections, &state.shared.calls, NOW + 1);
    gate.set_waiting(700, "north", 9, NOW + 2);
    let mut permits = Vec::new();
    for n in 0..8 {
        let now = NOW + 10 + n;
        if let Ok(permit) = gate.acquire(700, "north", now) {
            gate.connections.confirm_open(700, permit.conn, now);
            permits.push(permit);
        }
    }
    assert_eq!(permits.len(), 5);
    gate.connections.released(&permits[0], NOW + 30);
    gate.connections.closing(700, permits[1].conn, NOW + 31);
    gate.reports(NOW + 300_000);
    let stored = FIXTURES.check("budget_gate.bin", &postcard::to_stdvec(&gate).unwrap());
    let mut read: BudgetGate = postcard::from_bytes(&stored).unwrap();
    assert_eq!(read, gate);
    assert_eq!((read.connections.open(700), read.connections.open_for(700, "north")), (5, 5));
    for now in [NOW + 400_000, NOW + 900_000, NOW + 9_000_000] {
        assert_eq!(read.tick(now), gate.tick(now));
        assert_eq!(read.reports(now), gate.reports(now));
        assert_eq!(read.acquire(700, "north", now), gate.acquire(700, "north", now));
    }
    assert_eq!(read, gate);
}
