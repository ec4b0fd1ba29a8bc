//! A courier's own side of the budgets.

use quillmount_fleet::budget::holder::{GRANT_FIRST, OPEN_MAX, REPORT};
use quillmount_fleet::budget::{Agreed, Begin, Budget, Command, Holder, Order, Permit, Terms, Why};
use spurshore::Micros;

const MS: Micros = 1_000;
const TERMS: Terms = Terms { call: 2_000 * MS, quiet: 500 * MS, lease: 1_000 * MS };

/// A courier with a floor of 1 and these connections for its tenants, at a moment when the floor may be used.
fn holder(grants: &[(&str, u32)]) -> (Holder, Agreed, Micros) {
    let mut agreed = Agreed::default();
    agreed.apply(&Command::Budget { dest: 1, connections: 20, floor: 1, couriers: vec!["me".into()] });
    agreed.apply(&Command::Joined { courier: "me".into(), epoch: 1 });
    agreed.apply(&Command::Aged { courier: "me".into(), epoch: 1 });
    let mut holder = Holder::new("me", TERMS, 0);
    let budget =
        Budget { dest: 1, connections: 20, calls: None, span_ms: None, courier_floor: 1, tenants: vec![] };
    holder.budget(&budget);
    holder.joined(1);
    let now = TERMS.hold();
    holder.leased(now + TERMS.lease);
    grants.iter().for_each(|(tenant, to)| set(&mut agreed, tenant, *to));
    holder.agreed(&agreed, now);
    (holder, agreed, now)
}

fn set(agreed: &mut Agreed, tenant: &str, to: u32) {
    let (tenant, courier) = (tenant.to_string(), "me".to_string());
    agreed.apply(&Command::Set { dest: 1, tenant, courier, epoch: 1, to });
}

fn begin(holder: &mut Holder, tenant: &str, now: Micros) -> Permit {
    let permit = holder.may_begin(1, tenant, now).unwrap();
    assert!(permit.begin == Begin::Reuse || holder.opens(1, permit.conn, now));
    permit
}

fn released(holder: &mut Holder, tenant: &str, now: Micros) -> Option<u32> {
    let report = holder.report(now).unwrap();
    report.lines.into_iter().find(|l| l.tenant == tenant)?.released.map(|(_, to)| to)
}

#[test]
fn a_recall_closes_idle_ones_first_and_breaks_no_call_off() {
    let (mut holder, mut agreed, now) = holder(&[("a", 4)]);
    let permits: Vec<Permit> = (0..4).map(|_| begin(&mut holder, "a", now)).collect();
    assert!(holder.may_begin(1, "a", now).is_err());
    assert_eq!(holder.released(&permits[0], now), []);
    set(&mut agreed, "a", 2);
    let closed = holder.agreed(&agreed, now + 1);
    assert_eq!(closed, [Order::Close { dest: 1, conn: permits[0].conn }], "the idle one, and no call");
    assert_eq!(released(&mut holder, "a", now + 1), Some(4), "what closes is open yet");
    holder.closed(1, permits[0].conn, now + 2);
    assert_eq!(released(&mut holder, "a", now + 40 * MS), Some(3));
    assert!(holder.may_begin(1, "a", now + 40 * MS).is_err(), "it comes down to two first");
    let closed = holder.released(&permits[1], now + 50 * MS);
    assert_eq!(closed, [Order::Close { dest: 1, conn: permits[1].conn }]);
    holder.closed(1, permits[1].conn, now + 51 * MS);
    assert_eq!(released(&mut holder, "a", now + 80 * MS), Some(2));
    // Whatever its calls do, it is down after the stated time.
    let (mut holder, mut agreed, now) = self::holder(&[("a", 4)]);
    (0..4).for_each(|_| assert_eq!(begin(&mut holder, "a", now).begin, Begin::Open));
    set(&mut agreed, "a", 0);
    holder.agreed(&agreed, now);
    holder.leased(now + 10 * TERMS.attrition());
    assert_eq!(holder.tick(now + TERMS.call).len(), 4);
    holder.tick(now + TERMS.attrition());
    assert_eq!(released(&mut holder, "a", now + TERMS.attrition()), Some(0));
}

#[test]
fn cut_off_it_uses_its_floor_alone_and_shares_it() {
    let (mut holder, agreed, now) = holder(&[("a", 3)]);
    let permits: Vec<Permit> = (0..3).map(|_| begin(&mut holder, "a", now)).collect();
    let over = now + TERMS.lease;
    assert_eq!(holder.tick(over), [], "calls go on");
    let refused = holder.may_begin(1, "a", over).unwrap_err();
    assert_eq!((refused.why, refused.open), (Why::CutOff, 3));
    assert_eq!(holder.may_begin(1, "b", over).unwrap_err().why, Why::CutOff);
    for permit in &permits {
        for Order::Close { conn, .. } in holder.released(permit, over) {
            holder.closed(1, conn, over);
        }
    }
    assert_eq!(holder.open(1), 1, "the floor's");
    // It is b's turn: a had it last, and b waits.
    assert!(holder.may_begin(1, "a", over).is_err());
    assert_eq!(begin(&mut holder, "b", over).begin, Begin::Reuse);
    // What it knows of grants is worth nothing until its lease is renewed.
    holder.agreed(&agreed, over);
    assert!(holder.may_begin(1, "a", over).is_err());
    holder.leased(over + TERMS.lease);
    assert!(holder.may_begin(1, "a", over).is_ok());
}

