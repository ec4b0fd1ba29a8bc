//! Why a courier could not be started or controlled.

use std::io::{Error, ErrorKind};
use std::path::PathBuf;
use std::time::Duration;

/// Why a courier could not be started or controlled.
#[derive(Debug, thiserror::Error)]
pub enum CourierError {
    /// A file or folder of the courier can't be read or written.
    #[error("{} could not be read or written: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error of the system.
        source: Error,
    },
    /// A configuration can't be parsed.
    #[error("the configuration is no JSON: {source}")]
    Configuration {
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// The process can't be started.
    #[error("{} could not be started: {source}", program.display())]
    Spawn {
        /// The program.
        program: PathBuf,
        /// The error of the system.
        source: Error,
    },
    /// The log of the process can't be read.
    #[error("the log of the courier could not be read: {source}")]
    Log {
        /// The error of the system.
        source: Error,
    },
    /// The process ended before it served.
    #[error("the courier ended before it served: {last_line}")]
    EndedBeforeServing {
        /// The last line of its log.
        last_line: String,
    },
    /// The log line of a courier that serves has no address.
    #[error("the courier serves, but its log line has no address: {line}")]
    NoAddress {
        /// The line.
        line: String,
    },
    /// The process can't be signalled.
    #[error("the courier could not be signalled: {source}")]
    Signal {
        /// The error of the system.
        source: Error,
    },
    /// The system does not report the state of the process.
    #[error("the state of the courier's process could not be read: {source}")]
    Wait {
        /// The error of the system.
        source: Error,
    },
    /// The process did not end in time.
    #[error("the courier did not end within {within:?}")]
    NotEnded {
        /// How long it was waited for.
        within: Duration,
    },
    /// A text did not appear in the log in time.
    #[error("the courier did not log {text:?} within {within:?}")]
    NotLogged {
        /// The text.
        text: String,
        /// How long it was waited for.
        within: Duration,
    },
}

impl From<CourierError> for Error {
    fn from(error: CourierError) -> Self {
        let kind = match &error {
            CourierError::File { source, .. }
            | CourierError::Spawn { source, .. }
            | CourierError::Log { source }
            | CourierError::Signal { source }
            | CourierError::Wait { source } => source.kind(),
            CourierError::Configuration { .. } | CourierError::NoAddress { .. } => ErrorKind::InvalidData,
            CourierError::NotEnded { .. } | CourierError::NotLogged { .. } => ErrorKind::TimedOut,
            CourierError::EndedBeforeServing { .. } => ErrorKind::Other,
        };
        Error::new(kind, error)
    }
}
