//! Losses of couriers under load, and what becomes of the messages in hand.
//!
//!     cargo build --release -p quillmount && cargo run --release -p quillmount --example fleet_losses -- 20 1
//!
//! So many losses, a seed: each loss is a SIGKILL, a pause or a cut from the rest of the fleet, a third of them of two couriers
//! at once; the lost come back when others have taken over. Printed: messages, what the auditor finds, and the times from a loss
//! to the first call or notice of a taker.

use quillmount_standins::audit::{AuditRules, audit};
use quillmount_standins::client::MessageRequest;
use quillmount_standins::fleet::link::LinkMode;
use quillmount_standins::fleet::{Fleet, FleetSetup};
use quillmount_standins::partner::Answer;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

const COURIERS: usize = 6;
const COPIES: usize = 2;
const LEASE: &str = "1500ms";
/// Consumers at each courier, each with one message at a time.
const CLIENTS_PER_COURIER: usize = 2;
/// Between two messages of a consumer.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(25);
/// One in so many calls is held for a while by the partner, so that something is in hand.
const HELD: u64 = 6;
const RELEASE_AFTER: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Kill,
    Pause,
    Cut,
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<u64>());
    let (Some(Ok(losses)), Some(Ok(seed))) = (args.next(), args.next()) else {
        eprintln!("fleet_losses: how many losses, and a seed");
        std::process::exit(2);
    };
    let program =
        std::env::current_exe().ok().and_then(|exe| Some(exe.parent()?.parent()?.join("quillmount")));
    let Some(program) = program.filter(|program| program.exists()) else {
        eprintln!("fleet_losses: build the program first: cargo build --release -p quillmount");
        std::process::exit(2);
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let played = runtime
        .map(|runtime| tokio::task::LocalSet::new().block_on(&runtime, losses_of(program, losses, seed)));
    if let Err(e) | Ok(Err(e)) = played {
        eprintln!("fleet_losses: {e}");
        std::process::exit(1);
    }
}

