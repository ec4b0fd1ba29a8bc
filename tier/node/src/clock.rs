//! The clocks of a process, and the random numbers that it identifies itself with.
//!
//! Every decision is made on the steady clock ([`now`]), which no correction of the machine's time moves. The time of
//! day ([`wall_seconds`]) numbers usage windows and quota claims, which have to mean the same on all machines.

use quillmount_wire::Micros;
use quillmount_wire::ranges::MAX_DURATION_MS;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Added to the steady clock, microseconds: an earlier moment can be computed by subtraction right from the start.
const STEADY_CLOCK_ORIGIN: Micros = 1_000_000;

/// The present moment on the steady clock, which counts from one second before its first use in this process.
pub fn now() -> Micros {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as Micros + STEADY_CLOCK_ORIGIN
}

/// Seconds since 1970-01-01 00:00 UTC by the machine's clock; 0 if that clock stands before it.
pub fn wall_seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64())
}

/// Converts milliseconds, in which settings and configurations state spans of time. Negative values count as 0, and those
/// over ten years as ten years: a moment and a span can always be added.
pub fn micros_from_ms(span_ms: f64) -> Micros {
    (span_ms.clamp(0.0, MAX_DURATION_MS) * 1000.0) as Micros
}

/// As [`micros_from_ms`], for timers.
pub fn duration_from_ms(span_ms: f64) -> Duration {
    Duration::from_micros(micros_from_ms(span_ms))
}

/// Draws an identifier from the system's random numbers, never 0. Where there are none, the steady clock stands in.
pub fn random_id() -> u64 {
    getrandom::u64().unwrap_or_else(|_| now()).max(1)
}

/// Draws a random number from 0 up to, but not including, 1, in steps of 1/10,000.
pub fn random_fraction() -> f64 {
    (random_id() % 10_000) as f64 / 10_000.0
}
