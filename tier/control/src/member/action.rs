//! What a member asks its caller to do.

use quillmount_wire::messages::{DiskId, Epoch, Register, RegisterMessage};

/// Identifies a change or a read that waits for its confirmation; unique per member and process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

impl Ticket {
    /// The number of the ticket; tickets and writes of a member are numbered in one sequence.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Identifies a write of the register to the disk; unique per member and process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegisterWrite(pub(super) u64);

/// How a write of the register ended. Each write ends, whatever became of the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The register is synced.
    Synced,
    /// It is not known to be on the disk, nor that it is not.
    Failed,
}

/// A change that was applied to a primary's working copy of the state and is not confirmed yet.
#[derive(Debug)]
pub struct SubmittedChange<T> {
    /// What the change returned. It is valid only once [`MemberAction::Confirmed`] is returned for the ticket.
    pub outcome: T,
    /// Identifies the change.
    pub ticket: Ticket,
    /// To be carried out now; the confirmation may be among them.
    pub actions: Vec<MemberAction>,
}

/// A linearizable read that has begun and is not confirmed yet.
#[derive(Debug)]
pub struct SubmittedRead {
    /// Identifies the read.
    pub ticket: Ticket,
    /// To be carried out now; the confirmation may be among them.
    pub actions: Vec<MemberAction>,
}

/// What the caller has to do or know, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message to another member. It may be lost, delayed or repeated.
    Send {
        /// Disk of the receiver.
        to: DiskId,
        /// What is sent.
        message: RegisterMessage,
    },
    /// Write the register to the disk and sync it, in the order of these actions; then call
    /// [`Member::write_ended`](super::Member::write_ended).
    Persist {
        /// Passed back with the outcome.
        write: RegisterWrite,
        /// The whole register, which replaces the one on the disk.
        register: Register,
    },
    /// A change, and all that its outcome rests on, is committed; or, for a read,
    /// [`Member::committed`](super::Member::committed) is at least as new as when the read began.
    Confirmed {
        /// The change or read.
        ticket: Ticket,
    },
    /// A change or read can no longer be confirmed here; the change may or may not be committed by another primary.
    Uncertain {
        /// The change or read.
        ticket: Ticket,
    },
    /// This member is primary; it serves after the first commit in this epoch.
    Elected {
        /// Epoch in which it is primary.
        epoch: Epoch,
    },
    /// This member is no longer primary.
    SteppedDown,
    /// The primary committed a state: subscribers may have updates to fetch.
    StateChanged,
    /// A proposal arrived, and the register may hold another value, which may name other members.
    Accepted,
}