async fn losses_of(program: std::path::PathBuf, losses: u64, seed: u64) -> std::io::Result<()> {
    let mut setup = FleetSetup::new(program, COURIERS);
    setup.seed = seed;
    setup.levels = "info".into();
    setup.fleet = Some(json!({"lease": LEASE, "copies": COPIES, "voters": ["a", "b", "c", "d", "e"]}));
    let held = Rc::new(Cell::new(0u64));
    for dest in 1..=4 {
        let held = held.clone();
        setup.partner(dest, move |_| {
            held.set(held.get() + 1);
            if held.get().is_multiple_of(HELD) { Answer::Pending } else { Answer::ok() }
        });
    }
    let mut draws = setup.generator();
    let mut fleet = Fleet::start(setup).await?;
    let going = Rc::new(Cell::new(true));
    let number = Rc::new(Cell::new(0u64));
    let lost: Rc<RefCell<BTreeSet<usize>>> = Rc::default();
    for courier in 0..COURIERS {
        for _ in 0..CLIENTS_PER_COURIER {
            let client = fleet.client(courier);
            let (going, number, lost) = (going.clone(), number.clone(), lost.clone());
            spawn_local(async move {
                while going.get() {
                    // A front that notices a loss within seconds; a few messages get there before.
                    if lost.borrow().contains(&courier) {
                        sleep(SUBMIT_INTERVAL).await;
                        continue;
                    }
                    let n = number.get();
                    number.set(n + 1);
                    let class = if n % 2 == 0 { "fee-debit" } else { "paid-notice" };
                    let time = Duration::from_secs(16);
                    let message = MessageRequest {
                        key: (class == "paid-notice").then(|| format!("k{n}")),
                        ..MessageRequest::new(class, &format!("m{n}"), 1 + n % 4, time)
                    };
                    let given = client.submit(&message, b"body");
                    let answer = tokio::time::timeout(Duration::from_millis(400), given).await;
                    if answer.is_ok_and(|status| status == 202) {
                        sleep(SUBMIT_INTERVAL).await;
                    } else {
                        sleep(SUBMIT_INTERVAL * 4).await;
                    }
                }
            });
        }
    }
    let (mut taken, mut none) = (Vec::new(), 0);
    for n in 0..losses {
        release(&fleet, RELEASE_AFTER).await;
        let kind = [Kind::Kill, Kind::Pause, Kind::Cut][draws.usize(0..3)];
        let first = draws.usize(0..COURIERS);
        let mut victims = BTreeSet::from([first]);
        if draws.u8(0..3) == 0 {
            victims.insert((first + draws.usize(1..COURIERS)) % COURIERS);
        }
        // So that something is in hand: what the partners hold now stays held.
        sleep(Duration::from_millis(50)).await;
        let at = fleet.recorder.now();
        lost.borrow_mut().extend(&victims);
        for victim in &victims {
            match kind {
                Kind::Kill => fleet.kill(*victim).await?,
                Kind::Pause => fleet.suspend(*victim)?,
                Kind::Cut => fleet.set_links(*victim, LinkMode::Partitioned),
            }
        }
        let mine: BTreeSet<String> = fleet.recorder.read(|record| {
            let recent = record
                .submissions
                .iter()
                .rev()
                .take_while(|submission| submission.submitted_at.at + 17_000_000 > at);
            let by = recent.filter(|submission| victims.contains(&submission.courier));
            let taken_on = by.filter(|submission| submission.answer.is_some_and(|(_, status)| status == 202));
            taken_on
                .filter(|submission| !record.has_ended(&submission.id))
                .map(|submission| submission.id.clone())
                .collect()
        });
        if mine.is_empty() {
            none += 1;
        } else {
            let first = fleet.wait_until("a taker's first word", Duration::from_secs(20), |record| {
                let calls = record.calls.iter().rev().take_while(|call| call.began.at > at);
                let calls = calls.filter(|c| mine.contains(&c.id) && !victims.contains(&c.courier));
                let calls = calls.map(|call| call.began.at).min();
                let notices = record.notices.iter().rev().take_while(|notice| notice.when.at > at);
                let notices = notices.filter(|n| mine.contains(&n.id) && !victims.contains(&n.courier));
                calls.into_iter().chain(notices.map(|notice| notice.when.at).min()).min()
            });
            match first.await {
                Ok(first) => taken.push(first - at),
                Err(e) => println!("loss {n} ({kind:?} of {victims:?}, {} in hand): {e}", mine.len()),
            }
        }
        // The lost come back while their work is being taken over, or after.
        sleep(Duration::from_millis(draws.u64(0..1_500))).await;
        fleet.heal().await?;
        lost.borrow_mut().clear();
        // Copies are made up for before the next loss: two at once is the most that two copies bear.
        for courier in 0..COURIERS {
            while fleet.get(courier, "/-/ready").await.map_or(0, |answer| answer.0) != 200 {
                release(&fleet, Duration::from_millis(20)).await;
            }
        }
    }
    going.set(false);
    let end = fleet.recorder.now() + 18_000_000;
    while fleet.recorder.now() < end {
        release(&fleet, Duration::from_millis(100)).await;
    }
    let findings = audit(&fleet.history(AuditRules::default()));
    let (submitted, accepted, calls, notices) = fleet.recorder.read(|record| {
        let accepted = record
            .submissions
            .iter()
            .filter(|submission| submission.answer.is_some_and(|(_, s)| s == 202))
            .count();
        (record.submissions.len(), accepted, record.calls.len(), record.notices.len())
    });
    taken.sort_unstable();
    let at = |part: f64| taken.get(((taken.len() as f64 * part) as usize).min(taken.len().saturating_sub(1)));
    let seconds = |micros: Option<&u64>| micros.map_or("-".into(), |m| format!("{:.2} s", *m as f64 / 1e6));
    println!(
        "losses {losses} (seed {seed}, lease {LEASE}, {COURIERS} couriers, {COPIES} copies), {none} with nothing in hand"
    );
    println!("messages submitted {submitted}, accepted {accepted}, calls {calls}, notices {notices}");
    println!(
        "from a loss to a taker's first word: median {}, 99th percentile {}, worst {}",
        seconds(at(0.5)),
        seconds(at(0.99)),
        seconds(taken.last())
    );
    println!("findings: {}", findings.len());
    findings.iter().take(20).for_each(|finding| println!("  {finding:?}"));
    Ok(())
}

/// Partners answer what they hold, after a while.
async fn release(fleet: &Fleet, after: Duration) {
    sleep(after).await;
    for partner in 0..4 {
        fleet.partner(partner).release_where(Answer::ok(), |_| true);
    }
}
