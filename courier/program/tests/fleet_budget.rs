//! A partner's connections shared by a fleet: real processes between stand-ins, counted by the partner
//! itself.

use quillmount_standins::audit::{AuditRules, Budget, Finding, audit};
use quillmount_standins::client::MessageRequest;
use quillmount_standins::fleet::link::LinkMode;
use quillmount_standins::fleet::{Fleet, FleetSetup, WAIT_TIMEOUT, run_test};
use quillmount_standins::partner::Answer;
use quillmount_standins::record::{RecordedSubmission, RunRecord};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::task::{spawn_local, yield_now};
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(16);
const BODY: &[u8] = b"body";
/// The partner's connections, of the whole fleet.
const CONNECTIONS: usize = 6;

/// Three couriers, and a partner at destination 1 that holds each call until it is told to answer; a call has
/// its connection for so long at most.
fn setup(budget: Value, call: &str) -> FleetSetup {
    let mut setup = FleetSetup::new(env!("CARGO_BIN_EXE_quillmount"), 3);
    let times = json!({"lease": "2s", "copies": 1, "partner_idle": "1s", "partner_call": call});
    setup.fleet = Some(times);
    setup.fleet.iter_mut().for_each(|fleet| fleet["budgets"] = json!([budget]));
    // Else a courier's own limits are met before the budget is.
    setup.config = json!({"settings": {"family_info": {"call_slots": 64}, "limits": {"open_cap": 1000}}});
    setup.partner(1, |_| Answer::Pending);
    setup
}

async fn start(setup: FleetSetup) -> Fleet {
    let fleet = Fleet::start(setup).await.unwrap();
    for courier in 0..fleet.couriers() {
        until(&format!("{courier} is ready"), async || {
            fleet.get(courier, "/-/ready").await.is_ok_and(|told| told.0 == 200)
        })
        .await;
    }
    fleet
}

/// Waits until something that is no event of the record holds.
async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let waits = async {
        while !holds().await {
            yield_now().await;
        }
    };
    assert!(timeout(WAIT_TIMEOUT, waits).await.is_ok(), "not seen within {WAIT_TIMEOUT:?}: {what}");
}

/// Hands messages of a tenant in at a courier, all at once; their ids are the tenant's name, the courier and
/// a number.
fn submit(fleet: &Fleet, courier: usize, tenant: &str, many: usize) -> Vec<String> {
    let ids: Vec<String> = (0..many).map(|n| format!("{tenant}-{courier}-{n}")).collect();
    for id in &ids {
        let headers = format!("X-Account: {tenant}\r\n");
        let message = MessageRequest { headers, ..MessageRequest::new("fee-debit", id, 1, LONG) };
        let consumer = fleet.client(courier);
        spawn_local(async move { consumer.submit(&message, BODY).await });
    }
    ids
}

fn open(fleet: &Fleet) -> (usize, usize) {
    fleet.recorder.read(|record| record.open_connections(0))
}

fn whole(record: &RunRecord) -> usize {
    record.calls.iter().filter(|call| call.completed.is_some()).count()
}

/// Calls that the partner holds now.
fn held(record: &RunRecord) -> impl Iterator<Item = &str> {
    let held = |call: &&quillmount_standins::record::RecordedCall| {
        call.completed.is_some() && call.answered.is_none() && call.abandoned.is_none()
    };
    record.calls.iter().filter(held).map(|call| call.id.as_str())
}

/// Waits until the partner holds so many calls of a tenant, or of all (the empty name).
async fn holds(fleet: &Fleet, tenant: &str, many: usize) {
    let found =
        |record: &RunRecord| (held(record).filter(|id| id.starts_with(tenant)).count() == many).then_some(());
    fleet.wait_until(&format!("{many} calls of {tenant:?}"), WAIT_TIMEOUT, found).await.unwrap();
}

/// The partner answers whatever comes until all of these have their end.
async fn all_end(fleet: &Fleet, ids: &[String]) {
    loop {
        fleet.partner(0).release_where(Answer::ok(), |_| true);
        let over = |record: &RunRecord| ids.iter().all(|id| record.has_ended(id));
        let seen = fleet.recorder.read(whole);
        if fleet.recorder.read(over) {
            return;
        }
        let moved = |record: &RunRecord| (whole(record) > seen || over(record)).then_some(());
        fleet.wait_until("a call or an end", WAIT_TIMEOUT, moved).await.unwrap();
    }
}

fn delivered(fleet: &Fleet, ids: &[String]) -> usize {
    let of = |record: &RunRecord, id: &str| {
        record.calls_of(id).filter(|call| call.answered.is_some_and(|(_, status)| status == 200)).count()
    };
    fleet.recorder.read(|record| ids.iter().filter(|id| of(record, id) == 1).count())
}

/// The partner never had more open than the budget, and no rule was broken.
fn clean(fleet: &Fleet, connections: usize) {
    let partner =
        fleet.recorder.read(|record| record.connection_changes.last().map_or(0, |open| open.partner));
    let budgets = vec![Budget { partner, from: 0, most: connections }];
    let mut history = fleet.history(AuditRules::default());
    history.budgets = budgets;
    let found: Vec<Finding> = audit(&history);
    assert_eq!(found, []);
}

