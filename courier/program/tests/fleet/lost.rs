//! Couriers that are killed, one or several.

use super::*;

/// The thinnest takeover: one courier of three is killed with two messages in hand. The debit that was out is ended, the keyed
/// notice is repeated within its span, each by one other courier.
#[test]
fn messages_of_a_killed_courier_are_taken_over_once() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        in_hand(&fleet, 1, "debit", "paid").await;
        fleet.kill(1).await.unwrap();
        taken_over(&fleet, 1, "debit", "paid").await;
        heals(&mut fleet).await;
    });
}

#[test]
fn the_owner_and_one_of_two_replicas_are_lost_together() {
    run_test(async || {
        let mut fleet = five().await;
        in_hand(&fleet, 4, "debit", "paid").await;
        let copy = copies_of(&fleet, 4, 2)[0];
        fleet.kill(4).await.unwrap();
        fleet.kill(copy).await.unwrap();
        taken_over(&fleet, 4, "debit", "paid").await;
        heals(&mut fleet).await;
    });
}

#[test]
fn the_leader_is_lost_during_a_takeover() {
    run_test(async || {
        let mut fleet = five().await;
        in_hand(&fleet, 4, "debit", "paid").await;
        let lost = now(&fleet);
        fleet.kill(4).await.unwrap();
        anybody_says(&fleet, lost, "journal e/").await;
        let leads = leader(&fleet);
        fleet.kill(leads).await.unwrap();
        taken_over(&fleet, 4, "debit", "paid").await;
        assert_ne!(leader(&fleet), leads);
        heals(&mut fleet).await;
    });
}

/// The taker is lost once the book's parts are in its journal, whether they are agreed to be its own by then or not.
#[test]
fn the_successor_is_lost_during_a_takeover() {
    run_test(async || {
        let mut fleet = five().await;
        in_hand(&fleet, 4, "debit", "paid").await;
        let takes = taker(&fleet, &others(&fleet, &[4]), HOLDS);
        fleet.kill(4).await.unwrap();
        fleet.wait_for_log(takes, "takes over").await.unwrap();
        fleet.kill(takes).await.unwrap();
        ends(&fleet, "debit").await;
        assert_eq!(calls(&fleet, "debit"), 1);
        // Where the taker's own call was out, that is one more.
        let by = |record: &RunRecord| {
            let mut calls = record.calls_of("paid").filter(|call| call.completed.is_some());
            calls.find(|call| ![4, takes].contains(&call.courier)).map(|_| ())
        };
        fleet.wait_until("the second taker's call", WAIT_TIMEOUT, by).await.unwrap();
        fleet.partner(1).release("paid", Answer::ok());
        ends(&fleet, "paid").await;
        heals(&mut fleet).await;
    });
}

#[test]
fn the_owner_returns_with_its_folder_during_the_takeover() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        in_hand(&fleet, 1, "debit", "paid").await;
        let lost = now(&fleet);
        fleet.kill(1).await.unwrap();
        anybody_says(&fleet, lost, "journal b/").await;
        fleet.spawn(1).unwrap();
        ends(&fleet, "debit").await;
        call(&fleet, "paid", 2).await;
        fleet.partner(1).release("paid", Answer::ok());
        ends(&fleet, "paid").await;
        assert_eq!((calls(&fleet, "debit"), calls(&fleet, "paid")), (1, 2));
        heals(&mut fleet).await;
    });
}

#[test]
fn the_owner_returns_with_its_folder_after_the_takeover() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        in_hand(&fleet, 1, "debit", "paid").await;
        fleet.kill(1).await.unwrap();
        taken_over(&fleet, 1, "debit", "paid").await;
        fleet.restart(1).await.unwrap();
        fleet.wait_for_log(1, "with an empty journal").await.unwrap();
        ready(&fleet, 1).await;
        heals(&mut fleet).await;
    });
}

/// Its book is others' at once, without a wait for its lease.
#[test]
fn the_owner_returns_with_an_empty_folder_under_the_same_name() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        in_hand(&fleet, 1, "debit", "paid").await;
        fleet.lose_folder(1).await.unwrap();
        ends(&fleet, "debit").await;
        call(&fleet, "paid", 2).await;
        fleet.partner(1).release("paid", Answer::ok());
        ends(&fleet, "paid").await;
        assert_eq!((calls(&fleet, "debit"), calls(&fleet, "paid")), (1, 2));
        heals(&mut fleet).await;
    });
}
