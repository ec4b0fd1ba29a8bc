//! Simulation tests of budgets under faults: the partner never has more connections open than the budget allows, and
//! connections are divided fairly according to the demand. [`simulation`] describes the simulated fleet.

mod courier;
mod event;
mod faults;
mod leader;
mod partner;
mod random;
mod simulation;

use event::Event;
#[cfg(feature = "breaks")]
use quillmount_fleet::budget::breaks;
use quillmount_fleet::budget::leader::{MAX_MOVES_PER_SECOND, starvation};
use quillmount_fleet::budget::{Tenant, leader as fleet_leader, local};
use quillmount_test_support::digest::{SEEDS, compare_with_file};
use simulation::{BOUNDS, BudgetExceeded, DEST, LoweredLimit, MS, S, Simulation, budget, tenant};

/// Runs a fleet with all kinds of faults.
fn run_under_faults(seed: u64, couriers: usize, span: u64) -> Result<Simulation, BudgetExceeded> {
    let floor = u32::from(couriers <= 10);
    let mut sim = Simulation::new(seed, couriers, budget(40, floor, vec![tenant("t0", 2.0, 3, None)]));
    (sim.conditions.loss, sim.conditions.max_delay) = (8, 30 * MS);
    (sim.conditions.hanging_calls, sim.conditions.late_openings) = (3, true);
    for n in 0..couriers {
        let (tenant, concurrency) = (sim.random.below(5), sim.random.below(40) as u32);
        sim.set_load(n, &format!("t{tenant}"), concurrency);
    }
    sim.schedule(S, Event::Fault);
    sim.run(span);
    match sim.exceeded.take() {
        Some(exceeded) => Err(exceeded),
        None => Ok(sim),
    }
}

#[test]
fn open_connections_never_exceed_the_budget_during_faults() {
    let mut saturated_runs = 0;
    for (seed, couriers) in [(1, 3), (2, 3), (3, 4), (4, 5), (5, 8), (6, 10), (7, 20), (8, 30)] {
        let sim = run_under_faults(seed, couriers, 60 * S).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        saturated_runs += u32::from(sim.max_open >= 39);
        let served: u64 = (0..5).map(|t| sim.calls_served(&format!("t{t}"))).sum();
        println!("seed {seed}, {couriers} couriers: {} open at most of 40, {served} calls", sim.max_open);
    }
    assert!(saturated_runs >= 6, "only {saturated_runs} of 8 runs came close to the limit of 40");
}

#[test]
fn the_first_fifty_seeded_days_give_the_same_counts() {
    let counts_for = |seed: u64| {
        let couriers = 3 + (seed % 6) as usize;
        let sim = run_under_faults(seed, couriers, 20 * S).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        let served: u64 = (0..5).map(|t| sim.calls_served(&format!("t{t}"))).sum();
        let mut counts = sim.counts;
        counts.set("calls_served", served);
        counts.set("most_open", sim.max_open as u64);
        counts.set("commands_proposed", sim.proposed.len() as u64);
        counts.set("log_entries", sim.log.len() as u64);
        counts.set("leases_moved", sim.share_changes.len() as u64);
        counts.set("reports", sim.reports.len() as u64);
        counts.set("newest_term", sim.leader.term);
        counts.line(seed)
    };
    let lines: String = SEEDS.map(counts_for).collect();
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests/budget.txt");
    compare_with_file(&file, &lines);
}

