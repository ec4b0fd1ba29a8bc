//! Quorums of the core, also during a membership change.

use quillmount_wire::messages::{DiskId, RegisterValue};
use std::collections::BTreeSet;

/// Returns whether the members that answered include a majority of the value's members and, during a membership
/// change, also a majority of the prior members: Raft's joint consensus (Ongaro 2014, section 4.3).
pub(crate) fn is_quorum(value: &RegisterValue, answered: &BTreeSet<DiskId>) -> bool {
    is_majority(&value.members, answered)
        && value.prior.as_ref().is_none_or(|prior| is_majority(prior, answered))
}

/// Returns the members of a value, including the prior ones during a membership change.
pub(crate) fn all_members(value: &RegisterValue) -> BTreeSet<DiskId> {
    value.members.iter().chain(value.prior.iter().flatten()).copied().collect()
}

/// Returns the number of disks that must have a value before it is acknowledged: one more than may be lost at once,
/// but no more than there are members.
pub(crate) fn required_copies(tolerated_failures: usize, members: usize) -> usize {
    (tolerated_failures + 1).min(members)
}

fn is_majority(members: &[DiskId], answered: &BTreeSet<DiskId>) -> bool {
    let answered_count = members.iter().filter(|member| answered.contains(member)).count();
    answered_count * 2 > members.len()
}
