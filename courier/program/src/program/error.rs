//! Why a courier can't start.

use super::config::ConfigError;
use super::log::LevelsError;
use crate::fleet::FleetError;
use crate::transport::inherited::InheritedError;
use quillmount_core::router::RouterError;
use quillmount_operator::OperatorError;
use std::net::SocketAddr;

/// A step of the start that failed. The process ends with exit code 1.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The configuration that `GW_CONFIG` names is missing or wrong.
    #[error("configuration: {0}")]
    Config(#[from] ConfigError),
    /// The operator file is missing or wrong.
    #[error("operator file: {0}")]
    Operator(#[from] OperatorError),
    /// `RUST_LOG` or the operator file's `log.filter` is no list of levels.
    #[error("log: {0}")]
    Log(LevelsError),
    /// The router can't be opened under these settings or with this journal.
    #[error(transparent)]
    Router(#[from] RouterError),
    /// The clients' address can't be bound.
    #[error("listen on {addr}: {source}")]
    Listen { addr: SocketAddr, source: std::io::Error },
    /// The operators' address can't be bound.
    #[error("listen for operators on {addr}: {source}")]
    Operators { addr: SocketAddr, source: std::io::Error },
    /// The state folder, its lock or its journal can't be opened.
    #[error("journal: {0}")]
    Folder(std::io::Error),
    /// The listening socket that the platform passed in can't be used.
    #[error("GW_INHERITED_FD: {0}")]
    Inherited(#[from] InheritedError),
    /// The signal handlers can't be installed.
    #[error("signals: {0}")]
    Signals(std::io::Error),
    /// The courier can't join its fleet.
    #[error(transparent)]
    Fleet(#[from] FleetError),
}