#[test]
fn demand_is_met_and_converges_to_the_fair_allocation() {
    let mut sim = Simulation::new(
        11,
        6,
        budget(60, 1, vec![tenant("big", 2.0, 0, None), tenant("low", 1.0, 0, Some(9))]),
    );
    sim.conditions.call_duration = 20 * MS..=200 * MS;
    for n in 0..6 {
        sim.set_load(n, "big", 40);
        sim.set_load(n, "low", 40);
        sim.set_load(n, "one", if n == 0 { 40 } else { 0 });
    }
    sim.run(12 * S);
    let all = ["big", "low", "one"];
    let used = sim.mean_calls_in_flight(5 * S, &all);
    println!("in use: {used:.2} of 60");
    assert!(used >= 0.95 * 60.0, "{used}");
    let parts = all.map(|t| sim.mean_calls_in_flight(2 * S, &[t]));
    println!("parts {parts:.2?}, fair 34, 9, 17");
    assert!(parts.iter().zip([34.0, 9.0, 17.0]).all(|(mean, fair)| (mean - fair).abs() <= 1.0), "{parts:?}");
    // The whole demand moves to one tenant at one courier.
    for n in 0..6 {
        all.iter().for_each(|t| sim.set_load(n, t, 0));
    }
    sim.set_load(5, "one", 70);
    // The floors of the other five couriers stay reserved for them, unused.
    let took = sim.run_while(20 * S, 10 * MS, |sim| sim.calls_in_flight("one") < 55);
    println!("the connections moved after {} ms", took / MS);
    assert!(took <= S, "{took} us");
    sim.assert_within_budget();
}

#[test]
fn borrowed_budget_is_returned_and_a_lowered_budget_is_met_in_time() {
    let mut sim = Simulation::new(19, 5, budget(40, 0, vec![]));
    sim.conditions.call_duration = 600 * MS..=990 * MS;
    (0..5).for_each(|n| sim.set_load(n, "borrower", 40));
    sim.run(6 * S);
    assert!(sim.calls_in_flight("borrower") >= 38, "{}", sim.calls_in_flight("borrower"));
    // Twice the time of a report, a round and the commit of a log entry, and the time to meet the recall.
    let move_time =
        2 * (local::REPORT_INTERVAL + fleet_leader::ROUND_INTERVAL + 50 * MS) + BOUNDS.recall_time();
    sim.set_load(2, "owner", 40);
    let took = sim.run_while(20 * S, 10 * MS, |sim| sim.calls_in_flight("owner") < 20);
    println!("the borrowed budget is returned after {} ms of {}", took / MS, move_time / MS);
    assert!(took <= move_time);
    sim.set_connections(12);
    sim.lowered = Some(LoweredLimit { binds_at: sim.now + move_time, limit: 12 });
    sim.run(sim.now + move_time + S);
    assert_eq!(sim.limit, 12);
    sim.set_connections(36);
    let used = |sim: &Simulation| sim.calls_in_flight("borrower") + sim.calls_in_flight("owner");
    let took = sim.run_while(20 * S, 10 * MS, |sim| used(sim) < 36);
    println!("a raised budget is used after {} ms", took / MS);
    assert!(took <= fleet_leader::ROUND_INTERVAL + 100 * MS);
    sim.assert_within_budget();
}

#[test]
fn a_flooding_tenant_does_not_reduce_the_others() {
    let served = |flood: bool| {
        let mut sim = Simulation::new(12, 5, budget(50, 1, vec![]));
        for n in 0..5 {
            sim.set_load(n, "a", 3);
            sim.set_load(n, "b", 1);
            sim.set_load(n, "c", if n == 2 { 8 } else { 0 });
            sim.set_load(n, "flood", if flood { 500 } else { 0 });
        }
        sim.run(30 * S);
        sim.assert_within_budget();
        ["a", "b", "c"].map(|t| sim.calls_served(t))
    };
    let (without, with) = (served(false), served(true));
    println!("without {without:?}, with {with:?}");
    for (with, without) in with.iter().zip(without) {
        assert!(without > 500, "too few calls for a comparison");
        assert!(*with as f64 >= 0.95 * without as f64, "{with} of {without}");
    }
}

#[test]
fn a_tenant_at_all_couriers_gets_no_more_than_one_at_a_single_one() {
    let mut sim = Simulation::new(13, 20, budget(40, 0, vec![]));
    (0..20).for_each(|n| sim.set_load(n, "wide", 50));
    sim.set_load(3, "narrow", 50);
    sim.run(10 * S);
    let (wide, narrow) =
        (sim.mean_calls_in_flight(4 * S, &["wide"]), sim.mean_calls_in_flight(4 * S, &["narrow"]));
    println!("at twenty couriers {wide:.2}, at one {narrow:.2}");
    assert!((wide - narrow).abs() <= 1.0 && wide + narrow > 38.0, "{wide} {narrow}");
    sim.assert_within_budget();
}

