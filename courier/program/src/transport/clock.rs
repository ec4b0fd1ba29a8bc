//! Unix time in microseconds that never runs backwards while the process runs.

use quillmount_policy::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that is set by the system's once, and goes by the monotonic clock from then on.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Micros,
    since: Instant,
}

impl Clock {
    /// A clock that is set to the system's time.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: unix.as_micros() as Micros, since: Instant::now() }
    }

    /// Continues another process's clock, which ran this far [`Clock::ahead`], in microseconds.
    pub fn start_ahead(by: i64) -> Self {
        let fresh = Clock::start();
        Clock { start: fresh.start.saturating_add_signed(by), ..fresh }
    }

    /// How far it runs ahead of the system's clock, in microseconds, since that may have been set after the start: the
    /// next process counts on from here, or the time spans for retries would end that much later.
    pub fn ahead(&self) -> i64 {
        self.now().wrapping_sub(Clock::start().now()) as i64
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.start + self.since.elapsed().as_micros() as Micros
    }

    /// Waits until this time; for ever where there is none.
    pub async fn sleep_until(&self, at: Option<Micros>) {
        match at {
            Some(at) => actix_rt::time::sleep(self.until(at)).await,
            None => std::future::pending().await,
        }
    }

    /// How long it is until this time; zero if that is past.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(at.saturating_sub(self.now()))
    }
}
