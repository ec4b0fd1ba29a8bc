//! What is agreed on of settlements.

use quillmount_fleet::settlement::agreed::OPEN_TENANT_MAX;
use quillmount_fleet::settlement::{Agreed, Book, Cause, Command, Event, SettlementId, Verdict};

fn id(name: &str) -> SettlementId {
    SettlementId { tenant: "north".into(), name: name.into(), dest: 7 }
}

fn open(name: &str, home: &str, home_epoch: u64) -> Command {
    Command::Open { id: id(name), home: home.into(), home_epoch }
}

fn book(courier: &str, epoch: u64) -> Book {
    Book { courier: courier.into(), epoch }
}

#[test]
fn the_first_opening_makes_the_home_and_a_late_command_changes_nothing() {
    let mut agreed = Agreed::default();
    assert!(matches!(&agreed.apply(&open("a", "x", 1))[..], [Event::Opened { term: 1, .. }]));
    assert_eq!(agreed.apply(&open("a", "y", 1)), [], "it has a home");
    let step = Command::Move { id: id("a"), term: 1, to: "y".into(), to_epoch: 1, boundary: true };
    assert!(matches!(&agreed.apply(&step)[..], [Event::Moved { term: 2, .. }]));
    let before = agreed.clone();
    let close = |term| Command::Close {
        id: id("a"),
        term,
        verdict: Verdict::Broken { at: 2, cause: Cause::Idle },
        until: 100,
    };
    for late in [step, close(1), Command::Up { id: id("a"), term: 1 }, open("a", "x", 1)] {
        assert_eq!((agreed.apply(&late), &agreed), (vec![], &before), "{late:?}");
    }
    assert_eq!(agreed.home(&id("a")).unwrap().books, [book("x", 1)]);
    assert!(matches!(&agreed.apply(&close(2))[..], [Event::Closed { .. }, Event::Up { .. }]));
    assert_eq!(agreed.apply(&open("a", "x", 1)), [], "its verdict is remembered");
    agreed.apply(&Command::Forget { before: 100 });
    assert!(agreed.verdict(&id("a")).is_some(), "until then, not to then");
    agreed.apply(&Command::Forget { before: 101 });
    assert!(matches!(&agreed.apply(&open("a", "x", 1))[..], [Event::Opened { term: 3, .. }]));
    assert_eq!(agreed.apply(&close(2)), [], "the verdict of an earlier one of the name");
}

#[test]
fn a_lost_courier_s_settlements_are_spread_and_it_is_home_to_nothing_again() {
    let mut agreed = Agreed::default();
    for n in 0..300 {
        agreed.apply(&open(&format!("s{n}"), "x", 4));
    }
    assert_eq!(agreed.gone("x", 4, &[]), [], "nobody to take them yet");
    let takers = [book("x", 4), book("y", 2), book("z", 9), book("w", 1)];
    let moved = agreed.gone("x", 4, &takers);
    assert_eq!(moved.len(), 300);
    for taker in &takers[1..] {
        let part = agreed.homes().filter(|(_, home)| home.is(&taker.courier, taker.epoch)).count();
        assert!((60..=140).contains(&part), "{taker:?} has {part} of 300");
    }
    assert_eq!(agreed.apply(&open("late", "x", 4)), [], "an opening that was under way");
    assert_eq!(agreed.apply(&open("new", "x", 5)).len(), 1, "it is back under a new epoch");
    let (lost, term) = (id("s0"), agreed.home(&id("s0")).unwrap().term);
    let step = Command::Move { id: lost.clone(), term, to: "x".into(), to_epoch: 4, boundary: true };
    assert_eq!(agreed.apply(&step), [Event::NotMoved { id: lost.clone(), term, to: book("x", 4) }]);
    // y gives one away, and is given none until it stays.
    let give = |agreed: &mut Agreed, from: &str, to: &str, epoch| {
        let (id, home) = agreed.homes().find(|(_, home)| home.courier == from).unwrap();
        let (id, term) = (id.clone(), home.term);
        agreed.apply(&Command::Move { id, term, to: to.into(), to_epoch: epoch, boundary: true })
    };
    assert!(matches!(&give(&mut agreed, "y", "z", 9)[..], [Event::Moved { .. }]));
    assert!(matches!(&give(&mut agreed, "z", "y", 2)[..], [Event::NotMoved { .. }]));
    agreed.apply(&Command::Stay { courier: "y".into(), epoch: 2 });
    assert!(matches!(&give(&mut agreed, "z", "y", 2)[..], [Event::Moved { .. }]));
}

#[test]
fn a_tenant_has_its_part_of_the_table() {
    let mut agreed = Agreed::default();
    for n in 0..OPEN_TENANT_MAX {
        assert_eq!(agreed.apply(&open(&n.to_string(), "x", 1)).len(), 1);
    }
    assert!(matches!(&agreed.apply(&open("more", "x", 1))[..], [Event::NotOpened { .. }]));
    let other = SettlementId { tenant: "south".into(), ..id("more") };
    let opened = agreed.apply(&Command::Open { id: other, home: "x".into(), home_epoch: 1 });
    assert!(matches!(&opened[..], [Event::Opened { .. }]));
}
