//! Couriers as one fleet: real processes between stand-ins, with faults between them. Work in hand survives the loss of its
//! courier, and another takes it over, once.

use quillmount_standins::audit::{Terms, audit};
use quillmount_standins::consumer::Invocation;
use quillmount_standins::fleet::{Fleet, FleetSetup, PATIENCE, play};
use quillmount_standins::partner::Answer;
use quillmount_standins::record::{Call, Record};
use serde_json::json;
use std::time::Duration;

const LONG: Duration = Duration::from_secs(16);

/// Destination 1 answers at once, 2 holds each call until it is told to answer.
fn setup(couriers: usize) -> FleetSetup {
    let mut setup = FleetSetup::new(env!("CARGO_BIN_EXE_quillmount"), couriers);
    setup.fleet = Some(json!({"lease": "2s", "copies": 1}));
    setup.partner(1, |_| Answer::ok());
    setup.partner(2, |_| Answer::Held);
    setup
}

async fn fleet(couriers: usize) -> Fleet {
    let fleet = Fleet::start(setup(couriers)).await.unwrap();
    for courier in 0..couriers {
        ready(&fleet, courier).await;
    }
    fleet
}

/// Waits until a courier may take on: copies of its journal are in step.
async fn ready(fleet: &Fleet, courier: usize) {
    while fleet.get(courier, "/-/ready").await.map_or(0, |told| told.0) != 200 {
        tokio::task::yield_now().await;
    }
}

fn message(class: &str, id: &str, dest: u64) -> Invocation {
    Invocation { key: Some(id.into()), ..Invocation::new(class, id, dest, LONG) }
}

async fn ends(fleet: &Fleet, id: &str) {
    fleet.until(id, PATIENCE, |record: &Record| record.has_ended(id).then_some(())).await.unwrap();
}

async fn call(fleet: &Fleet, id: &str, n: usize) -> Call {
    let found = |record: &Record| record.calls_of(id).filter(|call| call.whole.is_some()).nth(n - 1).cloned();
    fleet.until(&format!("call {n} of {id}"), PATIENCE, found).await.unwrap()
}

fn clean(fleet: &Fleet) {
    assert_eq!(audit(&fleet.history(Terms::default())), []);
}

/// The thinnest takeover: one courier of three is killed with two messages in hand. The debit that was out is ended, the keyed
/// notice is repeated within its span, each by one other courier.
#[test]
fn what_a_killed_courier_had_in_hand_is_taken_over_once() {
    play(async || {
        let mut fleet = fleet(3).await;
        for (class, id) in [("fee-debit", "debit"), ("paid-notice", "paid")] {
            assert_eq!(fleet.hand_in(1, &message(class, id, 2), b"body").await, 202);
            call(&fleet, id, 1).await;
        }
        fleet.kill(1).await.unwrap();
        ends(&fleet, "debit").await;
        let taken = call(&fleet, "paid", 2).await;
        assert_ne!(taken.courier, 1);
        fleet.partner(1).release("paid", Answer::ok());
        ends(&fleet, "paid").await;
        assert_eq!(fleet.witness.read(|record| record.calls_of("debit").count()), 1);
        fleet.restart(1).await.unwrap();
        ready(&fleet, 1).await;
        clean(&fleet);
    });
}
