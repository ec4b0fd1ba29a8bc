//! The speed of one stream, and its CPU time: through two bare relays, and through the courier.

use crate::courier;
use crate::endpoint::{self, Arrivals, Reading};
use crate::http::{BLOCK, GB, request_head, send_body};
use crate::relay::Relay;
use quillmount_standins::courier::cpu_of;
use std::fmt;
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::time::Instant;

const ROUNDS: u64 = 3;
/// The body that is sent, in gigabytes.
const BODY_GB: u64 = 2;

/// The speed of one body, and what it cost the process in between.
struct Speed {
    gb_per_second: f64,
    cpu_seconds_per_gb: f64,
}

impl fmt::Display for Speed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}, {:.2}", self.gb_per_second, self.cpu_seconds_per_gb)
    }
}

pub fn measure() -> Result<()> {
    let endpoint = endpoint::start(Reading::FULL_SPEED, Arrivals::default())?;
    let courier = courier::start(endpoint, 1)?;
    let relay = Relay::start(endpoint, 0)?;
    let large_relay = Relay::start(endpoint, BLOCK)?;
    println!(
        "| round | bare copy, GB/s, CPU s/GB | with 64 KiB, GB/s, CPU s/GB | courier, GB/s, CPU s/GB | ratios |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for round in 1..=ROUNDS {
        let bare = send_through(relay.addr, relay.id(), round)?;
        let large = send_through(large_relay.addr, large_relay.id(), round)?;
        let own = send_through(courier.addr, courier.id(), round)?;
        println!(
            "| {round} | {bare} | {large} | {own} | {:.2}, {:.2} |",
            own.gb_per_second / bare.gb_per_second,
            own.gb_per_second / large.gb_per_second
        );
    }
    println!("the courier's resident memory at most: {:.1} MB", courier.memory().1 as f64 / 1e6);
    Ok(())
}

/// Sends a body through a process.
fn send_through(to: SocketAddr, process: u32, round: u64) -> Result<Speed> {
    let (cpu_before, started) = (cpu_of(process), Instant::now());
    let head = request_head(&format!("s{round}"), 1, BODY_GB * GB, 600);
    let status = send_body(to, &head, BODY_GB * GB)?;
    if !status.contains(" 200 ") {
        return Err(Error::other(status));
    }
    let gigabytes = BODY_GB as f64;
    let gb_per_second = gigabytes / started.elapsed().as_secs_f64();
    let cpu_seconds_per_gb = (cpu_of(process) - cpu_before).as_secs_f64() / gigabytes;
    Ok(Speed { gb_per_second, cpu_seconds_per_gb })
}
