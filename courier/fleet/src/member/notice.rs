//! What a member reports to the process's log.

use crate::config::Name;
use crate::state::{Epoch, JournalId};

/// An occurrence for the process's log; its text is the [`Display`](std::fmt::Display) form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberNotice {
    /// This courier is registered.
    Joined {
        /// The epoch of its registration.
        epoch: Epoch,
        /// Whether the journal in its folder is still its own.
        retained: bool,
    },
    /// A courier's registration has ended.
    Deregistered {
        /// The courier.
        name: Name,
        /// The epoch of the registration.
        epoch: Epoch,
    },
    /// A journal is sealed: its owner may not write it any more.
    Sealed(JournalId),
    /// This courier adopts partitions of a sealed journal.
    TakeoverStarted {
        /// The sealed journal.
        journal: JournalId,
        /// Number of the partitions.
        partitions: usize,
        /// Length of the journal in bytes.
        bytes: usize,
    },
    /// No replica of a sealed journal is at the couriers that should have one.
    ReplicaUnavailable {
        /// The sealed journal.
        journal: JournalId,
    },
    /// A replica of this courier's journal lags behind and is replaced.
    ReplicaLagging {
        /// The courier that has the replica.
        name: Name,
    },
    /// A replica of another courier's journal can't be written here.
    ReplicaRejected {
        /// The journal.
        journal: JournalId,
        /// The error of the store.
        what: String,
    },
    /// This courier has become leader (`true`) or is leader no more.
    Leading(bool),
    /// This courier's lease has expired (`true`) or is valid again.
    LeaseLost(bool),
    /// This courier starts a new fleet.
    Bootstrapping,
    /// The voters of the agreement have changed.
    Voters(Vec<Name>),
    /// An error of the agreement after which it goes on.
    Agreement(String),
}

impl std::fmt::Display for MemberNotice {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MemberNotice::Joined { epoch, retained: true } => {
                write!(f, "fleet: member under epoch {epoch}, with the journal in the folder")
            }
            MemberNotice::Joined { epoch, retained: false } => {
                write!(
                    f,
                    "fleet: member under epoch {epoch}, with an empty journal: others have what was owed before"
                )
            }
            MemberNotice::Deregistered { name, epoch } => {
                write!(f, "fleet: {name} is deregistered (epoch {epoch})")
            }
            MemberNotice::Sealed(journal) => write!(f, "fleet: journal {journal} is sealed"),
            MemberNotice::TakeoverStarted { journal, partitions, bytes } => {
                write!(f, "fleet: takes over {partitions} partitions of journal {journal} ({bytes} bytes)")
            }
            MemberNotice::ReplicaUnavailable { journal } => write!(
                f,
                "fleet: no replica of journal {journal} answers: start its owner or a courier with a replica, each with its folder"
            ),
            MemberNotice::ReplicaLagging { name } => {
                write!(f, "fleet: the replica at {name} lags and is replaced: look at the link to it")
            }
            MemberNotice::ReplicaRejected { journal, what } => {
                write!(
                    f,
                    "fleet: a replica of journal {journal} can't be stored: {what}; look at the folder's disk"
                )
            }
            MemberNotice::Leading(true) => write!(f, "fleet: leader"),
            MemberNotice::Leading(false) => write!(f, "fleet: no longer leader"),
            MemberNotice::LeaseLost(true) => {
                write!(
                    f,
                    "fleet: its lease has expired: partitioned, or too few voters are up; nothing is started"
                )
            }
            MemberNotice::LeaseLost(false) => write!(f, "fleet: has a lease"),
            MemberNotice::Agreement(what) => write!(f, "fleet: {what}"),
            MemberNotice::Voters(voters) => write!(f, "fleet: voters are {}", voters.join(", ")),
            MemberNotice::Bootstrapping => write!(f, "fleet: created by this courier, its first voter"),
        }
    }
}
