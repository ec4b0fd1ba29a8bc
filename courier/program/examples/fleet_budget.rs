//! A partner's connections under a flood of one tenant, with and without losses of couriers.
//!
//!     cargo build --release -p quillmount && cargo run --release -p quillmount --example fleet_budget -- 20 1
//!
//! So many seconds for each scenario, a seed. Four scenarios, each with a fleet of its own: a tenant that floods; other
//! tenants alone; the same beside a tenant that has as many messages pending all the time as it can; the same again while
//! couriers are killed or partitioned from the others. Printed: the most connections that the partner ever counted, how much
//! of the budget was used, and what became of the other tenants' messages.

#[path = "support/arguments.rs"]
mod arguments;
mod support;

use quillmount_standins::audit::{AuditRules, Budget, audit};
use quillmount_standins::client::MessageRequest;
use quillmount_standins::fleet::link::LinkMode;
use quillmount_standins::fleet::{Fleet, FleetClient, FleetSetup};
use quillmount_standins::partner::Answer;
use quillmount_standins::record::{RecordedSubmission, Recorder, RunRecord};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Result;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const COURIERS: usize = 3;
/// The partner's budget.
const CONNECTIONS: usize = 12;
/// How long the partner takes for a call, in microseconds.
const CALL_TIME: u64 = 50_000;
/// The messages that the flooding tenant has pending at each courier.
const FLOOD: usize = 100;
/// Messages of the flood that are submitted at once, at most: one thread plays all clients.
const FLOOD_STEP: usize = 10;
/// Other tenants; each submits a message to each courier in turn, after such an interval.
const OTHER_TENANTS: usize = 5;
const SUBMIT_INTERVAL: Duration = Duration::from_millis(33);
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);
const MESSAGE_LIFETIME: Duration = Duration::from_secs(8);
/// Between two losses, and until the lost courier is back.
const LOSS_INTERVAL: Duration = Duration::from_secs(4);
/// Connections are granted in the first moments, which are not measured; in microseconds.
const WARMUP: u64 = 2_000_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// The flooding tenant alone: all of the budget is demanded all the time.
    Flood,
    Others,
    FloodAndOthers,
    /// Both, and couriers are lost.
    Losses,
}

/// The loss of one courier.
struct Loss {
    courier: usize,
    /// It is killed; otherwise it is partitioned from the others.
    is_killed: bool,
}

/// The result of one scenario.
struct Measurement {
    most_open: usize,
    /// Calls in flight at the partner, averaged over time, as a part of the budget.
    busy: f64,
    /// Connections that are open at the partner, averaged over time, as a part of the budget.
    open: f64,
    /// Messages of the other tenants that were accepted.
    others_accepted: usize,
    /// For each message of the other tenants that was delivered, sorted: milliseconds from its submission to the answer.
    delivery_times: Vec<u64>,
    /// Calls of the flooding tenant that were answered.
    flood_delivered: usize,
    findings: usize,
}

/// The messages that the flooding tenant has pending, by courier.
#[derive(Default)]
struct Flood {
    pending: RefCell<BTreeMap<usize, usize>>,
    last_number: Cell<u64>,
}

impl Flood {
    fn pending_at(&self, courier: usize) -> usize {
        self.pending.borrow().get(&courier).copied().unwrap_or(0)
    }

    fn add(&self, courier: usize) {
        *self.pending.borrow_mut().entry(courier).or_default() += 1;
    }

    fn remove(&self, courier: usize) {
        if let Some(count) = self.pending.borrow_mut().get_mut(&courier) {
            *count = count.saturating_sub(1);
        }
    }

    /// A message's number, which is used for no other.
    fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }
}

fn main() {
    let [seconds, seed] = arguments::two_numbers("fleet_budget", "how many seconds a part, and a seed");
    let program = support::courier_program("fleet_budget");
    println!(
        "{COURIERS} couriers, {CONNECTIONS} connections, {} ms a call, {seconds} s a part, seed {seed}",
        CALL_TIME / 1000
    );
    let scenarios = [
        ("the flood alone", Scenario::Flood),
        ("others alone", Scenario::Others),
        ("others and the flood", Scenario::FloodAndOthers),
        ("both, with losses", Scenario::Losses),
    ];
    for (name, scenario) in scenarios {
        let measurement = support::run("fleet_budget", run_scenario(&program, scenario, seconds, seed));
        print_measurement(name, &measurement);
    }
}