#[test]
fn a_process_that_was_held_up_opens_nothing_with_an_old_permit() {
    let (mut holder, _, now) = holder(&[("a", 3)]);
    let late: Vec<Permit> = (0..3).map(|_| holder.may_begin(1, "a", now).unwrap()).collect();
    assert!(holder.opens(1, late[0].conn, now + OPEN_MAX - 1));
    // Its lease is over: of the two others one fits into no floor beside the first.
    let over = now + TERMS.lease;
    assert!(!holder.opens(1, late[1].conn, over));
    assert!(!holder.opens(1, late[2].conn, over));
    assert_eq!(holder.open(1), 1);
}

#[test]
fn a_process_that_starts_uses_no_floor_while_an_earlier_one_may_have_it() {
    let mut holder = Holder::new("me", TERMS, 5 * MS);
    let budget =
        Budget { dest: 1, connections: 4, calls: None, span_ms: None, courier_floor: 2, tenants: vec![] };
    holder.budget(&budget);
    let refused = holder.may_begin(1, "a", 6 * MS).unwrap_err();
    assert_eq!((refused.why, refused.after), (Why::CutOff, TERMS.attrition()), "no sooner, and not for ever");
    let from = 5 * MS + TERMS.hold();
    assert!(holder.may_begin(1, "a", from - 1).is_err());
    assert!(holder.may_begin(1, "a", from).is_ok());
}

#[test]
fn an_idle_connection_goes_to_another_tenant_and_is_its_own_then() {
    let (mut holder, _, now) = holder(&[("a", 2), ("b", 1)]);
    let permit = begin(&mut holder, "a", now);
    holder.released(&permit, now);
    let taken = begin(&mut holder, "b", now);
    assert_eq!((taken.begin, taken.conn), (Begin::Reuse, permit.conn));
    assert_eq!((holder.open_of(1, "a"), holder.open_of(1, "b")), (0, 1));
    assert!(holder.may_begin(1, "b", now).is_err());
    (0..2).for_each(|_| assert_eq!(begin(&mut holder, "a", now).begin, Begin::Open));
    assert_eq!(holder.open(1), 3);
}

#[test]
fn a_refusal_says_when_a_connection_comes_free() {
    let (mut holder, _, now) = holder(&[("a", 4)]);
    holder.leased(now + 100 * TERMS.lease);
    let mut permits: Vec<Permit> = (0..4).map(|_| begin(&mut holder, "a", now)).collect();
    let refused = holder.may_begin(1, "a", now).unwrap_err();
    let unseen = (Why::InUse, TERMS.call / 4, 4, 4);
    assert_eq!((refused.why, refused.after, refused.usable, refused.open), unseen, "none was seen to end");
    // Calls of 200 ms, one ends every 50 ms: so it says, before the first in the queue and before the tenth.
    let mut at = now;
    for turn in 0..80 {
        at = now + 200 * MS + 50 * MS * turn;
        let permit = permits.remove(0);
        holder.released(&permit, at);
        permits.push(begin(&mut holder, "a", at));
    }
    let after = holder.may_begin(1, "a", at).unwrap_err().after;
    assert!((45 * MS..=55 * MS).contains(&after), "{after}");
    holder.wants(1, "a", 10, at);
    let after = holder.may_begin(1, "a", at).unwrap_err().after;
    assert!((450 * MS..=550 * MS).contains(&after), "{after}");
    // A tenant that holds nothing is told what a grant takes.
    assert_eq!(holder.may_begin(1, "b", at).unwrap_err().after, GRANT_FIRST);
}

#[test]
fn it_is_clear_of_an_earlier_epoch_once_all_is_within_the_present_one() {
    let (mut holder, mut agreed, now) = holder(&[("a", 3)]);
    let permits: Vec<Permit> = (0..3).map(|_| begin(&mut holder, "a", now)).collect();
    agreed.apply(&Command::Lapsed { courier: "me".into(), epoch: 1 });
    agreed.apply(&Command::Joined { courier: "me".into(), epoch: 2 });
    holder.joined(2);
    holder.agreed(&agreed, now);
    assert!(!holder.report(now).unwrap().clear, "three are open, and one is its floor");
    permits[1..].iter().for_each(|p| holder.closed(1, p.conn, now));
    assert!(holder.report(now + REPORT).unwrap().clear);
}

#[test]
fn a_floor_that_is_not_agreed_on_yet_is_not_used() {
    let (mut holder, agreed, now) = holder(&[]);
    let budget =
        Budget { dest: 1, connections: 20, calls: None, span_ms: None, courier_floor: 3, tenants: vec![] };
    holder.budget(&budget);
    holder.agreed(&agreed, now);
    assert!(holder.may_begin(1, "a", now).is_ok());
    assert!(holder.may_begin(1, "a", now).is_err(), "one is agreed on");
}
