//! The part of a machine's link that tables for subscribers may take.
//!
//! Hundreds of subscribers wait for the same change. Sent at once, their tables would fill the link, and heartbeats would wait behind
//! them for longer than the members of the core wait for heartbeats.

use crate::breaks::{self, Break};
use quillmount_wire::Micros;

/// Part of the link's rate that tables take at most.
const LINK_SHARE: f64 = 0.6;
/// Rate of a link whose settings name none, megabits per second.
const DEFAULT_MBPS: f64 = 100.0;
/// Lowest rate that is reckoned with, megabits per second.
const MINIMUM_MBPS: f64 = 1.0;
/// Bytes per second of a megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Time for which tables may be sent ahead of their rate: so long may a heartbeat wait behind them.
const BURST: Micros = 50_000;
/// Longest time for which an answer waits for its turn: with the time for which it waited for a change, within the time-out of a poll.
pub const MAX_TURN_WAIT: Micros = 250_000;

/// So many answers wait for their turn that another would wait for too long; nothing was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many answers wait to be sent")]
pub struct Saturated;

/// Admits answers to the link at a rate, in the order in which they ask.
#[derive(Clone, Debug)]
pub struct TransmissionBudget {
    /// Bytes per second.
    rate: f64,
    /// When the answers admitted so far are sent.
    busy_until: Micros,
}

impl TransmissionBudget {
    /// The budget of a link of this rate, megabits per second.
    #[must_use]
    pub fn new(link_mbps: Option<f64>) -> TransmissionBudget {
        let link_mbps = link_mbps.filter(|mbps| mbps.is_finite()).unwrap_or(DEFAULT_MBPS);
        let rate = link_mbps.max(MINIMUM_MBPS) * BYTES_PER_MBIT * LINK_SHARE;
        TransmissionBudget { rate, busy_until: 0 }
    }

    /// Reserves the time that an answer of this size takes on the link. Returns how long it has to wait for its turn, microseconds.
    ///
    /// # Errors
    /// The wait would be longer than [`MAX_TURN_WAIT`].
    pub fn reserve(&mut self, bytes: usize, now: Micros) -> Result<Micros, Saturated> {
        if breaks::is_enabled(Break::TablesUnpaced) {
            return Ok(0);
        }
        let begins = self.busy_until.max(now);
        let wait = begins.saturating_sub(now).saturating_sub(BURST);
        if wait > MAX_TURN_WAIT {
            return Err(Saturated);
        }
        self.busy_until = begins + (bytes as f64 / self.rate * 1e6) as Micros;
        Ok(wait)
    }
}
