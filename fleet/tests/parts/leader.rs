//! The division by a new leader.

use quillmount_fleet::budget::leader::{ROUND, WINDOW};
use quillmount_fleet::budget::{Agreed, Command, Leader, Line, Message, Report, Terms};

const TERMS: Terms = Terms { call: 1_000_000, quiet: 500_000, lease: 1_000_000 };

fn report(courier: &str, turn: u64, asks: u32) -> Message {
    let line = Line { dest: 1, tenant: "t".into(), asks, open: 0, released: None };
    let (courier, lines) = (courier.to_string(), vec![line]);
    Message::Report(Report { courier, epoch: 1, turn, clear: true, left: false, lines })
}

#[test]
fn a_new_leader_takes_what_the_unheard_hold_for_what_they_ask() {
    let mut agreed = Agreed::default();
    agreed.apply(&Command::Budget { dest: 1, connections: 4, floor: 0, couriers: vec![] });
    for courier in ["a", "b"] {
        agreed.apply(&Command::Joined { courier: courier.into(), epoch: 1 });
        agreed.apply(&Command::Aged { courier: courier.into(), epoch: 1 });
    }
    let set = |courier: &str, to| {
        let (tenant, courier) = ("t".to_string(), courier.to_string());
        Command::Set { dest: 1, tenant, courier, epoch: 1, to }
    };
    agreed.apply(&set("a", 4));
    let mut leader = Leader::new(TERMS);
    leader.hears(&report("b", 2, 4), ROUND);
    assert_eq!(leader.tick(&agreed, ROUND), [set("a", 2)], "half of it, not all");
    // An older report of the other's is passed over.
    leader.hears(&report("b", 1, 0), 2 * ROUND);
    leader.hears(&report("a", 1, 4), 2 * ROUND);
    let later = 2 * ROUND + WINDOW;
    assert_eq!(leader.tick(&agreed, later), [set("a", 2)]);
    leader.hears(&report("b", 3, 0), later);
    assert_eq!(leader.tick(&agreed, later + ROUND + WINDOW), []);
}
