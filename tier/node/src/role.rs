//! What the roles of a process, courier and store, have in common: their errors, listening, and the wait for a signal to stop.

use crate::node::Node;
use crate::socket;
use quillmount_storage::{ContentsError, IdentityError, StorageError};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Why a role could not run.
///
/// Each message includes its cause, so the variants have no [`source`](std::error::Error::source): the cause would be printed
/// twice.
#[derive(Debug, thiserror::Error)]
pub enum RoleError {
    /// The data folder is unreadable or damaged.
    #[error("the data folder can't be used: {0}")]
    Storage(StorageError),
    /// The disk has no identity that can be used.
    #[error("the identity of the disk can't be used: {0}")]
    Identity(IdentityError),
    /// The data folder holds something else.
    #[error("the data folder can't be used: {0}")]
    Contents(ContentsError),
    /// An address can't be listened on.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address, as the settings state it.
        address: String,
        /// What the operating system reported.
        error: std::io::Error,
    },
    /// The handlers of signals can't be installed.
    #[error("signals can't be taken: {0}")]
    Signals(std::io::Error),
}

impl From<StorageError> for RoleError {
    fn from(error: StorageError) -> Self {
        RoleError::Storage(error)
    }
}

impl From<IdentityError> for RoleError {
    fn from(error: IdentityError) -> Self {
        RoleError::Identity(error)
    }
}

impl From<ContentsError> for RoleError {
    fn from(error: ContentsError) -> Self {
        RoleError::Contents(error)
    }
}

/// Listens on an address of the settings.
pub fn listen(address: &str) -> Result<TcpListener, RoleError> {
    socket::listen(address).map_err(|error| RoleError::Listen { address: address.to_owned(), error })
}

/// The signals that a role takes. Until they are installed each of them ends the process, so that a role installs them before it
/// does anything else; those that come before [`wait_for_stop`] are kept for it.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    pub fn install() -> Result<Signals, RoleError> {
        let install = |kind| signal(kind).map_err(RoleError::Signals);
        Ok(Signals {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }
}

/// Waits for SIGTERM or SIGINT and marks the node as stopping. SIGHUP reloads the seeds; all other settings are fixed until the
/// process ends.
pub async fn wait_for_stop(node: &Node, mut signals: Signals) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => node.reload_seeds(),
        }
    }
    node.stopping.set(true);
    node.report_due.notify_one();
}
