//! The byte budget of streams per turn of the event loop.

use quillmount_core::turns::TurnBudget;

#[test]
fn a_debt_is_paid_back_in_bytes_and_nothing_is_carried_over() {
    let mut budget = TurnBudget::new(100);
    budget.spend(350);
    let mut turns = 0;
    while !budget.has_budget() {
        budget.begin_turn();
        turns += 1;
    }
    assert_eq!(turns, 3, "an excess of 250 bytes blocks until the third turn");
    budget.spend(49);
    assert!(budget.has_budget(), "the budget is not used up");
    budget.spend(1);
    assert!(!budget.has_budget(), "the budget is used up");
    (0..9).for_each(|_| budget.begin_turn());
    budget.spend(100);
    assert!(!budget.has_budget(), "an unused budget does not accumulate");
}
