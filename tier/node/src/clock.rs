//! Clocks: the steady one for every decision, the time of day for usage windows only.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds of the steady clock since the process began, a second ahead so that spans can be taken off.
pub fn micros() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64 + 1_000_000
}

/// Seconds since the start of 1970.
pub fn wall_seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64())
}

/// A span of milliseconds.
pub fn millis(span: f64) -> Duration {
    Duration::from_micros((span.max(0.0) * 1000.0) as u64)
}

/// A number that nobody can guess; 1 or more.
pub fn random_id() -> u64 {
    getrandom::u64().unwrap_or_else(|_| micros()).max(1)
}
