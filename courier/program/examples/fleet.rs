//! Three couriers as one fleet, one of which is lost with a message in hand: another takes it over.
//!
//!     cargo build --release -p quillmount && cargo run --release -p quillmount --example fleet
//!
//! It waits for you to kill one (it prints the command), and after three seconds does so itself.

use quillmount_standins::client::MessageRequest;
use quillmount_standins::fleet::{Fleet, FleetSetup, WAIT_TIMEOUT};
use quillmount_standins::partner::Answer;
use serde_json::json;
use std::io::{Error, Result};
use std::time::Duration;

/// Short of the six seconds for which the partner knows the key: later, the notice could not be repeated either.
const YOURS: Duration = Duration::from_secs(3);

fn main() {
    let program =
        std::env::current_exe().ok().and_then(|exe| Some(exe.parent()?.parent()?.join("quillmount")));
    let Some(program) = program.filter(|program| program.exists()) else {
        eprintln!("fleet: build the program first: cargo build --release -p quillmount");
        std::process::exit(2);
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let shown = runtime.and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, show(program)));
    if let Err(e) = shown {
        eprintln!("fleet: {e}");
        std::process::exit(1);
    }
}

async fn show(program: std::path::PathBuf) -> Result<()> {
    let mut setup = FleetSetup::new(program, 3);
    setup.fleet = Some(json!({"lease": "2s", "copies": 1}));
    // The partner keeps its callers waiting, until it is told to answer.
    setup.partner(1, |_| Answer::Pending);
    let mut fleet = Fleet::start(setup).await?;
    for courier in 0..3 {
        while fleet.get(courier, "/-/ready").await.map_or(0, |answer| answer.0) != 200 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        println!("courier {} is ready, process {}", fleet.name(courier), fleet.id(courier).unwrap_or(0));
    }
    for (class, id) in [("fee-debit", "a-debit"), ("paid-notice", "a-notice")] {
        let message = MessageRequest {
            key: Some(id.into()),
            ..MessageRequest::new(class, id, 1, Duration::from_secs(16))
        };
        let status = fleet.submit(1, &message, b"12.50").await;
        println!("{id} handed in at b: {status}. It is in b's journal and in a copy of it.");
        let called = |record: &quillmount_standins::record::RunRecord| record.calls_of(id).next().map(|_| ());
        fleet.wait_until("its call", WAIT_TIMEOUT, called).await.map_err(Error::other)?;
        println!("b has called the partner with {id}, and waits for its answer.");
    }
    println!("\nNow end b: kill -9 {}    (in {YOURS:?} it is done for you)", fleet.id(1).unwrap_or(0));
    let ends = std::time::Instant::now() + YOURS;
    while std::time::Instant::now() < ends && fleet.get(1, "/-/healthy").await.is_ok() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.kill(1).await?;
    let at = fleet.recorder.now();
    println!("b is lost. Its lease of 2 s runs out ...");
    let seconds = |micros: u64| micros.saturating_sub(at) as f64 / 1e6;
    let notice = fleet.wait_until("the debit's end", WAIT_TIMEOUT, |r| {
        r.notices_of("a-debit").next().map(|n| (n.when.at, n.courier, n.line.clone()))
    });
    let (when, courier, line) = notice.await.map_err(Error::other)?;
    println!(
        "{:.1} s: {} ends the debit, which may have run and is never sent again: {line}",
        seconds(when),
        fleet.name(courier)
    );
    let call = fleet.wait_until("another courier's call of the notice", WAIT_TIMEOUT, |r| {
        r.calls_of("a-notice").find(|call| call.courier != 1).map(|call| (call.began.at, call.courier))
    });
    let (when, courier) = call.await.map_err(Error::other)?;
    println!(
        "{:.1} s: {} calls the partner with the notice again, under the same key",
        seconds(when),
        fleet.name(courier)
    );
    fleet.partner(0).release("a-notice", Answer::ok());
    fleet
        .wait_until("its end", WAIT_TIMEOUT, |r| r.has_ended("a-notice").then_some(()))
        .await
        .map_err(Error::other)?;
    println!(
        "The partner answers 200: delivered. b comes back with its folder, and finds that nothing of it is its own:"
    );
    fleet.restart(1).await?;
    let joined = fleet.wait_for_log(1, "fleet: member under epoch").await.map_err(Error::other)?;
    println!("{joined}");
    Ok(())
}
