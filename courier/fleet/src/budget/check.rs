//! Validation of the setting `fleet.budgets`. All problems are collected, each with its JSON path.

use super::error::BudgetProblem;
use super::model::{Budget, MAX_BUDGETS, MAX_TENANTS, Tenant};
use std::collections::BTreeMap;

/// The valid range of a tenant's weight.
const VALID_WEIGHTS: std::ops::RangeInclusive<f64> = 1e-6..=1e6;

/// Validates the budgets for a fleet of `couriers` members and returns all problems in the order of the file.
pub fn check(budgets: &[Budget], couriers: usize) -> Vec<BudgetProblem> {
    let mut problems = Vec::new();
    if budgets.len() > MAX_BUDGETS {
        let (path, count) = ("$.fleet.budgets".to_string(), budgets.len());
        problems.push(BudgetProblem::TooMany { path, kind: "budgets", count, limit: MAX_BUDGETS });
    }
    let mut first_by_dest: BTreeMap<u64, usize> = BTreeMap::new();
    for (index, budget) in budgets.iter().enumerate().take(MAX_BUDGETS) {
        let path = format!("$.fleet.budgets[{index}]");
        if let Some(first) = first_by_dest.get(&budget.dest) {
            problems.push(BudgetProblem::DuplicateDest {
                path: format!("{path}.dest"),
                first: format!("$.fleet.budgets[{first}]"),
                dest: budget.dest,
            });
        }
        first_by_dest.entry(budget.dest).or_insert(index);
        check_limits(budget, &path, &mut problems);
        check_tenants(&budget.tenants, &path, &mut problems);
        check_floors(budget, couriers, &path, &mut problems);
    }
    problems
}

fn check_limits(budget: &Budget, path: &str, problems: &mut Vec<BudgetProblem>) {
    if budget.connections == 0 {
        problems.push(BudgetProblem::NoConnections { path: format!("{path}.connections") });
    }
    if budget.calls.unwrap_or(0) == 0 && (budget.calls.is_some() || budget.span_ms.is_some()) {
        problems.push(BudgetProblem::IncompleteRateLimit { path: format!("{path}.calls") });
    } else if budget.span_ms.unwrap_or(0) == 0 && budget.calls.is_some() {
        problems.push(BudgetProblem::IncompleteRateLimit { path: format!("{path}.span_ms") });
    }
}

fn check_tenants(tenants: &[Tenant], budget_path: &str, problems: &mut Vec<BudgetProblem>) {
    if tenants.len() > MAX_TENANTS {
        let (path, count) = (format!("{budget_path}.tenants"), tenants.len());
        problems.push(BudgetProblem::TooMany { path, kind: "tenants", count, limit: MAX_TENANTS });
    }
    let mut first_by_name: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, tenant) in tenants.iter().enumerate().take(MAX_TENANTS) {
        let path = format!("{budget_path}.tenants[{index}]");
        if let Some(first) = first_by_name.get(tenant.name.as_str()) {
            problems.push(BudgetProblem::DuplicateTenant {
                path: format!("{path}.name"),
                first: format!("{budget_path}.tenants[{first}]"),
                tenant: tenant.name.clone(),
            });
        }
        first_by_name.entry(&tenant.name).or_insert(index);
        check_tenant(tenant, &path, problems);
    }
}

fn check_tenant(policy: &Tenant, path: &str, problems: &mut Vec<BudgetProblem>) {
    let tenant = policy.name.clone();
    if tenant.is_empty() {
        problems.push(BudgetProblem::MissingName { path: format!("{path}.name") });
    }
    if !VALID_WEIGHTS.contains(&policy.weight) {
        let (path, weight) = (format!("{path}.weight"), policy.weight);
        problems.push(BudgetProblem::InvalidWeight { path, tenant: tenant.clone(), weight });
    }
    let path = format!("{path}.ceiling");
    let floor = policy.floor;
    match policy.ceiling {
        Some(0) => problems.push(BudgetProblem::ZeroCeiling { path, tenant }),
        Some(ceiling) if ceiling < floor => {
            problems.push(BudgetProblem::CeilingBelowFloor { path, tenant, ceiling, floor });
        }
        _ => {}
    }
}

fn check_floors(budget: &Budget, couriers: usize, path: &str, problems: &mut Vec<BudgetProblem>) {
    let tenant_floors: u64 = budget.tenants.iter().map(|t| u64::from(t.floor)).sum();
    let sum = (couriers as u64).saturating_mul(u64::from(budget.courier_floor)).saturating_add(tenant_floors);
    if sum > u64::from(budget.connections) {
        problems.push(BudgetProblem::FloorsExceedBudget {
            path: format!("{path}.tenants"),
            dest: budget.dest,
            sum,
            connections: budget.connections,
            tenant_floors,
            courier_floor: budget.courier_floor,
            couriers,
        });
    }
}
