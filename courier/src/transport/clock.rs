//! Unix time in microseconds that never runs backwards while the process lives.

use spurshore::Micros;
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

    pub fn now(&self) -> Micros {
        self.start + self.since.elapsed().as_micros() as Micros
    }

    /// How long until this time.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(at.saturating_sub(self.now()))
    }
}
