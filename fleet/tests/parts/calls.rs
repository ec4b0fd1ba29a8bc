//! Calls a span.

use quillmount_fleet::budget::calls::of;
use quillmount_fleet::budget::{Agreed, Begin, Budget, Command, Gate, Order, Tenant, Terms, Why};
use spurshore::Micros;

const TERMS: Terms = Terms { call: 2_000_000, quiet: 500_000, lease: 1_000_000 };
const SPAN: Micros = 1_020_001;

#[test]
fn in_no_span_do_more_calls_begin_than_are_held() {
    let tenants = vec![Tenant { name: "a".into(), weight: 2.0, floor: 2, ceiling: Some(3) }];
    let budget =
        Budget { dest: 1, connections: 8, calls: Some(40), span_ms: Some(1000), courier_floor: 1, tenants };
    let calls_of = of(&budget).unwrap();
    assert_eq!((calls_of.connections, calls_of.courier_floor), (40, 5));
    assert_eq!((calls_of.tenants[0].floor, calls_of.tenants[0].ceiling), (0, None));
    let mut gate = Gate::new("me", TERMS, std::slice::from_ref(&budget), 0);
    let mut agreed = [Agreed::default(), Agreed::default()];
    for (agreed, of, to) in
        agreed.iter_mut().zip([&budget, &calls_of]).zip([3, 10]).map(|((a, b), t)| (a, b, t))
    {
        let (connections, floor, courier) = (of.connections, of.courier_floor, "me".to_string());
        agreed.apply(&Command::Budget { dest: 1, connections, floor, couriers: vec![courier.clone()] });
        agreed.apply(&Command::Joined { courier: courier.clone(), epoch: 1 });
        agreed.apply(&Command::Aged { courier: courier.clone(), epoch: 1 });
        agreed.apply(&Command::Set { dest: 1, tenant: "a".into(), courier, epoch: 1, to });
    }
    gate.joined(1);
    gate.agreed(&agreed[0], &agreed[1], 0);
    gate.leased(10_000_000);
    let mut begun: Vec<Micros> = Vec::new();
    let mut told = None;
    for now in (0..5_000_000).step_by(10_000) {
        match gate.may_begin(1, "a", now) {
            Ok(permit) => {
                assert!(told.take().is_none_or(|at| now >= at && now < at + 10_000), "what was told is true");
                assert!(permit.begin == Begin::Reuse || gate.connections.opens(1, permit.conn, now));
                gate.connections.released(&permit, now);
                begun.push(now);
            }
            Err(refusal) => {
                assert!(Gate::by_rate(&refusal));
                told = Some(told.unwrap_or(now + refusal.after));
            }
        }
    }
    let most = begun.iter().map(|at| begun.iter().filter(|b| (*at..at + SPAN).contains(*b)).count()).max();
    assert_eq!((most, begun.len()), (Some(10), 50));
    // What a tenant sends in a span is what it asks for; it isn't called back for being idle just now.
    let report = gate.reports(5_000_000).1.unwrap();
    assert_eq!((report.lines[0].asks, report.lines[0].open), (11, 10), "and the one that was refused");
    // No connection: the call isn't counted.
    let permits: Vec<_> = (0..3).map(|_| gate.connections.may_begin(1, "a", 7_000_000).unwrap()).collect();
    assert_eq!(permits.len(), 3);
    assert_eq!(gate.may_begin(1, "a", 7_000_000).unwrap_err().why, Why::InUse);
    assert_eq!(gate.calls.open(1), 0);
    // Cut off, there is its floor's part.
    permits.iter().for_each(|p| drop(gate.connections.released(p, 7_000_000)));
    for Order::Close { conn, .. } in gate.tick(20_000_000) {
        gate.connections.closed(1, conn, 20_000_000);
    }
    let begins = (0..20).filter(|n| {
        let now = 20_000_000 + n;
        gate.may_begin(1, "a", now).is_ok_and(|p| {
            gate.connections.released(&p, now);
            true
        })
    });
    assert_eq!(begins.count(), 5);
}
