//! An upgrade: one process hands all that it is doing to the next, which has the same folder.
//!
//! The owner of the folder's lock decides and writes the journal. The sender releases the lock last and reports it; the
//! receiver resumes from the state only after that report. Otherwise it restores from the journal once the lock
//! is free.

mod receiver;
mod sender;

pub use receiver::{
    HandoverReceiver, KILL_OWNER_AFTER, LOCK_RETRY_INTERVAL, OWNER_SILENCE_MAX, ReceiverInput,
    ReceiverOutput, ReceiverState,
};
pub use sender::{COLLECT_TIMEOUT, HandoverSender, SenderInput, SenderOutput, SenderState, TRANSFER_TIMEOUT};