#[test]
fn a_halved_budget_is_met_while_a_courier_with_half_is_isolated() {
    let mut sim = Simulation::new(14, 4, budget(40, 1, vec![]));
    sim.set_load(0, "a", 40);
    (1..4).for_each(|n| sim.set_load(n, "b", 7));
    sim.run(6 * S);
    let open = sim.couriers[0].local_budget.open(DEST);
    assert!(open >= 19, "the courier to isolate has {open} of 40 connections");
    (sim.couriers[0].receives, sim.couriers[0].sends) = (false, false);
    sim.set_connections(20);
    let binds_at = sim.lowered.unwrap().binds_at;
    sim.run(binds_at + 3 * S);
    sim.assert_within_budget();
    let isolated = sim.couriers[0].local_budget.open(DEST);
    let others = sim.calls_in_flight("b");
    println!("isolated {isolated}, others {others} of 20");
    assert_eq!(isolated, 1, "only the floor of the isolated courier");
    assert!(others >= 18, "{others} of 19");
    // After the isolation ends, the courier gets its fair part again.
    (sim.couriers[0].receives, sim.couriers[0].sends) = (true, true);
    sim.run(sim.now + 4 * S);
    assert!(sim.calls_in_flight("a") >= 9, "{}", sim.calls_in_flight("a"));
    sim.assert_within_budget();
}

#[test]
fn a_thousand_tenants_with_one_message_each_are_all_served() {
    let mut sim = Simulation::new(15, 5, budget(100, 0, vec![]));
    sim.run(2 * S);
    for t in 0..1000 {
        let name = format!("t{t:04}");
        sim.set_load(t % 5, &name, 1);
        sim.couriers[t % 5].loads.get_mut(&name).unwrap().remaining = 1;
    }
    let is_waiting = |sim: &Simulation| {
        let mut loads = sim.couriers.iter().flat_map(|courier| courier.loads.values());
        loads.any(|load| load.served == 0)
    };
    let took = sim.run_while(60 * S, 100 * MS, is_waiting);
    println!("all calls served after {} ms", took / MS);
    assert!(took <= 15 * S);
    sim.assert_within_budget();
}

#[test]
fn a_tenant_below_its_share_is_served_within_the_bound() {
    // 29 tenants of weight 10 and one of weight 3 share 3 connections: the fair part of the light one is 9/293, about
    // 3% of a connection.
    let mut tenants: Vec<Tenant> = (0..29).map(|n| tenant(&format!("t{n:02}"), 10.0, 0, None)).collect();
    tenants.push(tenant("light", 3.0, 0, None));
    let mut sim = Simulation::new(16, 3, budget(3, 0, tenants.clone()));
    for (n, tenant) in tenants.iter().enumerate() {
        sim.set_load(n % 3, &tenant.name, 2);
    }
    sim.run(400 * S);
    sim.assert_within_budget();
    for (tenant, starved_for) in &sim.longest_starvation {
        let weight = if tenant == "light" { 3 } else { 10 };
        let bound = starvation(&BOUNDS, 3 * 1_000_000 * weight / 293, 30, 3);
        assert!(
            *starved_for <= bound,
            "{tenant} had no connection for {starved_for} us, over the bound of {bound} us"
        );
    }
    println!(
        "light waited {} s, the heavy ones {} s at most; bound {} s",
        sim.longest_starvation["light"] / S,
        sim.longest_starvation.values().max().unwrap() / S,
        starvation(&BOUNDS, 3 * 3_000_000 / 293, 30, 3) / S
    );
    assert_eq!(sim.longest_starvation.len(), 30);
    let served = |t: &str| sim.calls_served(t) as f64;
    println!("calls: light {}, a heavy one {}", served("light"), served("t00"));
    assert!(served("light") > 0.0 && served("t00") > 0.0);
}

