//! Changes that alter nothing, such as an order that is rejected, while an earlier change waits for its commit.

use crate::harness::Primary;

// Guards against a rejection (412) of an order that a newer primary had applied: the acknowledgements on which the commit rests may be
// older than the order, and the primary may have stood still since.
#[test]
fn a_change_that_alters_nothing_is_confirmed_by_a_round_after_the_commit() {
    let mut primary = Primary::serving();
    let altered = primary.set_version(5);
    let unaltered = primary.set_version(5);
    primary.acknowledge();
    assert_eq!(primary.confirmed, [altered]);
    primary.reply();
    assert_eq!(primary.confirmed, [altered, unaltered]);
}

#[test]
fn without_a_change_in_flight_one_round_confirms_it() {
    let mut primary = Primary::serving();
    let altered = primary.set_version(5);
    primary.acknowledge();
    let unaltered = primary.set_version(5);
    assert_eq!(primary.confirmed, [altered]);
    primary.reply();
    assert_eq!(primary.confirmed, [altered, unaltered]);
}
