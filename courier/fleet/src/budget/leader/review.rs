//! The inputs of the leader's periodic division of a budget.

use crate::budget::state::{BudgetState, PartnerBudget};
use quillmount_policy::Micros;

/// The inputs of one review of a partner's budget.
pub(super) struct Review<'a> {
    pub(super) dest: u64,
    pub(super) partner: &'a PartnerBudget,
    pub(super) budget_state: &'a BudgetState,
    pub(super) now: Micros,
}