#[test]
fn flapping_demand_stays_within_the_move_limit() {
    let mut sim = Simulation::new(17, 10, budget(200, 0, vec![]));
    for turn in 0..40 {
        for n in 0..10 {
            for t in 0..60 {
                sim.set_load(n, &format!("t{t:02}"), if (n + t + turn) % 3 == 0 { 5 } else { 0 });
            }
        }
        sim.run(sim.now + 400 * MS);
    }
    sim.assert_within_budget();
    let changes = &sim.share_changes;
    let in_second_from = |from: &u64| changes.iter().filter(|time| (*from..from + S).contains(*time)).count();
    let max_changes = changes.iter().map(in_second_from).max();
    println!("at most {max_changes:?} shares changed in a second, {} in all", changes.len());
    // A log entry may be committed a round late, hence the margin of 5%.
    assert!(max_changes.unwrap() <= MAX_MOVES_PER_SECOND as usize * 105 / 100);
    assert!(max_changes.unwrap() > MAX_MOVES_PER_SECOND as usize / 2, "the run didn't reach the limit");
}

#[test]
fn a_tenants_floor_holds_against_a_flood() {
    let mut sim = Simulation::new(18, 4, budget(20, 0, vec![tenant("reserved", 0.1, 5, None)]));
    for n in 0..4 {
        sim.set_load(n, "flood", 100);
        sim.set_load(n, "reserved", 2);
    }
    sim.run(8 * S);
    let in_use = sim.mean_calls_in_flight(4 * S, &["reserved"]);
    println!("floor 5: {in_use:.2} in use");
    assert!(in_use > 4.5, "{in_use}");
    sim.assert_within_budget();
}

/// Runs a fleet whose demand fluctuates while calls are long and the log is slow, so that recalls are withdrawn and
/// repeated.
fn run_under_flapping(seed: u64) -> Result<Simulation, BudgetExceeded> {
    let mut sim = Simulation::new(seed, 3, budget(12, 0, vec![]));
    (sim.conditions.loss, sim.conditions.late_entry_factor) = (20, 300);
    sim.conditions.call_duration = 20 * MS..=900 * MS;
    for turn in 0..60 {
        for n in 0..3 {
            sim.set_load(n, "a", if turn % 3 == n { 12 } else { 1 });
            sim.set_load(n, "b", if turn % 2 == 0 { 3 } else { 0 });
        }
        sim.run(sim.now + 700 * MS);
    }
    sim.exceeded.take().map_or(Ok(sim), Err)
}

#[test]
fn late_or_duplicated_entries_do_not_exceed_the_budget() {
    for seed in 1..=6 {
        let sim = run_under_flapping(seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert_eq!(sim.max_open, 12, "seed {seed} did not use the whole budget of 12");
    }
}

/// The simulation detects each deliberate fault in the code that keeps the open connections within the budget.
#[cfg(feature = "breaks")]
#[test]
fn each_deliberate_break_is_found() {
    use breaks::{ALL, Break, set};
    let mut not_found = Vec::new();
    for fault in ALL.iter().filter(|b| !matches!(b, Break::FloorForgotten | Break::TurnsForgotten)) {
        set(Some(*fault));
        let found = (1..=40).find_map(|seed| {
            let result = match fault {
                Break::NumberIgnored => run_under_flapping(seed),
                _ => run_under_faults(seed, 3 + seed as usize % 6, 60 * S),
            };
            result.err().map(|exceeded| (seed, exceeded))
        });
        match found {
            Some((seed, exceeded)) => println!("{fault:?}: seed {seed}: {exceeded}"),
            None => not_found.push(*fault),
        }
    }
    set(None);
    assert_eq!(not_found, [], "not found");
}

#[cfg(feature = "breaks")]
fn assert_break_is_found(fault: breaks::Break, scenario: fn()) {
    breaks::set(Some(fault));
    let verdict = std::panic::catch_unwind(scenario);
    breaks::set(None);
    assert!(verdict.is_err(), "{fault:?} was not found");
}

#[cfg(feature = "breaks")]
#[test]
fn a_forgotten_floor_and_forgotten_turns_are_found() {
    use breaks::Break;
    assert_break_is_found(Break::FloorForgotten, a_tenants_floor_holds_against_a_flood);
    assert_break_is_found(Break::TurnsForgotten, a_tenant_below_its_share_is_served_within_the_bound);
}
