//! The handover of an upgrade: a process transfers its state and its sockets to a new process with the same directory.
//!
//! The process that holds the lock of the directory makes all decisions and writes the journal. The sender releases the
//! lock as its last step and reports it, and only after that report the receiver resumes from the transferred state. If the
//! handover fails, the receiver restores the state from the journal as soon as it has the lock.

mod receiver;
mod sender;

pub use receiver::{
    HandoverReceiver, KILL_OWNER_AFTER, LOCK_RETRY_INTERVAL, OWNER_SILENCE_MAX, ReceiverInput,
    ReceiverOutput, ReceiverState,
};
pub use sender::{COLLECT_TIMEOUT, HandoverSender, SenderInput, SenderOutput, SenderState, TRANSFER_TIMEOUT};
