//! Couriers as one fleet: real processes between stand-ins, with faults between them. Work in hand survives the loss of its
//! courier, and another takes it over, once.

mod copies;
mod cut;
mod faults;
mod lost;
mod paused;
mod restarts;
mod settlements;

use quillmount_fleet::config::rendezvous_weight;
use quillmount_fleet::state::partition_of;
use quillmount_standins::audit::{AuditRules, RepeatPolicy, audit};
use quillmount_standins::client::MessageRequest;
use quillmount_standins::fleet::{Fleet, FleetSetup, WAIT_TIMEOUT, run_test};
use quillmount_standins::partner::Answer;
use quillmount_standins::record::{RecordedCall, RunRecord, Stamp};
use serde_json::json;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Longer than anything that a test waits for, on a loaded machine too; so is the span within which a notice is repeated.
const LONG: Duration = Duration::from_secs(50);
const SPAN: Duration = Duration::from_secs(40);
/// The partner that holds each call until it is told to answer; the other, 1, answers at once.
const HOLDS: u64 = 2;
const BODY: &[u8] = b"body";

fn setup(couriers: usize) -> FleetSetup {
    let mut setup = FleetSetup::new(env!("CARGO_BIN_EXE_quillmount"), couriers);
    setup.fleet = Some(json!({"lease": "2s", "copies": 1}));
    let [long, span] = [LONG, SPAN].map(|time| time.as_millis() as u64);
    setup.config = json!({"settings": {"categories": [
        {"name": "fee-debit", "effect": "fragile", "promise_ms": 3000, "deadline_ms": long, "worth": 1, "late_worth": 0.4},
        {"name": "paid-notice", "effect": "dedup", "dedup_scope": "all", "memory_span_ms": span,
         "promise_ms": 3000, "deadline_ms": long, "worth": 1, "late_worth": 0.4}
    ]}});
    setup.partner(1, |_| Answer::ok());
    setup.partner(HOLDS, |_| Answer::Pending);
    setup
}

async fn start(setup: FleetSetup) -> Fleet {
    let copies = setup.fleet.as_ref().and_then(|fleet| fleet["copies"].as_u64()).unwrap();
    let fleet = Fleet::start(setup).await.unwrap();
    settled(&fleet, copies as usize).await;
    for courier in 0..fleet.couriers() {
        ready(&fleet, courier).await;
    }
    fleet
}

async fn fleet(couriers: usize) -> Fleet {
    start(setup(couriers)).await
}

