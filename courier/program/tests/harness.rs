//! The harness for a fleet, on three processes of the program without the section `fleet`: what it does to
//! a courier is done, and the auditor finds nothing wrong with what comes of it.

use quillmount_standins::audit::{AuditRules, Budget, Finding, audit};
use quillmount_standins::client::MessageRequest;
use quillmount_standins::fault::Fault;
use quillmount_standins::fleet::{Fleet, FleetSetup, WAIT_TIMEOUT, run_test};
use quillmount_standins::listener::ListenerMode;
use quillmount_standins::partner::Answer;
use quillmount_standins::record::{RecordedCall, RunRecord};
use serde_json::json;
use std::time::Duration;
use tokio::task::spawn_local;

const LONG: Duration = Duration::from_secs(16);

fn setup() -> FleetSetup {
    let mut setup = FleetSetup::new(env!("CARGO_BIN_EXE_quillmount"), 3);
    setup.partner(1, |_| Answer::ok());
    setup.partner(2, |_| Answer::Pending);
    setup
}

fn message(class: &str, id: &str, dest: u64) -> MessageRequest {
    MessageRequest { key: Some(id.into()), ..MessageRequest::new(class, id, dest, LONG) }
}

/// Waits until a message has ended.
async fn ends(fleet: &Fleet, id: &str) {
    fleet
        .wait_until(id, WAIT_TIMEOUT, |record: &RunRecord| record.has_ended(id).then_some(()))
        .await
        .unwrap();
}

/// Waits for the call of a message with this number, from 1.
async fn call(fleet: &Fleet, id: &str, n: usize) -> RecordedCall {
    let found =
        |record: &RunRecord| record.calls_of(id).filter(|call| call.completed.is_some()).nth(n - 1).cloned();
    fleet.wait_until(&format!("call {n} of {id}"), WAIT_TIMEOUT, found).await.unwrap()
}

/// What the auditor finds wrong.
fn findings(fleet: &Fleet) -> Vec<Finding> {
    audit(&fleet.history(AuditRules::default()))
}

#[test]
fn three_couriers_deliver_and_each_call_is_attributed_to_its_courier() {
    run_test(async || {
        let fleet = Fleet::start(setup()).await.unwrap();
        for courier in 0..3 {
            let id = format!("m{courier}");
            assert_eq!(fleet.submit(courier, &message("fee-debit", &id, 1), b"body").await, 202);
            ends(&fleet, &id).await;
            assert_eq!(call(&fleet, &id, 1).await.courier, courier);
            assert_eq!(fleet.get(courier, "/-/ready").await.unwrap().0, 200);
        }
        assert_eq!(fleet.recorder.read(|record| record.open_connections(0)), (3, 3));
        let mut history = fleet.history(AuditRules::default());
        assert_eq!(audit(&history), []);
        // The partner's own count is what a budget is held against.
        history.budgets.push(Budget { partner: 0, from: 0, most: 2 });
        assert!(matches!(audit(&history)[..], [Finding::BudgetExceeded { open: 3, most: 2, .. }]));
    });
}

#[test]
fn a_killed_courier_restarts_at_its_address_with_or_without_its_folder() {
    run_test(async || {
        let mut fleet = Fleet::start(setup()).await.unwrap();
        let addr = fleet.addr(1);
        for id in ["debit", "paid"] {
            let class = if id == "debit" { "fee-debit" } else { "paid-notice" };
            assert_eq!(fleet.submit(1, &message(class, id, 2), b"body").await, 202);
            call(&fleet, id, 1).await;
        }
        fleet.kill(1).await.unwrap();
        assert_eq!((fleet.id(1), fleet.get(1, "/-/ready").await.is_err()), (None, true));
        fleet.restart(1).await.unwrap();
        assert_eq!((fleet.incarnation(1), fleet.addr(1)), (2, addr));
        // What may have run is told, or repeated with its key.
        ends(&fleet, "debit").await;
        call(&fleet, "paid", 2).await;
        assert_eq!(fleet.partner(1).release("paid", Answer::ok()), 1);
        ends(&fleet, "paid").await;
        assert!(!fleet.journal(1).is_empty());
        fleet.lose_folder(1).await.unwrap();
        fleet.wait_until_serving(1).await.unwrap();
        assert_eq!(fleet.incarnation(1), 3);
        assert_eq!(fleet.submit(1, &message("fee-debit", "new", 1), b"body").await, 202);
        ends(&fleet, "new").await;
        assert_eq!(findings(&fleet), []);
    });
}

#[test]
fn a_suspended_courier_answers_when_it_resumes() {
    run_test(async || {
        let mut fleet = Fleet::start(setup()).await.unwrap();
        fleet.suspend(2).unwrap();
        let consumer = fleet.client(2);
        let told = tokio::task::spawn_local(async move {
            consumer.submit(&message("fee-debit", "waits", 1), b"body").await
        });
        // The others have their time meanwhile.
        for n in 0..10 {
            let id = format!("m{n}");
            assert_eq!(fleet.submit(n % 2, &message("fee-debit", &id, 1), b"body").await, 202);
            ends(&fleet, &id).await;
        }
        assert!(!told.is_finished());
        fleet.resume(2).unwrap();
        assert_eq!(told.await.unwrap(), 202);
        ends(&fleet, "waits").await;
        fleet.send_sighup(2).unwrap();
        fleet.wait_for_log(2, "operator file: read again").await.unwrap();
        fleet.send_sigterm(2).unwrap();
        assert!(fleet.wait_for_exit(2).await.unwrap().success());
        fleet.heal().await.unwrap();
        assert_eq!(fleet.incarnation(2), 2);
        assert_eq!(findings(&fleet), []);
    });
}

