//! Losses of couriers under load, and what becomes of their pending messages.
//!
//!     cargo build --release -p quillmount && cargo run --release -p quillmount --example fleet_losses -- 20 1
//!
//! So many losses, a seed: each loss is a SIGKILL, a pause or a partition from the rest of the fleet, a third of them of two
//! couriers at once; the lost come back when others have taken over. Printed: messages, what the auditor finds, and the times
//! from a loss to the first call or notice of another courier for one of the pending messages.

#[path = "support/arguments.rs"]
mod arguments;
mod support;

use quillmount_standins::audit::{AuditRules, audit};
use quillmount_standins::client::MessageRequest;
use quillmount_standins::fleet::link::LinkMode;
use quillmount_standins::fleet::{Fleet, FleetClient, FleetSetup};
use quillmount_standins::partner::Answer;
use quillmount_standins::record::{RecordedSubmission, RunRecord};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io::Result;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const COURIERS: usize = 6;
const REPLICAS: usize = 2;
const PARTNERS: usize = 4;
const LEASE: &str = "1500ms";
/// Clients at each courier, each with one message at a time.
const CLIENTS_PER_COURIER: usize = 2;
/// Between two messages of a client.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(25);
/// Between two messages of a client if the first one was not accepted.
const REJECTED_INTERVAL: Duration = Duration::from_millis(100);
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(400);
const MESSAGE_LIFETIME: Duration = Duration::from_secs(16);
/// A message that was submitted so long ago has ended, in microseconds.
const LONGEST_PENDING: u64 = 17_000_000;
/// After the last loss, all messages have ended within this time, in microseconds.
const LAST_WAIT: u64 = 18_000_000;
/// The partners leave one in so many calls unanswered for a while, so that messages are pending when a courier is lost.
const UNANSWERED: u64 = 6;
/// How long they are left unanswered.
const RELEASE_AFTER: Duration = Duration::from_millis(300);
/// How long before a loss no call is released.
const BEFORE_LOSS: Duration = Duration::from_millis(50);
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LossKind {
    Kill,
    Pause,
    Cut,
}

/// A loss of one or two couriers.
struct Loss {
    kind: LossKind,
    couriers: BTreeSet<usize>,
    /// They return so long after another courier has begun to take over.
    returns_after: Duration,
}

/// What the clients share with the losses.
#[derive(Default)]
struct Clients {
    have_stopped: Cell<bool>,
    next_number: Cell<u64>,
    /// Couriers that are lost: clients leave them soon.
    lost: RefCell<BTreeSet<usize>>,
}

/// What the losses of one run led to.
#[derive(Default)]
struct Takeovers {
    /// From a loss to the first call or notice of another courier, in microseconds.
    times: Vec<u64>,
    /// Losses of couriers without any pending message.
    without_pending: usize,
}

fn main() {
    let [losses, seed] = arguments::two_numbers("fleet_losses", "how many losses, and a seed");
    let program = support::courier_program("fleet_losses");
    support::run("fleet_losses", run_losses(program, losses, seed));
}

async fn run_losses(program: PathBuf, count: u64, seed: u64) -> Result<()> {
    let setup = fleet_setup(program, seed);
    let losses = random_losses(&setup);
    let mut fleet = Fleet::start(setup).await?;
    let clients = start_clients(&fleet);
    let mut takeovers = Takeovers::default();
    for (number, loss) in (0..count).zip(losses) {
        release_after(&fleet, RELEASE_AFTER).await;
        sleep(BEFORE_LOSS).await;
        lose(&mut fleet, &clients, number, &loss, &mut takeovers).await?;
        // The lost come back while their work is being taken over, or after.
        sleep(loss.returns_after).await;
        recover(&mut fleet, &clients).await?;
    }
    clients.have_stopped.set(true);
    let end = fleet.recorder.now() + LAST_WAIT;
    while fleet.recorder.now() < end {
        release_after(&fleet, Duration::from_millis(100)).await;
    }
    takeovers.times.sort_unstable();
    println!(
        "losses {count} (seed {seed}, lease {LEASE}, {COURIERS} couriers, {REPLICAS} copies), {} with nothing in hand",
        takeovers.without_pending
    );
    print_results(&fleet, &takeovers.times);
    Ok(())
}

