//! Validation of the configured budgets, and commands to their replicated state.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillmount_fleet::budget::{Budget, BudgetCommand, BudgetEvent, BudgetState, Tenant, check, state};

fn tenant(name: &str, weight: f64, floor: u32, ceiling: Option<u32>) -> Tenant {
    Tenant { name: name.into(), weight, floor, ceiling }
}

fn budget(dest: u64, connections: u32, courier_floor: u32, tenants: Vec<Tenant>) -> Budget {
    Budget { dest, connections, calls: None, span_ms: None, courier_floor, tenants }
}

#[test]
fn each_problem_is_reported_with_its_path() {
    let valid = budget(1, 10, 1, vec![tenant("a", 1.0, 3, Some(3)), tenant("b", 0.5, 4, None)]);
    assert_eq!(check(std::slice::from_ref(&valid), 3), []);
    let messages = |budgets: &[Budget], couriers| {
        check(budgets, couriers).iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    assert_eq!(
        messages(std::slice::from_ref(&valid), 4),
        [
            "$.fleet.budgets[0].tenants: the floors of destination 1 add up to 11, more than its 10 connections \
          (7 for tenants, and 1 for each of 4 couriers); lower the floors or raise connections"
        ]
    );
    let tenant_messages = |tenants| messages(&[budget(1, 10, 0, tenants)], 3);
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e7] {
        let messages = tenant_messages(vec![tenant("a", weight, 0, None)]);
        assert_eq!(messages.len(), 1, "{weight}");
        assert!(messages[0].starts_with("$.fleet.budgets[0].tenants[0].weight: "), "{}", messages[0]);
        assert!(
            messages[0].contains("tenant \"a\"") && messages[0].contains("set 0.000001"),
            "{}",
            messages[0]
        );
    }
    let paths_of = |messages: Vec<String>| {
        messages.into_iter().map(|message| message.split(": ").next().unwrap().to_string()).collect()
    };
    let paths: Vec<String> = paths_of(tenant_messages(vec![
        tenant("a", 1.0, 3, Some(2)),
        tenant("a", 1.0, 0, Some(0)),
        tenant("", 1.0, 0, None),
    ]));
    let list_path = "$.fleet.budgets[0].tenants";
    let expected =
        ["[0].ceiling", "[1].name", "[1].ceiling", "[2].name"].map(|field| format!("{list_path}{field}"));
    assert_eq!(paths, expected);
    let calls = Budget { calls: Some(5), ..budget(2, 0, 0, vec![]) };
    let paths: Vec<String> = paths_of(messages(&[valid.clone(), valid, calls], 3));
    assert_eq!(
        paths,
        ["$.fleet.budgets[1].dest", "$.fleet.budgets[2].connections", "$.fleet.budgets[2].span_ms"]
    );
}

