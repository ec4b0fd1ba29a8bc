//! Faults drawn by a seed: one courier at a time is killed, stopped, paused or cut off, and links are cut in the middle of
//! requests, under load. The pace is that of what the couriers say to each other.

use super::*;
use quillmount_standins::fleet::link::{Once, Way};
use quillmount_standins::record::Told;

const COURIERS: usize = 4;
const STEPS: usize = 30;

/// Waits until so many more things have happened on the links.
async fn goes_on(fleet: &Fleet, events: usize) {
    let since = fleet.witness.read(|record| record.passed.len());
    let more = |record: &Record| (record.passed.len() >= since + events).then_some(());
    fleet.until("the couriers speak", PATIENCE, more).await.unwrap();
}

async fn day(seed: u64) {
    let mut setup = setup(COURIERS);
    setup.seed = seed;
    setup.partner(3, move |call| match call.began.n % 5 {
        0 => Answer::full("1"),
        1 => Answer::Reset,
        _ => Answer::ok(),
    });
    let mut draws = setup.generator();
    let mut fleet = start(setup).await;
    let mut load = Vec::new();
    // The one that is harmed, until it is well again.
    let mut harmed: Option<usize> = None;
    for step in 0..STEPS {
        for k in 0..4 {
            let class = if draws.bool() { "fee-debit" } else { "paid-notice" };
            let (consumer, dest) = (fleet.consumer(draws.usize(..COURIERS)), [1, HOLDS, 3][draws.usize(..3)]);
            let invocation = message(class, &format!("m{step}-{k}"), dest);
            load.push(tokio::task::spawn_local(async move { consumer.hand_in(&invocation, BODY).await }));
        }
        if draws.u8(..3) == 0 {
            let answer = if draws.bool() { Answer::ok() } else { Answer::failed() };
            fleet.partner(1).release_where(answer, |_| true);
        }
        let who = draws.usize(..COURIERS);
        let to = (who + draws.usize(1..COURIERS)) % COURIERS;
        match (draws.u8(..10), harmed) {
            (0, None) => {
                fleet.kill(who).await.unwrap();
                harmed = Some(who);
            }
            (1, None) => {
                fleet.pause(who).unwrap();
                harmed = Some(who);
            }
            (2, None) => {
                fleet.set_links(who, Way::Cut);
                harmed = Some(who);
            }
            (3, None) => {
                fleet.term(who).unwrap();
                fleet.ended(who).await.unwrap();
                harmed = Some(who);
            }
            (4, None) => {
                fleet.kill(who).await.unwrap();
                fleet.spawn(who).unwrap();
            }
            (5, None) => {
                (0..COURIERS).filter(|n| *n != who).for_each(|n| fleet.cut_one_way(who, n));
                harmed = Some(who);
            }
            (0..6, Some(_)) => {
                fleet.mend().await.unwrap();
                harmed = None;
            }
            (6, _) => fleet.link(who, to).close(),
            _ => fleet.link(who, to).once(Once::pick(&mut draws)),
        }
        goes_on(&fleet, draws.usize(50..400)).await;
    }
    fleet.mend().await.unwrap();
    for n in 0..COURIERS {
        ready(&fleet, n).await;
    }
    for task in load {
        task.await.unwrap();
    }
    let taken = |told: &Told| told.answer.is_some_and(|(_, status)| status == 202).then(|| told.id.clone());
    let taken: Vec<_> = fleet.witness.read(|record| record.told.iter().filter_map(taken).collect());
    assert!(taken.len() > STEPS, "only {} messages were taken on", taken.len());
    for id in taken {
        while !fleet.witness.read(|record| record.has_ended(&id)) {
            fleet.partner(1).release_where(Answer::ok(), |_| true);
            goes_on(&fleet, 10).await;
        }
    }
    heals(&mut fleet).await;
}

#[test]
fn no_drawn_fault_loses_a_message_or_runs_a_debit_twice() {
    let seed = std::env::var("SEED").map_or(1, |s| s.parse().unwrap());
    play(async || day(seed).await);
}