fn fleet_setup(program: PathBuf, seed: u64) -> FleetSetup {
    let mut setup = FleetSetup::new(program, COURIERS);
    setup.seed = seed;
    setup.levels = "info".into();
    setup.fleet = Some(json!({"lease": LEASE, "copies": REPLICAS, "voters": ["a", "b", "c", "d", "e"]}));
    let calls = Rc::new(Cell::new(0u64));
    for dest in 1..=PARTNERS as u64 {
        let calls = calls.clone();
        setup.partner(dest, move |_| {
            calls.set(calls.get() + 1);
            if calls.get().is_multiple_of(UNANSWERED) { Answer::Pending } else { Answer::ok() }
        });
    }
    setup
}

/// The losses of this setup's seed, without end.
fn random_losses(setup: &FleetSetup) -> impl Iterator<Item = Loss> + use<> {
    let mut random = setup.generator();
    std::iter::repeat_with(move || {
        let kind = [LossKind::Kill, LossKind::Pause, LossKind::Cut][random.usize(0..3)];
        let first = random.usize(0..COURIERS);
        let mut couriers = BTreeSet::from([first]);
        if random.u8(0..3) == 0 {
            couriers.insert((first + random.usize(1..COURIERS)) % COURIERS);
        }
        Loss { kind, couriers, returns_after: Duration::from_millis(random.u64(0..1_500)) }
    })
}

fn start_clients(fleet: &Fleet) -> Rc<Clients> {
    let clients = Rc::new(Clients::default());
    for courier in 0..COURIERS {
        for _ in 0..CLIENTS_PER_COURIER {
            spawn_local(submit_messages(fleet.client(courier), courier, clients.clone()));
        }
    }
    clients
}

/// One client: a message after the other, at a courier that is not known to be lost.
async fn submit_messages(client: FleetClient, courier: usize, clients: Rc<Clients>) {
    while !clients.have_stopped.get() {
        // Clients notice a loss within seconds; a few messages get there before.
        if clients.lost.borrow().contains(&courier) {
            sleep(SUBMIT_INTERVAL).await;
            continue;
        }
        let number = clients.next_number.replace(clients.next_number.get() + 1);
        let answer = timeout(SUBMIT_TIMEOUT, client.submit(&message(number), b"body")).await;
        let is_accepted = answer.is_ok_and(|status| status == 202);
        sleep(if is_accepted { SUBMIT_INTERVAL } else { REJECTED_INTERVAL }).await;
    }
}

/// Debits and notices in turn, for each of the partners.
fn message(number: u64) -> MessageRequest {
    let is_debit = number.is_multiple_of(2);
    let class = if is_debit { "fee-debit" } else { "paid-notice" };
    let dest = 1 + number % PARTNERS as u64;
    MessageRequest {
        key: (!is_debit).then(|| format!("k{number}")),
        ..MessageRequest::new(class, &format!("m{number}"), dest, MESSAGE_LIFETIME)
    }
}

/// Causes a loss and waits until another courier continues with one of the pending messages.
async fn lose(
    fleet: &mut Fleet,
    clients: &Clients,
    number: u64,
    loss: &Loss,
    takeovers: &mut Takeovers,
) -> Result<()> {
    let Loss { kind, couriers, .. } = loss;
    let at = fleet.recorder.now();
    clients.lost.borrow_mut().extend(couriers);
    for courier in couriers {
        match kind {
            LossKind::Kill => fleet.kill(*courier).await?,
            LossKind::Pause => fleet.suspend(*courier)?,
            LossKind::Cut => fleet.set_links(*courier, LinkMode::Partitioned),
        }
    }
    let pending = fleet.recorder.read(|record| pending_messages(record, couriers, at));
    if pending.is_empty() {
        takeovers.without_pending += 1;
        return Ok(());
    }
    let first = fleet.wait_until("a taker's first word", TAKEOVER_TIMEOUT, |record| {
        first_sign_of_takeover(record, couriers, &pending, at)
    });
    match first.await {
        Ok(first) => takeovers.times.push(first - at),
        Err(e) => println!("loss {number} ({kind:?} of {couriers:?}, {} in hand): {e}", pending.len()),
    }
    Ok(())
}

