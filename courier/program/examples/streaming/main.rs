//! What streams cost: speed compared with a bare relay, memory with slow readers, and the small messages' time beside both.
//!
//!     cargo build --release && cargo run --release -p quillmount --example streaming -- speed
//!     ... -- memory [STREAMS] [SECONDS]
//!     ... -- small [ROUNDS]
//!
//! Stand-ins on loopback, one thread each; the courier and the bare relay are processes of their own, whose CPU time and
//! resident memory come from the system. It is a measurement and no test.

mod courier;
mod endpoint;
mod http;
mod memory;
mod relay;
mod small_messages;
mod speed;

use std::io::{Error, Result};
use std::process::ExitCode;

/// Streams of the measurement of memory, and seconds that it lasts, if the arguments don't say.
const MEMORY_STREAMS: u64 = 100;
const MEMORY_SECONDS: u64 = 600;
/// How often the small messages' time is measured, if the arguments don't say.
const SMALL_ROUNDS: u64 = 5;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("streaming: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &[String]) -> Result<()> {
    let number = |n: usize, usual: u64| arguments.get(n).map_or(Ok(usual), |text| text.parse());
    match arguments.first().map(String::as_str) {
        // The process that `speed` starts for the bare relay.
        Some("relay") => {
            let buffer_size = number(2, 0).map_err(Error::other)?;
            relay::run(arguments.get(1).map_or("", String::as_str), buffer_size as usize)
        }
        Some("speed") => speed::measure(),
        Some("memory") => match (number(1, MEMORY_STREAMS), number(2, MEMORY_SECONDS)) {
            (Ok(streams), Ok(seconds)) => memory::measure(streams, seconds),
            _ => Err(Error::other("memory [STREAMS] [SECONDS]: both are numbers")),
        },
        Some("small") => small_messages::measure(number(1, SMALL_ROUNDS).map_err(Error::other)?),
        _ => Err(Error::other("say speed, memory or small")),
    }
}
