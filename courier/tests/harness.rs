//! The harness for a fleet, on three processes of the program without the section `fleet`: what it does to
//! a courier is done, and the auditor finds nothing wrong with what comes of it.

use quillmount_standins::consumer::Invocation;
use quillmount_standins::fleet::{Fleet, FleetSetup, PATIENCE, play};
use quillmount_standins::partner::Answer;
use quillmount_standins::record::{Call, Record};
use std::time::Duration;

const LONG: Duration = Duration::from_secs(16);

fn setup() -> FleetSetup {
    let mut setup = FleetSetup::new(env!("CARGO_BIN_EXE_quillmount"), 3);
    setup.partner(1, |_| Answer::ok());
    setup.partner(2, |_| Answer::Held);
    setup
}

fn message(class: &str, id: &str, dest: u64) -> Invocation {
    Invocation { key: Some(id.into()), ..Invocation::new(class, id, dest, LONG) }
}

/// Waits until a message has ended.
async fn ends(fleet: &Fleet, id: &str) {
    fleet.until(id, PATIENCE, |record: &Record| record.has_ended(id).then_some(())).await.unwrap();
}

/// Waits for the call of a message with this number, from 1.
async fn call(fleet: &Fleet, id: &str, n: usize) -> Call {
    let found = |record: &Record| record.calls_of(id).filter(|call| call.whole.is_some()).nth(n - 1).cloned();
    fleet.until(&format!("call {n} of {id}"), PATIENCE, found).await.unwrap()
}

#[test]
fn three_couriers_deliver_and_their_calls_are_known_for_their_own() {
    play(async || {
        let fleet = Fleet::start(setup()).await.unwrap();
        for courier in 0..3 {
            let id = format!("m{courier}");
            assert_eq!(fleet.hand_in(courier, &message("fee-debit", &id, 1), b"body").await, 202);
            ends(&fleet, &id).await;
            assert_eq!(call(&fleet, &id, 1).await.courier, courier);
            assert_eq!(fleet.get(courier, "/-/ready").await.unwrap().0, 200);
        }
        assert_eq!(fleet.witness.read(|record| record.open_at(0)), (3, 3));
    });
}

#[test]
fn a_killed_courier_comes_back_at_its_address_with_its_folder_or_without() {
    play(async || {
        let mut fleet = Fleet::start(setup()).await.unwrap();
        let addr = fleet.addr(1);
        for id in ["debit", "paid"] {
            let class = if id == "debit" { "fee-debit" } else { "paid-notice" };
            assert_eq!(fleet.hand_in(1, &message(class, id, 2), b"body").await, 202);
            call(&fleet, id, 1).await;
        }
        fleet.kill(1).await.unwrap();
        assert_eq!((fleet.id(1), fleet.get(1, "/-/ready").await.is_err()), (None, true));
        fleet.restart(1).await.unwrap();
        assert_eq!((fleet.life(1), fleet.addr(1)), (2, addr));
        // What may have run is told, or repeated with its key.
        ends(&fleet, "debit").await;
        call(&fleet, "paid", 2).await;
        assert_eq!(fleet.partner(1).release("paid", Answer::ok()), 1);
        ends(&fleet, "paid").await;
        assert!(!fleet.journal(1).is_empty());
        fleet.lose_folder(1).await.unwrap();
        fleet.serves(1).await.unwrap();
        assert_eq!(fleet.life(1), 3);
        assert_eq!(fleet.hand_in(1, &message("fee-debit", "new", 1), b"body").await, 202);
        ends(&fleet, "new").await;
    });
}

#[test]
fn a_paused_courier_answers_when_it_goes_on() {
    play(async || {
        let mut fleet = Fleet::start(setup()).await.unwrap();
        fleet.pause(2).unwrap();
        let consumer = fleet.consumer(2);
        let told = tokio::task::spawn_local(async move {
            consumer.hand_in(&message("fee-debit", "waits", 1), b"body").await
        });
        // The others have their time meanwhile.
        for n in 0..10 {
            let id = format!("m{n}");
            assert_eq!(fleet.hand_in(n % 2, &message("fee-debit", &id, 1), b"body").await, 202);
            ends(&fleet, &id).await;
        }
        assert!(!told.is_finished());
        fleet.go_on(2).unwrap();
        assert_eq!(told.await.unwrap(), 202);
        ends(&fleet, "waits").await;
        fleet.term(2).unwrap();
        assert!(fleet.ended(2).await.unwrap().success());
        fleet.mend().await.unwrap();
        assert_eq!(fleet.life(2), 2);
    });
}
