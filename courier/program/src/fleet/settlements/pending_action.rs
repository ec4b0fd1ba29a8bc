//! What waits until the journal, as it is by then, has been replicated.

use quillmount_fleet::settlement::owner::OwnerOutput;

/// What is done once the journal has been replicated.
pub(super) enum PendingAction {
    /// Report the write of this number to the owner's machine.
    Written(u64),
    /// Carry out an output of the owner's machine.
    Perform(Box<OwnerOutput>),
}
