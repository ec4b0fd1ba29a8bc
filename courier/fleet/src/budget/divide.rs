//! The division of whole connections: weighted max-min fairness (Bertsekas and Gallager, Data Networks, section 6.5.2) by
//! what is demanded now. It is exact, and the same at every courier whatever the order of the claims.

use super::breaks::{Break, is_enabled};
use std::cmp::Reverse;

/// One connection, in the units of [`Claim::credit`] and [`Allocation::fair`].
pub const ONE_CONNECTION: i64 = 1_000_000;
/// Hysteresis: a claim keeps a connection that it has against one whose remainder is greater by less than this, a quarter
/// of a connection. Without it, demand that varies a little would move connections in each round.
pub const HYSTERESIS: i64 = ONE_CONNECTION / 4;
/// Credits count up to so many millionths of a connection either way, so that none accumulates without bound.
pub const MAX_CREDIT: i64 = 4 * ONE_CONNECTION;

/// The claim of one tenant, or of one courier inside a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim<'a> {
    /// Breaks ties; no two claims of one division have the same.
    pub name: &'a str,
    /// Above 0; see [`Tenant::weight_millionths`](super::Tenant::weight_millionths).
    pub weight: u64,
    /// Connections that it gets first, as far as it demands them.
    pub floor: u32,
    /// The most connections that it may get.
    pub ceiling: u32,
    /// Connections that it would use now.
    pub demand: u32,
    /// Connections that it has now: see [`HYSTERESIS`].
    pub current: u32,
    /// Millionths of a connection that it was short of its fair part in earlier rounds; negative if it had more.
    pub credit: i64,
    /// For how many microseconds it has had no connection, if longer than its fair part allows; else 0. Overdue claims
    /// come first.
    pub overdue: u64,
}

/// What one claim gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocation {
    /// Connections.
    pub whole: u32,
    /// The exact part before rounding to whole connections, in millionths, rounded down.
    pub fair: i64,
}

/// Divides `pool` connections. The result is in the order of the claims; its sum is the pool, or all that is demanded
/// within the ceilings if that is less.
///
/// Each claim's exact part is `level * weight`, not below its floor nor above its demand and its ceiling, with one level
/// for all. Each gets the whole part of that, and the rest goes one connection each to the largest remainders (with the
/// credit of earlier rounds, and overdue claims first). If the demanded floors are more than the pool, the pool is
/// divided among these floors alone.
pub fn divide(pool: u32, claims: &[Claim]) -> Vec<Allocation> {
    let bounds = claim_bounds(pool, claims);
    let most: u64 = bounds.iter().map(|bound| u64::from(bound.high)).sum();
    if most <= u64::from(pool) {
        let all =
            |bound: &Bounds| Allocation { whole: bound.high, fair: i64::from(bound.high) * ONE_CONNECTION };
        return bounds.iter().map(all).collect();
    }
    let level = level(pool, claims, &bounds);
    let exact = claims.iter().zip(&bounds).map(|(claim, bound)| level.exact_part(claim, bound));
    let exact: Vec<u128> = exact.collect();
    let mut parts: Vec<Allocation> = exact.iter().map(|part| level.whole_part(*part)).collect();
    let whole: u64 = parts.iter().map(|part| u64::from(part.whole)).sum();
    let rest = u64::from(pool).saturating_sub(whole) as usize;
    let mut next: Vec<usize> =
        (0..claims.len()).filter(|n| !exact[*n].is_multiple_of(level.denominator)).collect();
    next.sort_by_key(|n| {
        let claim = &claims[*n];
        let hysteresis = if claim.current > parts[*n].whole { HYSTERESIS } else { 0 };
        let credit = claim.credit.clamp(-MAX_CREDIT, MAX_CREDIT) + hysteresis;
        let remainder = (exact[*n] % level.denominator) as i128 * i128::from(ONE_CONNECTION);
        let key = remainder + i128::from(credit) * level.denominator as i128;
        (Reverse(claim.overdue), Reverse(key), claim.name)
    });
    next.into_iter().take(rest).for_each(|n| parts[n].whole += 1);
    parts
}

/// The least and the most that a claim may get.
struct Bounds {
    low: u32,
    high: u32,
}

fn claim_bounds(pool: u32, claims: &[Claim]) -> Vec<Bounds> {
    let high = |claim: &Claim| claim.demand.min(claim.ceiling);
    let low =
        |claim: &Claim| if is_enabled(Break::FloorForgotten) { 0 } else { claim.floor.min(high(claim)) };
    let least: u64 = claims.iter().map(|claim| u64::from(low(claim))).sum();
    let bounds = |claim: &Claim| match least > u64::from(pool) {
        true => Bounds { low: 0, high: low(claim) },
        false => Bounds { low: low(claim), high: high(claim) },
    };
    claims.iter().map(bounds).collect()
}

/// The part of a claim for each unit of its weight, as a fraction.
struct Level {
    numerator: u128,
    /// Exact parts are over this denominator.
    denominator: u128,
}

impl Level {
    fn exact_part(&self, claim: &Claim, bounds: &Bounds) -> u128 {
        let (low, high) = (u128::from(bounds.low), u128::from(bounds.high));
        (self.numerator * u128::from(claim.weight)).clamp(low * self.denominator, high * self.denominator)
    }

    fn whole_part(&self, exact: u128) -> Allocation {
        Allocation {
            whole: (exact / self.denominator) as u32,
            fair: (exact * ONE_CONNECTION as u128 / self.denominator) as i64,
        }
    }
}

/// Where a claim starts or stops to grow as the level rises: at `connections / weight`.
struct Turn {
    connections: u128,
    weight: u128,
    starts: bool,
}

/// The level at which the bounded parts add up to the pool. The highs add up to more than the pool, the lows to no
/// more.
fn level(pool: u32, claims: &[Claim], bounds: &[Bounds]) -> Level {
    let mut turns: Vec<Turn> = Vec::with_capacity(claims.len() * 2);
    for (claim, bound) in claims.iter().zip(bounds).filter(|(_, bound)| bound.low < bound.high) {
        let weight = u128::from(claim.weight.max(1));
        turns.push(Turn { connections: bound.low.into(), weight, starts: true });
        turns.push(Turn { connections: bound.high.into(), weight, starts: false });
    }
    turns.sort_by(|a, b| (a.connections * b.weight).cmp(&(b.connections * a.weight)));
    // `fixed` has the parts that don't grow; a growing part is its weight times the level.
    let mut fixed: u128 = bounds.iter().map(|bound| u128::from(bound.low)).sum();
    let mut growing: u128 = 0;
    let pool = u128::from(pool);
    for Turn { connections, weight, starts } in turns {
        let is_reached = fixed * weight + growing * connections >= pool * weight;
        if growing > 0 && is_reached {
            break;
        }
        (fixed, growing) = match starts {
            true => (fixed - connections, growing + weight),
            false => (fixed + connections, growing - weight),
        };
    }
    match growing {
        0 => Level { numerator: 0, denominator: 1 },
        _ => Level { numerator: pool - fixed.min(pool), denominator: growing },
    }
}
