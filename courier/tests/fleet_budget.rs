//! A partner's connections shared by a fleet: real processes between stand-ins, counted by the partner itself.

use quillmount_standins::audit::{Budget, Finding, Terms, audit};
use quillmount_standins::consumer::Invocation;
use quillmount_standins::fleet::{Fleet, FleetSetup, PATIENCE, play};
use quillmount_standins::partner::Answer;
use quillmount_standins::record::Record;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::task::{spawn_local, yield_now};
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(16);
const BODY: &[u8] = b"body";
/// The partner's connections, of the whole fleet.
const CONNECTIONS: usize = 6;

/// Three couriers, and a partner at destination 1 that holds each call until it is told to answer.
fn setup(budget: Value) -> FleetSetup {
    let mut setup = FleetSetup::new(env!("CARGO_BIN_EXE_quillmount"), 3);
    setup.fleet = Some(json!({"lease": "2s", "copies": 1, "partner_idle": "1s", "budgets": [budget]}));
    setup.partner(1, |_| Answer::Held);
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
    assert!(timeout(PATIENCE, waits).await.is_ok(), "not seen within {PATIENCE:?}: {what}");
}

/// Hands messages of a tenant in at a courier, all at once; their ids are the tenant's name, the courier and a number.
fn hand_in(fleet: &Fleet, courier: usize, tenant: &str, many: usize) -> Vec<String> {
    let ids: Vec<String> = (0..many).map(|n| format!("{tenant}-{courier}-{n}")).collect();
    for id in &ids {
        let headers = format!("X-Account: {tenant}\r\n");
        let invocation = Invocation { headers, ..Invocation::new("fee-debit", id, 1, LONG) };
        let consumer = fleet.consumer(courier);
        spawn_local(async move { consumer.hand_in(&invocation, BODY).await });
    }
    ids
}

fn open(fleet: &Fleet) -> (usize, usize) {
    fleet.witness.read(|record| record.open_at(0))
}

fn whole(record: &Record) -> usize {
    record.calls.iter().filter(|call| call.whole.is_some()).count()
}

/// Calls that the partner holds now.
fn held(record: &Record) -> impl Iterator<Item = &str> {
    let held = |call: &&quillmount_standins::record::Call| {
        call.whole.is_some() && call.answered.is_none() && call.abandoned.is_none()
    };
    record.calls.iter().filter(held).map(|call| call.id.as_str())
}

/// Waits until the partner holds so many calls of a tenant, or of all (the empty name).
async fn holds(fleet: &Fleet, tenant: &str, many: usize) {
    let found = |record: &Record| {
        (held(record).filter(|id| id.starts_with(tenant)).count() == many).then_some(())
    };
    fleet.until(&format!("{many} calls of {tenant:?}"), PATIENCE, found).await.unwrap();
}

/// The partner answers whatever comes until all of these have their end.
async fn all_end(fleet: &Fleet, ids: &[String]) {
    loop {
        fleet.partner(0).release_where(Answer::ok(), |_| true);
        let over = |record: &Record| ids.iter().all(|id| record.has_ended(id));
        let seen = fleet.witness.read(whole);
        if fleet.witness.read(over) {
            return;
        }
        let moved = |record: &Record| (whole(record) > seen || over(record)).then_some(());
        fleet.until("a call or an end", PATIENCE, moved).await.unwrap();
    }
}

fn delivered(fleet: &Fleet, ids: &[String]) -> usize {
    let of = |record: &Record, id: &str| {
        record.calls_of(id).filter(|call| call.answered.is_some_and(|(_, status)| status == 200)).count()
    };
    fleet.witness.read(|record| ids.iter().filter(|id| of(record, id) == 1).count())
}

/// The partner never had more open than the budget, and no rule was broken.
fn clean(fleet: &Fleet, connections: usize) {
    let budgets = vec![Budget { partner: 0, from: 0, most: connections }];
    let mut history = fleet.history(Terms::default());
    history.budgets = budgets;
    let found: Vec<Finding> = audit(&history);
    assert_eq!(found, []);
}

#[test]
fn a_flood_at_three_couriers_uses_the_whole_budget_and_never_more() {
    play(async || {
        let fleet = start(setup(json!({"dest": 1, "connections": CONNECTIONS}))).await;
        let ids: Vec<String> = (0..3).flat_map(|courier| hand_in(&fleet, courier, "flood", 40)).collect();
        holds(&fleet, "flood", CONNECTIONS).await;
        all_end(&fleet, &ids).await;
        assert_eq!((delivered(&fleet, &ids), open(&fleet).1), (ids.len(), CONNECTIONS));
        clean(&fleet, CONNECTIONS);
    });
}
