//! An upgrade on sockets: what moves from one process to the next, and the drivers of the two sides.
//!
//! `courier/core/src/machine/handover.rs` decides; `docs/operators-design.md` says why all sockets move. The new process
//! acquires the folder with [`take`]; the old one serves as an [`ActiveProcess`] and hands over from there.

mod receiver;
mod sender;

pub use receiver::{listener, take};
pub use sender::{ActiveProcess, Tasks};

use super::handle::ReleasedPart;
use quillmount_core::hub;
use std::fs::{File, TryLockError};
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::Path;

/// The log target of this module's files, which operators filter by.
const LOG_TARGET: &str = "quillmount::transport::handover";

/// The folder's lock; it ends with the last process that has this file open, and is handed over with it.
#[derive(Debug)]
pub struct Lock {
    file: File,
}

impl Lock {
    /// Tries to lock the folder; `None`: another process has the lock.
    fn try_acquire(folder: &Path) -> io::Result<Option<Lock>> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("lock");
        let file = File::options().create(true).append(true).open(&path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Lock { file })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}

impl From<OwnedFd> for Lock {
    /// The lock that another process has handed over.
    fn from(fd: OwnedFd) -> Self {
        Lock { file: fd.into() }
    }
}

impl AsFd for Lock {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.file.as_fd()
    }
}

/// All that another process has handed over.
pub struct ReceivedState {
    /// The state of its decisions.
    pub state: hub::HubState,
    /// Whether it was drained.
    pub drained: bool,
    /// How far its clock ran ahead of the system's, in microseconds.
    pub ahead: i64,
    /// Its calls and connections, with their descriptors.
    pub parts: Vec<ReleasedPart<OwnedFd>>,
}

/// The folder of a process that may decide.
pub struct AcquiredFolder {
    /// The folder's lock.
    pub lock: Lock,
    /// What another process has handed over, if one has.
    pub received: Option<ReceivedState>,
}
