//! SIGHUP: the configuration and the operator file are read again while the courier serves.

use super::config::{Config, ConfigOwner};
use super::error::RunError;
use super::log::Levels;
use crate::fleet::Fleet;
use crate::transport::courier::Courier;
use quillmount_operator::Operator;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// What a SIGHUP reads again, and where the new values go.
pub struct Reload {
    /// Path of the configuration.
    path: String,
    /// The courier and customer that the configuration has to belong to.
    owner: ConfigOwner,
    /// Path of the operator file, where there is one.
    operator: Option<PathBuf>,
    /// The log levels in force.
    levels: Levels,
    /// Discovery's address, which the watch and the notices follow.
    discovery: watch::Sender<SocketAddr>,
    /// The courier's fleet, whose voters may change.
    fleet: Option<Rc<Fleet>>,
}

impl Reload {
    /// Reads the files of this configuration and of the operator file at `operator`, where there is one.
    pub fn new(
        config: &Config,
        operator: Option<PathBuf>,
        levels: Levels,
        discovery: watch::Sender<SocketAddr>,
        fleet: Option<Rc<Fleet>>,
    ) -> Reload {
        Reload { path: config.path.clone(), owner: config.owner.clone(), operator, levels, discovery, fleet }
    }

    /// Reads both files again on each SIGHUP; a file that can't be read changes nothing.
    pub async fn run(self, mut hangup: Signal, courier: Rc<Courier>) {
        while hangup.recv().await.is_some() {
            courier.count(|c| c.reloads += 1);
            self.reload_configuration();
            if let Some(path) = &self.operator {
                self.reload_operator_file(path);
            }
        }
    }

    fn reload_configuration(&self) {
        match Config::discovery_now(&self.path, &self.owner) {
            Ok(addr) => {
                tracing::info!("configuration: read again; discovery at {addr}");
                self.discovery.send_if_modified(|known| std::mem::replace(known, addr) != addr);
            }
            Err(e) => tracing::error!("configuration: not read again, the old values hold: {e}"),
        }
    }

    fn reload_operator_file(&self, path: &Path) {
        match self.apply_operator_file(path) {
            Ok(()) => tracing::info!("operator file: read again"),
            Err(e) => tracing::error!("operator file: not read again, the old values hold: {e}"),
        }
    }

    fn apply_operator_file(&self, path: &Path) -> Result<(), RunError> {
        let operator = Operator::load(path)?;
        self.levels.set(&operator.log).map_err(RunError::Log)?;
        if let Some(fleet) = &self.fleet {
            fleet.reload(&operator.fleet);
        }
        Ok(())
    }
}
