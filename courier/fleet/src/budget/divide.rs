//! Division of connections by weighted max-min fairness (Bertsekas and Gallager, Data Networks, section 6.5.2),
//! according to the current demand. It uses exact integer arithmetic, and the result doesn't depend on the order of
//! the claims.

use super::breaks::{Break, is_enabled};
use std::cmp::Reverse;

/// One connection, in the units of [`Claim::credit`] and [`Allocation::fair_millionths`].
pub const ONE_CONNECTION: i64 = 1_000_000;
/// Bonus for a connection that a claim already has: another claim gets it only if its remainder is greater by at least
/// a quarter of a connection. Without this hysteresis, small changes of demand would move connections in each round.
pub const HYSTERESIS: i64 = ONE_CONNECTION / 4;
/// Limit of a credit in either direction, in millionths of a connection, so that no credit grows without bound.
pub const MAX_CREDIT: i64 = 4 * ONE_CONNECTION;

/// The claim of one tenant on a budget, or of one courier on the connections of a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim<'a> {
    /// Breaks ties; it is unique among the claims of one division.
    pub name: &'a str,
    /// The weight, above 0; see [`Tenant::weight_millionths`](super::Tenant::weight_millionths).
    pub weight: u64,
    /// Connections that are reserved for the claim while it has demand for them.
    pub floor: u32,
    /// The highest number of connections that the claim may get.
    pub ceiling: u32,
    /// Connections that the claimant could use now.
    pub demand: u32,
    /// Connections that the claimant has now: see [`HYSTERESIS`].
    pub current: u32,
    /// The accumulated difference between the fair part and the actual connections in earlier rounds, in millionths of
    /// a connection; negative if the claimant had more than its fair part.
    pub credit: i64,
    /// The time without a connection in microseconds if it exceeds what the fair part allows, otherwise 0. Overdue
    /// claims take precedence over all others.
    pub overdue: u64,
}

/// The result of the division for one claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocation {
    /// The connections that the claim gets.
    pub connections: u32,
    /// The fair part before rounding to whole connections, in millionths of a connection, rounded down.
    pub fair_millionths: i64,
}

/// Divides `pool` connections. The result is in the order of the claims. Its sum is the pool, or the total demand
/// within the ceilings if that is less.
///
/// The exact part of each claim is `level * weight`, bounded below by its floor and above by its demand and its
/// ceiling, with the same level for all claims. Each claim gets its exact part rounded down. The remaining connections
/// go, one each, to the claims with the largest remainders; credit from earlier rounds is added to the remainder, and
/// overdue claims come first. If the demanded floors exceed the pool, the pool is divided among these floors only.
pub fn divide(pool: u32, claims: &[Claim]) -> Vec<Allocation> {
    let bounds = claim_bounds(pool, claims);
    let max_total: u64 = bounds.iter().map(|bound| u64::from(bound.high)).sum();
    if max_total <= u64::from(pool) {
        let in_full = |bound: &Bounds| Allocation {
            connections: bound.high,
            fair_millionths: i64::from(bound.high) * ONE_CONNECTION,
        };
        return bounds.iter().map(in_full).collect();
    }
    let level = level(pool, claims, &bounds);
    let exact_parts = claims.iter().zip(&bounds).map(|(claim, bound)| level.exact_part(claim, bound));
    let exact_parts: Vec<u128> = exact_parts.collect();
    let mut allocations: Vec<Allocation> = exact_parts.iter().map(|part| level.round_down(*part)).collect();
    let allocated: u64 = allocations.iter().map(|allocation| u64::from(allocation.connections)).sum();
    let remaining = u64::from(pool).saturating_sub(allocated) as usize;
    let mut candidates: Vec<usize> =
        (0..claims.len()).filter(|n| !exact_parts[*n].is_multiple_of(level.denominator)).collect();
    candidates.sort_by_key(|n| {
        let claim = &claims[*n];
        let hysteresis = if claim.current > allocations[*n].connections { HYSTERESIS } else { 0 };
        let credit = claim.credit.clamp(-MAX_CREDIT, MAX_CREDIT) + hysteresis;
        let remainder = (exact_parts[*n] % level.denominator) as i128 * i128::from(ONE_CONNECTION);
        let priority = remainder + i128::from(credit) * level.denominator as i128;
        (Reverse(claim.overdue), Reverse(priority), claim.name)
    });
    candidates.into_iter().take(remaining).for_each(|n| allocations[n].connections += 1);
    allocations
}

