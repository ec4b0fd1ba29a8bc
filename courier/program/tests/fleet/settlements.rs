//! Settlements between couriers: whole and in order, wherever they are handed in and whoever is lost; and
//! nothing after a break.

use super::*;
use quillmount_policy::Micros;
use quillmount_standins::audit::{History, SettlementEnd, SettlementOutcome, SettlementPosition};
use quillmount_standins::fleet::link::LinkMode;
use std::time::Instant;
use tokio::task::spawn_local;

const OF: u32 = 6;
/// Positions of a settlement that are handed in one after the other.
const PACED: u32 = 40;
/// The partner that fails at position 4 of every tenth settlement; it may have run.
const FAILS: u64 = 3;

/// Three couriers that carry the settlements of both partners, with the time in which all came to serve.
async fn carriers() -> Fleet {
    let mut setup = setup(3);
    let settlements = json!([{"dest": 1, "mode": "message"}, {"dest": HOLDS}, {"dest": FAILS}]);
    setup.partner(FAILS, |call| if call.id.ends_with("0-4") { Answer::failed() } else { Answer::ok() });
    setup.fleet = Some(json!({"lease": "2s", "copies": 1, "settlements": settlements}));
    start(setup).await
}

fn id(position: u32) -> String {
    format!("evening-{position}")
}

fn part(dest: u64, position: u32) -> MessageRequest {
    of(dest, ("evening", OF), &id(position), position)
}

/// A position of a settlement of so many, under an id.
fn of(dest: u64, (settlement, all): (&str, u32), id: &str, position: u32) -> MessageRequest {
    let count = if position == all { format!(",of={all}") } else { String::new() };
    let of = format!(",settlement={settlement},position={position}{count}");
    MessageRequest {
        of,
        headers: "X-Account: north\r\n".into(),
        ..MessageRequest::new("fee-debit", id, dest, LONG)
    }
}

/// Hands a position in, again and again where it is told to come again, and returns the answer.
async fn submit(fleet: &Fleet, courier: usize, dest: u64, position: u32) -> u16 {
    let consumer = fleet.client(courier);
    let asks = async {
        loop {
            match consumer.submit(&part(dest, position), BODY).await {
                503 => yield_now().await,
                status => return status,
            }
        }
    };
    timeout(WAIT_TIMEOUT, asks).await.unwrap()
}

/// Waits until the home knows this position's end, and has it at a copy: its word is that it was delivered.
async fn delivered(fleet: &Fleet, courier: usize, position: u32) {
    let what = format!("the word that {position} is delivered");
    until(&what, async || fleet.client(courier).submit(&part(1, position), BODY).await == 200).await;
}

/// Waits until the settlement is over by everybody's word.
async fn over(fleet: &Fleet, courier: usize, dest: u64) {
    until("the verdict", async || fleet.client(courier).submit(&part(dest, OF), BODY).await == 409).await;
}

/// Who is home to it, by the latest word of any but these, who were before.
async fn home(fleet: &Fleet, but: &[usize]) -> usize {
    let says = |line: &str| line.contains("is owned here") || line.contains("continues here");
    let found = |record: &RunRecord| {
        let line = record.lines.iter().rfind(|line| says(&line.text) && !but.contains(&line.courier));
        line.map(|line| line.courier)
    };
    fleet.wait_until("a home", WAIT_TIMEOUT, found).await.unwrap()
}

/// What the partner saw of it, in order.
fn seen(fleet: &Fleet) -> Vec<SettlementPosition> {
    let position = |call: &RecordedCall| {
        let (settlement, position) = call.id.rsplit_once('-')?;
        let (settlement, position) = (settlement.to_string(), position.parse().ok()?);
        Some(SettlementPosition {
            settlement,
            position,
            of: None,
            at: call.began.at,
            ran: call.ran,
            session: None,
        })
    };
    fleet.recorder.read(|record| record.calls.iter().filter_map(position).collect())
}

