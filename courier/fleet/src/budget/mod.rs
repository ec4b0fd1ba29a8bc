//! Budgets: a partner lets the whole fleet have so many connections at once, and its tenants share them.
//!
//! The couriers hold the budget as leases, by tenant. What each holds is agreed on ([`budget_state`]); the leader
//! moves it ([`leader`]) as the division of what is asked for now says ([`divide`]); each courier begins
//! calls within what it holds ([`holder`]).
//!
//! **Never over.** For each courier and partner the agreed state counts the most that it may have open. A
//! raise is committed only within what the budget leaves beside the sum of these; a lowered one counts as the
//! old one until its holder has confirmed, under the recall's own number, that it has no more open. So the
//! sum is within the budget at each entry of the log, whoever proposes what, in any order and any number of
//! times. A courier that can't confirm goes on counting until [`TimeBounds::drain_time`] after it has lapsed; by then it
//! has nothing open but its floor, which counts always. What this rests on:
//! - presence: a courier's own lease ends, by its own clock, before the leader takes it for lapsed;
//! - the partner (or the network's own limits) ends a connection within [`TimeBounds::max_idle`] of the last that the
//!   courier wrote on it, also if the courier has lost its power;
//! - `now` never steps back, goes on while a process or its host is held up, and differs in rate by 1% at
//!   most;
//! - one process a name, each with an epoch of its own; an upgrade hands its [`LocalBudget`] over;
//! - between [`LocalBudget::opens`] and the first packet of the connection a process is not held up for longer
//!   than [`TimeBounds::drain_time`] is after its lease. That window can't be closed from inside.
//!
//! A partner's floor for a courier may be raised while serving, and is kept at the highest that was ever told
//! until the courier is removed: one that is cut off may know only the old one.

pub mod breaks;
pub mod calls;
pub mod divide;
pub mod error;
pub mod leader;
pub mod local;
pub mod state;

pub use calls::BudgetGate;
pub use divide::{Allocation, Claim, divide};
pub use error::BudgetProblem;
pub use leader::{BudgetLeader, BudgetMessage, Report, ReportLine};
pub use local::{ConnectionOrder, LocalBudget, Permit, PermitKind, Refusal, RefusalReason};
pub use state::{BudgetCommand, BudgetEvent, BudgetState};

use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Partners with a budget; each is looked at in each of the leader's rounds.
pub const MAX_BUDGETS: usize = 1024;
/// Tenants of one partner that are named in the file or that one courier holds connections for at once: they
/// are all told in each report.
pub const MAX_TENANTS: usize = 4096;
/// A hundredth for clocks of different rates, and one for each that is read twice.
pub const CLOCK_DRIFT_DIVISOR: u64 = 50;

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
pub struct TimeBounds {
    /// The longest that a call may write on its connection, by the courier's own clock.
    pub max_call: Micros,
    /// The longest that a connection stays open at the partner after the last that was written on it, or
    /// after it was closed, with or without the courier.
    pub max_idle: Micros,
    /// The longest lease of a member's presence.
    pub lease: Micros,
}

impl TimeBounds {
    /// After this long without a lease a courier has no connection open but those of its floor: its lease may
    /// still have run (where presence was decided twice), then its calls wrote to their end, then the
    /// connections closed.
    pub fn drain_time(&self) -> Micros {
        let sum = self.lease.saturating_add(self.max_call).saturating_add(self.max_idle);
        sum.saturating_add(sum / CLOCK_DRIFT_DIVISOR).saturating_add(1)
    }

    /// As [`TimeBounds::max_idle`], by a clock that may be slow.
    pub fn close_timeout(&self) -> Micros {
        self.max_idle.saturating_add(self.max_idle / CLOCK_DRIFT_DIVISOR).saturating_add(1)
    }

    /// Within this after a recall has reached it, a courier has no more than it is recalled to: each call
    /// that is out has ended or is given up, and its connection is closed.
    pub fn recall_time(&self) -> Micros {
        self.max_call.saturating_add(self.close_timeout())
    }
}

