//! Budgets: a partner lets the whole fleet have so many connections at once, and its tenants share them.
//!
//! The couriers hold the budget as leases, by tenant. What each holds is agreed on ([`agreed`]); the leader
//! moves it ([`leader`]) as the division of what is asked for now says ([`divide`]); each courier begins
//! calls within what it holds ([`holder`]).
//!
//! **Never over.** For each courier and partner the agreed state counts the most that it may have open. A
//! raise is committed only within what the budget leaves beside the sum of these; a lowered one counts as the
//! old one until its holder has confirmed, under the recall's own number, that it has no more open. So the
//! sum is within the budget at each entry of the log, whoever proposes what, in any order and any number of
//! times. A courier that can't confirm goes on counting until [`Terms::hold`] after it has lapsed; by then it
//! has nothing open but its floor, which counts always. What this rests on:
//! - presence: a courier's own lease ends, by its own clock, before the leader takes it for lapsed;
//! - the partner (or the network's own limits) ends a connection within [`Terms::quiet`] of the last that the
//!   courier wrote on it, also if the courier has lost its power;
//! - `now` never steps back, goes on while a process or its host is held up, and differs in rate by 1% at
//!   most;
//! - one process a name, each with an epoch of its own; an upgrade hands its [`Holder`] over;
//! - between [`Holder::opens`] and the first packet of the connection a process is not held up for longer
//!   than [`Terms::hold`] is after its lease. That window can't be closed from inside.
//!
//! A partner's floor for a courier may be raised while serving, and is kept at the highest that was ever told
//! until the courier is removed: one that is cut off may know only the old one.

pub mod agreed;
pub mod breaks;
pub mod calls;
pub mod divide;
pub mod error;
pub mod holder;
pub mod leader;

pub use agreed::{Agreed, Command, Event};
pub use calls::Gate;
pub use divide::{Claim, Part, divide};
pub use error::Problem;
pub use holder::{Begin, Holder, Order, Permit, Refusal, Why};
pub use leader::{Leader, Line, Message, Report};

use serde::{Deserialize, Serialize};
use spurshore::Micros;
use std::collections::BTreeMap;

/// Partners with a budget; each is looked at in each of the leader's rounds.
pub const BUDGETS_MAX: usize = 1024;
/// Tenants of one partner that are named in the file or that one courier holds connections for at once: they
/// are all told in each report.
pub const TENANTS_MAX: usize = 4096;
/// A hundredth for clocks of different rates, and one for each that is read twice.
pub const DRIFT: u64 = 50;

/// One partner's budget; the form of the operator file's `fleet.budgets` is the operator package's.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    pub dest: u64,
    /// At most so many connections of the whole fleet at once.
    pub connections: u32,
    /// At most so many calls of the whole fleet in each span.
    pub calls: Option<u32>,
    pub span_ms: Option<u64>,
    /// Kept for each courier, also when it is cut off.
    pub courier_floor: u32,
    /// Others than these have weight 1, no floor and no ceiling.
    pub tenants: Vec<Tenant>,
}

/// One tenant's part in a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: String,
    pub weight: f64,
    /// Kept for it when it asks for it.
    pub floor: u32,
    pub ceiling: Option<u32>,
}

/// Bounds on time, the same at every courier; all in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Terms {
    /// The longest that a call may write on its connection, by the courier's own clock.
    pub call: Micros,
    /// The longest that a connection stays open at the partner after the last that was written on it, or
    /// after it was closed, with or without the courier.
    pub quiet: Micros,
    /// The longest lease of a member's presence.
    pub lease: Micros,
}

impl Terms {
    /// After this long without a lease a courier has no connection open but those of its floor: its lease may
    /// still have run (where presence was decided twice), then its calls wrote to their end, then the
    /// connections closed.
    pub fn hold(&self) -> Micros {
        let sum = self.lease.saturating_add(self.call).saturating_add(self.quiet);
        sum.saturating_add(sum / DRIFT).saturating_add(1)
    }