/// All that is to hold, by the auditor; prints what the partner saw.
fn whole(fleet: &Fleet, outcome: SettlementOutcome) {
    let mut history = fleet.history(AuditRules::default());
    history.positions = seen(fleet);
    let at = history.at;
    history.ends = vec![SettlementEnd { settlement: "evening".into(), outcome, at }];
    let order: Vec<u32> = history.positions.iter().map(|seen| seen.position).collect();
    println!("settlement: {outcome}, the partner saw {order:?}");
    assert_eq!(audit(&history), []);
}

#[test]
fn a_settlement_submitted_backwards_at_three_couriers_is_delivered_in_order() {
    run_test(async || {
        let fleet = std::rc::Rc::new(carriers().await);
        let begun = Instant::now();
        let asked: Vec<_> = (1..=OF)
            .rev()
            .map(|position| {
                let fleet = fleet.clone();
                spawn_local(async move { submit(&fleet, position as usize % 3, 1, position).await })
            })
            .collect();
        for asked in asked {
            assert!(matches!(asked.await.unwrap(), 200 | 202));
        }
        let told = begun.elapsed();
        over(&fleet, 0, 1).await;
        println!("settlement: {OF} taken on in {told:?}, over in {:?}", begun.elapsed());
        assert_eq!(seen(&fleet).iter().map(|seen| seen.position).collect::<Vec<_>>(), [1, 2, 3, 4, 5, 6]);
        whole(&fleet, SettlementOutcome::Closed(OF));
        // Beside messages alone: what the way to the home, the journal's lines and the turn take until the
        // answer.
        let (mut alone, mut together) = (Vec::new(), Vec::new());
        for n in 1..=PACED {
            let begun = Instant::now();
            assert_eq!(fleet.submit(1, &message("fee-debit", &format!("alone-{n}"), 1), BODY).await, 202);
            alone.push(begun.elapsed());
            let (begun, id) = (Instant::now(), format!("paced-{n}"));
            let courier = usize::from(n > 1);
            assert_eq!(fleet.submit(courier, &of(1, ("paced", PACED), &id, n), BODY).await, 202);
            together.push(begun.elapsed());
        }
        for n in 1..=PACED {
            ends(&fleet, &format!("paced-{n}")).await;
        }
        [&mut alone, &mut together].into_iter().for_each(|times| times.sort_unstable());
        let (alone, together) = (alone[alone.len() / 2], together[together.len() / 2]);
        println!(
            "settlement: the median answer after {together:?} at another courier than its home, alone {alone:?}"
        );
        // Other messages to the same partner go as ever.
        assert_eq!(fleet.submit(1, &message("fee-debit", "alone", 1), BODY).await, 202);
        ends(&fleet, "alone").await;
    });
}

/// What happens to a home between two positions.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    Killed,
    /// It is back with its folder before its lease lapses.
    Restarted,
    Stopped,
    /// It goes on when all is over.
    Paused,
}

/// Position 3 was answered, 5 waits for 4, and the home is lost: another has what it had, and goes on with 4.
async fn lost_between_two_positions(loss: Loss) {
    let mut fleet = carriers().await;
    for position in [1, 2, 3, 5] {
        assert!(matches!(submit(&fleet, 0, 1, position).await, 200 | 202));
    }
    let home = home(&fleet, &[]).await;
    let [other, next] = others(&fleet, &[home])[..] else { panic!("three couriers") };
    delivered(&fleet, other, 3).await;
    let lost = Instant::now();
    match loss {
        Loss::Killed => fleet.kill(home).await.unwrap(),
        Loss::Restarted => fleet.restart(home).await.unwrap(),
        Loss::Paused => fleet.suspend(home).unwrap(),
        Loss::Stopped => {
            fleet.send_sigterm(home).unwrap();
            fleet.wait_for_exit(home).await.unwrap();
        }
    }
    for (courier, position) in [(other, 4), (next, 6)] {
        assert!(matches!(submit(&fleet, courier, 1, position).await, 200 | 202), "{position}");
    }
    call(&fleet, "evening-4", 1).await;
    println!("settlement: home {loss:?}, next position's call after {:?}", lost.elapsed());
    over(&fleet, other, 1).await;
    match loss {
        Loss::Restarted => _ = fleet.wait_for_log(home, "continues here").await.unwrap(),
        _ => _ = self::home(&fleet, &[home]).await,
    }
    if loss == Loss::Paused {
        fleet.resume(home).unwrap();
        fleet.wait_for_log(home, "the process restarts").await.unwrap();
        ready(&fleet, home).await;
    }
    assert_eq!(seen(&fleet).iter().map(|seen| seen.position).collect::<Vec<_>>(), [1, 2, 3, 4, 5, 6]);
    whole(&fleet, SettlementOutcome::Closed(OF));
}