/// What is out is left alone, and what comes free goes to whoever has too little, within a round of the
/// leader's.
#[test]
fn idle_budget_is_lent_and_called_back_without_breaking_a_call_off() {
    run_test(async || {
        let fleet = start(setup(json!({"dest": 1, "connections": CONNECTIONS}), "30s")).await;
        let mut ids = submit(&fleet, 0, "a", 20);
        holds(&fleet, "a", CONNECTIONS).await;
        ids.extend(submit(&fleet, 1, "b", 20));
        // One of a's calls after another is answered, until b has its part; a's own next ones take no more
        // than theirs.
        while fleet.recorder.read(|record| held(record).filter(|id| id.starts_with('b')).count()) < 3 {
            let (first, seen) = fleet.recorder.read(|record| {
                (held(record).find(|id| id.starts_with('a')).map(str::to_string), whole(record))
            });
            fleet.partner(0).release(&first.unwrap(), Answer::ok());
            let moved = |record: &RunRecord| (whole(record) > seen).then_some(());
            fleet.wait_until("the next call", WAIT_TIMEOUT, moved).await.unwrap();
        }
        let (a, abandoned) = fleet.recorder.read(|record| {
            let abandoned = record.calls.iter().filter(|call| call.abandoned.is_some()).count();
            (held(record).filter(|id| id.starts_with('a')).count(), abandoned)
        });
        assert_eq!((a, abandoned), (3, 0));
        all_end(&fleet, &ids).await;
        assert_eq!(delivered(&fleet, &ids), ids.len());
        clean(&fleet, CONNECTIONS);
    });
}

#[test]
fn a_tenant_that_asks_for_ten_times_its_part_then_none_then_all_gets_its_part_and_all() {
    run_test(async || {
        let fleet = start(setup(json!({"dest": 1, "connections": CONNECTIONS}), "30s")).await;
        let b = submit(&fleet, 1, "b", 3);
        holds(&fleet, "b", 3).await;
        let a = submit(&fleet, 0, "a", 30);
        holds(&fleet, "a", 3).await;
        all_end(&fleet, &[a, b].concat()).await;
        let b = submit(&fleet, 1, "bb", 12);
        holds(&fleet, "bb", CONNECTIONS).await;
        all_end(&fleet, &b).await;
        let a = submit(&fleet, 2, "a", 12);
        holds(&fleet, "a", CONNECTIONS).await;
        all_end(&fleet, &a).await;
        clean(&fleet, CONNECTIONS);
    });
}

/// A courier that is lost, or cut off from the others alone, may have its connections open for the time of a
/// call and until the partner ends them: nobody else uses them before.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn what_a_lost_courier_held_comes_free_after_the_stated_bound_and_not_before() {
    // A call, the partner's end of its connection, and the lease, by the slowest clock.
    const HOLD: u64 = 8_100_000;
    /// Messages of b without an end, all the time.
    const WAITING: usize = 12;
    for cut in [false, true] {
        run_test(async || {
            let mut fleet = start(setup(json!({"dest": 1, "connections": 4}), "5s")).await;
            submit(&fleet, 0, "a", 8);
            submit(&fleet, 1, "b", WAITING);
            // The share of each, whoever was first.
            loop {
                let (a, b, seen) = fleet.recorder.read(|record| {
                    let of = |tenant| held(record).filter(|id| id.starts_with(tenant)).count();
                    (of('a'), of('b'), whole(record))
                });
                if (a, b) == (2, 2) {
                    break;
                }
                let more = if a > 2 { "a" } else { "b" };
                if a + b == 4 {
                    let first =
                        |record: &RunRecord| held(record).find(|id| id.starts_with(more)).map(str::to_string);
                    let first = fleet.recorder.read(first).unwrap();
                    fleet.partner(0).release(&first, Answer::ok());
                }
                let moved = |record: &RunRecord| (whole(record) > seen).then_some(());
                fleet.wait_until("the next call", WAIT_TIMEOUT, moved).await.unwrap();
            }
            let lost = fleet.recorder.now();
            match cut {
                true => fleet.set_links(0, LinkMode::Partitioned),
                false => fleet.kill(0).await.unwrap(),
            }
            let taken = |record: &RunRecord| -> Vec<String> {
                let taken = |told: &&RecordedSubmission| {
                    matches!(told.answer, Some((_, 202))) && told.id.starts_with('b')
                };
                record.submissions.iter().filter(taken).map(|told| told.id.clone()).collect()
            };
            let mut ids = fleet.recorder.read(taken);
            // b goes on with its two, and asks for more all the time, until it has a third.
            let mut n = 0;
            let third = loop {
                let found = |record: &RunRecord| {
                    let mut open = 2;
                    for one in
                        record.connection_changes.iter().filter(|one| one.courier == 1 && one.when.at > lost)
                    {
                        open = if one.opened { open + 1 } else { open - 1 };
                        if open > 2 {
                            return Some(Some(one.when.at));
                        }
                    }
                    (held(record).filter(|id| id.starts_with('b')).count() == 2).then_some(None)
                };
                if let Some(at) =
                    fleet.wait_until("a third, or two that are held", WAIT_TIMEOUT, found).await.unwrap()
                {
                    break at;
                }
                let first =
                    |record: &RunRecord| held(record).find(|id| id.starts_with('b')).map(str::to_string);
                fleet.partner(0).release(&fleet.recorder.read(first).unwrap(), Answer::ok());
                // A refused one would be missing for good: after some, nothing more than two would be asked for.
                loop {
                    let headers = "X-Account: b\r\n".to_string();
                    let id = format!("b-more-{n}");
                    n += 1;
                    let more = MessageRequest { headers, ..MessageRequest::new("fee-debit", &id, 1, LONG) };
                    if fleet.submit(1, &more, BODY).await == 202 {
                        ids.push(id);
                    }
                    let waiting = |record: &RunRecord| ids.iter().filter(|id| !record.has_ended(id)).count();
                    if fleet.recorder.read(waiting) >= WAITING {
                        break;
                    }
                }
                let over = |record: &RunRecord| ids.iter().take_while(|id| record.has_ended(id)).count();
                ids.drain(..fleet.recorder.read(over));
            };
            assert!(third >= lost + HOLD, "{} ms", (third - lost) / 1000);
            println!("cut {cut}: free after {} ms", (third - lost) / 1000);
            clean(&fleet, 4);
        });
    }
}