/// Five couriers with two copies of each book: any two may be lost.
async fn five() -> Fleet {
    let mut setup = setup(5);
    setup.fleet = Some(json!({"lease": "2s", "copies": 2}));
    start(setup).await
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

async fn status(fleet: &Fleet, courier: usize) -> u16 {
    fleet.get(courier, "/-/ready").await.map_or(0, |told| told.0)
}

/// Waits until a courier may take on: copies of its journal are in step.
async fn ready(fleet: &Fleet, courier: usize) {
    until(&format!("{courier} is ready"), async || status(fleet, courier).await == 200).await;
}

async fn unready(fleet: &Fleet, courier: usize) {
    until(&format!("{courier} is not ready"), async || status(fleet, courier).await == 503).await;
}

fn message(class: &str, id: &str, dest: u64) -> MessageRequest {
    MessageRequest { key: Some(id.into()), ..MessageRequest::new(class, id, dest, LONG) }
}

/// Hands a message in until it is taken on: a loaded machine's courier refuses one now and then, for its copy's being late.
async fn hands_in(fleet: &Fleet, courier: usize, class: &str, id: &str, dest: u64) {
    until(&format!("{id} is taken on"), async || {
        match fleet.submit(courier, &message(class, id, dest), BODY).await {
            202 => true,
            503 => false,
            other => panic!("{id}: {other}"),
        }
    })
    .await;
}

/// Hands in a debit and a notice, named so, and waits until both calls are out at the partner that holds them.
async fn in_hand(fleet: &Fleet, courier: usize, debit: &str, paid: &str) {
    for (class, id) in [("fee-debit", debit), ("paid-notice", paid)] {
        hands_in(fleet, courier, class, id, HOLDS).await;
        call(fleet, id, 1).await;
    }
}

/// The debit that was out was ended, not sent again; the notice was sent again by another, which is told that it has come.
async fn taken_over(fleet: &Fleet, owner: usize, debit: &str, paid: &str) {
    ends(fleet, debit).await;
    let again = call(fleet, paid, 2).await;
    assert_ne!(again.courier, owner);
    fleet.partner(1).release(paid, Answer::ok());
    ends(fleet, paid).await;
    assert_eq!((calls(fleet, debit), calls(fleet, paid)), (1, 2));
}

async fn ends(fleet: &Fleet, id: &str) {
    fleet
        .wait_until(id, WAIT_TIMEOUT, |record: &RunRecord| record.has_ended(id).then_some(()))
        .await
        .unwrap();
}

async fn call(fleet: &Fleet, id: &str, n: usize) -> RecordedCall {
    let found =
        |record: &RunRecord| record.calls_of(id).filter(|call| call.completed.is_some()).nth(n - 1).cloned();
    fleet.wait_until(&format!("call {n} of {id}"), WAIT_TIMEOUT, found).await.unwrap()
}

fn calls(fleet: &Fleet, id: &str) -> usize {
    fleet.recorder.read(|record| record.calls_of(id).count())
}

/// What any courier says, with these words, behind a moment: who, and when.
async fn anybody_says(fleet: &Fleet, after: Stamp, words: &str) -> (usize, Stamp) {
    let found = |record: &RunRecord| {
        let line = record.lines.iter().find(|line| line.when > after && line.text.contains(words));
        line.map(|line| (line.courier, line.when))
    };
    fleet.wait_until(words, WAIT_TIMEOUT, found).await.unwrap()
}

/// How often anybody has said these words.
fn said(fleet: &Fleet, words: &str) -> usize {
    fleet.recorder.read(|record| record.lines.iter().filter(|line| line.text.contains(words)).count())
}

fn now(fleet: &Fleet) -> Stamp {
    fleet.recorder.write(|_, stamp| stamp)
}

/// Who is to have the copies of this courier's book while all serve, each on a host of its own; best first.
fn copies_of(fleet: &Fleet, owner: usize, copies: usize) -> Vec<usize> {
    let mut best = others(fleet, &[owner]);
    best.sort_by_key(|n| std::cmp::Reverse(rendezvous_weight(fleet.name(owner).as_bytes(), fleet.name(*n))));
    best.truncate(copies);
    best
}

/// Waits until all couriers' books have come to where they are to be copied.
async fn settled(fleet: &Fleet, copies: usize) {
    for owner in 0..fleet.couriers() {
        let mut at: Vec<&str> = copies_of(fleet, owner, copies).iter().map(|n| fleet.name(*n)).collect();
        at.sort_unstable();
        let words = format!("the journal is replicated to {}", at.join(", "));
        let last = |record: &RunRecord| {
            let said = record.log_lines_with(owner, fleet.incarnation(owner), "the journal is replicated to");
            said.last().filter(|line| line.text.ends_with(&words)).map(|_| ())
        };
        fleet.wait_until(&words, WAIT_TIMEOUT, last).await.unwrap();
    }
}

/// Whoever of these takes over what is owed to a destination.
fn taker(fleet: &Fleet, of: &[usize], dest: u64) -> usize {
    let part = partition_of(dest).to_le_bytes();
    of.iter().copied().max_by_key(|n| rendezvous_weight(&part, fleet.name(*n))).unwrap()
}

/// Whoever was the last to say that it leads.
fn leader(fleet: &Fleet) -> usize {
    let leads = |record: &RunRecord| {
        record
            .lines
            .iter()
            .rev()
            .find(|line| line.text.ends_with("fleet: became leader"))
            .map(|line| line.courier)
    };
    fleet.recorder.read(leads).unwrap()
}

fn others(fleet: &Fleet, but: &[usize]) -> Vec<usize> {
    (0..fleet.couriers()).filter(|n| !but.contains(n)).collect()
}

fn clean(fleet: &Fleet) {
    let mut rules = AuditRules::default();
    rules.classes.insert("paid-notice".into(), RepeatPolicy::Keyed { span: SPAN.as_micros() as u64 });
    assert_eq!(audit(&fleet.history(rules)), []);
}

/// Heals all, waits until all may take on and have a message's end each, and audits.
async fn heals(fleet: &mut Fleet) {
    fleet.heal().await.unwrap();
    for courier in 0..fleet.couriers() {
        ready(fleet, courier).await;
    }
    for courier in 0..fleet.couriers() {
        let id = format!("after-{courier}");
        hands_in(fleet, courier, "fee-debit", &id, 1).await;
        ends(fleet, &id).await;
    }
    clean(fleet);
}
