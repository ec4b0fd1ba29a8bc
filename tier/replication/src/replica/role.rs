//! Roles of a replica, each with the state that belongs to it.

use super::primary::Primary;
use quillmount_wire::messages::{Accepted, DiskId, Epoch};
use std::collections::{BTreeMap, BTreeSet};

/// Role of a replica: the roles of Raft with a pre-vote (Ongaro 2014, sections 3.3 and 9.6).
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Accepts the proposals of a primary.
    Follower {
        /// Primary that the replica follows, if it has heard from one.
        primary: Option<DiskId>,
    },
    /// Requests pre-votes: asks the members whether an election would succeed, which changes no state at them.
    PreCandidate {
        /// Epoch that the election would have.
        epoch: Epoch,
        /// Members that granted the pre-vote.
        grants: BTreeSet<DiskId>,
    },
    /// Requests votes in an election.
    Candidate {
        /// Epoch of the election.
        epoch: Epoch,
        /// Members that promised the epoch, each with the newest value that it had accepted.
        promises: BTreeMap<DiskId, Option<Accepted>>,
    },
    /// Was elected and proposes values.
    Primary(Box<Primary>),
}

impl Role {
    /// Returns the state of the primary; `None` in any other role.
    pub(super) fn as_primary(&self) -> Option<&Primary> {
        match self {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }

    /// Returns the state of the primary for modification; `None` in any other role.
    pub(super) fn as_primary_mut(&mut self) -> Option<&mut Primary> {
        match self {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }
}
