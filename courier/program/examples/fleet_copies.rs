//! What copies cost: messages a second and the time to the 202, at one courier of three, without a fleet and with one and two
//! copies, one after the other in one run, several times.
//!
//!     cargo build --release -p quillmount && cargo run --release -p quillmount --example fleet_copies -- 5 3
//!
//! Seconds of each play, and how often each is played.

use quillmount_standins::client::MessageRequest;
use quillmount_standins::fleet::{Fleet, FleetSetup};
use quillmount_standins::partner::Answer;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::io::Result;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Consumers, each with one message at a time and a connection for each.
const CLIENTS: usize = 16;

/// What one play came to.
struct Play {
    a_second: f64,
    /// Of the times to the 202, in milliseconds.
    median: f64,
    late: f64,
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<u64>());
    let (Some(Ok(seconds)), Some(Ok(times))) = (args.next(), args.next()) else {
        eprintln!("fleet_copies: seconds of a play, and how often");
        std::process::exit(2);
    };
    let program =
        std::env::current_exe().ok().and_then(|exe| Some(exe.parent()?.parent()?.join("quillmount")));
    let Some(program) = program.filter(|program| program.exists()) else {
        eprintln!("fleet_copies: build the program first: cargo build --release -p quillmount");
        std::process::exit(2);
    };
    println!("| copies | messages a second | of none | median ms to the 202 | 99th percentile |");
    println!("| --- | --- | --- | --- | --- |");
    for _ in 0..times {
        let mut none = None;
        for copies in 0..=2 {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let played = runtime.and_then(|runtime| {
                tokio::task::LocalSet::new().block_on(&runtime, run_test(&program, copies, seconds))
            });
            match played {
                Ok(Play { a_second, median, late }) => {
                    let of = a_second / *none.get_or_insert(a_second);
                    println!("| {copies} | {a_second:.0} | {of:.2} | {median:.2} | {late:.2} |");
                }
                Err(e) => {
                    eprintln!("fleet_copies: {e}");
                    std::process::exit(1);
                }
            }
        }
    }
}

async fn run_test(program: &Path, copies: usize, seconds: u64) -> Result<Play> {
    let mut setup = FleetSetup::new(program, 3);
    // The harness reads that it serves.
    setup.levels = "warn,quillmount::program=info".into();
    setup.config = json!({
        "limits": {"sockets": 4096, "disk_mb": 30}, "settings": {"family_info": {"call_slots": 64}, "limits": {"open_cap": 1000}}
    });
    if copies > 0 {
        setup.fleet = Some(json!({"copies": copies}));
    }
    setup.partner(1, |_| Answer::ok());
    let fleet = Fleet::start(setup).await?;
    while fleet.get(0, "/-/ready").await?.0 != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let ends = Instant::now() + Duration::from_secs(seconds);
    let number = Rc::new(Cell::new(0u64));
    let times = Rc::new(RefCell::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (client, number, times) = (fleet.client(0), number.clone(), times.clone());
            spawn_local(async move {
                while Instant::now() < ends {
                    let n = number.replace(number.get() + 1);
                    let message =
                        MessageRequest::new("fee-debit", &format!("m{n}"), 1, Duration::from_secs(16));
                    let asked = Instant::now();
                    if client.submit(&message, b"body").await == 202 {
                        times.borrow_mut().push(asked.elapsed().as_secs_f64() * 1e3);
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.await;
    }
    let mut times = times.take();
    times.sort_by(f64::total_cmp);
    let at = |part: f64| times.get((times.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN);
    Ok(Play { a_second: times.len() as f64 / seconds as f64, median: at(0.5), late: at(0.99) })
}
