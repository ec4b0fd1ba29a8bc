//! The agreed state of settlements.

use quillmount_fleet::settlement::registry::MAX_OPEN_PER_TENANT;
use quillmount_fleet::settlement::{
    Cause, JournalRef, SettlementCommand, SettlementEvent, SettlementId, SettlementRegistry, Verdict,
};

fn id(name: &str) -> SettlementId {
    SettlementId { tenant: "north".into(), name: name.into(), dest: 7 }
}

fn open(name: &str, owner: &str, owner_epoch: u64) -> SettlementCommand {
    SettlementCommand::Open { id: id(name), owner: owner.into(), owner_epoch }
}

fn journal(courier: &str, epoch: u64) -> JournalRef {
    JournalRef { courier: courier.into(), epoch }
}

#[test]
fn the_first_open_sets_the_owner_and_late_commands_change_nothing() {
    let mut registry = SettlementRegistry::default();
    assert!(matches!(&registry.apply(&open("a", "x", 1))[..], [SettlementEvent::Opened { term: 1, .. }]));
    assert_eq!(registry.apply(&open("a", "y", 1)), [], "it has a home");
    let step =
        SettlementCommand::Move { id: id("a"), term: 1, to: "y".into(), to_epoch: 1, at_boundary: true };
    assert!(matches!(&registry.apply(&step)[..], [SettlementEvent::Moved { term: 2, .. }]));
    let before = registry.clone();
    let close = |term| SettlementCommand::Close {
        id: id("a"),
        term,
        verdict: Verdict::Broken { break_position: 2, cause: Cause::Idle },
        retain_until: 100,
    };
    for late in [step, close(1), SettlementCommand::CaughtUp { id: id("a"), term: 1 }, open("a", "x", 1)] {
        assert_eq!((registry.apply(&late), &registry), (vec![], &before), "{late:?}");
    }
    assert_eq!(registry.owner(&id("a")).unwrap().earlier_journals, [journal("x", 1)]);
    assert!(matches!(
        &registry.apply(&close(2))[..],
        [SettlementEvent::Closed { .. }, SettlementEvent::CaughtUp { .. }]
    ));
    assert_eq!(registry.apply(&open("a", "x", 1)), [], "its verdict is remembered");
    registry.apply(&SettlementCommand::Forget { retained_before: 100 });
    assert!(registry.verdict(&id("a")).is_some(), "until then, not to then");
    registry.apply(&SettlementCommand::Forget { retained_before: 101 });
    assert!(matches!(&registry.apply(&open("a", "x", 1))[..], [SettlementEvent::Opened { term: 3, .. }]));
    assert_eq!(registry.apply(&close(2)), [], "the verdict of an earlier one of the name");
}

#[test]
fn a_lost_couriers_settlements_are_spread_over_its_successors() {
    let mut registry = SettlementRegistry::default();
    for n in 0..300 {
        registry.apply(&open(&format!("s{n}"), "x", 4));
    }
    assert_eq!(registry.end_registration("x", 4, &[]), [], "nobody to take them yet");
    let successors = [journal("x", 4), journal("y", 2), journal("z", 9), journal("w", 1)];
    let moved = registry.end_registration("x", 4, &successors);
    assert_eq!(moved.len(), 300);
    for successor in &successors[1..] {
        let part = registry
            .owners()
            .filter(|(_, owner)| owner.is_registered_as(&successor.courier, successor.epoch))
            .count();
        assert!((60..=140).contains(&part), "{successor:?} has {part} of 300");
    }
    assert_eq!(registry.apply(&open("late", "x", 4)), [], "an opening that was under way");
    assert_eq!(registry.apply(&open("new", "x", 5)).len(), 1, "it is back under a new epoch");
    let (lost, term) = (id("s0"), registry.owner(&id("s0")).unwrap().term);
    let step =
        SettlementCommand::Move { id: lost.clone(), term, to: "x".into(), to_epoch: 4, at_boundary: true };
    assert_eq!(
        registry.apply(&step),
        [SettlementEvent::NotMoved { id: lost.clone(), term, to: journal("x", 4) }]
    );
    // y gives one away, and is given none until it stays.
    let give = |registry: &mut SettlementRegistry, from: &str, to: &str, epoch| {
        let (id, owner) = registry.owners().find(|(_, owner)| owner.courier == from).unwrap();
        let (id, term) = (id.clone(), owner.term);
        registry.apply(&SettlementCommand::Move {
            id,
            term,
            to: to.into(),
            to_epoch: epoch,
            at_boundary: true,
        })
    };
    assert!(matches!(&give(&mut registry, "y", "z", 9)[..], [SettlementEvent::Moved { .. }]));
    assert!(matches!(&give(&mut registry, "z", "y", 2)[..], [SettlementEvent::NotMoved { .. }]));
    registry.apply(&SettlementCommand::CancelDrain { courier: "y".into(), epoch: 2 });
    assert!(matches!(&give(&mut registry, "z", "y", 2)[..], [SettlementEvent::Moved { .. }]));
}

#[test]
fn a_tenant_is_limited_to_its_share_of_the_table() {
    let mut registry = SettlementRegistry::default();
    for n in 0..MAX_OPEN_PER_TENANT {
        assert_eq!(registry.apply(&open(&n.to_string(), "x", 1)).len(), 1);
    }
    assert!(matches!(&registry.apply(&open("more", "x", 1))[..], [SettlementEvent::NotOpened { .. }]));
    let other = SettlementId { tenant: "south".into(), ..id("more") };
    let opened = registry.apply(&SettlementCommand::Open { id: other, owner: "x".into(), owner_epoch: 1 });
    assert!(matches!(&opened[..], [SettlementEvent::Opened { .. }]));
}
