//! Faults drawn by a seed: as many couriers as there are copies are killed, stopped, paused, cut off or lose their folder at
//! once, and links are cut in the middle of
//! requests, under load. The pace is that of what the couriers say to each other.

use super::*;
use quillmount_standins::fleet::FleetError;
use quillmount_standins::fleet::link::{LinkMode, RequestFault};
use quillmount_standins::record::RecordedSubmission;

/// Faults of one test; a longer day has several times as many.
const STEPS: usize = 8;
const DAY: usize = 30;

/// Waits until so many more things have happened on the links.
async fn goes_on(fleet: &Fleet, events: usize) {
    let since = fleet.recorder.read(|record| record.link_events.len());
    let more = |record: &RunRecord| (record.link_events.len() >= since + events).then_some(());
    fleet.wait_until("the couriers speak", WAIT_TIMEOUT, more).await.unwrap();
}

/// A fault that can't be injected, since the courier does not run, is not in the record: the audit would excuse its answers.
#[test]
fn faults_of_a_courier_that_does_not_run_are_not_recorded() {
    run_test(|| async {
        let mut fleet = fleet(3).await;
        fleet.kill(1).await.unwrap();
        let faults = |fleet: &Fleet| fleet.recorder.read(|record| record.injected_faults.len());
        let before = faults(&fleet);
        assert!(matches!(fleet.suspend(1), Err(FleetError::NotRunning { .. })));
        assert!(matches!(fleet.resume(1), Err(FleetError::NotRunning { .. })));
        assert!(matches!(fleet.send_sigterm(1), Err(FleetError::NotRunning { .. })));
        assert!(matches!(fleet.send_sighup(1), Err(FleetError::NotRunning { .. })));
        assert_eq!(faults(&fleet), before);
    });
}

#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
async fn day(seed: u64, steps: usize, couriers: usize, copies: usize) {
    let mut setup = setup(couriers);
    setup.fleet = Some(json!({"lease": "2s", "copies": copies}));
    setup.seed = seed;
    setup.partner(3, move |call| match call.began.n % 5 {
        0 => Answer::full("1"),
        1 => Answer::Reset,
        _ => Answer::ok(),
    });
    let mut draws = setup.generator();
    let mut fleet = start(setup).await;
    let mut load = Vec::new();
    // Those that are harmed, until all are well again.
    let mut harmed: Vec<usize> = Vec::new();
    for step in 0..steps {
        for k in 0..4 {
            let class = if draws.bool() { "fee-debit" } else { "paid-notice" };
            let (consumer, dest) = (fleet.client(draws.usize(..couriers)), [1, HOLDS, 3][draws.usize(..3)]);
            let message = message(class, &format!("m{step}-{k}"), dest);
            load.push(tokio::task::spawn_local(async move { consumer.submit(&message, BODY).await }));
        }
        if draws.u8(..3) == 0 {
            let answer = if draws.bool() { Answer::ok() } else { Answer::failed() };
            fleet.partner(1).release_where(answer, |_| true);
        }
        let who = draws.usize(..couriers);
        let to = (who + draws.usize(1..couriers)) % couriers;
        let fault = draws.u8(..11);
        let may = harmed.len() < copies && !harmed.contains(&who);
        match fault {
            0..6 if may => {
                match fault {
                    0 => fleet.kill(who).await.unwrap(),
                    1 => fleet.suspend(who).unwrap(),
                    2 => fleet.set_links(who, LinkMode::Partitioned),
                    3 => {
                        fleet.send_sigterm(who).unwrap();
                        fleet.wait_for_exit(who).await.unwrap();
                    }
                    4 => {
                        fleet.kill(who).await.unwrap();
                        fleet.spawn(who).unwrap();
                        continue;
                    }
                    _ => (0..couriers).filter(|n| *n != who).for_each(|n| fleet.partition_one_way(who, n)),
                }
                harmed.push(who);
            }
            0..6 => {
                fleet.heal().await.unwrap();
                harmed.clear();
            }
            6 if harmed.is_empty() => {
                // Its book and those that it has copies of are at one courier less until the fleet has made up for it.
                for n in 0..couriers {
                    ready(&fleet, n).await;
                }
                fleet.lose_folder(who).await.unwrap();
                for n in 0..couriers {
                    ready(&fleet, n).await;
                }
            }
            7 => fleet.link(who, to).close(),
            _ => fleet.link(who, to).fault_next_request(RequestFault::random(&mut draws)),
        }
        goes_on(&fleet, draws.usize(50..400)).await;
    }
    fleet.heal().await.unwrap();
    for n in 0..couriers {
        ready(&fleet, n).await;
    }
    for task in load {
        task.await.unwrap();
    }
    let taken = |told: &RecordedSubmission| {
        told.answer.is_some_and(|(_, status)| status == 202).then(|| told.id.clone())
    };
    let taken: Vec<_> = fleet.recorder.read(|record| record.submissions.iter().filter_map(taken).collect());
    assert!(taken.len() > steps, "only {} messages were taken on", taken.len());
    for id in taken {
        while !fleet.recorder.read(|record| record.has_ended(&id)) {
            fleet.partner(1).release_where(Answer::ok(), |_| true);
            goes_on(&fleet, 10).await;
        }
    }
    heals(&mut fleet).await;
}

#[test]
fn no_drawn_fault_loses_a_message_or_runs_a_debit_twice() {
    run_test(async || day(3, STEPS, 4, 1).await);
}

#[test]
fn no_two_drawn_faults_lose_a_message_or_run_a_debit_twice() {
    run_test(async || day(4, STEPS, 5, 2).await);
}

/// `cargo test --test fleet days_of -- --ignored --nocapture`: a quarter of an hour; each seed is told before its days.
#[test]
#[ignore = "long"]
fn days_of_drawn_faults() {
    for seed in 100..110 {
        println!("seed {seed}");
        run_test(async || day(seed, DAY, 4, 1).await);
        run_test(async || day(seed, DAY, 5, 2).await);
    }
}