fn print_measurement(name: &str, measurement: &Measurement) {
    let Measurement { most_open, busy, open, others_accepted, delivery_times, flood_delivered, findings } =
        measurement;
    let delivered = delivery_times.len();
    let quantile = |q: f64| delivery_times.get((delivered as f64 * q) as usize).copied().unwrap_or_default();
    println!(
        "{name}: most open {most_open} of {CONNECTIONS}; busy {busy:.3}, open {open:.3} of the budget; \
         others {delivered} of {others_accepted} delivered ({:.3}), median {} ms, 99th {} ms; \
         flood {flood_delivered} delivered; findings {findings}",
        delivered as f64 / (*others_accepted).max(1) as f64,
        quantile(0.5),
        quantile(0.99),
    );
}

fn fleet_setup(program: &Path, seed: u64) -> FleetSetup {
    let mut setup = FleetSetup::new(PathBuf::from(program), COURIERS);
    setup.seed = seed;
    let budgets = json!([{"dest": 1, "connections": CONNECTIONS}]);
    setup.fleet = Some(json!({"lease": "1500ms", "copies": 1, "partner_idle": "1s", "partner_call": "2s",
                              "budgets": budgets}));
    setup.config = json!({"settings": {"family_info": {"call_slots": 64}, "limits": {"open_cap": 1000}}});
    setup.partner(1, |_| Answer::Pending);
    setup
}

/// The losses of this setup's seed, without end.
fn random_losses(setup: &FleetSetup) -> impl Iterator<Item = Loss> + use<> {
    let mut random = setup.generator();
    std::iter::repeat_with(move || Loss { courier: random.usize(0..COURIERS), is_killed: random.bool() })
}

fn message(tenant: &str, id: &str) -> MessageRequest {
    MessageRequest {
        headers: format!("X-Account: {tenant}\r\n"),
        ..MessageRequest::new("fee-debit", id, 1, MESSAGE_LIFETIME)
    }
}

async fn run_scenario(program: &Path, scenario: Scenario, seconds: u64, seed: u64) -> Result<Measurement> {
    let setup = fleet_setup(program, seed);
    let losses = random_losses(&setup);
    let mut fleet = Fleet::start(setup).await?;
    for courier in 0..COURIERS {
        while fleet.get(courier, "/-/ready").await.map_or(0, |answer| answer.0) != 200 {
            sleep(Duration::from_millis(10)).await;
        }
    }
    let started = fleet.recorder.now();
    let end = started + seconds * 1_000_000;
    if scenario != Scenario::Flood {
        for tenant in 0..OTHER_TENANTS {
            let clients = (0..COURIERS).map(|courier| fleet.client(courier)).collect();
            spawn_local(submit_messages(format!("other{tenant}"), clients, fleet.recorder.clone(), end));
        }
    }
    let flood = Rc::new(Flood::default());
    apply_load(&mut fleet, &flood, scenario, losses, end).await?;
    let ended = fleet.recorder.now();
    // All accepted messages have ended by then.
    let all_ended = end + MESSAGE_LIFETIME.as_micros() as u64 + 2_000_000;
    fleet.heal().await?;
    while fleet.recorder.now() < all_ended {
        sleep(Duration::from_millis(1)).await;
        answer_calls(&fleet, &flood);
    }
    Ok(measure(&fleet, started + WARMUP, ended))
}

/// One of the other tenants: a message at each courier in turn.
async fn submit_messages(tenant: String, clients: Vec<FleetClient>, recorder: Recorder, end: u64) {
    for number in 0.. {
        sleep(SUBMIT_INTERVAL).await;
        if recorder.now() >= end {
            return;
        }
        let client = clients[number % COURIERS].clone();
        let message = message(&tenant, &format!("{tenant}-{number}"));
        // A lost courier answers nothing.
        spawn_local(async move {
            let _ = timeout(SUBMIT_TIMEOUT, client.submit(&message, b"x")).await;
        });
    }
}

/// The partner answers, couriers are lost and return, and the flood goes on, until the end.
async fn apply_load(
    fleet: &mut Fleet,
    flood: &Rc<Flood>,
    scenario: Scenario,
    mut losses: impl Iterator<Item = Loss>,
    end: u64,
) -> Result<()> {
    let interval = LOSS_INTERVAL.as_micros() as u64;
    let mut next_change = fleet.recorder.now() + interval;
    let mut lost = None;
    while fleet.recorder.now() < end {
        sleep(Duration::from_millis(1)).await;
        answer_calls(fleet, flood);
        let now = fleet.recorder.now();
        if scenario == Scenario::Losses && now >= next_change {
            next_change = now + interval;
            lost = match lost {
                Some(_) => None,
                None => losses.next(),
            };
            lose_or_heal(fleet, lost.as_ref()).await?;
            flood.pending.borrow_mut().clear();
        }
        if scenario != Scenario::Others {
            let lost_courier = lost.as_ref().map(|loss| loss.courier);
            let couriers = (0..COURIERS).filter(|courier| lost_courier != Some(*courier));
            couriers.for_each(|courier| submit_flood(fleet, flood, courier));
        }
    }
    Ok(())
}

