//! Intervals and limits of the budget leader, and the bounds that follow from them.

use crate::budget::divide::ONE_CONNECTION;
use crate::budget::local::REPORT_INTERVAL;
use crate::budget::model::TimeBounds;
use quillmount_policy::Micros;

/// Interval of the leader's rounds. Changes are proposed in batches, and the commit of a log entry takes about as
/// long.
pub const ROUND_INTERVAL: Micros = 50_000;
/// Minimum interval between two reviews of a partner, multiplied by its number of assignments (pairs of tenant and
/// courier). It is ten times the cost of a review, so reviews take at most a tenth of the leader's time.
pub const REVIEW_COST_PER_ASSIGNMENT: Micros = 10;
/// A peak of demand counts for this time, so demand that fluctuates faster causes no moves.
pub const DEMAND_WINDOW: Micros = 250_000;
/// Interval of the turns in which tenants share a connection when there are fewer connections than tenants. Credits
/// take effect once in each turn, so a tenant keeps a connection for about this time. That is several calls long,
/// which makes the cost of moving the connection small compared with its use.
pub const TURN_INTERVAL: Micros = 2_000_000;
/// Upper limit of the changes of one partner's shares in any second. Each change adds an entry of about 100 bytes to
/// the log of every courier, which has other work as well.
pub const MAX_MOVES_PER_SECOND: u32 = 256;
/// The number of changes out of [`MAX_MOVES_PER_SECOND`] that may be made at once; the others are spread over the
/// second.
pub const MAX_MOVE_BURST: u32 = 64;
/// Upper limit of the lines of one report; further lines are ignored and count as no demand.
pub const MAX_REPORT_LINES: usize = 16_384;

/// The longest time in microseconds for which a tenant goes without a connection if its fair part is `fair_millionths`
/// of a connection, `overdue` other tenants are overdue, and `rotating` connections are shared in turns. See the
/// bounds in the documentation of the [module](super).
pub fn starvation(bounds: &TimeBounds, fair_millionths: i64, overdue: u64, rotating: u64) -> Micros {
    let own_turns = (2 * ONE_CONNECTION as u64).div_ceil(fair_millionths.clamp(1, ONE_CONNECTION) as u64);
    let other_turns = overdue.div_ceil(rotating.max(1));
    let move_time = 2 * (REPORT_INTERVAL + ROUND_INTERVAL) + bounds.recall_time();
    let move_limit_delay = overdue.saturating_mul(1_000_000) / u64::from(MAX_MOVES_PER_SECOND);
    (own_turns + other_turns).saturating_mul(TURN_INTERVAL + move_time).saturating_add(move_limit_delay)
}
