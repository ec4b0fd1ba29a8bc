//! Tests of the fair division; a property test compares it with exact parts found by exhaustive search.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillmount_fleet::budget::divide::{Allocation, Claim, HYSTERESIS, ONE_CONNECTION, divide};

const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

fn fixed(cases: u32) -> Config {
    Config { cases, failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() }
}

fn claim(
    n: usize,
    (weight, floor, ceiling_above_floor, demand, credit): (u64, u32, u32, u32, i64),
) -> Claim<'static> {
    Claim {
        name: NAMES[n],
        weight,
        floor,
        ceiling: floor + ceiling_above_floor,
        demand,
        current: 0,
        credit,
        overdue: 0,
    }
}

fn claims(max_claims: usize) -> impl Strategy<Value = Vec<Claim<'static>>> {
    let credit = prop_oneof![Just(0), -ONE_CONNECTION..ONE_CONNECTION];
    let fields = (1..6u64, 0..4u32, 1..12u32, 0..14u32, credit);
    prop::collection::vec(fields, 0..=max_claims)
        .prop_map(|all| all.into_iter().enumerate().map(|(n, fields)| claim(n, fields)).collect())
}

/// Finds the exact parts as (numerators, denominator) by exhaustive search: each claim is at its lower bound, at its
/// upper bound, or grows with the level.
fn exact_parts_by_search(pool: u32, bounds: &[(u32, u32)], weights: &[u64]) -> (Vec<i128>, i128) {
    let n = bounds.len() as u32;
    for mut combination in 0..3u32.pow(n) {
        let kinds: Vec<u32> = (0..n).map(|_| (combination % 3, combination /= 3).0).collect();
        let claims_of =
            |kind: u32| kinds.iter().enumerate().filter(move |(_, k)| **k == kind).map(|(n, _)| n);
        let fixed: i128 = claims_of(0)
            .map(|n| i128::from(bounds[n].0))
            .chain(claims_of(1).map(|n| i128::from(bounds[n].1)))
            .sum();
        let growing_weight: i128 = claims_of(2).map(|n| i128::from(weights[n])).sum();
        let growing_sum = i128::from(pool) - fixed;
        if growing_sum < 0 || growing_weight == 0 {
            continue;
        }
        // The level is growing_sum / growing_weight. It has to be consistent with the bounds of the other claims.
        let grown = |n: usize| growing_sum * i128::from(weights[n]);
        let low = |n: usize| i128::from(bounds[n].0) * growing_weight;
        let high = |n: usize| i128::from(bounds[n].1) * growing_weight;
        if claims_of(0).all(|n| grown(n) <= low(n))
            && claims_of(1).all(|n| grown(n) >= high(n))
            && claims_of(2).all(|n| grown(n) >= low(n) && grown(n) <= high(n))
        {
            let part = |n: usize| [low(n), high(n), grown(n)][kinds[n] as usize];
            return ((0..bounds.len()).map(part).collect(), growing_weight);
        }
    }
    (bounds.iter().map(|(low, _)| i128::from(*low)).collect(), 1)
}