/// Loses this courier, or brings the lost one back if there is none to lose.
async fn lose_or_heal(fleet: &mut Fleet, loss: Option<&Loss>) -> Result<()> {
    match loss {
        None => Ok(fleet.heal().await?),
        Some(Loss { courier, is_killed: true }) => Ok(fleet.kill(*courier).await?),
        Some(Loss { courier, is_killed: false }) => {
            fleet.set_links(*courier, LinkMode::Partitioned);
            Ok(())
        }
    }
}

/// Submits messages of the flood to a courier, until it has enough of them.
fn submit_flood(fleet: &Fleet, flood: &Rc<Flood>, courier: usize) {
    let pending = flood.pending_at(courier);
    for _ in pending..FLOOD.min(pending + FLOOD_STEP) {
        let message = message("flood", &format!("flood-{}", flood.next_number()));
        let (client, flood) = (fleet.client(courier), flood.clone());
        flood.add(courier);
        spawn_local(async move {
            let answer = timeout(SUBMIT_TIMEOUT, client.submit(&message, b"x")).await;
            if answer.is_ok_and(|status| status != 202) {
                flood.remove(courier);
            }
        });
    }
}

/// The partner answers each call whose time has passed.
fn answer_calls(fleet: &Fleet, flood: &Flood) {
    let now = fleet.recorder.now();
    fleet.partner(0).release_where(Answer::ok(), |call| {
        let is_due = call.completed.is_some_and(|completed| completed.at + CALL_TIME <= now);
        if is_due && call.id.starts_with("flood") {
            flood.remove(call.courier);
        }
        is_due
    });
}

/// `from` and `to` are in the recorder's microseconds.
fn measure(fleet: &Fleet, from: u64, to: u64) -> Measurement {
    let mut history = fleet.history(AuditRules::default());
    history.budgets = vec![Budget { partner: 0, from: 0, most: CONNECTIONS }];
    let findings = audit(&history);
    findings.iter().take(5).for_each(|finding| println!("  {finding:?}"));
    fleet.recorder.read(|record| {
        let others = accepted_submissions(record, "other");
        let flood_calls = record.calls.iter().filter(|call| call.id.starts_with("flood"));
        Measurement {
            most_open: record.open_connections(0).1,
            busy: busy_fraction(record, from, to),
            open: open_fraction(record, from, to),
            others_accepted: others.len(),
            delivery_times: delivery_times(record, &others),
            flood_delivered: flood_calls.filter(|call| call.answered.is_some()).count(),
            findings: findings.len(),
        }
    })
}

/// The part of a span that lies between `from` and `to`.
fn overlap(start: u64, end: u64, from: u64, to: u64) -> f64 {
    end.min(to).saturating_sub(start.max(from)) as f64
}

/// The budget's connections times the measured span.
fn connection_time(from: u64, to: u64) -> f64 {
    (CONNECTIONS as u64 * (to - from)) as f64
}

fn busy_fraction(record: &RunRecord, from: u64, to: u64) -> f64 {
    let busy = record.calls.iter().map(|call| {
        let ended = call.answered.map(|(when, _)| when).or(call.abandoned).map_or(to, |when| when.at);
        overlap(call.began.at, ended, from, to)
    });
    busy.sum::<f64>() / connection_time(from, to)
}

fn open_fraction(record: &RunRecord, from: u64, to: u64) -> f64 {
    let changes = &record.connection_changes;
    let ends = changes.iter().skip(1).map(|change| change.when.at).chain([to]);
    let open = changes
        .iter()
        .zip(ends)
        .map(|(change, end)| change.open as f64 * overlap(change.when.at, end, from, to));
    open.sum::<f64>() / connection_time(from, to)
}

fn accepted_submissions<'a>(record: &'a RunRecord, tenant: &str) -> Vec<&'a RecordedSubmission> {
    let submissions = record.submissions.iter().filter(|submission| submission.id.starts_with(tenant));
    submissions.filter(|submission| submission.answer.is_some_and(|(_, status)| status == 202)).collect()
}

/// Milliseconds from the submission to the first 200, sorted, of the messages that were delivered.
fn delivery_times(record: &RunRecord, submissions: &[&RecordedSubmission]) -> Vec<u64> {
    let mut first_answers = BTreeMap::new();
    for call in &record.calls {
        if let Some((when, 200)) = call.answered {
            first_answers.entry(call.id.as_str()).or_insert(when.at);
        }
    }
    let answered_at = |submission: &RecordedSubmission| first_answers.get(submission.id.as_str()).copied();
    let mut times: Vec<u64> = submissions
        .iter()
        .filter_map(|submission| Some((answered_at(submission)? - submission.submitted_at.at) / 1_000))
        .collect();
    times.sort_unstable();
    times
}