impl Tenant {
    /// The weight in whole parts: a division computes without rounding.
    pub fn weight_millionths(&self) -> u64 {
        ((self.weight * 1e6).round() as u64).max(1)
    }
}

/// Everything that is wrong with the section, for a fleet of so many couriers.
pub fn check(budgets: &[Budget], couriers: usize) -> Vec<BudgetProblem> {
    let mut problems = Vec::new();
    if budgets.len() > MAX_BUDGETS {
        let (path, count) = ("$.fleet.budgets".to_string(), budgets.len());
        problems.push(BudgetProblem::TooMany { path, what: "budgets", count, most: MAX_BUDGETS });
    }
    let mut seen: BTreeMap<u64, usize> = BTreeMap::new();
    for (n, budget) in budgets.iter().enumerate().take(MAX_BUDGETS) {
        let path = format!("$.fleet.budgets[{n}]");
        if let Some(first) = seen.get(&budget.dest) {
            let first = format!("$.fleet.budgets[{first}]");
            problems.push(BudgetProblem::DestTwice {
                path: format!("{path}.dest"),
                first,
                dest: budget.dest,
            });
        }
        seen.entry(budget.dest).or_insert(n);
        check_budget(budget, couriers, &path, &mut problems);
    }
    problems
}

fn check_budget(budget: &Budget, couriers: usize, path: &str, problems: &mut Vec<BudgetProblem>) {
    if budget.connections == 0 {
        problems.push(BudgetProblem::NoConnections { path: format!("{path}.connections") });
    }
    if budget.calls.unwrap_or(0) == 0 && (budget.calls.is_some() || budget.span_ms.is_some()) {
        problems.push(BudgetProblem::CallsWithoutSpan { path: format!("{path}.calls") });
    } else if budget.span_ms.unwrap_or(0) == 0 && budget.calls.is_some() {
        problems.push(BudgetProblem::CallsWithoutSpan { path: format!("{path}.span_ms") });
    }
    if budget.tenants.len() > MAX_TENANTS {
        let (path, count) = (format!("{path}.tenants"), budget.tenants.len());
        problems.push(BudgetProblem::TooMany { path, what: "tenants", count, most: MAX_TENANTS });
    }
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for (n, tenant) in budget.tenants.iter().enumerate().take(MAX_TENANTS) {
        let path_of = |member: &str| format!("{path}.tenants[{n}].{member}");
        let name = tenant.name.clone();
        if let Some(first) = seen.get(tenant.name.as_str()) {
            let first = format!("{path}.tenants[{first}]");
            problems.push(BudgetProblem::TenantTwice { path: path_of("name"), first, name: name.clone() });
        }
        seen.entry(&tenant.name).or_insert(n);
        if name.is_empty() {
            problems.push(BudgetProblem::NoName { path: path_of("name") });
        }
        if !(1e-6..=1e6).contains(&tenant.weight) {
            problems.push(BudgetProblem::Weight {
                path: path_of("weight"),
                name: name.clone(),
                weight: tenant.weight,
            });
        }
        let floor = tenant.floor;
        match tenant.ceiling {
            Some(0) => problems.push(BudgetProblem::ZeroCeiling { path: path_of("ceiling"), name }),
            Some(ceiling) if ceiling < floor => {
                problems.push(BudgetProblem::CeilingBelowFloor {
                    path: path_of("ceiling"),
                    name,
                    ceiling,
                    floor,
                });
            }
            _ => {}
        }
    }
    let tenants: u64 = budget.tenants.iter().map(|t| u64::from(t.floor)).sum();
    let sum = (couriers as u64).saturating_mul(u64::from(budget.courier_floor)).saturating_add(tenants);
    if sum > u64::from(budget.connections) {
        problems.push(BudgetProblem::Floors {
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