#[test]
fn a_settlement_continues_elsewhere_when_its_owner_is_killed() {
    run_test(|| lost_between_two_positions(Loss::Killed));
}

#[test]
fn a_settlement_continues_at_its_owner_that_returns_with_its_folder() {
    run_test(|| lost_between_two_positions(Loss::Restarted));
}

#[test]
fn a_settlement_continues_elsewhere_when_its_owner_stops_or_pauses() {
    run_test(|| lost_between_two_positions(Loss::Stopped));
    run_test(|| lost_between_two_positions(Loss::Paused));
}

/// The home is lost, and so is whoever took the settlement over.
#[test]
fn a_settlement_survives_the_loss_of_two_owners() {
    run_test(async || {
        let mut setup = setup(5);
        setup.fleet = Some(json!({"lease": "2s", "copies": 2, "settlements": [{"dest": 1}]}));
        let mut fleet = start(setup).await;
        let mut lost = Vec::new();
        // Position 5 waits at the first home, and at the second.
        for (next, waits, last) in [(1, 5, 1), (2, 3, 3)] {
            let courier = others(&fleet, &lost)[0];
            for position in [next, waits] {
                assert!(matches!(submit(&fleet, courier, 1, position).await, 200 | 202));
            }
            delivered(&fleet, courier, last).await;
            lost.push(home(&fleet, &lost).await);
            fleet.kill(lost[lost.len() - 1]).await.unwrap();
        }
        let courier = others(&fleet, &lost)[0];
        for position in [6, 4] {
            assert!(matches!(submit(&fleet, courier, 1, position).await, 200 | 202));
        }
        over(&fleet, courier, 1).await;
        home(&fleet, &lost).await;
        assert_eq!(seen(&fleet).iter().map(|seen| seen.position).collect::<Vec<_>>(), [1, 2, 3, 4, 5, 6]);
        whole(&fleet, SettlementOutcome::Closed(OF));
    });
}

/// Position 1 is out when the home is lost: it may have run, and is not sent again; 2 and 3 never run, and
/// are told so.
#[test]
fn a_debit_that_may_have_run_breaks_its_settlement() {
    run_test(async || {
        let mut fleet = carriers().await;
        for position in [3, 2, 1] {
            assert_eq!(submit(&fleet, 0, HOLDS, position).await, 202);
        }
        call(&fleet, "evening-1", 1).await;
        let home = home(&fleet, &[]).await;
        fleet.kill(home).await.unwrap();
        for position in 1..=3 {
            ends(&fleet, &id(position)).await;
        }
        let [other, _] = others(&fleet, &[home])[..] else { panic!("three couriers") };
        over(&fleet, other, HOLDS).await;
        let status = |position| {
            let id = id(position);
            fleet.recorder.read(|record| record.notices_of(&id).next().unwrap().line.clone())
        };
        assert!(status(1).contains("undeliverable"), "{}", status(1));
        assert!(
            status(2).contains("deferred") && status(3).contains("deferred"),
            "{} {}",
            status(2),
            status(3)
        );
        assert_eq!(seen(&fleet).len(), 1);
        fleet.partner(1).release("evening-1", Answer::ok());
        whole(&fleet, SettlementOutcome::Broken(1));
    });
}

