//! The allocation by a new leader.

use quillmount_fleet::budget::leader::{DEMAND_WINDOW, ROUND_INTERVAL};
use quillmount_fleet::budget::{
    BudgetCommand, BudgetLeader, BudgetMessage, BudgetState, Report, ReportLine, TimeBounds,
};

const BOUNDS: TimeBounds = TimeBounds { max_call: 1_000_000, max_idle: 500_000, lease: 1_000_000 };

fn report(courier: &str, sequence: u64, demand: u32) -> BudgetMessage {
    let line = ReportLine { dest: 1, tenant: "t".into(), demand, open: 0, released: None };
    let (courier, lines) = (courier.to_string(), vec![line]);
    BudgetMessage::Report(Report { courier, epoch: 1, sequence, clear: true, left: false, lines })
}

#[test]
fn a_new_leader_assumes_demand_equals_share_until_a_report() {
    let mut budget_state = BudgetState::default();
    budget_state.apply(&BudgetCommand::Budget { dest: 1, connections: 4, floor: 0, couriers: vec![] });
    for courier in ["a", "b"] {
        budget_state.apply(&BudgetCommand::Joined { courier: courier.into(), epoch: 1 });
        budget_state.apply(&BudgetCommand::Aged { courier: courier.into(), epoch: 1 });
    }
    let set = |courier: &str, to| {
        let (tenant, courier) = ("t".to_string(), courier.to_string());
        BudgetCommand::Set { dest: 1, tenant, courier, epoch: 1, to }
    };
    budget_state.apply(&set("a", 4));
    let mut leader = BudgetLeader::new(BOUNDS);
    leader.receive(&report("b", 2, 4), ROUND_INTERVAL);
    assert_eq!(leader.tick(&budget_state, ROUND_INTERVAL), [set("a", 2)], "half of it, not all");
    // An older report of the other courier is ignored.
    leader.receive(&report("b", 1, 0), 2 * ROUND_INTERVAL);
    leader.receive(&report("a", 1, 4), 2 * ROUND_INTERVAL);
    let later = 2 * ROUND_INTERVAL + DEMAND_WINDOW;
    assert_eq!(leader.tick(&budget_state, later), [set("a", 2)]);
    leader.receive(&report("b", 3, 0), later);
    assert_eq!(leader.tick(&budget_state, later + ROUND_INTERVAL + DEMAND_WINDOW), []);
}
