//! Tests of a courier's own side of the budgets: admission of calls, recalls and reports.

use quillmount_fleet::budget::local::{INITIAL_GRANT_TIME, PERMIT_TTL, REPORT_INTERVAL};
use quillmount_fleet::budget::{
    Budget, BudgetCommand, BudgetState, ConnectionOrder, LocalBudget, Permit, PermitKind, RefusalReason,
    TimeBounds,
};
use quillmount_policy::Micros;

const MS: Micros = 1_000;
const BOUNDS: TimeBounds = TimeBounds { max_call: 2_000 * MS, max_idle: 500 * MS, lease: 1_000 * MS };

/// Returns a courier with a floor of 1 and these grants, at a time when it may use the floor.
fn local_budget(grants: &[(&str, u32)]) -> (LocalBudget, BudgetState, Micros) {
    let mut budget_state = BudgetState::default();
    budget_state.apply(&BudgetCommand::Budget {
        dest: 1,
        connections: 20,
        floor: 1,
        couriers: vec!["me".into()],
    });
    budget_state.apply(&BudgetCommand::Joined { courier: "me".into(), epoch: 1 });
    budget_state.apply(&BudgetCommand::Aged { courier: "me".into(), epoch: 1 });
    let mut local_budget = LocalBudget::new("me", BOUNDS, 0);
    let budget =
        Budget { dest: 1, connections: 20, calls: None, span_ms: None, courier_floor: 1, tenants: vec![] };
    local_budget.set_budget(&budget);
    local_budget.joined(1);
    let now = BOUNDS.drain_time();
    local_budget.extend_lease(now + BOUNDS.lease);
    grants.iter().for_each(|(tenant, to)| set(&mut budget_state, tenant, *to));
    local_budget.apply_state(&budget_state, now);
    (local_budget, budget_state, now)
}

fn set(budget_state: &mut BudgetState, tenant: &str, to: u32) {
    let (tenant, courier) = (tenant.to_string(), "me".to_string());
    budget_state.apply(&BudgetCommand::Set { dest: 1, tenant, courier, epoch: 1, to });
}

fn begin(local_budget: &mut LocalBudget, tenant: &str, now: Micros) -> Permit {
    let permit = local_budget.acquire(1, tenant, now).unwrap();
    assert!(permit.kind == PermitKind::Reuse || local_budget.confirm_open(1, permit.conn, now));
    permit
}

fn released(local_budget: &mut LocalBudget, tenant: &str, now: Micros) -> Option<u32> {
    let report = local_budget.report(now).unwrap();
    report.lines.into_iter().find(|l| l.tenant == tenant)?.released.map(|recall| recall.connections)
}

#[test]
fn a_recall_closes_idle_connections_first_and_interrupts_no_call() {
    let (mut local_budget, mut budget_state, now) = local_budget(&[("a", 4)]);
    let permits: Vec<Permit> = (0..4).map(|_| begin(&mut local_budget, "a", now)).collect();
    assert!(local_budget.acquire(1, "a", now).is_err());
    assert_eq!(local_budget.released(&permits[0], now), []);
    set(&mut budget_state, "a", 2);
    let closed = local_budget.apply_state(&budget_state, now + 1);
    assert_eq!(
        closed,
        [ConnectionOrder::Close { dest: 1, conn: permits[0].conn }],
        "only the idle connection is closed"
    );
    assert_eq!(released(&mut local_budget, "a", now + 1), Some(4), "a closing connection still counts");
    local_budget.closed(1, permits[0].conn, now + 2);
    assert_eq!(released(&mut local_budget, "a", now + 40 * MS), Some(3));
    assert!(
        local_budget.acquire(1, "a", now + 40 * MS).is_err(),
        "three connections are still open, and two are allowed"
    );
    let closed = local_budget.released(&permits[1], now + 50 * MS);
    assert_eq!(closed, [ConnectionOrder::Close { dest: 1, conn: permits[1].conn }]);
    local_budget.closed(1, permits[1].conn, now + 51 * MS);
    assert_eq!(released(&mut local_budget, "a", now + 80 * MS), Some(2));
    // Calls that don't end are aborted, so the recall is met within the recall time.
    let (mut local_budget, mut budget_state, now) = self::local_budget(&[("a", 4)]);
    (0..4).for_each(|_| assert_eq!(begin(&mut local_budget, "a", now).kind, PermitKind::Open));
    set(&mut budget_state, "a", 0);
    local_budget.apply_state(&budget_state, now);
    local_budget.extend_lease(now + 10 * BOUNDS.recall_time());
    assert_eq!(local_budget.tick(now + BOUNDS.max_call).len(), 4);
    local_budget.tick(now + BOUNDS.recall_time());
    assert_eq!(released(&mut local_budget, "a", now + BOUNDS.recall_time()), Some(0));
}

