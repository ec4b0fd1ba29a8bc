//! Rate limit for the tables that a machine sends to subscribers.
//!
//! Hundreds of subscribers wait for the same change. If their tables were all sent at once, heartbeats would queue
//! behind them on the link for longer than the heartbeat timeout of the core members.

use crate::breaks::{self, Break};
use quillmount_wire::Micros;
use std::ops::RangeInclusive;

/// Maximum fraction of the link's rate that is used for tables.
const LINK_SHARE: f64 = 0.6;
/// Rate assumed for a link without one in the settings, megabits per second.
const DEFAULT_MBPS: f64 = 100.0;
/// Lower bound on the rate of a link, megabits per second.
const MINIMUM_MBPS: f64 = 1.0;
/// Bytes in a megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Burst allowance of the rate limit, as transmission time, microseconds. A heartbeat may queue behind tables for
/// this time, plus the transmission time of one answer.
const BURST: Micros = 50_000;
/// Maximum time from the arrival of a poll to the start of its answer's transmission, microseconds. It is well within
/// the timeout of a poll.
pub const MAX_QUEUE_DELAY: Micros = 400_000;
/// Range of the delay before a rejected poll is retried, microseconds. Delays are spread over the range, so that
/// polls rejected together are not retried together.
const RETRY_DELAY: RangeInclusive<Micros> = 50_000..=250_000;
/// Fractional part of the golden ratio. The fractional parts of its multiples spread evenly over the unit interval,
/// for any number of multiples.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// The answer was not admitted because its transmission would start too late; nothing was reserved. The sender of the
/// poll retries after `retry_delay`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "answer to a poll not admitted to the link: too many answers are queued; retry in {retry_delay} microseconds"
)]
pub struct Saturated {
    /// Delay after which the sender of the poll is told to retry, microseconds.
    pub retry_delay: Micros,
}

/// Rate limiter that admits answers to the link in the order of their requests.
#[derive(Clone, Debug)]
pub struct TransmissionBudget {
    /// Rate limit, bytes per second.
    rate: f64,
    /// When the transmission of all admitted answers ends.
    busy_until: Micros,
    /// Number of rejected answers.
    rejected: u64,
}

impl TransmissionBudget {
    /// The budget for a link of the rate `link_mbps`, megabits per second. 100 is assumed if the rate is absent or
    /// not finite.
    #[must_use]
    pub fn new(link_mbps: Option<f64>) -> TransmissionBudget {
        let link_mbps = link_mbps.filter(|mbps| mbps.is_finite()).unwrap_or(DEFAULT_MBPS);
        let rate = link_mbps.max(MINIMUM_MBPS) * BYTES_PER_MBIT * LINK_SHARE;
        TransmissionBudget { rate, busy_until: 0, rejected: 0 }
    }

    /// Reserves transmission time for an answer of `bytes` to a poll that arrived at `arrived_at`. Returns the delay
    /// before the answer may be sent, microseconds.
    ///
    /// # Errors
    /// [`Saturated`] if the transmission would start later than [`MAX_QUEUE_DELAY`] after the arrival of the poll.
    pub fn reserve(&mut self, bytes: usize, arrived_at: Micros, now: Micros) -> Result<Micros, Saturated> {
        if breaks::is_enabled(Break::TablesUnpaced) {
            return Ok(0);
        }
        let starts_at = self.busy_until.max(now);
        let wait = starts_at.saturating_sub(now).saturating_sub(BURST);
        if wait > 0 && now + wait > arrived_at + MAX_QUEUE_DELAY {
            return Err(Saturated { retry_delay: self.retry_delay(arrived_at, now) });
        }
        self.busy_until = starts_at + (bytes as f64 / self.rate * 1e6) as Micros;
        Ok(wait)
    }

    /// A delay from the range [`RETRY_DELAY`] that ends within [`MAX_QUEUE_DELAY`] of the poll's arrival, or the
    /// shortest delay.
    fn retry_delay(&mut self, arrived_at: Micros, now: Micros) -> Micros {
        self.rejected += 1;
        let fraction = (self.rejected as f64 * GOLDEN_RATIO).fract();
        let spread = (RETRY_DELAY.end() - RETRY_DELAY.start()) as f64 * fraction;
        let wait = RETRY_DELAY.start() + spread as Micros;
        wait.min((arrived_at + MAX_QUEUE_DELAY).saturating_sub(now)).max(*RETRY_DELAY.start())
    }
}
