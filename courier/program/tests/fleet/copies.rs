//! What a courier does where a copy of its journal is gone, or where there is no room for what it takes over.

use super::*;
use quillmount_standins::client;

/// Two couriers, of which the first agrees with itself alone: the second is its only copy.
async fn pair(missing: &str) -> Fleet {
    let mut setup = setup(2);
    setup.fleet = Some(json!({"lease": "2s", "copies": 1, "on_missing": missing}));
    start(setup).await
}

/// `require`: a 202 always means two journals.
#[test]
fn without_its_only_replica_a_courier_that_requires_one_rejects() {
    run_test(async || {
        let mut fleet = pair("require").await;
        fleet.kill(1).await.unwrap();
        unready(&fleet, 0).await;
        let told = fleet.get(0, "/-/ready").await.unwrap().1;
        assert!(told.contains("cop"), "{told:?}");
        let answer = client::submit(fleet.addr(0), &message("fee-debit", "refused", 1), BODY).await.unwrap();
        assert_eq!(answer.status(), 503);
        let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!(wait > 0.0, "{wait}");
        heals(&mut fleet).await;
    });
}

/// `prefer`: it goes on alone once that is agreed, and says so.
#[test]
fn without_its_only_replica_a_courier_that_prefers_one_continues_alone() {
    run_test(async || {
        let mut fleet = pair("prefer").await;
        let lost = now(&fleet);
        fleet.kill(1).await.unwrap();
        anybody_says(&fleet, lost, "it continues without one").await;
        ready(&fleet, 0).await;
        hands_in(&fleet, 0, "fee-debit", "alone", 1).await;
        ends(&fleet, "alone").await;
        // What nobody else knows is still its own when it is back.
        in_hand(&fleet, 0, "debit", "paid").await;
        let alone = now(&fleet);
        fleet.restart(0).await.unwrap();
        fleet.wait_for_log(0, "continuing the journal in the data directory").await.unwrap();
        ends(&fleet, "debit").await;
        assert_eq!(call(&fleet, "paid", 2).await.courier, 0);
        fleet.partner(1).release("paid", Answer::ok());
        ends(&fleet, "paid").await;
        fleet.spawn(1).unwrap();
        anybody_says(&fleet, alone, "the journal is replicated to b").await;
        heals(&mut fleet).await;
    });
}

/// A message that waits for the only copy when it is lost is not answered before there is one again.
#[test]
fn a_replica_lost_during_a_message_delays_its_answer() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        let copy = copies_of(&fleet, 1, 1)[0];
        fleet.kill(copy).await.unwrap();
        // Of the other copy, once it is one; taken on and not answered, if it was in time to wait for the lost one.
        until("it is taken on", async || {
            matches!(fleet.submit(1, &message("fee-debit", "late", 1), BODY).await, 0 | 202)
        })
        .await;
        ends(&fleet, "late").await;
        assert_eq!(calls(&fleet, "late"), 1);
        heals(&mut fleet).await;
    });
}

/// The taker's journal is full, by its own limit, of what its partner holds: it takes over when there is room.
#[test]
fn a_successor_without_space_takes_over_once_it_has_some() {
    run_test(async || {
        let mut setup = setup(3);
        setup.partner(4, |_| Answer::Pending);
        let mut fleet = Fleet::prepare(setup).unwrap();
        let takes = taker(&fleet, &[0, 2], HOLDS);
        fleet.configure(takes, &json!({"limits": {"disk_mb": 0.2}})).unwrap();
        for n in 0..3 {
            fleet.spawn(n).unwrap();
        }
        settled(&fleet, 1).await;
        for n in 0..3 {
            ready(&fleet, n).await;
        }
        let large = [b'x'; 20_000];
        for id in ["debit", "paid"] {
            let class = if id == "debit" { "fee-debit" } else { "paid-notice" };
            assert_eq!(fleet.submit(1, &message(class, id, HOLDS), &large).await, 202);
            call(&fleet, id, 1).await;
        }
        let mut full = Vec::new();
        loop {
            let id = format!("full-{}", full.len());
            if fleet.submit(takes, &message("fee-debit", &id, 4), &large).await != 202 {
                break;
            }
            full.push(id);
        }
        assert!(full.len() > 1, "{full:?}");
        fleet.kill(1).await.unwrap();
        fleet.wait_for_log(takes, "what is taken over can't be written").await.unwrap();
        assert_eq!((calls(&fleet, "paid"), status(&fleet, takes).await), (1, 200));
        for id in full {
            call(&fleet, &id, 1).await;
            fleet.partner(2).release(&id, Answer::ok());
        }
        taken_over(&fleet, 1, "debit", "paid").await;
        heals(&mut fleet).await;
    });
}

/// The room for copies at a courier is full, by its own limit: no call is made for what it lacks until another holds the copy.
#[test]
fn a_replica_without_space_is_replaced() {
    run_test(async || {
        let mut fleet = Fleet::prepare(setup(3)).unwrap();
        let copy = copies_of(&fleet, 1, 1)[0];
        fleet.configure(copy, &json!({"limits": {"disk_mb": 0.01}})).unwrap();
        for n in 0..3 {
            fleet.spawn(n).unwrap();
        }
        settled(&fleet, 1).await;
        ready(&fleet, 1).await;
        let large = [b'x'; 30_000];
        // The second is one too many for the copy.
        assert_eq!(fleet.submit(1, &message("fee-debit", "fits", HOLDS), &large).await, 202);
        let consumer = fleet.client(1);
        let message = message("fee-debit", "waits", HOLDS);
        let waits = tokio::task::spawn_local(async move { consumer.submit(&message, &large).await });
        fleet.wait_for_log(copy, "writing the replica of journal").await.unwrap();
        assert_eq!(calls(&fleet, "waits"), 0);
        fleet.wait_for_log(1, "lags and is replaced").await.unwrap();
        // Its consumer may have been given up by then; the message is not.
        assert!(matches!(waits.await.unwrap(), 0 | 202));
        for id in ["fits", "waits"] {
            call(&fleet, id, 1).await;
            fleet.partner(1).release(id, Answer::ok());
            ends(&fleet, id).await;
        }
        heals(&mut fleet).await;
    });
}
