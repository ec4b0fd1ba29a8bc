//! When enough members have answered.

use quillmount_wire::messages::{DiskId, RegisterValue};
use std::collections::BTreeSet;

/// Whether more than half of `members` are among `answered`.
pub fn is_majority(members: &[DiskId], answered: &BTreeSet<DiskId>) -> bool {
    let present = members.iter().filter(|member| answered.contains(member)).count();
    present * 2 > members.len()
}

/// Whether a majority of the members, and of those before a change of members, are among `answered`.
pub fn is_quorum(value: &RegisterValue, answered: &BTreeSet<DiskId>) -> bool {
    is_majority(&value.members, answered)
        && value.prior.as_ref().is_none_or(|prior| is_majority(prior, answered))
}

/// Disks that have to hold what is acknowledged: one more than may be lost at once, no more than there are.
pub fn required_copies(tolerated_failures: usize, members: usize) -> usize {
    (tolerated_failures + 1).min(members)
}