/// The lowest and the highest number of connections that a claim may get.
struct Bounds {
    low: u32,
    high: u32,
}

fn claim_bounds(pool: u32, claims: &[Claim]) -> Vec<Bounds> {
    let high = |claim: &Claim| claim.demand.min(claim.ceiling);
    let low =
        |claim: &Claim| if is_enabled(Break::FloorForgotten) { 0 } else { claim.floor.min(high(claim)) };
    let low_total: u64 = claims.iter().map(|claim| u64::from(low(claim))).sum();
    let bounds = |claim: &Claim| match low_total > u64::from(pool) {
        true => Bounds { low: 0, high: low(claim) },
        false => Bounds { low: low(claim), high: high(claim) },
    };
    claims.iter().map(bounds).collect()
}

/// The connections for each unit of weight, as a fraction.
struct Level {
    numerator: u128,
    /// Exact parts are numerators over this denominator.
    denominator: u128,
}

impl Level {
    fn exact_part(&self, claim: &Claim, bounds: &Bounds) -> u128 {
        let (low, high) = (u128::from(bounds.low), u128::from(bounds.high));
        (self.numerator * u128::from(claim.weight)).clamp(low * self.denominator, high * self.denominator)
    }

    fn round_down(&self, exact: u128) -> Allocation {
        Allocation {
            connections: (exact / self.denominator) as u32,
            fair_millionths: (exact * ONE_CONNECTION as u128 / self.denominator) as i64,
        }
    }
}

/// The level `connections / weight` at which the part of a claim starts or stops growing as the level rises.
struct Breakpoint {
    connections: u128,
    weight: u128,
    is_start: bool,
}

/// Finds the level at which the bounded parts add up to the pool. The caller ensures that the sum of all `high`
/// exceeds the pool and the sum of all `low` doesn't.
fn level(pool: u32, claims: &[Claim], bounds: &[Bounds]) -> Level {
    let mut breakpoints: Vec<Breakpoint> = Vec::with_capacity(claims.len() * 2);
    for (claim, bound) in claims.iter().zip(bounds).filter(|(_, bound)| bound.low < bound.high) {
        let weight = u128::from(claim.weight.max(1));
        breakpoints.push(Breakpoint { connections: bound.low.into(), weight, is_start: true });
        breakpoints.push(Breakpoint { connections: bound.high.into(), weight, is_start: false });
    }
    breakpoints.sort_by(|a, b| (a.connections * b.weight).cmp(&(b.connections * a.weight)));
    // `fixed` is the sum of the parts that don't grow with the level, `growing` the sum of the weights of those that
    // do.
    let mut fixed: u128 = bounds.iter().map(|bound| u128::from(bound.low)).sum();
    let mut growing: u128 = 0;
    let pool = u128::from(pool);
    for Breakpoint { connections, weight, is_start } in breakpoints {
        let is_reached = fixed * weight + growing * connections >= pool * weight;
        if growing > 0 && is_reached {
            break;
        }
        (fixed, growing) = match is_start {
            true => (fixed - connections, growing + weight),
            false => (fixed + connections, growing - weight),
        };
    }
    match growing {
        0 => Level { numerator: 0, denominator: 1 },
        _ => Level { numerator: pool - fixed.min(pool), denominator: growing },
    }
}