/// The home's word waits for a copy: a position that only the home has would be lost with it.
#[test]
fn a_position_is_not_accepted_before_it_is_replicated() {
    run_test(async || {
        let fleet = carriers().await;
        assert!(matches!(submit(&fleet, 0, 1, 1).await, 200 | 202));
        delivered(&fleet, 0, 1).await;
        let home = home(&fleet, &[]).await;
        let copy = copies_of(&fleet, home, 1)[0];
        fleet.link(home, copy).set(LinkMode::Partitioned);
        assert_eq!(fleet.submit(home, &part(1, 2), BODY).await, 503);
        fleet.link(home, copy).set(LinkMode::Pass);
        for position in 2..=OF {
            assert!(matches!(submit(&fleet, home, 1, position).await, 200 | 202));
        }
        over(&fleet, home, 1).await;
        whole(&fleet, SettlementOutcome::Closed(OF));
    });
}

/// Settlements that are under way at once.
const MANY: usize = 24;

/// Positions of many settlements come at all couriers in any order, while one courier after the other is
/// killed and started: each settlement is whole, or broken with nothing behind the break, and no debit comes
/// twice.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn many_settlements_complete_or_end_at_their_break_while_couriers_are_lost() {
    run_test(async || {
        let mut fleet = carriers().await;
        let mut rng = setup(3).generator();
        let name = |settlement: usize| format!("s{settlement}");
        let msg = |settlement: usize, position: u32| format!("s{settlement}-{position}");
        let mut tasks = Vec::new();
        for settlement in 0..MANY {
            let mut positions: Vec<u32> = (1..=OF).collect();
            rng.shuffle(&mut positions);
            for position in positions {
                let consumers = [0, 1, 2].map(|n| fleet.client(n));
                let message = of(FAILS, (&name(settlement), OF), &msg(settlement, position), position);
                let first = rng.usize(..3);
                tasks.push(spawn_local(async move {
                    for n in first.. {
                        match consumers[n % 3].submit(&message, BODY).await {
                            0 | 503 => yield_now().await,
                            status => return status,
                        }
                    }
                    0
                }));
            }
        }
        for n in 0..3 {
            // Some of them are under way by now, at every courier.
            let so_far = n * MANY;
            fleet
                .wait_until("calls", WAIT_TIMEOUT, |r: &RunRecord| (r.calls.len() > so_far).then_some(()))
                .await
                .unwrap();
            fleet.kill(n).await.unwrap();
            fleet.spawn(n).unwrap();
            fleet.wait_until_serving(n).await.unwrap();
            ready(&fleet, n).await;
        }
        for task in tasks {
            let status = timeout(WAIT_TIMEOUT, task).await.unwrap().unwrap();
            assert!(matches!(status, 200 | 202 | 400 | 409), "{status}");
        }
        let mut ends = Vec::new();
        for settlement in 0..MANY {
            let last = of(FAILS, (&name(settlement), OF), &msg(settlement, OF), OF);
            until("the verdict", async || fleet.client(0).submit(&last, BODY).await == 409).await;
            let over = |record: &RunRecord| {
                (1..=OF).all(|position| {
                    let id = msg(settlement, position);
                    let told = record.submissions.iter().filter(|told| told.id == id);
                    let taken_on =
                        told.filter_map(|told| told.answer).any(|(_, status)| matches!(status, 200 | 202));
                    !taken_on || record.has_ended(&id)
                })
            };
            until("all ends", async || fleet.recorder.read(over)).await;
            let delivered = |position: &u32| {
                let id = msg(settlement, *position);
                fleet.recorder.read(|r| r.has_ended(&id) && r.notices_of(&id).next().is_none())
            };
            let outcome = match (1..=OF).find(|position| !delivered(position)) {
                Some(position) => SettlementOutcome::Broken(position),
                None => SettlementOutcome::Closed(OF),
            };
            ends.push(SettlementEnd { settlement: name(settlement), outcome, at: Micros::MAX });
        }
        let broken = ends.iter().filter(|end| matches!(end.outcome, SettlementOutcome::Broken(_))).count();
        let audited = History { positions: seen(&fleet), ends, ..fleet.history(AuditRules::default()) };
        assert!(broken >= 3, "{broken}");
        println!(
            "settlements: {MANY} of {OF}, three couriers lost: {broken} broken, {} calls",
            audited.positions.len()
        );
        assert_eq!(audit(&audited), []);
        heals(&mut fleet).await;
    });
}
