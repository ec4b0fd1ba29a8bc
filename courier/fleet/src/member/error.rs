//! Errors after which a courier can't continue as a member of its fleet.

use crate::agreement::AgreementError;
use std::io;

/// An error after which a courier can't continue as a member of its fleet. The process has to be restarted.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The agreement has halted or can't be opened.
    #[error(transparent)]
    Agreement(#[from] AgreementError),
    /// A file of the fleet in the data directory can't be read or written.
    #[error(
        "fleet: its files in the data directory can't be read or written: {0}; check the disk and the permissions"
    )]
    Store(#[from] io::Error),
    /// A value in the fleet's files or in a snapshot can't be decoded or encoded.
    #[error(
        "fleet: the stored state can't be decoded or encoded: {0}; remove the fleet's files to join as a new member"
    )]
    State(#[from] postcard::Error),
}
