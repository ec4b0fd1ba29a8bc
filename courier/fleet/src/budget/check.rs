//! The check of `fleet.budgets`: everything that is wrong with it, each problem with its path.

use super::error::BudgetProblem;
use super::model::{Budget, MAX_BUDGETS, MAX_TENANTS, Tenant};
use std::collections::BTreeMap;

/// Weights that a tenant may have.
const WEIGHTS: std::ops::RangeInclusive<f64> = 1e-6..=1e6;

/// Everything that is wrong with the budgets, for a fleet of so many couriers.
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
            problems.push(BudgetProblem::DestTwice {
                path: format!("{path}.dest"),
                first: format!("$.fleet.budgets[{first}]"),
                dest: budget.dest,
            });
        }
        seen.entry(budget.dest).or_insert(n);
        check_counts(budget, &path, &mut problems);
        check_tenants(&budget.tenants, &path, &mut problems);
        check_floors(budget, couriers, &path, &mut problems);
    }
    problems
}

fn check_counts(budget: &Budget, path: &str, problems: &mut Vec<BudgetProblem>) {
    if budget.connections == 0 {
        problems.push(BudgetProblem::NoConnections { path: format!("{path}.connections") });
    }
    if budget.calls.unwrap_or(0) == 0 && (budget.calls.is_some() || budget.span_ms.is_some()) {
        problems.push(BudgetProblem::CallsWithoutSpan { path: format!("{path}.calls") });
    } else if budget.span_ms.unwrap_or(0) == 0 && budget.calls.is_some() {
        problems.push(BudgetProblem::CallsWithoutSpan { path: format!("{path}.span_ms") });
    }
}

fn check_tenants(tenants: &[Tenant], budget_path: &str, problems: &mut Vec<BudgetProblem>) {
    if tenants.len() > MAX_TENANTS {
        let (path, count) = (format!("{budget_path}.tenants"), tenants.len());
        problems.push(BudgetProblem::TooMany { path, what: "tenants", count, most: MAX_TENANTS });
    }
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for (n, tenant) in tenants.iter().enumerate().take(MAX_TENANTS) {
        let path = format!("{budget_path}.tenants[{n}]");
        if let Some(first) = seen.get(tenant.name.as_str()) {
            problems.push(BudgetProblem::TenantTwice {
                path: format!("{path}.name"),
                first: format!("{budget_path}.tenants[{first}]"),
                name: tenant.name.clone(),
            });
        }
        seen.entry(&tenant.name).or_insert(n);
        check_tenant(tenant, &path, problems);
    }
}

fn check_tenant(tenant: &Tenant, path: &str, problems: &mut Vec<BudgetProblem>) {
    let name = tenant.name.clone();
    if name.is_empty() {
        problems.push(BudgetProblem::NoName { path: format!("{path}.name") });
    }
    if !WEIGHTS.contains(&tenant.weight) {
        let (path, weight) = (format!("{path}.weight"), tenant.weight);
        problems.push(BudgetProblem::Weight { path, name: name.clone(), weight });
    }
    let path = format!("{path}.ceiling");
    let floor = tenant.floor;
    match tenant.ceiling {
        Some(0) => problems.push(BudgetProblem::ZeroCeiling { path, name }),
        Some(ceiling) if ceiling < floor => {
            problems.push(BudgetProblem::CeilingBelowFloor { path, name, ceiling, floor });
        }
        _ => {}
    }
}

fn check_floors(budget: &Budget, couriers: usize, path: &str, problems: &mut Vec<BudgetProblem>) {
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
