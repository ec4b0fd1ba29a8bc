//! Couriers that stop, are started again, or come back as others.

use super::*;
use quillmount_standins::fleet::link::LinkMode;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Nobody takes over what is still its owner's: the debits that were out are ended by them, notices go on.
#[test]
fn all_are_killed_and_started_within_a_second() {
    run_test(async || {
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
            fleet.wait_for_log(n, "continuing the journal in the data directory").await.unwrap();
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
    run_test(async || {
        let mut fleet = fleet(3).await;
        let (over, sent) = (Rc::new(Cell::new(false)), Rc::new(RefCell::new(Vec::new())));
        let load: Vec<_> = (0..3)
            .map(|n| {
                let (consumer, over, sent) = (fleet.client(n), over.clone(), sent.clone());
                tokio::task::spawn_local(async move {
                    for k in 0.. {
                        if over.get() {
                            return;
                        }
                        let class = if k % 2 == 0 { "fee-debit" } else { "paid-notice" };
                        let id = format!("load-{n}-{k}");
                        if consumer.submit(&message(class, &id, 1), BODY).await == 202 {
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
                    fleet.send_sigterm(n).unwrap();
                    fleet.wait_for_exit(n).await.unwrap();
                } else {
                    fleet.kill(n).await.unwrap();
                }
                fleet.spawn(n).unwrap();
                fleet.wait_until_serving(n).await.unwrap();
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
fn a_planned_stop_hands_the_journal_over_without_waiting_for_the_lease() {
    run_test(async || {
        let mut setup = setup(3);
        setup.fleet = Some(json!({"lease": "60s", "copies": 1}));
        // Turned away at the one that will stop, to come again later than that.
        setup.partner(3, |call| if call.courier == 1 { Answer::full("3") } else { Answer::ok() });
        let mut fleet = start(setup).await;
        for id in ["one", "two"] {
            hands_in(&fleet, 1, "fee-debit", id, 3).await;
            call(&fleet, id, 1).await;
        }
        fleet.send_sigterm(1).unwrap();
        assert!(fleet.wait_for_exit(1).await.unwrap().success());
        for id in ["one", "two"] {
            ends(&fleet, id).await;
            let by = fleet.recorder.read(|r| r.calls_of(id).map(|call| call.courier).collect::<Vec<_>>());
            assert_eq!((by.len(), by[0] == 1, by[1] == 1), (2, true, false), "{by:?}");
        }
        fleet.spawn(1).unwrap();
        fleet.wait_for_log(1, "with an empty journal").await.unwrap();
        heals(&mut fleet).await;
    });
}

/// A voter's folder is lost while the others serve. It comes back as one that has never voted, and is one of those who agree
/// again: another of them may be lost then.
#[test]
fn a_voter_that_lost_its_folder_is_replaced_while_serving() {
    run_test(async || {
        let mut fleet = five().await;
        fleet.lose_folder(1).await.unwrap();
        for n in [0, 2, 3, 4] {
            let id = format!("meanwhile-{n}");
            hands_in(&fleet, n, "fee-debit", &id, 1).await;
            ends(&fleet, &id).await;
        }
        fleet.wait_until_serving(1).await.unwrap();
        ready(&fleet, 1).await;
        in_hand(&fleet, 4, "debit", "paid").await;
        fleet.kill(0).await.unwrap();
        fleet.kill(4).await.unwrap();
        taken_over(&fleet, 4, "debit", "paid").await;
        heals(&mut fleet).await;
    });
}

/// An end that is written as the last thing before the stop is at the copy before the book is others': they don't end it again.
#[test]
fn the_last_end_before_a_planned_stop_is_not_reported_twice() {
    run_test(async || {
        let mut fleet = fleet(5).await;
        let far = |owner: &usize| copies_of(&fleet, *owner, 1)[0] != leader(&fleet);
        let owner = others(&fleet, &[leader(&fleet)]).into_iter().find(far).unwrap();
        let copy = copies_of(&fleet, owner, 1)[0];
        hands_in(&fleet, owner, "fee-debit", "debit", HOLDS).await;
        call(&fleet, "debit", 1).await;
        let mut idle = tokio::net::TcpStream::connect(fleet.addr(owner)).await.unwrap();
        idle.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        let mut bytes = [0; 512];
        assert!(idle.read(&mut bytes).await.unwrap() > 0);
        fleet.send_sigterm(owner).unwrap();
        // Connections without a request are closed at the end of the stop, when it waits for calls alone.
        assert_eq!(idle.read(&mut bytes).await.unwrap_or(0), 0);
        fleet.link(owner, copy).set(LinkMode::Delay(Duration::from_millis(45)));
        fleet.partner(1).release("debit", Answer::ok());
        assert!(fleet.wait_for_exit(owner).await.unwrap().success());
        fleet.spawn(owner).unwrap();
        fleet.wait_for_log(owner, "with an empty journal").await.unwrap();
        heals(&mut fleet).await;
        assert_eq!(fleet.recorder.read(|record| record.notices_of("debit").count()), 0);
    });
}

/// The operators name other voters, and every courier reads that while it serves: those agree from then on.
#[test]
fn voters_are_replaced_by_a_reload_while_serving() {
    run_test(async || {
        let mut fleet = five().await;
        let named = now(&fleet);
        for n in 0..5 {
            fleet.configure_operator(n, &json!({"fleet": {"voters": ["c", "d", "e"]}})).unwrap();
            fleet.send_sighup(n).unwrap();
        }
        for n in 0..5 {
            let exchanged = |record: &RunRecord| {
                let mut said = record.lines.iter().filter(|l| l.courier == n && l.when > named);
                said.any(|line| line.text.ends_with("voters are c, d, e")).then_some(())
            };
            fleet.wait_until("the named voters", WAIT_TIMEOUT, exchanged).await.unwrap();
        }
        in_hand(&fleet, 0, "debit", "paid").await;
        // Two of the voters of before.
        fleet.kill(0).await.unwrap();
        fleet.kill(1).await.unwrap();
        taken_over(&fleet, 0, "debit", "paid").await;
        heals(&mut fleet).await;
    });
}

/// What a courier owed before it was one of a fleet stays its own. With the section off again, a folder that has not left is
/// refused, since others may have its work by then; one that has left begins with nothing.
#[test]
fn the_section_is_switched_on_and_off() {
    run_test(async || {
        let mut fleet = Fleet::prepare(setup(4)).unwrap();
        fleet.configure_operator(3, &json!({"fleet": {"on": false}})).unwrap();
        for n in 0..4 {
            fleet.spawn(n).unwrap();
        }
        for n in 0..4 {
            ready(&fleet, n).await;
        }
        in_hand(&fleet, 3, "debit", "paid").await;
        fleet.kill(3).await.unwrap();
        fleet.configure_operator(3, &json!({"fleet": {"on": true}})).unwrap();
        fleet.spawn(3).unwrap();
        ends(&fleet, "debit").await;
        assert_eq!(call(&fleet, "paid", 2).await.courier, 3);
        fleet.partner(1).release("paid", Answer::ok());
        ends(&fleet, "paid").await;
        assert_eq!((calls(&fleet, "debit"), said(&fleet, "takes over")), (1, 0));

        fleet.kill(3).await.unwrap();
        fleet.configure_operator(3, &json!({"fleet": {"on": false}})).unwrap();
        fleet.spawn(3).unwrap();
        assert!(!fleet.wait_for_exit(3).await.unwrap().success());
        fleet.wait_for_log(3, "has not left").await.unwrap();

        fleet.configure_operator(3, &json!({"fleet": {"on": true}})).unwrap();
        fleet.spawn(3).unwrap();
        ready(&fleet, 3).await;
        in_hand(&fleet, 3, "debit-2", "paid-2").await;
        fleet.send_sigterm(3).unwrap();
        assert!(fleet.wait_for_exit(3).await.unwrap().success());
        fleet.configure_operator(3, &json!({"fleet": {"on": false}})).unwrap();
        fleet.spawn(3).unwrap();
        taken_over(&fleet, 3, "debit-2", "paid-2").await;
        heals(&mut fleet).await;
    });
}

/// A second process with the folder of one that serves waits for it, and takes no part in the fleet before.
#[test]
fn a_second_process_with_the_same_folder_waits_for_the_first() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        let folder = fleet.folder(1);
        let folder = folder.parent().unwrap();
        let mut second = tokio::process::Command::new(env!("CARGO_BIN_EXE_quillmount"))
            .arg("run")
            .arg("--operator")
            .arg(folder.join("operator.json"))
            .env("GW_CONFIG", folder.join("config.json"))
            .env("GW_STATE", folder.join("state"))
            .env("GW_OPERATOR", "127.0.0.1:0")
            .env("RUST_LOG", "info")
            .stderr(std::process::Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let log = tokio::io::BufReader::new(second.stderr.take().unwrap());
        let mut lines = tokio::io::AsyncBufReadExt::lines(log);
        let mut says = async |words: &str| {
            let said = async { while !lines.next_line().await.unwrap().unwrap().contains(words) {} };
            assert!(timeout(WAIT_TIMEOUT, said).await.is_ok(), "the second process never said {words:?}");
        };
        says("does not listen").await;
        in_hand(&fleet, 1, "debit", "paid").await;
        assert_eq!(status(&fleet, 1).await, 200);
        fleet.send_sigterm(1).unwrap();
        assert!(fleet.wait_for_exit(1).await.unwrap().success());
        says("serving on").await;
        ready(&fleet, 1).await;
        taken_over(&fleet, 1, "debit", "paid").await;
        hands_in(&fleet, 1, "fee-debit", "next", 1).await;
        ends(&fleet, "next").await;
        clean(&fleet);
    });
}
