//! A single courier between stand-ins, with a folder of its own that is removed with it.
//!
//! `setup` is what it is started with, `launch` starts its process and reads its log, `previous` is a process beside the current
//! one, `usage` what a process uses of the machine.

mod error;
mod launch;
mod previous;
mod setup;
mod usage;

pub use error::CourierError;
pub use previous::PreviousProcess;
pub use setup::Setup;
pub use usage::cpu_of;

use crate::process::KillOnDrop;
use launch::Serving;
use rustix::process::Signal;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};
use usage::MemoryUsage;

/// How long a test waits for the end of a courier or for a line of its log. A courier that stops ends within 3.4 s.
const WAIT: Duration = Duration::from_secs(6);
/// Interval at which the state of a process is checked.
const EXIT_POLL: Duration = Duration::from_millis(5);
/// Interval at which the log is checked.
const LOG_POLL: Duration = Duration::from_millis(2);

/// A running courier; dropped, it is killed, and its folder removed.
pub struct Courier {
    setup: Setup,
    process: KillOnDrop,
    /// The folder of the process, with its configuration and state.
    pub folder: PathBuf,
    /// The address for clients.
    pub addr: SocketAddr,
    /// The address for operators, if there is one.
    pub operators: Option<SocketAddr>,
    /// The lines of its log.
    pub log: Receiver<String>,
}

impl Drop for Courier {
    fn drop(&mut self) {
        // Before its folder is removed; fails if it has ended already.
        let _ = self.process.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Courier {
    /// Starts a courier, and waits until it serves.
    ///
    /// # Errors
    /// It did not start; the error has the last line of its log.
    pub fn start(setup: Setup) -> Result<Courier, CourierError> {
        Courier::start_in(setup, "")
    }

    /// The same, in a folder whose name ends with this suffix.
    ///
    /// # Errors
    /// It did not start; the error has the last line of its log.
    pub fn start_in(setup: Setup, suffix: &str) -> Result<Courier, CourierError> {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let name = format!("quillmount-{}-{}{suffix}", std::process::id(), NUMBER.fetch_add(1, Relaxed));
        let folder = std::env::temp_dir().join(name);
        setup.create_folder(&folder)?;
        let Serving { process, addr, operators, log } =
            launch::start(&setup, &folder)?.wait_until_serving()?;
        Ok(Courier { setup, process, folder, addr, operators, log })
    }

    /// Kills the courier with SIGKILL, and starts it with the same folder.
    ///
    /// # Errors
    /// It did not start again.
    pub fn kill_and_restart(&mut self) -> Result<(), CourierError> {
        self.kill()?;
        let serving = launch::start(&self.setup, &self.folder)?.wait_until_serving()?;
        self.replace_process(serving);
        Ok(())
    }

    /// Starts another process with the same folder and configuration, which takes over; returns the previous one.
    ///
    /// # Errors
    /// It did not start.
    pub fn upgrade(&mut self) -> Result<PreviousProcess, CourierError> {
        let serving = launch::start(&self.setup, &self.folder)?.wait_until_serving()?;
        Ok(self.replace_process(serving))
    }

    fn replace_process(&mut self, next: Serving) -> PreviousProcess {
        self.addr = next.addr;
        PreviousProcess {
            process: std::mem::replace(&mut self.process, next.process),
            operators: std::mem::replace(&mut self.operators, next.operators),
            log: std::mem::replace(&mut self.log, next.log),
        }
    }

    /// Starts another process with the same folder and configuration, and does not wait; its log is complete.
    ///
    /// # Errors
    /// It can't be started.
    pub fn spawn_another(&self) -> Result<PreviousProcess, CourierError> {
        let (process, log) = launch::start(&self.setup, &self.folder)?.forward_log();
        Ok(PreviousProcess { process, operators: None, log })
    }

    /// Kills the courier with SIGKILL, and does not start it.
    ///
    /// # Errors
    /// The system does not report its end.
    pub fn kill(&mut self) -> Result<(), CourierError> {
        self.process.kill().map(drop).map_err(|source| CourierError::Wait { source })
    }

    /// Changes the configuration file; a start or SIGHUP reads it.
    ///
    /// # Errors
    /// The file can't be read or written.
    pub fn configure(&self, change: impl FnOnce(&mut Value)) -> Result<(), CourierError> {
        setup::change_configuration(&self.folder, change)
    }

    /// Sends SIGSTOP, and does not wait.
    ///
    /// # Errors
    /// The process has ended.
    pub fn suspend_nowait(&self) -> Result<(), CourierError> {
        self.signal(Signal::STOP)
    }

    /// Sends SIGSTOP, and waits until the process has stopped.
    ///
    /// # Errors
    /// The process has ended.
    pub fn suspend(&self) -> Result<(), CourierError> {
        self.process.suspend().map_err(|source| CourierError::Signal { source })
    }

    /// Sends SIGCONT.
    ///
    /// # Errors
    /// The process has ended.
    pub fn resume(&self) -> Result<(), CourierError> {
        self.signal(Signal::CONT)
    }

    /// Sends SIGHUP.
    ///
    /// # Errors
    /// The process has ended.
    pub fn send_sighup(&self) -> Result<(), CourierError> {
        self.signal(Signal::HUP)
    }

    /// Sends SIGTERM.
    ///
    /// # Errors
    /// The process has ended.
    pub fn send_sigterm(&self) -> Result<(), CourierError> {
        self.signal(Signal::TERM)
    }

    fn signal(&self, signal: Signal) -> Result<(), CourierError> {
        self.process.signal(signal).map_err(|source| CourierError::Signal { source })
    }

    /// Waits until the process has ended, after SIGTERM.
    ///
    /// # Errors
    /// It did not end in time.
    pub async fn wait_for_exit(&mut self) -> Result<ExitStatus, CourierError> {
        wait_for_exit(&mut self.process).await
    }

    /// Waits until a line of the log contains this text; the lines up to it are consumed.
    ///
    /// # Errors
    /// No such line was written in time.
    pub async fn wait_for_log(&self, text: &str) -> Result<(), CourierError> {
        let deadline = Instant::now() + WAIT;
        while Instant::now() < deadline {
            if self.log.try_iter().any(|line| line.contains(text)) {
                return Ok(());
            }
            tokio::time::sleep(LOG_POLL).await;
        }
        Err(CourierError::NotLogged { text: text.into(), within: WAIT })
    }

    /// The ids of its endpoints.
    pub fn endpoint_ids(&self) -> Vec<String> {
        self.setup.endpoints.iter().map(|(dest, addr)| setup::endpoint_id(*dest, *addr)).collect()
    }

    /// Descriptors that the process has open; 0 if the system does not report them.
    pub fn descriptors(&self) -> usize {
        usage::open_descriptors(self.id())
    }

    /// Resident memory of the process now, and the most that it had, in bytes; 0 if the system does not report it.
    pub fn memory(&self) -> (u64, u64) {
        let MemoryUsage { now, most } = usage::memory(self.id());
        (now, most)
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.process.id()
    }
}

/// Waits until a process has ended.
async fn wait_for_exit(process: &mut KillOnDrop) -> Result<ExitStatus, CourierError> {
    let deadline = Instant::now() + WAIT;
    while Instant::now() < deadline {
        if let Some(status) = process.try_wait().map_err(|source| CourierError::Wait { source })? {
            return Ok(status);
        }
        tokio::time::sleep(EXIT_POLL).await;
    }
    Err(CourierError::NotEnded { within: WAIT })
}
