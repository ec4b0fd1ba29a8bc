//! The leader's intervals and limits, and the bounds that follow from them.

use crate::budget::divide::ONE_CONNECTION;
use crate::budget::local::REPORT_INTERVAL;
use crate::budget::model::TimeBounds;
use quillmount_policy::Micros;

/// Interval of the leader's rounds: moves come in batches, and an entry of the log takes about as long.
pub const ROUND_INTERVAL: Micros = 50_000;
/// A partner is reviewed at most once in so long for each pair of tenant and courier, which is ten times what a review
/// costs: reviews take no more than a tenth of the leader's time.
pub const REVIEW_COST_PER_SEAT: Micros = 10;
/// A demand counts for so long: one that comes and goes faster moves nothing.
pub const DEMAND_WINDOW: Micros = 250_000;
/// Where tenants take turns, credits are updated once in this: each keeps a connection for about so long, which is the
/// time of several calls, so that moving it costs little of its use.
pub const TURN_INTERVAL: Micros = 2_000_000;
/// Shares of one partner that change in any second, at most: each change is an entry of some 100 bytes in the log of
/// every courier, which has other work.
pub const MAX_MOVES_PER_SECOND: u32 = 256;
/// Changes of [`MAX_MOVES_PER_SECOND`] that may come at once; the rest comes evenly over the second.
pub const MAX_MOVE_BURST: u32 = 64;
/// Lines of one report at most; what is beyond them counts as no demand.
pub const MAX_REPORT_LINES: usize = 16_384;

/// The longest that a tenant whose fair part is so many millionths of a connection goes without one, while `overdue`
/// others are overdue and `by_turns` connections go by turns: see the [module](super)'s bounds.
pub fn starvation(bounds: &TimeBounds, fair: i64, overdue: u64, by_turns: u64) -> Micros {
    let own = (2 * ONE_CONNECTION as u64).div_ceil(fair.clamp(1, ONE_CONNECTION) as u64);
    let others = overdue.div_ceil(by_turns.max(1));
    let step = 2 * (REPORT_INTERVAL + ROUND_INTERVAL) + bounds.recall_time();
    let moves = overdue.saturating_mul(1_000_000) / u64::from(MAX_MOVES_PER_SECOND);
    (own + others).saturating_mul(TURN_INTERVAL + step).saturating_add(moves)
}
