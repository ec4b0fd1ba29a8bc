//! Actions that a replica returns to its caller.

use quillmount_wire::messages::{Accepted, DiskId, Epoch, Register, RegisterMessage};

/// Identifies a read; the caller assigns any number that no other pending read of this replica has.
pub type ReadId = u64;

/// An action for the caller, or a change that it has to know. Actions are performed in the order in which they are
/// returned.
#[derive(Clone, Debug, PartialEq)]
pub enum RegisterAction {
    /// Send a message to a member, which may be this one. The message may be lost, delayed or duplicated.
    Send {
        /// Disk of the receiving member.
        to: DiskId,
        /// Message to send.
        message: RegisterMessage,
    },
    /// Write the register to the disk, in the order of these actions. Perform `then` once it is synced, and never
    /// if the write fails.
    Persist {
        /// Complete register, which replaces the one on the disk.
        register: Register,
        /// Actions that must not be performed before the register is synced.
        then: Vec<RegisterAction>,
    },
    /// A proposal of this primary is committed: enough members have acknowledged it.
    Committed {
        /// The committed value with its epoch and sequence number.
        accepted: Accepted,
    },
    /// This member was elected primary. It proposes the newest value that the election returned, which is not yet
    /// committed in this epoch.
    Elected {
        /// Epoch in which it is primary.
        epoch: Epoch,
    },
    /// This member is no longer primary. Another primary may or may not commit the proposal that was in flight.
    SteppedDown,
    /// A majority has confirmed that this member was still primary after the read started, so the last committed
    /// value may be served.
    ReadConfirmed {
        /// Identifies the read, as passed to
        /// [`RegisterReplica::confirm_read`](crate::RegisterReplica::confirm_read).
        read: ReadId,
    },
}

impl RegisterAction {
    /// Returns the actions that send one message to several members.
    pub(super) fn broadcast(
        members: impl IntoIterator<Item = DiskId>,
        message: &RegisterMessage,
    ) -> Vec<RegisterAction> {
        members.into_iter().map(|to| RegisterAction::Send { to, message: message.clone() }).collect()
    }
}