proptest! {
    #![proptest_config(fixed(1500))]

    #[test]
    fn allocations_round_by_the_largest_remainder(pool in 0..24u32, all in claims(5)) {
        let parts = divide(pool, &all);
        let high = |c: &Claim| c.demand.min(c.ceiling);
        let low = |c: &Claim| c.floor.min(high(c));
        let (lows, highs): (u32, u32) = (all.iter().map(low).sum(), all.iter().map(high).sum());
        let total: u32 = parts.iter().map(|p| p.connections).sum();
        prop_assert_eq!(total, pool.min(highs));
        for (part, claim) in parts.iter().zip(&all) {
            prop_assert!(part.connections <= high(claim));
            prop_assert!(part.connections >= low(claim) || lows > pool, "{claim:?} has {part:?}");
        }
        if highs > pool {
            let bounds: Vec<(u32, u32)> =
                all.iter().map(|c| if lows > pool { (0, low(c)) } else { (low(c), high(c)) }).collect();
            let weights: Vec<u64> = all.iter().map(|c| c.weight).collect();
            let (exact, denominator) = exact_parts_by_search(pool, &bounds, &weights);
            let priority = |n: usize| {
                (exact[n] % denominator) * i128::from(ONE_CONNECTION) + i128::from(all[n].credit) * denominator
            };
            for (n, part) in parts.iter().enumerate() {
                prop_assert_eq!(i128::from(part.fair_millionths), exact[n] * i128::from(ONE_CONNECTION) / denominator);
                let extra = i128::from(part.connections) - exact[n] / denominator;
                prop_assert!(extra == 0 || (extra == 1 && exact[n] % denominator > 0));
                let is_skipped = |m: usize| {
                    exact[m] % denominator > 0 && i128::from(parts[m].connections) == exact[m] / denominator
                };
                let larger = (0..all.len()).find(|m| extra == 1 && is_skipped(*m) && priority(*m) > priority(n));
                prop_assert!(larger.is_none(), "claim {n} precedes {larger:?}");
            }
        }
    }

    #[test]
    fn the_result_does_not_depend_on_the_order_of_claims(pool in 0..24u32, all in claims(8).prop_shuffle()) {
        let by_name = |claims: &[Claim<'static>]| {
            let mut named: Vec<(&str, Allocation)> =
                claims.iter().map(|c| c.name).zip(divide(pool, claims)).collect();
            named.sort_by_key(|(name, _)| *name);
            named
        };
        let mut sorted = all.clone();
        sorted.sort_by_key(|c| c.name);
        prop_assert_eq!(by_name(&all), by_name(&sorted));
    }
}

#[test]
fn a_thousand_tenants_share_a_hundred_connections_in_turns() {
    let names: Vec<String> = (0..1000).map(|n| format!("t{n:04}")).collect();
    let mut served = vec![0; 1000];
    for _ in 0..10 {
        let all = names.iter().zip(&served).map(|(name, served)| {
            let credit = -ONE_CONNECTION * i64::from(*served);
            Claim { name, weight: 1, floor: 0, ceiling: 100, demand: 1, current: 0, credit, overdue: 0 }
        });
        let all: Vec<Claim> = all.collect();
        let parts = divide(100, &all);
        assert_eq!(parts.iter().map(|p| p.connections).sum::<u32>(), 100);
        parts.iter().zip(&mut served).for_each(|(part, served)| *served += part.connections);
    }
    assert!(served.iter().all(|n| *n == 1), "each tenant is served once in ten rounds");
}

#[test]
fn overdue_claims_come_first_and_hysteresis_protects_current_ones() {
    let all = |current, overdue| {
        [claim(0, (50, 0, 9, 9, 0)), Claim { current, overdue, ..claim(1, (50, 0, 9, 9, 0)) }]
    };
    let connections = |claims: &[Claim]| divide(3, claims).iter().map(|p| p.connections).collect::<Vec<_>>();
    assert_eq!(connections(&all(0, 0)), [2, 1], "a tie is broken by name");
    assert_eq!(connections(&all(2, 0)), [1, 2], "current connections are kept");
    assert_eq!(connections(&all(0, 1)), [1, 2]);
    let mut credited = all(2, 0);
    credited[0].credit = HYSTERESIS + 1;
    assert_eq!(connections(&credited), [2, 1]);
}

#[test]
fn large_numbers_do_not_overflow() {
    let huge = |name| Claim {
        name,
        weight: 1_000_000_000_000,
        floor: 0,
        ceiling: u32::MAX,
        demand: u32::MAX,
        current: 0,
        credit: i64::MIN,
        overdue: 0,
    };
    let parts = divide(u32::MAX, &[huge("a"), huge("b"), Claim { weight: 1, ..huge("c") }]);
    assert_eq!(parts.iter().map(|p| p.connections).collect::<Vec<_>>(), [2_147_483_648, 2_147_483_647, 0]);
}
