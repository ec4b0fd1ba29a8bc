//! The division of whole connections: weighted max-min by what is asked for now, exact, and the same at every
//! courier whatever the order in which the claims are told.

use super::breaks::{Break, on};
use std::cmp::Reverse;

/// One connection, in the units of [`Claim::credit`] and [`Allocation::fair`].
pub const ONE_CONNECTION: i64 = 1_000_000;
/// Hysteresis: who holds a seat keeps it against one whose claim to it is greater by less than this: a quarter of a
/// connection. Without it, demand that wavers would turn seats over at each look.
pub const HYSTERESIS: i64 = ONE_CONNECTION / 4;
/// Credits count up to so many connections either way: who asked for long can't hoard.
pub const MAX_CREDIT: i64 = 4 * ONE_CONNECTION;

/// What one tenant (or one courier inside a tenant) claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim<'a> {
    /// Breaks ties; no two claims of one division have the same.
    pub name: &'a str,
    /// Above nought; see [`super::Tenant::weight_millionths`].
    pub weight: u64,
    /// Kept for it as far as it asks for it.
    pub floor: u32,
    pub ceiling: u32,
    /// Connections that it would use now.
    pub demand: u32,
    /// What it holds now: see [`HYSTERESIS`].
    pub current: u32,
    /// Millionths of a connection that it was short of its fair part before; negative if it had more.
    pub credit: i64,
    /// How long it has gone without a connection, if for longer than its fair part lets it; else 0. It comes
    /// first.
    pub overdue: u64,
}

/// What one claim gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocation {
    pub whole: u32,
    /// The exact part before it was made whole, in millionths, rounded down.
    pub fair: i64,
}

/// Divides `pool` connections. What comes back is in the order of the claims; its sum is the pool, or all
/// that is asked for within the ceilings if that is less.
///
/// Each claim's exact part is `level * weight`, not below its floor nor above what it asks for and its
/// ceiling, with one level for all. Each gets the whole part of that, and the rest is dealt by one connection
/// to the largest remainders (with the credit of earlier divisions, and what is overdue first). If the floors
/// that are asked for are more than the pool, the pool is divided among these floors alone.
pub fn divide(pool: u32, claims: &[Claim]) -> Vec<Allocation> {
    let high = |c: &Claim| c.demand.min(c.ceiling);
    let low = |c: &Claim| if on(Break::FloorForgotten) { 0 } else { c.floor.min(high(c)) };
    let lows: u64 = claims.iter().map(|c| u64::from(low(c))).sum();
    let bounds: Vec<(u32, u32)> = match lows > u64::from(pool) {
        true => claims.iter().map(|c| (0, low(c))).collect(),
        false => claims.iter().map(|c| (low(c), high(c))).collect(),
    };
    let highs: u64 = bounds.iter().map(|(_, high)| u64::from(*high)).sum();
    if highs <= u64::from(pool) {
        return bounds
            .iter()
            .map(|(_, high)| Allocation { whole: *high, fair: i64::from(*high) * ONE_CONNECTION })
            .collect();
    }
    let (level, by) = level(pool, claims, &bounds);
    // Exact parts over the common denominator `by`.
    let exact = claims.iter().zip(&bounds).map(|(claim, (low, high))| {
        (level * u128::from(claim.weight)).clamp(u128::from(*low) * by, u128::from(*high) * by)
    });
    let exact: Vec<u128> = exact.collect();
    let mut parts: Vec<Allocation> = exact
        .iter()
        .map(|part| Allocation {
            whole: (part / by) as u32,
            fair: (part * ONE_CONNECTION as u128 / by) as i64,
        })
        .collect();
    let dealt: u64 = parts.iter().map(|p| u64::from(p.whole)).sum();
    let rest = u64::from(pool).saturating_sub(dealt) as usize;
    let mut next: Vec<usize> = (0..claims.len()).filter(|n| !exact[*n].is_multiple_of(by)).collect();
    next.sort_by_key(|n| {
        let claim = &claims[*n];
        let hysteresis = if claim.current > parts[*n].whole { HYSTERESIS } else { 0 };
        let credit = claim.credit.clamp(-MAX_CREDIT, MAX_CREDIT) + hysteresis;
        let key = (exact[*n] % by) as i128 * i128::from(ONE_CONNECTION) + i128::from(credit) * by as i128;
        (Reverse(claim.overdue), Reverse(key), claim.name)
    });
    next.into_iter().take(rest).for_each(|n| parts[n].whole += 1);
    parts
}

/// The level at which the bounded parts add up to the pool, as a fraction. The highs add up to more than the
/// pool, the lows to no more.
fn level(pool: u32, claims: &[Claim], bounds: &[(u32, u32)]) -> (u128, u128) {
    // As the level rises from nought, a claim starts to grow at low / weight and stops at high / weight.
    let mut turns: Vec<(u32, u64, bool)> = Vec::with_capacity(claims.len() * 2);
    for (claim, (low, high)) in claims.iter().zip(bounds) {
        if low < high {
            let weight = claim.weight.max(1);
            turns.push((*low, weight, true));
            turns.push((*high, weight, false));
        }
    }
    let at = |(n, weight, _): &(u32, u64, bool)| (u128::from(*n), u128::from(*weight));
    turns.sort_by(|a, b| {
        let ((n, v), (m, w)) = (at(a), at(b));
        (n * w).cmp(&(m * v))
    });
    let mut fixed: u128 = bounds.iter().map(|(low, _)| u128::from(*low)).sum();
    let mut growing: u128 = 0;
    let pool = u128::from(pool);
    for turn in &turns {
        let (n, weight) = at(turn);
        // At this level n / weight: is the sum the pool already?
        if growing > 0 && fixed * weight + growing * n >= pool * weight {
            break;
        }
        // `fixed` holds the parts that don't grow; a growing one is its weight times the level.
        if turn.2 {
            (fixed, growing) = (fixed - n, growing + weight);
        } else {
            (fixed, growing) = (fixed + n, growing - weight);
        }
    }
    match growing {
        0 => (0, 1),
        _ => (pool - fixed.min(pool), growing),
    }
}
