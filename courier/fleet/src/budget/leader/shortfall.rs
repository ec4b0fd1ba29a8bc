//! Shortfalls of tenants and couriers: the credits that decide who gets a connection that several share in turns.

use super::limits::TURN_INTERVAL;
use crate::budget::breaks::{Break, is_enabled};
use crate::budget::divide::{MAX_CREDIT, ONE_CONNECTION};
use quillmount_policy::Micros;

/// The shortfall of a tenant, or of a courier within a tenant, relative to its fair part.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Shortfall {
    /// The current credit, in millionths of a connection.
    credit: i64,
    /// The credit at the start of the turn, which is the one that the division uses.
    turn_credit: i64,
    /// When it last began to have a demand but no connection.
    starved_since: Option<Micros>,
    /// The exact part in the last round, in millionths of a connection.
    pub(super) fair_millionths: i64,
    pub(super) updated_at: Micros,
}

/// The properties of a leader's round that affect credits.
#[derive(Clone, Copy)]
pub(super) struct Round {
    /// The time since the previous round.
    pub(super) elapsed: Micros,
    pub(super) now: Micros,
    /// Whether a new turn starts in this round.
    pub(super) starts_turn: bool,
}

/// The claim that a shortfall gives to a connection that is shared in turns.
#[derive(Clone, Copy)]
pub(super) struct Credit {
    /// The credit in millionths of a connection; negative after more connections than the fair part.
    pub(super) millionths: i64,
    /// The time without a connection in microseconds; 0 if the fair part allows it to be that long.
    pub(super) overdue: Micros,
}

impl Shortfall {
    /// Returns the credit that the division uses in this round.
    pub(super) fn credit(&self, now: Micros) -> Credit {
        if is_enabled(Break::TurnsForgotten) {
            return Credit { millionths: 0, overdue: 0 };
        }
        let starved_for = self.starved_since.map_or(0, |since| now.saturating_sub(since));
        // The time in which the fair part amounts to two turns with a connection.
        let allowed = (2 * ONE_CONNECTION as u64)
            .div_ceil(self.fair_millionths.max(1) as u64)
            .saturating_mul(TURN_INTERVAL);
        Credit { millionths: self.turn_credit, overdue: if starved_for > allowed { starved_for } else { 0 } }
    }

    /// Returns the shortfall after a round with `current` connections: the credit grows by the fair part and falls by
    /// the connections used.
    pub(super) fn updated(&self, current: u32, round: Round) -> Shortfall {
        let Round { elapsed, now, starts_turn } = round;
        let gain = (self.fair_millionths - i64::from(current).saturating_mul(ONE_CONNECTION))
            .clamp(-MAX_CREDIT, MAX_CREDIT);
        let gain = i128::from(gain) * i128::from(elapsed.min(TURN_INTERVAL)) / i128::from(TURN_INTERVAL);
        let credit = (self.credit + gain as i64).clamp(-MAX_CREDIT, MAX_CREDIT);
        Shortfall {
            credit,
            turn_credit: if starts_turn { credit } else { self.turn_credit },
            starved_since: if current > 0 { None } else { self.starved_since.or(Some(now)) },
            fair_millionths: self.fair_millionths,
            updated_at: now,
        }
    }
}
