//! Unix time in microseconds that never runs backwards while the process lives.

use quillmount_policy::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Debug)]
pub struct Clock {
    start: Micros,
    since: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: unix.as_micros() as Micros, since: Instant::now() }
    }

    /// Goes on from another process's, which ran so far [`Clock::ahead`].
    pub fn start_ahead(by: i64) -> Self {
        let fresh = Clock::start();
        Clock { start: fresh.start.saturating_add_signed(by), ..fresh }
    }

    /// How far it runs ahead of the system's clock, which may have been set since the start: the next process counts on
    /// from here, or spans for repeats would end as much later.
    pub fn ahead(&self) -> i64 {
        self.now().wrapping_sub(Clock::start().now()) as i64
    }

    pub fn now(&self) -> Micros {
        self.start + self.since.elapsed().as_micros() as Micros
    }

    /// How long until this time.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(at.saturating_sub(self.now()))
    }
}