/// Who comes too late for its time is told so at once, and how long what waits will take; who has the time is
/// taken on.
#[test]
fn a_message_whose_time_is_over_before_its_turn_is_refused_at_the_front() {
    run_test(async || {
        let fleet = start(setup(json!({"dest": 1, "connections": 1}), "5s")).await;
        let mut ids = submit(&fleet, 0, "a", 6);
        holds(&fleet, "a", 1).await;
        let message = |id: &str, tenant: &str, time| {
            let headers = format!("X-Account: {tenant}\r\n");
            MessageRequest { headers, ..MessageRequest::new("fee-debit", id, 1, time) }
        };
        let short = Duration::from_secs(3);
        // Those before have to be in the line.
        for n in 0.. {
            let id = format!("late-{n}");
            if fleet.submit(0, &message(&id, "a", short), BODY).await == 503 {
                break;
            }
            assert!(n < 20, "none is refused");
            ids.push(id);
        }
        // One that is owed is not refused.
        assert_eq!(fleet.submit(0, &message(&ids[0], "a", short), BODY).await, 409);
        assert_eq!(fleet.submit(0, &message("in-time", "a", LONG), BODY).await, 202);
        assert_eq!(fleet.submit(0, &message("other", "b", short), BODY).await, 202);
        ids.push("in-time".into());
        all_end(&fleet, &ids).await;
        clean(&fleet, 1);
    });
}

#[test]
fn a_thousand_tenants_with_a_message_each_have_all_of_them_delivered() {
    run_test(async || {
        let mut setup = setup(json!({"dest": 2, "connections": 64}), "30s");
        setup.partner(2, |_| Answer::ok());
        let fleet = start(setup).await;
        let mut ids = Vec::new();
        for n in 0..1000 {
            let id = format!("t{n}");
            let headers = format!("X-Account: tenant-{n}\r\n");
            let message = MessageRequest { headers, ..MessageRequest::new("fee-debit", &id, 2, LONG) };
            let consumer = fleet.client(n % 3);
            // A courier that has no copy of its journal for a moment takes nothing on: its consumers come again.
            spawn_local(async move { while consumer.submit(&message, BODY).await == 503 {} });
            ids.push(id);
        }
        let over = |record: &RunRecord| ids.iter().all(|id| record.has_ended(id)).then_some(());
        let begun = fleet.recorder.now();
        fleet.wait_until("all ends", LONG * 2, over).await.unwrap();
        println!("a thousand in {} ms", (fleet.recorder.now() - begun) / 1000);
        assert_eq!(delivered(&fleet, &ids), ids.len());
        let taken_on = |record: &RunRecord| {
            record
                .submissions
                .iter()
                .filter(|told| told.answer.is_some_and(|(_, status)| status == 202))
                .count()
        };
        assert_eq!(fleet.recorder.read(taken_on), ids.len(), "each is taken on once");
        clean(&fleet, 64);
    });
}

#[test]
fn a_flood_at_three_couriers_uses_the_whole_budget_and_never_more() {
    run_test(async || {
        let fleet = start(setup(json!({"dest": 1, "connections": CONNECTIONS}), "30s")).await;
        let ids: Vec<String> = (0..3).flat_map(|courier| submit(&fleet, courier, "flood", 40)).collect();
        // To the last message all of it is used, whichever courier has calls left.
        for _ in 0..ids.len() / CONNECTIONS {
            holds(&fleet, "flood", CONNECTIONS).await;
            fleet.partner(0).release_where(Answer::ok(), |_| true);
        }
        all_end(&fleet, &ids).await;
        assert_eq!((delivered(&fleet, &ids), open(&fleet).1), (ids.len(), CONNECTIONS));
        clean(&fleet, CONNECTIONS);
    });
}
