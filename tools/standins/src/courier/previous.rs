//! A process beside the current one of a courier.

use super::error::CourierError;
use super::wait_for_exit;
use crate::process::KillOnDrop;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::sync::mpsc::Receiver;

/// A process that another one has replaced, or that has only been started; dropped, it is killed.
pub struct PreviousProcess {
    pub(super) process: KillOnDrop,
    /// The address for operators, if there is one.
    pub operators: Option<SocketAddr>,
    /// The lines of its log.
    pub log: Receiver<String>,
}

impl PreviousProcess {
    /// Sends SIGTERM.
    ///
    /// # Errors
    /// The process has ended.
    pub fn send_sigterm(&self) -> Result<(), CourierError> {
        self.process.signal(Signal::TERM).map_err(|source| CourierError::Signal { source })
    }

    /// Sends SIGINT.
    ///
    /// # Errors
    /// The process has ended.
    pub fn send_sigint(&self) -> Result<(), CourierError> {
        self.process.signal(Signal::INT).map_err(|source| CourierError::Signal { source })
    }

    /// Sends SIGHUP.
    ///
    /// # Errors
    /// The process has ended.
    pub fn send_sighup(&self) -> Result<(), CourierError> {
        self.process.signal(Signal::HUP).map_err(|source| CourierError::Signal { source })
    }

    /// Sends SIGKILL, and returns when the process has ended.
    ///
    /// # Errors
    /// The system does not report its end.
    pub fn kill(&mut self) -> Result<(), CourierError> {
        self.process.kill().map(drop).map_err(|source| CourierError::Wait { source })
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    /// It did not end in time.
    pub async fn wait_for_exit(&mut self) -> Result<ExitStatus, CourierError> {
        wait_for_exit(&mut self.process).await
    }
}
