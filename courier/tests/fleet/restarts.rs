//! Couriers that stop, are started again, or come back as others.

use super::*;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Nobody takes over what is still its owner's: the debits that were out are ended by them, notices go on.
#[test]
fn all_are_killed_and_started_within_a_second() {
    play(async || {
        let mut fleet = fleet(3).await;
        for n in 0..3 {
            in_hand(&fleet, n, &format!("debit-{n}"), &format!("paid-{n}")).await;
        }
        for n in 0..3 {
            fleet.kill(n).await.unwrap();
        }
        for n in 0..3 {
            fleet.spawn(n).unwrap();
        }
        for n in 0..3 {
            fleet.says(n, "with the book in the folder").await.unwrap();
            let (debit, paid) = (format!("debit-{n}"), format!("paid-{n}"));
            ends(&fleet, &debit).await;
            assert_eq!(call(&fleet, &paid, 2).await.courier, n);
            fleet.partner(1).release(&paid, Answer::ok());
            ends(&fleet, &paid).await;
            assert_eq!((calls(&fleet, &debit), calls(&fleet, &paid)), (1, 2));
        }
        assert_eq!(said(&fleet, "takes over"), 0);
        heals(&mut fleet).await;
    });
}

/// One after the other, stopped and killed in turn, while consumers go on with those that are ready.
#[test]
fn a_rolling_restart_of_all_under_load_loses_nothing() {
    play(async || {
        let mut fleet = fleet(3).await;
        let (over, sent) = (Rc::new(Cell::new(false)), Rc::new(RefCell::new(Vec::new())));
        let load: Vec<_> = (0..3)
            .map(|n| {
                let (consumer, over, sent) = (fleet.consumer(n), over.clone(), sent.clone());
                tokio::task::spawn_local(async move {
                    for k in 0.. {
                        if over.get() {
                            return;
                        }
                        let class = if k % 2 == 0 { "fee-debit" } else { "paid-notice" };
                        let id = format!("load-{n}-{k}");
                        if consumer.hand_in(&message(class, &id, 1), BODY).await == 202 {
                            sent.borrow_mut().push(id);
                        }
                        yield_now().await;
                    }
                })
            })
            .collect();
        for round in 0..2 {
            for n in 0..3 {
                let before = sent.borrow().len();
                if (round + n) % 2 == 0 {
                    fleet.term(n).unwrap();
                    fleet.ended(n).await.unwrap();
                } else {
                    fleet.kill(n).await.unwrap();
                }
                fleet.spawn(n).unwrap();
                fleet.serves(n).await.unwrap();
                ready(&fleet, n).await;
                until("the load goes on", async || sent.borrow().len() > before).await;
            }
        }
        over.set(true);
        for task in load {
            task.await.unwrap();
        }
        let sent = sent.take();
        assert!(sent.len() > 100, "{}", sent.len());
        for id in &sent {
            ends(&fleet, id).await;
        }
        heals(&mut fleet).await;
    });
}

/// What a stopped courier leaves goes on elsewhere at once: by a lease that is as long as the message's time it never would.
#[test]
fn a_planned_stop_hands_the_book_over_without_the_wait_for_a_lease() {
    play(async || {
        let mut setup = setup(3);
        setup.fleet = Some(json!({"lease": "30s", "copies": 1}));
        let mut fleet = start(setup).await;
        in_hand(&fleet, 1, "debit", "paid").await;
        fleet.term(1).unwrap();
        assert!(fleet.ended(1).await.unwrap().success());
        taken_over(&fleet, 1, "debit", "paid").await;
        fleet.spawn(1).unwrap();
        fleet.says(1, "with a new book").await.unwrap();
        heals(&mut fleet).await;
    });
}

/// A voter's folder is lost while the others serve. It comes back as one that has never voted, and is one of those who agree
/// again: another of them may be lost then.
#[test]
fn a_voter_that_lost_its_folder_is_replaced_while_serving() {
    play(async || {
        let mut fleet = five().await;
        fleet.lose_folder(1).await.unwrap();
        for n in [0, 2, 3, 4] {
            let id = format!("meanwhile-{n}");
            until("it takes on", async || fleet.hand_in(n, &message("fee-debit", &id, 1), BODY).await == 202)
                .await;
            ends(&fleet, &id).await;
        }
        fleet.serves(1).await.unwrap();
        ready(&fleet, 1).await;
        in_hand(&fleet, 4, "debit", "paid").await;
        fleet.kill(0).await.unwrap();
        fleet.kill(4).await.unwrap();
        taken_over(&fleet, 4, "debit", "paid").await;
        heals(&mut fleet).await;
    });
}