fn fixed(cases: u32) -> Config {
    Config { cases, failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

fn command() -> impl Strategy<Value = BudgetCommand> {
    let courier = prop::sample::select(vec!["a".to_string(), "b".into(), "c".into()]);
    let tenant = prop::sample::select(vec!["t".to_string(), "u".into()]);
    let set = (tenant, courier.clone(), 1..4u64, 0..9u32, 0..12u64);
    prop_oneof![
        1 => (6..12u32, 0..3u32).prop_map(|(connections, floor)| {
            let couriers = vec!["a".into(), "b".into()];
            BudgetCommand::Budget { dest: 1, connections, floor, couriers }
        }),
        2 => (courier.clone(), 1..4u64).prop_map(|(courier, epoch)| BudgetCommand::Joined { courier, epoch }),
        1 => (courier.clone(), 1..4u64).prop_map(|(courier, epoch)| BudgetCommand::Lapsed { courier, epoch }),
        1 => (courier.clone(), 1..4u64).prop_map(|(courier, epoch)| BudgetCommand::Expired { courier, epoch }),
        1 => (courier, 1..4u64).prop_map(|(courier, epoch)| BudgetCommand::Aged { courier, epoch }),
        8 => set.clone().prop_map(|(tenant, courier, epoch, to, _)| {
            BudgetCommand::Set { dest: 1, tenant, courier, epoch, to }
        }),
        4 => set.prop_map(|(tenant, courier, epoch, to, number)| {
            BudgetCommand::Released { dest: 1, tenant, courier, epoch, number, to }
        }),
    ]
}

proptest! {
    #![proptest_config(fixed(2000))]

    /// For any sequence of commands, the sum of connections grows only within the budget. A courier's share shrinks
    /// only after its own confirmation, or when the share has expired.
    #[test]
    fn no_command_grants_what_the_budget_lacks(commands in prop::collection::vec(command(), 1..60)) {
        let mut budget_state = BudgetState::default();
        for command in &commands {
            let before = budget_state.committed(1);
            let old_state = budget_state.clone();
            let events = budget_state.apply(command);
            let (after, budget) = (budget_state.committed(1), budget_state.partner(1).map_or(0, |p| p.connections));
            prop_assert!(after <= before.max(u64::from(budget)), "{before} to {after} by {command:?}");
            if events.iter().any(|e| matches!(e, BudgetEvent::Rejected { .. })) {
                prop_assert_eq!(before, after);
            }
            for (_, partner) in old_state.partners() {
                for courier in ["a", "b", "c"] {
                    let Some(epoch) = old_state.member(courier).map(|m| m.epoch) else { continue };
                    for (tenant, old_share) in partner.shares(courier, epoch) {
                        let new_share = budget_state.partner(1).map(|p| p.share(courier, epoch, tenant));
                        let new_share = new_share.unwrap_or_default();
                        let ended = matches!(command, BudgetCommand::Expired { .. } | BudgetCommand::Aged { .. });
                        let is_confirmed = matches!(command, BudgetCommand::Released { number, to, .. }
                            if *number == old_share.number && old_share.recalled.is_some() && new_share.granted >= *to);
                        let is_valid = new_share.granted >= old_share.granted || ended || is_confirmed;
                        prop_assert!(is_valid, "{old_share:?} {new_share:?} by {command:?}");
                    }
                }
            }
        }
    }
}

#[test]
fn a_confirmation_counts_for_its_own_recall_only() {
    let mut budget_state = BudgetState::default();
    let set = |to| BudgetCommand::Set { dest: 1, tenant: "t".into(), courier: "a".into(), epoch: 1, to };
    let released = |number, to| BudgetCommand::Released {
        dest: 1,
        tenant: "t".into(),
        courier: "a".into(),
        epoch: 1,
        number,
        to,
    };
    budget_state.apply(&BudgetCommand::Budget { dest: 1, connections: 5, floor: 0, couriers: vec![] });
    budget_state.apply(&BudgetCommand::Joined { courier: "a".into(), epoch: 1 });
    assert_eq!(budget_state.apply(&set(5)).len(), 1);
    let [BudgetEvent::Recalled { number, .. }] = budget_state.apply(&set(2))[..] else {
        panic!("the lower target causes no recall")
    };
    assert_eq!(budget_state.committed(1), 5, "an unconfirmed recall frees nothing");
    budget_state.apply(&released(number, 4));
    assert_eq!(budget_state.committed(1), 4, "a recall may be confirmed in steps");
    budget_state.apply(&released(number, 2));
    budget_state.apply(&set(5));
    budget_state.apply(&set(2));
    let events = budget_state.apply(&released(number, 2));
    assert_eq!(events, [BudgetEvent::Rejected { reason: state::BudgetRejection::Number }]);
    assert_eq!(budget_state.committed(1), 5);
}

#[test]
fn an_earlier_epoch_counts_until_it_expires() {
    let mut budget_state = BudgetState::default();
    let joined = |epoch| BudgetCommand::Joined { courier: "a".into(), epoch };
    let set = |epoch, to| BudgetCommand::Set { dest: 1, tenant: "t".into(), courier: "a".into(), epoch, to };
    budget_state.apply(&BudgetCommand::Budget {
        dest: 1,
        connections: 9,
        floor: 2,
        couriers: vec!["a".into()],
    });
    budget_state.apply(&joined(1));
    budget_state.apply(&set(1, 4));
    assert_eq!(budget_state.committed(1), 6, "a floor that an earlier process may use counts in addition");
    budget_state.apply(&BudgetCommand::Aged { courier: "a".into(), epoch: 1 });
    assert_eq!(budget_state.committed(1), 4, "the grants use the floor first");
    budget_state.apply(&joined(2));
    budget_state.apply(&set(2, 9));
    assert_eq!(budget_state.committed(1), 9);
    assert_eq!(budget_state.partner(1).unwrap().share("a", 2, "t").granted, 5);
    budget_state.apply(&BudgetCommand::Lapsed { courier: "a".into(), epoch: 2 });
    assert_eq!(
        budget_state.apply(&set(2, 6)),
        [BudgetEvent::Rejected { reason: state::BudgetRejection::Epoch }]
    );
    assert_eq!(budget_state.committed(1), 9, "connections of a lapsed courier may still be open");
    budget_state.apply(&BudgetCommand::Expired { courier: "a".into(), epoch: 2 });
    assert_eq!(budget_state.committed(1), 2, "the floor remains reserved");
}
