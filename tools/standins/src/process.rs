//! A child process that is killed when it is dropped.

use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use std::io::{Error, ErrorKind, Result};
use std::process::{Child, ExitStatus};

/// A child process that is killed when it is dropped.
#[derive(Debug)]
pub(crate) struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // Both fail if it has ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl KillOnDrop {
    pub fn new(child: Child) -> KillOnDrop {
        KillOnDrop(child)
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// The id of the process, for calls of the system.
    pub fn pid(&self) -> Pid {
        Pid::from_child(&self.0)
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill_process(self.pid(), signal).map_err(Error::from)
    }

    /// Sends SIGSTOP, and returns when the process has stopped.
    ///
    /// # Errors
    /// The process has ended.
    pub fn suspend(&self) -> Result<()> {
        self.signal(Signal::STOP)?;
        let either = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
        let status = waitid(WaitId::Pid(self.pid()), either)?;
        if status.is_some_and(|status| status.stopped()) { Ok(()) } else { Err(ErrorKind::NotFound.into()) }
    }

    /// Sends SIGKILL, and returns when the process has ended.
    ///
    /// # Errors
    /// The system does not report its end.
    pub fn kill(&mut self) -> Result<ExitStatus> {
        self.0.kill()?;
        self.0.wait()
    }

    /// Blocks until the process has ended.
    ///
    /// # Errors
    /// The system does not report its end.
    pub fn wait(&mut self) -> Result<ExitStatus> {
        self.0.wait()
    }

    /// The status of the process, if it has ended.
    ///
    /// # Errors
    /// The system does not report its end.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>> {
        self.0.try_wait()
    }
}