    /// As [`Terms::quiet`], by a clock that may be slow.
    pub fn closed(&self) -> Micros {
        self.quiet.saturating_add(self.quiet / DRIFT).saturating_add(1)
    }

    /// Within this after a recall has reached it, a courier has no more than it is recalled to: each call
    /// that is out has ended or is given up, and its connection is closed.
    pub fn attrition(&self) -> Micros {
        self.call.saturating_add(self.closed())
    }
}

impl Tenant {
    /// The weight in whole parts: a division computes without rounding.
    pub fn parts(&self) -> u64 {
        ((self.weight * 1e6).round() as u64).max(1)
    }
}

/// Everything that is wrong with the section, for a fleet of so many couriers.
pub fn check(budgets: &[Budget], couriers: usize) -> Vec<Problem> {
    let mut problems = Vec::new();
    if budgets.len() > BUDGETS_MAX {
        let (path, count) = ("$.fleet.budgets".to_string(), budgets.len());
        problems.push(Problem::TooMany { path, what: "budgets", count, most: BUDGETS_MAX });
    }
    let mut seen: BTreeMap<u64, usize> = BTreeMap::new();
    for (n, budget) in budgets.iter().enumerate().take(BUDGETS_MAX) {
        let path = format!("$.fleet.budgets[{n}]");
        if let Some(first) = seen.get(&budget.dest) {
            let first = format!("$.fleet.budgets[{first}]");
            problems.push(Problem::DestTwice { path: format!("{path}.dest"), first, dest: budget.dest });
        }
        seen.entry(budget.dest).or_insert(n);
        one_budget(budget, couriers, &path, &mut problems);
    }
    problems
}

fn one_budget(budget: &Budget, couriers: usize, path: &str, problems: &mut Vec<Problem>) {
    if budget.connections == 0 {
        problems.push(Problem::NoConnections { path: format!("{path}.connections") });
    }
    if budget.calls.unwrap_or(0) == 0 && (budget.calls.is_some() || budget.span_ms.is_some()) {
        problems.push(Problem::CallsWithoutSpan { path: format!("{path}.calls") });
    } else if budget.span_ms.unwrap_or(0) == 0 && budget.calls.is_some() {
        problems.push(Problem::CallsWithoutSpan { path: format!("{path}.span_ms") });
    }
    if budget.tenants.len() > TENANTS_MAX {
        let (path, count) = (format!("{path}.tenants"), budget.tenants.len());
        problems.push(Problem::TooMany { path, what: "tenants", count, most: TENANTS_MAX });
    }
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for (n, tenant) in budget.tenants.iter().enumerate().take(TENANTS_MAX) {
        let at = |member: &str| format!("{path}.tenants[{n}].{member}");
        let name = tenant.name.clone();
        if let Some(first) = seen.get(tenant.name.as_str()) {
            let first = format!("{path}.tenants[{first}]");
            problems.push(Problem::TenantTwice { path: at("name"), first, name: name.clone() });
        }
        seen.entry(&tenant.name).or_insert(n);
        if name.is_empty() {
            problems.push(Problem::NoName { path: at("name") });
        }
        if !(1e-6..=1e6).contains(&tenant.weight) {
            problems.push(Problem::Weight { path: at("weight"), name: name.clone(), weight: tenant.weight });
        }
        let floor = tenant.floor;
        match tenant.ceiling {
            Some(0) => problems.push(Problem::CeilingNought { path: at("ceiling"), name }),
            Some(ceiling) if ceiling < floor => {
                problems.push(Problem::CeilingUnderFloor { path: at("ceiling"), name, ceiling, floor });
            }
            _ => {}
        }
    }
    let tenants: u64 = budget.tenants.iter().map(|t| u64::from(t.floor)).sum();
    let sum = (couriers as u64).saturating_mul(u64::from(budget.courier_floor)).saturating_add(tenants);
    if sum > u64::from(budget.connections) {
        problems.push(Problem::Floors {
            path: format!("{path}.tenants"),
            dest: budget.dest,
            sum,
            connections: budget.connections,
            tenants,
            courier_floor: budget.courier_floor,
            couriers,
        });
    }
}
