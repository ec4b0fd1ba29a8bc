//! Budgets of calls in a span of time.

use quillmount_fleet::budget::calls::call_budget;
use quillmount_fleet::budget::{
    Budget, BudgetCommand, BudgetGate, BudgetState, ConnectionOrder, PermitKind, RefusalReason, Tenant,
    TimeBounds,
};
use quillmount_policy::Micros;

const BOUNDS: TimeBounds = TimeBounds { max_call: 2_000_000, max_idle: 500_000, lease: 1_000_000 };
const SPAN: Micros = 1_020_001;

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn no_span_begins_more_calls_than_its_share() {
    let tenants = vec![Tenant { name: "a".into(), weight: 2.0, floor: 2, ceiling: Some(3) }];
    let budget =
        Budget { dest: 1, connections: 8, calls: Some(40), span_ms: Some(1000), courier_floor: 1, tenants };
    let calls_of = call_budget(&budget).unwrap();
    assert_eq!((calls_of.connections, calls_of.courier_floor), (40, 5));
    assert_eq!((calls_of.tenants[0].floor, calls_of.tenants[0].ceiling), (0, None));
    let mut gate = BudgetGate::new("me", BOUNDS, std::slice::from_ref(&budget), 0);
    let mut budget_state = [BudgetState::default(), BudgetState::default()];
    for (budget_state, of, to) in
        budget_state.iter_mut().zip([&budget, &calls_of]).zip([3, 10]).map(|((a, b), t)| (a, b, t))
    {
        let (connections, floor, courier) = (of.connections, of.courier_floor, "me".to_string());
        budget_state.apply(&BudgetCommand::Budget {
            dest: 1,
            connections,
            floor,
            couriers: vec![courier.clone()],
        });
        budget_state.apply(&BudgetCommand::Joined { courier: courier.clone(), epoch: 1 });
        budget_state.apply(&BudgetCommand::Aged { courier: courier.clone(), epoch: 1 });
        budget_state.apply(&BudgetCommand::Set { dest: 1, tenant: "a".into(), courier, epoch: 1, to });
    }
    gate.joined(1);
    gate.apply_state(&budget_state[0], &budget_state[1], 0);
    gate.extend_lease(10_000_000);
    let mut begun: Vec<Micros> = Vec::new();
    let mut told = None;
    for now in (0..5_000_000).step_by(10_000) {
        match gate.acquire(1, "a", now) {
            Ok(permit) => {
                assert!(told.take().is_none_or(|at| now >= at && now < at + 10_000), "what was told is true");
                assert!(
                    permit.kind == PermitKind::Reuse || gate.connections.confirm_open(1, permit.conn, now)
                );
                gate.connections.released(&permit, now);
                begun.push(now);
            }
            Err(refusal) => {
                assert!(BudgetGate::is_rate_limited(&refusal));
                told = Some(told.unwrap_or(now + refusal.retry_after));
            }
        }
    }
    let most = begun.iter().map(|at| begun.iter().filter(|b| (*at..at + SPAN).contains(*b)).count()).max();
    assert_eq!((most, begun.len()), (Some(10), 50));
    // What a tenant sends in a span is what it asks for; it isn't called back for being idle just now.
    let report = gate.reports(5_000_000).calls.unwrap();
    assert_eq!((report.lines[0].demand, report.lines[0].open), (11, 10), "and the one that was refused");
    // No connection: the call isn't counted.
    let permits: Vec<_> = (0..3).map(|_| gate.connections.acquire(1, "a", 7_000_000).unwrap()).collect();
    assert_eq!(permits.len(), 3);
    assert_eq!(gate.acquire(1, "a", 7_000_000).unwrap_err().reason, RefusalReason::AllInUse);
    assert_eq!(gate.calls.open(1), 0);
    // A courier that is cut off has its floor's part.
    permits.iter().for_each(|p| drop(gate.connections.released(p, 7_000_000)));
    for ConnectionOrder::Close { conn, .. } in gate.tick(20_000_000) {
        gate.connections.closed(1, conn, 20_000_000);
    }
    let begins = (0..20).filter(|n| {
        let now = 20_000_000 + n;
        gate.acquire(1, "a", now).is_ok_and(|p| {
            gate.connections.released(&p, now);
            true
        })
    });
    assert_eq!(begins.count(), 5);
}
