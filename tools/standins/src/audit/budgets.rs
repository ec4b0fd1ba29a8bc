//! The connection budgets of partners.

use super::finding::Finding;
use super::history::{Budget, ConnectionCount, History};
use quillmount_policy::Micros;
use std::collections::BTreeSet;

/// Checks that no partner ever has more connections than it allows.
pub(super) fn check(history: &History, found: &mut Vec<Finding>) {
    let partners: BTreeSet<usize> = history.budgets.iter().map(|budget| budget.partner).collect();
    for partner in partners {
        check_partner(partner, history, found);
    }
}

fn check_partner(partner: usize, history: &History, found: &mut Vec<Finding>) {
    let mut budgets: Vec<&Budget> =
        history.budgets.iter().filter(|budget| budget.partner == partner).collect();
    budgets.sort_by_key(|budget| budget.from);
    // One finding for each time that the budget is exceeded.
    let mut was_exceeding = false;
    for ConnectionCount { at, open, .. } in counts_to_check(partner, &budgets, history) {
        let allowed = allowed_at(at, &budgets, history.rules.attrition);
        let is_exceeding = allowed.is_some_and(|most| open > most);
        if is_exceeding && !was_exceeding {
            found.push(Finding::BudgetExceeded { partner, at, open, most: allowed.unwrap_or(0) });
        }
        was_exceeding = is_exceeding;
    }
}

/// The greatest budget that was in force at any time of the attrition before `at`; `None`: there was none.
fn allowed_at(at: Micros, budgets: &[&Budget], attrition: Micros) -> Option<usize> {
    let since = at.saturating_sub(attrition);
    let ends_at = |index: usize| budgets.get(index + 1).map_or(Micros::MAX, |next| next.from);
    let in_force =
        budgets.iter().enumerate().filter(|(index, budget)| budget.from <= at && ends_at(*index) > since);
    in_force.map(|(_, budget)| budget.most).max()
}

/// The connections of a partner at each change, and at the end of the attrition after each budget.
fn counts_to_check(partner: usize, budgets: &[&Budget], history: &History) -> Vec<ConnectionCount> {
    let mut changes: Vec<ConnectionCount> =
        history.connections.iter().filter(|change| change.partner == partner).copied().collect();
    // Stable: what happened in one microsecond stays in its order.
    changes.sort_by_key(|change| change.at);
    let due = budgets.iter().map(|budget| budget.from + history.rules.attrition);
    let counts_when_due = due.filter(|at| *at <= history.at).map(|at| {
        let open = changes.iter().rfind(|change| change.at <= at).map_or(0, |change| change.open);
        ConnectionCount { partner, at, open }
    });
    let mut counts: Vec<ConnectionCount> = changes.iter().copied().chain(counts_when_due).collect();
    counts.sort_by_key(|count| count.at);
    counts
}
