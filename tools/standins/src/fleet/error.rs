//! Why a fleet could not do what a test wants.

use crate::record::WaitTimeout;
use std::io::{Error, ErrorKind};
use std::path::PathBuf;

/// Why a fleet could not do what a test wants. Couriers are given by their names.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The system has no port or folder for the fleet.
    #[error("the ports and folders of the fleet could not be opened: {source}")]
    Prepare {
        /// The error of the system.
        source: Error,
    },
    /// The example's configuration can't be parsed.
    #[error("the configuration of the example is no JSON: {source}")]
    Configuration {
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// A file or folder of a courier can't be written or removed.
    #[error("{} could not be written: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error of the system.
        source: Error,
    },
    /// The process of a courier can't be started.
    #[error("courier {courier} could not be started: {source}")]
    Spawn {
        /// The courier.
        courier: String,
        /// The error of the system.
        source: Error,
    },
    /// The process of a courier can't be signalled.
    #[error("courier {courier} could not be signalled: {source}")]
    Signal {
        /// The courier.
        courier: String,
        /// The error of the system.
        source: Error,
    },
    /// The end of a courier's process can't be awaited.
    #[error("the end of courier {courier} could not be awaited: {source}")]
    Wait {
        /// The courier.
        courier: String,
        /// The error of the system.
        source: Error,
    },
    /// The courier is running already.
    #[error("courier {courier} is running already")]
    AlreadyRunning {
        /// The courier.
        courier: String,
    },
    /// The courier is not running.
    #[error("courier {courier} is not running")]
    NotRunning {
        /// The courier.
        courier: String,
    },
    /// The process of a courier ended before it served.
    #[error("courier {courier}, incarnation {incarnation}, ended before it served: {last_line}")]
    EndedBeforeServing {
        /// The courier.
        courier: String,
        /// The incarnation of its process, from 1.
        incarnation: u32,
        /// The last line of its log.
        last_line: String,
    },
    /// Something was not recorded in time.
    #[error(transparent)]
    Timeout(#[from] WaitTimeout),
}

impl From<FleetError> for Error {
    fn from(error: FleetError) -> Self {
        let kind = match &error {
            FleetError::Prepare { source }
            | FleetError::File { source, .. }
            | FleetError::Spawn { source, .. }
            | FleetError::Signal { source, .. }
            | FleetError::Wait { source, .. } => source.kind(),
            FleetError::Configuration { .. } => ErrorKind::InvalidData,
            FleetError::Timeout(_) => ErrorKind::TimedOut,
            FleetError::AlreadyRunning { .. }
            | FleetError::NotRunning { .. }
            | FleetError::EndedBeforeServing { .. } => ErrorKind::Other,
        };
        Error::new(kind, error)
    }
}
