//! The part of a machine's link that tables for subscribers may take.
//!
//! Hundreds of subscribers wait for the same change. Sent at once, their tables would fill the link, and heartbeats would wait behind
//! them for longer than the members of the core wait for heartbeats.

use crate::breaks::{self, Break};
use quillmount_wire::Micros;
use std::ops::RangeInclusive;

/// Part of the link's rate that tables take at most.
const LINK_SHARE: f64 = 0.6;
/// Rate of a link whose settings name none, megabits per second.
const DEFAULT_MBPS: f64 = 100.0;
/// Lowest rate that is reckoned with, megabits per second.
const MINIMUM_MBPS: f64 = 1.0;
/// Bytes per second of a megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Time for which tables may be sent ahead of their rate: so long, and for one answer, a heartbeat may wait behind them.
const BURST: Micros = 50_000;
/// Time after the arrival of a poll within which its answer gets its turn: well within the time-out of the poll.
pub const TURN_LIMIT: Micros = 400_000;
/// Time after which a poll that gets no turn is to come again. Polls that are turned away together come back one after the other.
const RETRY_DELAY: RangeInclusive<Micros> = 50_000..=250_000;
/// Its multiples spread evenly over the unit interval, however many there are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// So many answers wait for their turn that another would wait for too long; nothing was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many answers wait to be sent")]
pub struct Saturated {
    /// Time for which the sender of the poll is to be kept waiting, microseconds.
    pub retry_delay: Micros,
}

/// Admits answers to the link at a rate, in the order in which they ask.
#[derive(Clone, Debug)]
pub struct TransmissionBudget {
    /// Bytes per second.
    rate: f64,
    /// When the answers admitted so far are sent.
    busy_until: Micros,
    /// Number of answers that were turned away.
    rejected: u64,
}

impl TransmissionBudget {
    /// The budget of a link of this rate, megabits per second.
    #[must_use]
    pub fn new(link_mbps: Option<f64>) -> TransmissionBudget {
        let link_mbps = link_mbps.filter(|mbps| mbps.is_finite()).unwrap_or(DEFAULT_MBPS);
        let rate = link_mbps.max(MINIMUM_MBPS) * BYTES_PER_MBIT * LINK_SHARE;
        TransmissionBudget { rate, busy_until: 0, rejected: 0 }
    }

    /// Reserves the time that an answer of this size takes on the link, to a poll that arrived at `arrived`. Returns how long it has to
    /// wait for its turn, microseconds.
    ///
    /// # Errors
    /// Its turn would come later than [`TURN_LIMIT`] after its arrival.
    pub fn reserve(&mut self, bytes: usize, arrived: Micros, now: Micros) -> Result<Micros, Saturated> {
        if breaks::is_enabled(Break::TablesUnpaced) {
            return Ok(0);
        }
        let begins = self.busy_until.max(now);
        let wait = begins.saturating_sub(now).saturating_sub(BURST);
        if wait > 0 && now + wait > arrived + TURN_LIMIT {
            return Err(Saturated { retry_delay: self.retry_delay(arrived, now) });
        }
        self.busy_until = begins + (bytes as f64 / self.rate * 1e6) as Micros;
        Ok(wait)
    }

    /// A time from the range, within the limit of the poll's turn.
    fn retry_delay(&mut self, arrived: Micros, now: Micros) -> Micros {
        self.rejected += 1;
        let fraction = (self.rejected as f64 * GOLDEN_RATIO).fract();
        let spread = (RETRY_DELAY.end() - RETRY_DELAY.start()) as f64 * fraction;
        let wait = RETRY_DELAY.start() + spread as Micros;
        wait.min((arrived + TURN_LIMIT).saturating_sub(now)).max(*RETRY_DELAY.start())
    }
}
