//! Occurrences that a member reports to the log of its process.

use crate::config::Name;
use crate::state::{Epoch, JournalId};

/// An occurrence for the log of the process. The log line is the [`Display`](std::fmt::Display) form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberNotice {
    /// This courier was registered as a member.
    Joined {
        /// The epoch of the registration.
        epoch: Epoch,
        /// Whether the courier still owns the journal in its data directory.
        retained: bool,
    },
    /// A courier's registration has ended.
    Deregistered {
        /// The courier whose registration has ended.
        name: Name,
        /// The epoch of that registration.
        epoch: Epoch,
    },
    /// A journal was sealed: its owner may not append to it any more.
    Sealed(JournalId),
    /// This courier has started to adopt partitions of a sealed journal.
    TakeoverStarted {
        /// The sealed journal.
        journal: JournalId,
        /// Number of partitions that this courier adopts.
        partitions: usize,
        /// Length of the journal in bytes.
        bytes: usize,
    },
    /// None of the couriers that should have a replica of a sealed journal has one.
    ReplicaUnavailable {
        /// The sealed journal.
        journal: JournalId,
    },
    /// A replica of this courier's journal has not acknowledged records for too long and is replaced by another
    /// courier's.
    ReplicaLagging {
        /// The courier that has the replica.
        name: Name,
    },
    /// This courier can't write its replica of another courier's journal.
    ReplicaRejected {
        /// The replicated journal.
        journal: JournalId,
        /// The text of the I/O error.
        error: String,
    },
    /// This courier has become leader (`true`) or has lost leadership (`false`).
    Leading(bool),
    /// This courier's lease has expired (`true`) or is valid again (`false`).
    LeaseLost(bool),
    /// This courier creates a new fleet, as the first configured voter.
    Bootstrapping,
    /// The voters of the Raft group have changed. The value lists their names in ascending order.
    Voters(Vec<Name>),
    /// An error after which the agreement continues. The value is its text.
    Agreement(String),
}

impl std::fmt::Display for MemberNotice {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MemberNotice::Joined { epoch, retained: true } => {
                write!(f, "fleet: member under epoch {epoch}, continuing the journal in the data directory")
            }
            MemberNotice::Joined { epoch, retained: false } => {
                write!(
                    f,
                    "fleet: member under epoch {epoch}, with an empty journal: other couriers took over the earlier journal"
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
                "fleet: takeover of journal {journal} waits, as no replica is available: start its owner or a courier with a replica, with its data directory"
            ),
            MemberNotice::ReplicaLagging { name } => {
                write!(
                    f,
                    "fleet: the replica at {name} lags and is replaced: check the network connection to {name}"
                )
            }
            MemberNotice::ReplicaRejected { journal, error } => {
                write!(
                    f,
                    "fleet: writing the replica of journal {journal} failed: {error}; check the disk of the data directory"
                )
            }
            MemberNotice::Leading(true) => write!(f, "fleet: became leader"),
            MemberNotice::Leading(false) => write!(f, "fleet: no longer leader"),
            MemberNotice::LeaseLost(true) => {
                write!(
                    f,
                    "fleet: its lease has expired, as the network is partitioned or too few voters run: no message is accepted, no call is started"
                )
            }
            MemberNotice::LeaseLost(false) => write!(f, "fleet: its lease is valid"),
            MemberNotice::Agreement(error) => write!(f, "fleet: {error}"),
            MemberNotice::Voters(voters) => write!(f, "fleet: voters are {}", voters.join(", ")),
            MemberNotice::Bootstrapping => {
                write!(f, "fleet: created a new fleet with this courier as the first voter")
            }
        }
    }
}
