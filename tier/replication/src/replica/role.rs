//! The role of a replica, and what it knows in that role.

use super::primary::Primary;
use quillmount_wire::messages::{Accepted, DiskId, Epoch};
use std::collections::{BTreeMap, BTreeSet};

/// The role of a replica: Raft's, with a pre-vote (Ongaro 2014, sections 3.3 and 9.6).
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Accepts proposals.
    Follower {
        /// The primary that it follows, if it has heard from one.
        primary: Option<DiskId>,
    },
    /// Asks whether an election would succeed, which changes nothing on any member.
    PreCandidate {
        /// Epoch for which it would stand.
        epoch: Epoch,
        /// Members that would vote for it.
        grants: BTreeSet<DiskId>,
    },
    /// Stands for election.
    Candidate {
        /// Epoch for which it stands.
        epoch: Epoch,
        /// Members that promised the epoch, each with the newest value that it had accepted.
        promises: BTreeMap<DiskId, Option<Accepted>>,
    },
    /// Was elected, and proposes values.
    Primary(Box<Primary>),
}

impl Role {
    /// What a primary knows, if this is one.
    pub(super) fn as_primary(&self) -> Option<&Primary> {
        match self {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }

    /// What a primary knows, if this is one.
    pub(super) fn as_primary_mut(&mut self) -> Option<&mut Primary> {
        match self {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }
}