/// The auditor can fail: a courier that owes a message and loses its folder has forgotten it.
#[test]
fn a_message_lost_with_its_folder_is_a_finding() {
    run_test(async || {
        let mut fleet = Fleet::start(setup()).await.unwrap();
        assert_eq!(fleet.submit(0, &message("fee-debit", "gone", 2), b"body").await, 202);
        call(&fleet, "gone", 1).await;
        assert_eq!(findings(&fleet), []);
        fleet.lose_folder(0).await.unwrap();
        fleet.wait_until_serving(0).await.unwrap();
        let found = findings(&fleet);
        let [Finding::Forgotten { id, courier: 0, .. }] = &found[..] else { panic!("{found:?}") };
        assert_eq!(id, "gone");
    });
}

#[test]
fn a_courier_is_partitioned_from_one_partner_only() {
    run_test(async || {
        let fleet = Fleet::start(setup()).await.unwrap();
        for courier in 0..2 {
            let first = format!("first-{courier}");
            assert_eq!(fleet.submit(courier, &message("fee-debit", &first, 1), b"body").await, 202);
            ends(&fleet, &first).await;
        }
        fleet.partner(0).set(0, ListenerMode::Partitioned);
        assert_eq!(fleet.submit(0, &message("fee-debit", "cut", 1), b"body").await, 202);
        for (courier, dest, id) in [(0, 2, "other-partner"), (1, 1, "other-courier")] {
            assert_eq!(fleet.submit(courier, &message("fee-debit", id, dest), b"body").await, 202);
            call(&fleet, id, 1).await;
        }
        assert_eq!(fleet.recorder.read(|record| record.calls_of("cut").count()), 0);
        fleet.partner(0).set(0, ListenerMode::Open);
        call(&fleet, "cut", 1).await;
        fleet.partner(1).release("other-partner", Answer::ok());
        for id in ["cut", "other-partner", "other-courier"] {
            ends(&fleet, id).await;
        }
        assert_eq!(findings(&fleet), []);
    });
}

#[test]
fn a_courier_with_a_full_disk_rejects_and_the_others_accept() {
    run_test(async || {
        let mut setup = setup();
        setup.configs.insert(0, json!({"limits": {"disk_mb": 0.01}}));
        let fleet = Fleet::start(setup).await.unwrap();
        let body = [b'x'; 2_000];
        let mut full = 0;
        for n in 0..4 {
            let id = format!("m{n}");
            full = fleet.submit(0, &message("fee-debit", &id, 2), &body).await;
            if full != 202 {
                break;
            }
            call(&fleet, &id, 1).await;
        }
        assert_eq!(full, 503);
        assert_eq!(fleet.submit(1, &message("fee-debit", "room", 2), &body).await, 202);
        fleet.partner(1).release_where(Answer::ok(), |_| true);
        assert_eq!(findings(&fleet), []);
    });
}

/// A seed chooses the strikes; whatever they are, each message has one end.
#[test]
fn seeded_faults_leave_each_message_with_one_end() {
    for seed in 1..=3 {
        run_test(|| run_faults_by(seed));
    }
}

async fn run_faults_by(seed: u64) {
    let mut setup = setup();
    setup.seed = seed;
    // What a folder held is lost with it where nobody has a copy.
    let faults = |mut seed| {
        let faults = std::iter::repeat_with(move || Fault::random(&mut seed, 3, 2));
        faults.filter(|fault| !matches!(fault, Fault::LoseFolder(_))).take(12).collect::<Vec<_>>()
    };
    let chosen = faults(setup.generator());
    assert_eq!(chosen, faults(setup.generator()));
    let mut fleet = Fleet::start(setup).await.unwrap();
    let mut ids = Vec::new();
    for (n, fault) in chosen.into_iter().enumerate() {
        let class = if n % 2 == 0 { "fee-debit" } else { "paid-notice" };
        let consumers: Vec<_> = (0..3).map(|courier| fleet.client(courier)).collect();
        let submit = |when: &str, courier: usize| {
            let (consumer, id) = (consumers[courier].clone(), format!("{when}-{n}-{courier}"));
            spawn_local(async move { (consumer.submit(&message(class, &id, 1), b"body").await, id) })
        };
        let mut handed: Vec<_> = (0..3).map(|courier| submit("before", courier)).collect();
        // One is known to be answered before the strike, the others may be anywhere.
        let known = submit("known", 0).await.unwrap();
        assert_eq!(known.0, 202);
        fleet.inject(fault).await.unwrap();
        handed.extend((0..3).map(|courier| submit("during", courier)));
        fleet.heal().await.unwrap();
        ids.push(known.1);
        for handed in handed {
            // One that was not answered may have been taken on all the same.
            let (status, id) = handed.await.unwrap();
            ids.extend((status == 202).then_some(id));
        }
    }
    for id in &ids {
        ends(&fleet, id).await;
    }
    assert_eq!(findings(&fleet), []);
}
