//! Quorums: when enough members of the core have answered.

use quillmount_wire::messages::{DiskId, RegisterValue};
use std::collections::BTreeSet;

/// Whether the members that answered include a majority of the value's members and, during a change of members, a
/// majority of the former ones: Raft's joint consensus (Ongaro 2014, section 4.3).
pub(crate) fn is_quorum(value: &RegisterValue, answered: &BTreeSet<DiskId>) -> bool {
    is_majority(&value.members, answered)
        && value.prior.as_ref().is_none_or(|prior| is_majority(prior, answered))
}

/// Members of a value, the former ones during a change of members included.
pub(crate) fn all_members(value: &RegisterValue) -> BTreeSet<DiskId> {
    value.members.iter().chain(value.prior.iter().flatten()).copied().collect()
}

/// Number of disks that have to hold a value before it is acknowledged: one more than may be lost at once, but no more
/// than there are.
pub(crate) fn required_copies(tolerated_failures: usize, members: usize) -> usize {
    (tolerated_failures + 1).min(members)
}

fn is_majority(members: &[DiskId], answered: &BTreeSet<DiskId>) -> bool {
    let present = members.iter().filter(|member| answered.contains(member)).count();
    present * 2 > members.len()
}
