//! What streams may move in a turn.

use quillmount_core::turns::Turns;

#[test]
fn a_debt_is_paid_back_in_bytes_and_nothing_is_carried_over() {
    let mut turns = Turns::new(100);
    turns.spend(350);
    let mut waited = 0;
    while !turns.may() {
        turns.next();
        waited += 1;
    }
    assert_eq!(waited, 3, "250 over: paid back in the third turn");
    turns.spend(49);
    assert!(turns.may(), "with 50 to spare");
    turns.spend(1);
    assert!(!turns.may(), "and no more");
    (0..9).for_each(|_| turns.next());
    turns.spend(100);
    assert!(!turns.may(), "nine idle turns are worth one");
}
