//! What a replica asks its caller to do.

use quillmount_wire::messages::{Accepted, DiskId, Epoch, Register, RegisterMessage};

/// Number by which the caller recognizes a read; any that is not in use by another read.
pub type ReadId = u64;

/// What the caller has to do or know, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum RegisterAction {
    /// Send a message to a member, which may be this one. It may be lost, delayed or repeated.
    Send {
        /// Disk of the receiver.
        to: DiskId,
        /// What is sent.
        message: RegisterMessage,
    },
    /// Write the register to the disk, in the order of these actions; carry out `then` once it is synced, and never if
    /// it could not be.
    Persist {
        /// The whole register, which replaces the one on the disk.
        register: Register,
        /// What must not happen before the register is synced.
        then: Vec<RegisterAction>,
    },
    /// A proposal of this primary is committed: enough members have acknowledged it.
    Committed {
        /// The value and its position.
        accepted: Accepted,
    },
    /// This member is primary. It proposes the value that the election found, which is not yet committed in this epoch.
    Elected {
        /// Epoch in which it is primary.
        epoch: Epoch,
    },
    /// This member is no longer primary: a proposal that was not committed may or may not be, by another primary.
    SteppedDown,
    /// A majority has confirmed that this member was still primary after the read began: the last committed value may
    /// be served.
    ReadConfirmed {
        /// The read.
        read: ReadId,
    },
}

impl RegisterAction {
    /// Sends one message to several members.
    pub(super) fn broadcast(
        members: impl IntoIterator<Item = DiskId>,
        message: &RegisterMessage,
    ) -> Vec<RegisterAction> {
        members.into_iter().map(|to| RegisterAction::Send { to, message: message.clone() }).collect()
    }
}
