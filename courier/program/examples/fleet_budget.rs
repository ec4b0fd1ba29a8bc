//! A partner's connections under a flood of one tenant, with and without losses of couriers.
//!
//!     cargo build --release -p quillmount && cargo run --release -p quillmount --example fleet_budget -- 20 1
//!
//! So many seconds a part, a seed. Four parts, each with a fleet of its own: a tenant that floods; other
//! tenants alone; the same beside a tenant that has as much in hand all the time as it can; the same again
//! while couriers are killed or cut off from the others. Printed: the most connections that the partner ever
//! counted, how much of the budget was used, and what became of the other tenants' messages.

use quillmount_standins::audit::{AuditRules, Budget, audit};
use quillmount_standins::client::MessageRequest;
use quillmount_standins::fleet::link::LinkMode;
use quillmount_standins::fleet::{Fleet, FleetSetup};
use quillmount_standins::partner::Answer;
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

const COURIERS: usize = 3;
const CONNECTIONS: usize = 12;
/// How long the partner takes for a call, in microseconds.
const TAKES: u64 = 50_000;
/// What the flooding tenant keeps in hand at each courier.
const FLOOD: usize = 100;
/// Other tenants; each hands a message in at each courier in turn, after such a pause.
const OTHERS: usize = 5;
const SUBMIT_INTERVAL: Duration = Duration::from_millis(33);
const TIME: Duration = Duration::from_secs(8);
/// Between two losses, and until the lost is back.
const LOSS: Duration = Duration::from_secs(4);
/// The grants are made in the first moments.
const WARM: u64 = 2_000_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Part {
    Alone,
    /// The flooding tenant alone: all of the budget is asked for all the time.
    Flood,
    Flooded,
    Lossy,
}

/// What one part came to.
struct Measurement {
    most: usize,
    /// Calls and connections at the partner, by time, as parts of the budget.
    busy: f64,
    open: f64,
    /// Of the other tenants: taken on, delivered, milliseconds from one to the other.
    others: usize,
    delivered: usize,
    durations: Vec<u64>,
    flood: usize,
    findings: usize,
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<u64>());
    let (Some(Ok(seconds)), Some(Ok(seed))) = (args.next(), args.next()) else {
        eprintln!("fleet_budget: how many seconds a part, and a seed");
        std::process::exit(2);
    };
    let program =
        std::env::current_exe().ok().and_then(|exe| Some(exe.parent()?.parent()?.join("quillmount")));
    let Some(program) = program.filter(|program| program.exists()) else {
        eprintln!("fleet_budget: build the program first: cargo build --release -p quillmount");
        std::process::exit(2);
    };
    println!(
        "{COURIERS} couriers, {CONNECTIONS} connections, {} ms a call, {seconds} s a part, seed {seed}",
        TAKES / 1000
    );
    let parts = [
        ("the flood alone", Part::Flood),
        ("others alone", Part::Alone),
        ("others and the flood", Part::Flooded),
        ("both, with losses", Part::Lossy),
    ];
    for (name, part) in parts {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let played = runtime.and_then(|runtime| {
            tokio::task::LocalSet::new().block_on(&runtime, play_part(&program, part, seconds, seed))
        });
        match played {
            Err(e) => {
                eprintln!("fleet_budget: {e}");
                std::process::exit(1);
            }
            Ok(mut measurement) => {
                measurement.durations.sort_unstable();
                let at = |part: f64| {
                    measurement
                        .durations
                        .get((measurement.durations.len() as f64 * part) as usize)
                        .copied()
                        .unwrap_or_default()
                };
                println!(
                    "{name}: most open {} of {CONNECTIONS}; busy {:.3}, open {:.3} of the budget; \
                     others {} of {} delivered ({:.3}), median {} ms, 99th {} ms; flood {} delivered; findings {}",
                    measurement.most,
                    measurement.busy,
                    measurement.open,
                    measurement.delivered,
                    measurement.others,
                    measurement.delivered as f64 / measurement.others.max(1) as f64,
                    at(0.5),
                    at(0.99),
                    measurement.flood,
                    measurement.findings
                );
            }
        }
    }
}

fn setup(program: &Path, seed: u64) -> FleetSetup {
    let mut setup = FleetSetup::new(PathBuf::from(program), COURIERS);
    setup.seed = seed;
    let budgets = json!([{"dest": 1, "connections": CONNECTIONS}]);
    setup.fleet = Some(json!({"lease": "1500ms", "copies": 1, "partner_idle": "1s", "partner_call": "2s",
                              "budgets": budgets}));
    setup.config = json!({"settings": {"family_info": {"call_slots": 64}, "limits": {"open_cap": 1000}}});
    setup.partner(1, |_| Answer::Pending);
    setup
}

fn message(tenant: &str, id: &str) -> MessageRequest {
    MessageRequest {
        headers: format!("X-Account: {tenant}\r\n"),
        ..MessageRequest::new("fee-debit", id, 1, TIME)
    }
}

