//! What tenants and couriers were short of: the credit that decides who gets a connection where they take turns.

use super::limits::TURN_INTERVAL;
use crate::budget::breaks::{Break, is_enabled};
use crate::budget::divide::{MAX_CREDIT, ONE_CONNECTION};
use quillmount_policy::Micros;

/// What a tenant, or a courier inside one, was short of.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Shortfall {
    /// Millionths of a connection.
    credit: i64,
    /// The credit at the start of the turn, which is what counts.
    turn_credit: i64,
    /// Since when it has no connection, though it demands one.
    since: Option<Micros>,
    /// Its exact part in the last round, in millionths.
    pub(super) fair: i64,
    /// When it was updated last.
    pub(super) updated_at: Micros,
}

/// A round of the leader, as credits are updated in it.
#[derive(Clone, Copy)]
pub(super) struct Round {
    /// The time since the last round.
    pub(super) elapsed: Micros,
    pub(super) now: Micros,
    /// A turn begins.
    pub(super) begins_turn: bool,
}

/// What a shortfall entitles to where connections are given out in turns.
#[derive(Clone, Copy)]
pub(super) struct Credit {
    /// Millionths of a connection; negative if it had more than its fair part.
    pub(super) millionths: i64,
    /// How long it has been without a connection, in microseconds; 0 if that is not longer than its fair part allows.
    pub(super) overdue: Micros,
}

impl Shortfall {
    /// The credit that counts in this round.
    pub(super) fn credit(&self, now: Micros) -> Credit {
        if is_enabled(Break::TurnsForgotten) {
            return Credit { millionths: 0, overdue: 0 };
        }
        let waited = self.since.map_or(0, |at| now.saturating_sub(at));
        // Two turns of its own, by its part.
        let due = (2 * ONE_CONNECTION as u64).div_ceil(self.fair.max(1) as u64).saturating_mul(TURN_INTERVAL);
        Credit { millionths: self.turn_credit, overdue: if waited > due { waited } else { 0 } }
    }

    /// The shortfall after a round in which it had so many connections: credit grows by what is fair, and falls by what
    /// is used.
    pub(super) fn after(&self, current: u32, round: Round) -> Shortfall {
        let Round { elapsed, now, begins_turn } = round;
        let gain =
            (self.fair - i64::from(current).saturating_mul(ONE_CONNECTION)).clamp(-MAX_CREDIT, MAX_CREDIT);
        let gain = i128::from(gain) * i128::from(elapsed.min(TURN_INTERVAL)) / i128::from(TURN_INTERVAL);
        let credit = (self.credit + gain as i64).clamp(-MAX_CREDIT, MAX_CREDIT);
        Shortfall {
            credit,
            turn_credit: if begins_turn { credit } else { self.turn_credit },
            since: if current > 0 { None } else { self.since.or(Some(now)) },
            fair: self.fair,
            updated_at: now,
        }
    }
}
