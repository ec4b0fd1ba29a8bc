//! The owners of settlements in the agreed state when a courier is lost or returns.

use quillmount_fleet::settlement::{self, SettlementEvent as Moved, SettlementId};
use quillmount_fleet::state::{
    FleetCommand, FleetEvent, FleetState, JournalId, PartitionId, PartitionState, partition_of,
};
use std::collections::BTreeSet;

fn id(dest: u64) -> SettlementId {
    SettlementId { tenant: "north".into(), name: format!("evening-{dest}"), dest }
}

/// Three couriers, each with a replica at the next, and a settlement of each destination that `x` owns.
fn fleet() -> (FleetState, [u64; 3]) {
    let mut state = FleetState::default();
    let epochs = ["x", "y", "z"].map(|name| {
        let command = FleetCommand::Join {
            name: name.into(),
            node_id: u64::from(name.as_bytes()[0]),
            incarnation: 1,
            journal: None,
        };
        state.apply(command);
        state.epoch_of(name).unwrap()
    });
    for (n, (name, replica)) in [("x", "y"), ("y", "z"), ("z", "x")].into_iter().enumerate() {
        let journal = JournalId { owner: name.into(), epoch: epochs[n] };
        let replicas = BTreeSet::from([replica.to_string()]);
        state.apply(FleetCommand::SetReplicas { journal, version: 0, replicas });
    }
    for dest in 0..40 {
        let open =
            settlement::SettlementCommand::Open { id: id(dest), owner: "x".into(), owner_epoch: epochs[0] };
        assert!(!state.apply(FleetCommand::Settlement(open)).is_empty());
    }
    (state, epochs)
}

/// A settlement goes to the courier that adopts its destination's partition of the lost journal, as its records come
/// with that partition. When that courier is lost too, it goes to the next.
#[test]
fn a_settlement_follows_the_partition_of_its_destination() {
    let (mut state, [x, y, _]) = fleet();
    let check = |state: &FleetState, journal: &JournalId| {
        for dest in 0..40 {
            let owner = state.settlements.owner(&id(dest)).unwrap();
            let partition =
                state.partition(&PartitionId { journal: journal.clone(), partition: partition_of(dest) });
            assert_eq!(
                partition,
                Some(&PartitionState::Assigned(owner.courier.clone(), owner.epoch)),
                "{dest}"
            );
        }
    };
    let lost = JournalId { owner: "x".into(), epoch: x };
    let events = state.apply(FleetCommand::Deregister { name: "x".into(), epoch: x });
    let moved = events.iter().filter(|e| matches!(e, FleetEvent::Settlement(Moved::Moved { .. })));
    assert_eq!(moved.count(), 40);
    check(&state, &lost);
    state.apply(FleetCommand::Deregister { name: "y".into(), epoch: y });
    check(&state, &lost);
    let late = settlement::SettlementCommand::Open { id: id(99), owner: "x".into(), owner_epoch: x };
    assert_eq!(state.apply(FleetCommand::Settlement(late)), [], "it is gone");
}

/// A courier that returns with a journal that nobody has read owns its settlements again; what was taken over stays with
/// its new owner.
#[test]
fn a_courier_that_returns_with_its_journal_owns_its_settlements_again() {
    for taken in [false, true] {
        let (mut state, [x, ..]) = fleet();
        state.apply(FleetCommand::Deregister { name: "x".into(), epoch: x });
        if taken {
            let owner = state.settlements.owner(&id(0)).unwrap().clone();
            let source = PartitionId {
                journal: JournalId { owner: "x".into(), epoch: x },
                partition: partition_of(0),
            };
            state.apply(FleetCommand::Adopted { source, by: owner.courier, epoch: owner.epoch });
        }
        let node_id = u64::from(b'x');
        state.apply(FleetCommand::Join { name: "x".into(), node_id, incarnation: 2, journal: Some(x) });
        let back = state.epoch_of("x").unwrap();
        for dest in 0..40 {
            let owner = state.settlements.owner(&id(dest)).unwrap();
            assert_eq!(owner.is_registered_as("x", back), !taken, "{dest}, taken: {taken}");
            assert_eq!(owner.earlier_journals.len(), 1, "{:?}", owner.earlier_journals);
        }
    }
}