#[test]
fn an_isolated_courier_divides_its_floor_among_tenants() {
    let (mut local_budget, budget_state, now) = local_budget(&[("a", 3)]);
    let permits: Vec<Permit> = (0..3).map(|_| begin(&mut local_budget, "a", now)).collect();
    let lease_end = now + BOUNDS.lease;
    assert_eq!(local_budget.tick(lease_end), [], "calls in flight continue");
    let refused = local_budget.acquire(1, "a", lease_end).unwrap_err();
    assert_eq!((refused.reason, refused.open), (RefusalReason::CutOff, 3));
    assert_eq!(local_budget.acquire(1, "b", lease_end).unwrap_err().reason, RefusalReason::CutOff);
    for permit in &permits {
        for ConnectionOrder::Close { conn, .. } in local_budget.released(permit, lease_end) {
            local_budget.closed(1, conn, lease_end);
        }
    }
    assert_eq!(local_budget.open(1), 1, "only the connection of the floor remains");
    // Tenant b waits and has no connection, so it gets the one that tenant a used last.
    assert!(local_budget.acquire(1, "a", lease_end).is_err());
    assert_eq!(begin(&mut local_budget, "b", lease_end).kind, PermitKind::Reuse);
    // Grants can't be used until the lease is renewed.
    local_budget.apply_state(&budget_state, lease_end);
    assert!(local_budget.acquire(1, "a", lease_end).is_err());
    local_budget.extend_lease(lease_end + BOUNDS.lease);
    assert!(local_budget.acquire(1, "a", lease_end).is_ok());
}

#[test]
fn a_stalled_process_opens_nothing_with_an_expired_permit() {
    let (mut local_budget, _, now) = local_budget(&[("a", 3)]);
    let permits: Vec<Permit> = (0..3).map(|_| local_budget.acquire(1, "a", now).unwrap()).collect();
    assert!(local_budget.confirm_open(1, permits[0].conn, now + PERMIT_TTL - 1));
    // The lease has expired, and the first connection already uses the floor.
    let lease_end = now + BOUNDS.lease;
    assert!(!local_budget.confirm_open(1, permits[1].conn, lease_end));
    assert!(!local_budget.confirm_open(1, permits[2].conn, lease_end));
    assert_eq!(local_budget.open(1), 1);
}

#[test]
fn a_new_process_does_not_use_the_floor_while_its_predecessor_may() {
    let mut local_budget = LocalBudget::new("me", BOUNDS, 5 * MS);
    let budget =
        Budget { dest: 1, connections: 4, calls: None, span_ms: None, courier_floor: 2, tenants: vec![] };
    local_budget.set_budget(&budget);
    let refused = local_budget.acquire(1, "a", 6 * MS).unwrap_err();
    assert_eq!(
        (refused.reason, refused.retry_after),
        (RefusalReason::CutOff, BOUNDS.recall_time()),
        "the retry delay is limited to the recall time"
    );
    let floor_from = 5 * MS + BOUNDS.drain_time();
    assert!(local_budget.acquire(1, "a", floor_from - 1).is_err());
    assert!(local_budget.acquire(1, "a", floor_from).is_ok());
}

