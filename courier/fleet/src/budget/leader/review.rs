//! What the leader looks at when it divides a budget again.

use crate::budget::state::{BudgetState, PartnerBudget};
use quillmount_policy::Micros;

/// What a review of one partner looks at.
pub(super) struct Review<'a> {
    pub(super) dest: u64,
    pub(super) partner: &'a PartnerBudget,
    pub(super) budget_state: &'a BudgetState,
    pub(super) now: Micros,
}