/// Ids of the messages that these couriers have accepted and that have no end.
fn pending_messages(record: &RunRecord, couriers: &BTreeSet<usize>, at: u64) -> BTreeSet<String> {
    let is_pending = |submission: &&RecordedSubmission| {
        couriers.contains(&submission.courier) && is_accepted(submission) && !record.has_ended(&submission.id)
    };
    let submissions = record.submissions.iter().rev();
    let recent = submissions.take_while(|submission| submission.submitted_at.at + LONGEST_PENDING > at);
    recent.filter(is_pending).map(|submission| submission.id.clone()).collect()
}

fn is_accepted(submission: &RecordedSubmission) -> bool {
    submission.answer.is_some_and(|(_, status)| status == 202)
}

/// When another courier has called with one of the pending messages, or reported its end.
fn first_sign_of_takeover(
    record: &RunRecord,
    lost: &BTreeSet<usize>,
    pending: &BTreeSet<String>,
    at: u64,
) -> Option<u64> {
    let is_takeover = |id: &String, courier: usize| pending.contains(id) && !lost.contains(&courier);
    let calls = record.calls.iter().rev().take_while(|call| call.began.at > at);
    let calls = calls.filter(|call| is_takeover(&call.id, call.courier)).map(|call| call.began.at);
    let notices = record.notices.iter().rev().take_while(|notice| notice.when.at > at);
    let notices =
        notices.filter(|notice| is_takeover(&notice.id, notice.courier)).map(|notice| notice.when.at);
    calls.chain(notices).min()
}

/// Brings the lost couriers back. Replicas are complete again before the next loss: two couriers at once is the most that two
/// replicas bear.
async fn recover(fleet: &mut Fleet, clients: &Clients) -> Result<()> {
    fleet.heal().await?;
    clients.lost.borrow_mut().clear();
    for courier in 0..COURIERS {
        while fleet.get(courier, "/-/ready").await.map_or(0, |answer| answer.0) != 200 {
            release_after(fleet, Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// After a while, the partners answer every call that they have left unanswered.
async fn release_after(fleet: &Fleet, after: Duration) {
    sleep(after).await;
    for partner in 0..PARTNERS {
        fleet.partner(partner).release_where(Answer::ok(), |_| true);
    }
}

/// `times`: sorted, in microseconds.
fn print_results(fleet: &Fleet, times: &[u64]) {
    let findings = audit(&fleet.history(AuditRules::default()));
    fleet.recorder.read(|record| {
        let accepted = record.submissions.iter().filter(|submission| is_accepted(submission)).count();
        println!(
            "messages submitted {}, accepted {accepted}, calls {}, notices {}",
            record.submissions.len(),
            record.calls.len(),
            record.notices.len()
        );
    });
    let quantile = |q: f64| times.get(((times.len() as f64 * q) as usize).min(times.len().saturating_sub(1)));
    let seconds = |micros: Option<&u64>| micros.map_or("-".into(), |m| format!("{:.2} s", *m as f64 / 1e6));
    println!(
        "from a loss to a taker's first word: median {}, 99th percentile {}, worst {}",
        seconds(quantile(0.5)),
        seconds(quantile(0.99)),
        seconds(times.last())
    );
    println!("findings: {}", findings.len());
    findings.iter().take(20).for_each(|finding| println!("  {finding:?}"));
}