#[test]
fn an_idle_connection_can_move_to_another_tenant() {
    let (mut local_budget, _, now) = local_budget(&[("a", 2), ("b", 1)]);
    let permit = begin(&mut local_budget, "a", now);
    local_budget.released(&permit, now);
    let reused = begin(&mut local_budget, "b", now);
    assert_eq!((reused.kind, reused.conn), (PermitKind::Reuse, permit.conn));
    assert_eq!((local_budget.open_for(1, "a"), local_budget.open_for(1, "b")), (0, 1));
    assert!(local_budget.acquire(1, "b", now).is_err());
    (0..2).for_each(|_| assert_eq!(begin(&mut local_budget, "a", now).kind, PermitKind::Open));
    assert_eq!(local_budget.open(1), 3);
}

#[test]
fn a_refusal_says_when_a_connection_becomes_free() {
    let (mut local_budget, _, now) = local_budget(&[("a", 4)]);
    local_budget.extend_lease(now + 100 * BOUNDS.lease);
    let mut permits: Vec<Permit> = (0..4).map(|_| begin(&mut local_budget, "a", now)).collect();
    let refused = local_budget.acquire(1, "a", now).unwrap_err();
    let expected = (RefusalReason::AllInUse, BOUNDS.max_call / 4, 4, 4);
    assert_eq!(
        (refused.reason, refused.retry_after, refused.usable, refused.open),
        expected,
        "no call has ended yet"
    );
    // With calls of 200 ms on four connections one ends every 50 ms, which the delays for the first and for the tenth
    // waiting call reflect.
    let mut last_begun_at = now;
    for turn in 0..80 {
        last_begun_at = now + 200 * MS + 50 * MS * turn;
        let permit = permits.remove(0);
        local_budget.released(&permit, last_begun_at);
        permits.push(begin(&mut local_budget, "a", last_begun_at));
    }
    let after = local_budget.acquire(1, "a", last_begun_at).unwrap_err().retry_after;
    assert!((45 * MS..=55 * MS).contains(&after), "{after}");
    local_budget.set_waiting(1, "a", 10, last_begun_at);
    let after = local_budget.acquire(1, "a", last_begun_at).unwrap_err().retry_after;
    assert!((450 * MS..=550 * MS).contains(&after), "{after}");
    // A tenant without a share is refused with the expected time until a grant.
    assert_eq!(local_budget.acquire(1, "b", last_begun_at).unwrap_err().retry_after, INITIAL_GRANT_TIME);
}

#[test]
fn an_earlier_epoch_is_clear_once_all_connections_fit_the_present_one() {
    let (mut local_budget, mut budget_state, now) = local_budget(&[("a", 3)]);
    let permits: Vec<Permit> = (0..3).map(|_| begin(&mut local_budget, "a", now)).collect();
    budget_state.apply(&BudgetCommand::Lapsed { courier: "me".into(), epoch: 1 });
    budget_state.apply(&BudgetCommand::Joined { courier: "me".into(), epoch: 2 });
    local_budget.joined(2);
    local_budget.apply_state(&budget_state, now);
    assert!(
        !local_budget.report(now).unwrap().clear,
        "three connections are open, and only the floor of one is allowed"
    );
    permits[1..].iter().for_each(|p| local_budget.closed(1, p.conn, now));
    assert!(local_budget.report(now + REPORT_INTERVAL).unwrap().clear);
}

#[test]
fn a_floor_is_not_used_before_it_is_committed() {
    let (mut local_budget, budget_state, now) = local_budget(&[]);
    let budget =
        Budget { dest: 1, connections: 20, calls: None, span_ms: None, courier_floor: 3, tenants: vec![] };
    local_budget.set_budget(&budget);
    local_budget.apply_state(&budget_state, now);
    assert!(local_budget.acquire(1, "a", now).is_ok());
    assert!(local_budget.acquire(1, "a", now).is_err(), "the committed floor is 1");
}