async fn play_part(program: &Path, part: Part, seconds: u64, seed: u64) -> std::io::Result<Measurement> {
    let setup = setup(program, seed);
    let mut draws = setup.generator();
    let mut fleet = Fleet::start(setup).await?;
    for courier in 0..COURIERS {
        while fleet.get(courier, "/-/ready").await.map_or(0, |submission| submission.0) != 200 {
            sleep(Duration::from_millis(10)).await;
        }
    }
    let begun = fleet.recorder.now();
    let end = begun + seconds * 1_000_000;
    for tenant in 0..if part == Part::Flood { 0 } else { OTHERS } {
        let clients: Vec<_> = (0..COURIERS).map(|courier| fleet.client(courier)).collect();
        let recorder = fleet.recorder.clone();
        spawn_local(async move {
            for n in 0.. {
                sleep(SUBMIT_INTERVAL).await;
                if recorder.now() >= end {
                    return;
                }
                let (client, name) = (clients[n % COURIERS].clone(), format!("other{tenant}"));
                let message = message(&name, &format!("{name}-{n}"));
                // A lost courier's front answers nothing.
                spawn_local(async move {
                    let _ = tokio::time::timeout(Duration::from_secs(2), client.submit(&message, b"x")).await;
                });
            }
        });
    }
    // What the flooding tenant has in hand, by courier.
    let in_flight: Rc<RefCell<BTreeMap<usize, usize>>> = Rc::default();
    let mut number = 0;
    let mut loss_at = begun + LOSS.as_micros() as u64;
    let mut lost = None;
    while fleet.recorder.now() < end {
        sleep(Duration::from_millis(1)).await;
        release(&fleet, &in_flight);
        let now = fleet.recorder.now();
        if part == Part::Lossy && now >= loss_at {
            loss_at = now + LOSS.as_micros() as u64;
            match lost.take() {
                Some(_) => fleet.heal().await?,
                None => {
                    let courier = draws.usize(0..COURIERS);
                    lost = Some(courier);
                    match draws.bool() {
                        true => fleet.kill(courier).await?,
                        false => fleet.set_links(courier, LinkMode::Partitioned),
                    }
                }
            }
            in_flight.borrow_mut().clear();
        }
        if part == Part::Alone {
            continue;
        }
        for courier in (0..COURIERS).filter(|courier| lost != Some(*courier)) {
            let has = in_flight.borrow().get(&courier).copied().unwrap_or(0);
            // A few at once: it is one thread that plays all consumers.
            for _ in has..FLOOD.min(has + 10) {
                number += 1;
                *in_flight.borrow_mut().entry(courier).or_default() += 1;
                let (client, message) = (fleet.client(courier), message("flood", &format!("flood-{number}")));
                let in_flight = in_flight.clone();
                spawn_local(async move {
                    let answer =
                        tokio::time::timeout(Duration::from_secs(2), client.submit(&message, b"x")).await;
                    if answer.is_ok_and(|status| status != 202)
                        && let Some(has) = in_flight.borrow_mut().get_mut(&courier)
                    {
                        *has = has.saturating_sub(1);
                    }
                });
            }
        }
    }
    let ended = fleet.recorder.now();
    // What is owed has its end.
    let all = end + TIME.as_micros() as u64 + 2_000_000;
    fleet.heal().await?;
    while fleet.recorder.now() < all {
        sleep(Duration::from_millis(1)).await;
        release(&fleet, &in_flight);
    }
    Ok(measurement(&fleet, begun + WARM, ended))
}

/// The partner answers what it has had for long enough.
fn release(fleet: &Fleet, in_flight: &Rc<RefCell<BTreeMap<usize, usize>>>) {
    let now = fleet.recorder.now();
    fleet.partner(0).release_where(Answer::ok(), |call| {
        let ready = call.completed.is_some_and(|whole| whole.at + TAKES <= now);
        if ready
            && call.id.starts_with("flood")
            && let Some(has) = in_flight.borrow_mut().get_mut(&call.courier)
        {
            *has = has.saturating_sub(1);
        }
        ready
    });
}

fn measurement(fleet: &Fleet, from: u64, to: u64) -> Measurement {
    let mut history = fleet.history(AuditRules::default());
    history.budgets = vec![Budget { partner: 0, from: 0, most: CONNECTIONS }];
    let findings = audit(&history);
    findings.iter().take(5).for_each(|finding| println!("  {finding:?}"));
    fleet.recorder.read(|record| {
        let within = |begun: u64, ended: u64| ended.min(to).saturating_sub(begun.max(from)) as f64;
        let all = (CONNECTIONS as u64 * (to - from)) as f64;
        let busy = record.calls.iter().map(|call| {
            let ended = call.answered.map(|(when, _)| when).or(call.abandoned).map_or(to, |when| when.at);
            within(call.began.at, ended)
        });
        let ends = record.connection_changes.iter().skip(1).map(|open| open.when.at).chain([to]);
        let open = record
            .connection_changes
            .iter()
            .zip(ends)
            .map(|(open, next)| open.open as f64 * within(open.when.at, next));
        let others: Vec<_> = record
            .submissions
            .iter()
            .filter(|submission| submission.id.starts_with("other"))
            .filter(|submission| submission.answer.is_some_and(|(_, status)| status == 202))
            .collect();
        let durations: Vec<u64> = {
            let mut first = BTreeMap::new();
            for call in record.calls.iter().filter(|call| call.id.starts_with("other")) {
                if let Some((when, 200)) = call.answered {
                    first.entry(call.id.as_str()).or_insert(when.at);
                }
            }
            let durations = others.iter().filter_map(|submission| {
                Some((first.get(submission.id.as_str())? - submission.submitted_at.at) / 1000)
            });
            durations.collect()
        };
        let flood =
            record.calls.iter().filter(|call| call.id.starts_with("flood") && call.answered.is_some());
        Measurement {
            most: record.open_connections(0).1,
            busy: busy.sum::<f64>() / all,
            open: open.sum::<f64>() / all,
            others: others.len(),
            delivered: durations.len(),
            durations,
            flood: flood.count(),
            findings: findings.len(),
        }
    })
}
