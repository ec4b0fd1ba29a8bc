//! Why a courier can't go on as a member of its fleet.

use crate::agreement::AgreementError;
use std::io;

/// Why a courier can't go on as a member of its fleet. After one of these the process has to be started again.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The agreement has halted, or can't be opened.
    #[error(transparent)]
    Agreement(#[from] AgreementError),
    /// A file of the fleet's folder can't be read or written.
    #[error(
        "fleet: its files in the lasting folder can't be read or written: {0}; check the folder's disk and rights"
    )]
    Store(#[from] io::Error),
    /// A value in the fleet's folder, or in a snapshot, can't be decoded or encoded.
    #[error(
        "fleet: its state of an earlier process can't be read: {0}; start with an empty fleet folder, as a new member"
    )]
    State(#[from] postcard::Error),
}
