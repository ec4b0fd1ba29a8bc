//! Actions that a member returns to its caller, and the identifiers of changes, reads and writes in them.

use quillmount_wire::messages::{DiskId, Epoch, Register, RegisterMessage};

/// Identifies a change or a read that waits for its confirmation; unique per member and process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

impl Ticket {
    /// The number of the ticket. Tickets and writes of a member are numbered in one sequence.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Identifies a write of the register to the disk; unique per member and process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegisterWrite(pub(super) u64);

/// Outcome of a write of the register. Every write has one, even if the disk failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The register is synced to the disk.
    Synced,
    /// The write failed; the register may or may not be on the disk.
    Failed,
}

/// A change that was applied to a primary's working copy of the state and is not confirmed yet.
#[derive(Debug)]
pub struct SubmittedChange<T> {
    /// Return value of the change, valid only once [`MemberAction::Confirmed`] is returned for the ticket.
    pub outcome: T,
    /// Identifies the change in [`MemberAction::Confirmed`] and [`MemberAction::Uncertain`].
    pub ticket: Ticket,
    /// Actions to perform now; the confirmation may be among them.
    pub actions: Vec<MemberAction>,
}

/// A linearizable read that has begun and is not confirmed yet.
#[derive(Debug)]
pub struct SubmittedRead {
    /// Identifies the read in [`MemberAction::Confirmed`] and [`MemberAction::Uncertain`].
    pub ticket: Ticket,
    /// Actions to perform now; the confirmation may be among them.
    pub actions: Vec<MemberAction>,
}

/// An action for the caller to perform, or an event for it to handle, in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message to another member. It may be lost, delayed or repeated.
    Send {
        /// Disk of the receiver.
        to: DiskId,
        /// Message of the replication protocol.
        message: RegisterMessage,
    },
    /// Write the register to the disk and sync it; then call [`Member::write_ended`](super::Member::write_ended). Writes
    /// are made in the order of these actions.
    Persist {
        /// Identifies the write when its outcome is reported.
        write: RegisterWrite,
        /// The whole register, which replaces the one on the disk.
        register: Register,
    },
    /// A change is committed, with all earlier changes that its outcome depends on. For a read:
    /// [`Member::committed`](super::Member::committed) is at least as new as when the read started.
    Confirmed {
        /// Ticket of the change or read.
        ticket: Ticket,
    },
    /// A change or read can no longer be confirmed here; the change may or may not be committed by another primary.
    Uncertain {
        /// Ticket of the change or read.
        ticket: Ticket,
    },
    /// This member was elected primary; it serves after the first commit in this epoch.
    Elected {
        /// Epoch in which it is primary.
        epoch: Epoch,
    },
    /// This member is no longer primary.
    SteppedDown,
    /// This primary committed a state; subscribers may have newer tables to fetch.
    StateChanged,
    /// A proposal arrived. The register may have a new value, which may name other members.
    Accepted,
}
