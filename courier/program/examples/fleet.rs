//! Three couriers as one fleet, one of which is lost with pending messages: another takes them over.
//!
//!     cargo build --release -p quillmount && cargo run --release -p quillmount --example fleet
//!
//! It waits for you to kill one (it prints the command), and after three seconds does so itself.

mod support;

use quillmount_standins::client::MessageRequest;
use quillmount_standins::fleet::{Fleet, FleetSetup, WAIT_TIMEOUT};
use quillmount_standins::partner::Answer;
use quillmount_standins::record::RunRecord;
use serde_json::json;
use std::io::{Error, Result};
use std::path::PathBuf;
use std::time::{Duration, Instant};

const COURIERS: usize = 3;
/// The courier that is lost.
const LOST: usize = 1;
/// How long you have to kill it. Short of the six seconds for which the partner knows the key: later, the notice could not be
/// repeated either.
const TIME_TO_KILL: Duration = Duration::from_secs(3);
const MESSAGE_LIFETIME: Duration = Duration::from_secs(16);

fn main() {
    let program = support::courier_program("fleet");
    support::run("fleet", show(program));
}

async fn show(program: PathBuf) -> Result<()> {
    let mut fleet = start(program).await?;
    for (class, id) in [("fee-debit", "a-debit"), ("paid-notice", "a-notice")] {
        submit(&fleet, class, id).await?;
    }
    lose(&mut fleet).await?;
    show_takeover(&fleet).await?;
    show_return(&mut fleet).await
}

/// Starts the fleet and its partner, and waits until each courier is ready.
async fn start(program: PathBuf) -> Result<Fleet> {
    let mut setup = FleetSetup::new(program, COURIERS);
    setup.fleet = Some(json!({"lease": "2s", "copies": 1}));
    // The partner answers no call until the example has it answer one.
    setup.partner(1, |_| Answer::Pending);
    let fleet = Fleet::start(setup).await?;
    for courier in 0..COURIERS {
        while fleet.get(courier, "/-/ready").await.map_or(0, |answer| answer.0) != 200 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        println!("courier {} is ready, process {}", fleet.name(courier), fleet.id(courier).unwrap_or(0));
    }
    Ok(fleet)
}

/// Submits a message to the courier that will be lost, and waits until its call is in flight.
async fn submit(fleet: &Fleet, class: &str, id: &str) -> Result<()> {
    let message =
        MessageRequest { key: Some(id.into()), ..MessageRequest::new(class, id, 1, MESSAGE_LIFETIME) };
    let status = fleet.submit(LOST, &message, b"12.50").await;
    println!("{id} handed in at b: {status}. It is in b's journal and in a copy of it.");
    let called = |record: &RunRecord| record.calls_of(id).next().map(|_| ());
    fleet.wait_until("its call", WAIT_TIMEOUT, called).await.map_err(Error::other)?;
    println!("b has called the partner with {id}, and waits for its answer.");
    Ok(())
}

/// Waits for somebody to kill the courier, and kills it if nobody does.
async fn lose(fleet: &mut Fleet) -> Result<()> {
    let process = fleet.id(LOST).unwrap_or(0);
    println!("\nNow end b: kill -9 {process}    (in {TIME_TO_KILL:?} it is done for you)");
    let deadline = Instant::now() + TIME_TO_KILL;
    while Instant::now() < deadline && fleet.get(LOST, "/-/healthy").await.is_ok() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(fleet.kill(LOST).await?)
}

/// Shows what another courier does with each of the pending messages.
async fn show_takeover(fleet: &Fleet) -> Result<()> {
    let lost_at = fleet.recorder.now();
    println!("b is lost. Its lease of 2 s runs out ...");
    let seconds = |at: u64| at.saturating_sub(lost_at) as f64 / 1e6;
    let notice = fleet
        .wait_until("the debit's end", WAIT_TIMEOUT, |record| record.notices_of("a-debit").next().cloned());
    let notice = notice.await.map_err(Error::other)?;
    println!(
        "{:.1} s: {} ends the debit, which may have run and is never sent again: {}",
        seconds(notice.when.at),
        fleet.name(notice.courier),
        notice.line
    );
    let call = fleet.wait_until("another courier's call of the notice", WAIT_TIMEOUT, |record| {
        record.calls_of("a-notice").find(|call| call.courier != LOST).cloned()
    });
    let call = call.await.map_err(Error::other)?;
    println!(
        "{:.1} s: {} calls the partner with the notice again, under the same key",
        seconds(call.began.at),
        fleet.name(call.courier)
    );
    Ok(())
}

/// The partner answers, and the lost courier returns with its folder.
async fn show_return(fleet: &mut Fleet) -> Result<()> {
    fleet.partner(0).release("a-notice", Answer::ok());
    let ended = |record: &RunRecord| record.has_ended("a-notice").then_some(());
    fleet.wait_until("its end", WAIT_TIMEOUT, ended).await.map_err(Error::other)?;
    println!(
        "The partner answers 200: delivered. b comes back with its folder, and finds that nothing of it is its own:"
    );
    fleet.restart(LOST).await?;
    let joined = fleet.wait_for_log(LOST, "fleet: member under epoch").await.map_err(Error::other)?;
    println!("{joined}");
    Ok(())
}
