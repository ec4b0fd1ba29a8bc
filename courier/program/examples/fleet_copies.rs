//! What replicas cost: messages a second and the time to the 202, at one courier of three, without a fleet and with one and two
//! replicas of its journal, one after the other in one run, several times.
//!
//!     cargo build --release -p quillmount && cargo run --release -p quillmount --example fleet_copies -- 5 3
//!
//! Seconds of each measurement, and how often each is made.

#[path = "support/arguments.rs"]
mod arguments;
mod support;

use quillmount_standins::client::MessageRequest;
use quillmount_standins::fleet::{Fleet, FleetClient, FleetSetup};
use quillmount_standins::partner::Answer;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::io::Result;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Clients, each with one message at a time and a connection for each.
const CLIENTS: usize = 16;
const MESSAGE_LIFETIME: Duration = Duration::from_secs(16);

/// The result of one measurement.
struct Measurement {
    messages_per_second: f64,
    /// Of the times to the 202, in milliseconds.
    median_ms: f64,
    percentile_99_ms: f64,
}

/// What the clients of one measurement share.
struct Load {
    ends_at: Instant,
    next_number: Cell<u64>,
    /// Times to the 202, in milliseconds.
    times_ms: RefCell<Vec<f64>>,
}

fn main() {
    let [seconds, times] = arguments::two_numbers("fleet_copies", "seconds of a play, and how often");
    let program = support::courier_program("fleet_copies");
    println!("| copies | messages a second | of none | median ms to the 202 | 99th percentile |");
    println!("| --- | --- | --- | --- | --- |");
    for _ in 0..times {
        let mut without_replicas = None;
        for replicas in 0..=2 {
            let measured = support::run("fleet_copies", measure(&program, replicas, seconds));
            let Measurement { messages_per_second, median_ms, percentile_99_ms } = measured;
            let ratio = messages_per_second / *without_replicas.get_or_insert(messages_per_second);
            println!(
                "| {replicas} | {messages_per_second:.0} | {ratio:.2} | {median_ms:.2} | {percentile_99_ms:.2} |"
            );
        }
    }
}

async fn start(program: &Path, replicas: usize) -> Result<Fleet> {
    let mut setup = FleetSetup::new(program, 3);
    // The harness reads that it serves.
    setup.levels = "warn,quillmount::program=info".into();
    setup.config = json!({
        "limits": {"sockets": 4096, "disk_mb": 30},
        "settings": {"family_info": {"call_slots": 64}, "limits": {"open_cap": 1000}}
    });
    if replicas > 0 {
        setup.fleet = Some(json!({"copies": replicas}));
    }
    setup.partner(1, |_| Answer::ok());
    let fleet = Fleet::start(setup).await?;
    while fleet.get(0, "/-/ready").await?.0 != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(fleet)
}

async fn measure(program: &Path, replicas: usize, seconds: u64) -> Result<Measurement> {
    let fleet = start(program, replicas).await?;
    let load = Rc::new(Load {
        ends_at: Instant::now() + Duration::from_secs(seconds),
        next_number: Cell::new(0),
        times_ms: RefCell::default(),
    });
    let clients: Vec<_> =
        (0..CLIENTS).map(|_| spawn_local(submit_messages(fleet.client(0), load.clone()))).collect();
    for client in clients {
        let _ = client.await;
    }
    let mut times = load.times_ms.take();
    times.sort_by(f64::total_cmp);
    let quantile = |q: f64| times.get((times.len() as f64 * q) as usize).copied().unwrap_or(f64::NAN);
    Ok(Measurement {
        messages_per_second: times.len() as f64 / seconds as f64,
        median_ms: quantile(0.5),
        percentile_99_ms: quantile(0.99),
    })
}

/// One client: a message after the other, until the measurement ends.
async fn submit_messages(client: FleetClient, load: Rc<Load>) {
    while Instant::now() < load.ends_at {
        let number = load.next_number.replace(load.next_number.get() + 1);
        let message = MessageRequest::new("fee-debit", &format!("m{number}"), 1, MESSAGE_LIFETIME);
        let submitted_at = Instant::now();
        if client.submit(&message, b"body").await == 202 {
            load.times_ms.borrow_mut().push(submitted_at.elapsed().as_secs_f64() * 1e3);
        }
    }
}
