//! Starts, signals and ends of a fleet's couriers, and changes of their files.

use super::error::FleetError;
use super::process::{Process, ProcessSetup};
use super::setup::FleetSetup;
use super::{Fleet, WAIT_TIMEOUT};
use crate::fault::Fault;
use crate::record::{RunRecord, WaitTimeout};
use rustix::process::Signal;
use serde_json::Value;
use std::path::Path;
use std::process::ExitStatus;

/// The log line of a courier that serves contains this text.
const SERVING: &str = "serving on ";

/// How the start of a courier ended.
enum StartOutcome {
    Serving,
    /// The process ended; the last line of its log.
    Ended(String),
}

impl Fleet {
    /// Prepares a fleet, starts all couriers and waits until all serve; must run in a `LocalSet` on one thread
    /// ([`run_test`](super::run_test)).
    ///
    /// # Errors
    /// A courier did not start or did not serve; the error shows the last lines of its log.
    pub async fn start(setup: FleetSetup) -> Result<Fleet, FleetError> {
        let mut fleet = Fleet::prepare(setup)?;
        for courier in 0..fleet.couriers() {
            fleet.spawn(courier)?;
        }
        fleet.wait_until_all_serve().await?;
        Ok(fleet)
    }

    /// Starts a courier with its folder as it is, and does not wait.
    ///
    /// # Errors
    /// It is running already, or can't be started.
    pub fn spawn(&mut self, courier: usize) -> Result<(), FleetError> {
        let member = &mut self.members[courier];
        if member.process.is_some() {
            return Err(FleetError::AlreadyRunning { courier: member.name.clone() });
        }
        member.incarnations += 1;
        self.recorder.record_fault(Fault::Start(courier));
        let setup = ProcessSetup {
            program: &member.program,
            folder: &member.folder,
            levels: &self.levels,
            courier,
            incarnation: member.incarnations,
        };
        let process = Process::start(&setup, &self.recorder)
            .map_err(|source| FleetError::Spawn { courier: member.name.clone(), source })?;
        member.process = Some(process);
        Ok(())
    }

    /// Kills a courier with SIGKILL; returns when it has ended and its log is recorded. Does nothing if it is not running.
    ///
    /// # Errors
    /// Its end was not reported.
    pub async fn kill(&mut self, courier: usize) -> Result<(), FleetError> {
        let Some(mut process) = self.members[courier].process.take() else { return Ok(()) };
        self.recorder.record_fault(Fault::Kill(courier));
        process.kill().map_err(|source| self.members[courier].wait_error(source))?;
        Ok(self.wait_for_end_of_log(courier).await?)
    }

    /// Kills a courier if it is running, starts it with its folder as it is, and waits until it serves.
    ///
    /// # Errors
    /// It did not serve in time.
    pub async fn restart(&mut self, courier: usize) -> Result<(), FleetError> {
        self.kill(courier).await?;
        self.spawn(courier)?;
        self.wait_until_serving(courier).await
    }

    /// Kills a courier if it is running, and starts it with an empty folder. Does not wait until it serves: a courier that lost
    /// its folder may first need an answer of others.
    ///
    /// # Errors
    /// The folder can't be emptied, or the courier can't be started.
    pub async fn lose_folder(&mut self, courier: usize) -> Result<(), FleetError> {
        self.kill(courier).await?;
        self.members[courier].empty_state_folder()?;
        self.recorder.record_fault(Fault::LoseFolder(courier));
        self.spawn(courier)
    }

    /// Stops a courier with SIGSTOP; returns when it has stopped.
    ///
    /// # Errors
    /// It is not running.
    pub fn suspend(&mut self, courier: usize) -> Result<(), FleetError> {
        let suspended = self.members[courier].running()?.suspend();
        suspended.map_err(|source| self.members[courier].signal_error(source))?;
        self.recorder.record_fault(Fault::Suspend(courier));
        Ok(())
    }

    /// Continues a courier with SIGCONT.
    ///
    /// # Errors
    /// It is not running.
    pub fn resume(&mut self, courier: usize) -> Result<(), FleetError> {
        self.members[courier].running()?;
        self.recorder.record_fault(Fault::Resume(courier));
        let resumed = self.members[courier].running()?.resume();
        resumed.map_err(|source| self.members[courier].signal_error(source))
    }

    /// Sends SIGTERM to a courier.
    ///
    /// # Errors
    /// It is not running.
    pub fn send_sigterm(&mut self, courier: usize) -> Result<(), FleetError> {
        self.members[courier].running()?;
        self.recorder.record_fault(Fault::Sigterm(courier));
        self.signal(courier, Signal::TERM)
    }

    /// Sends SIGHUP to a courier.
    ///
    /// # Errors
    /// It is not running.
    pub fn send_sighup(&mut self, courier: usize) -> Result<(), FleetError> {
        self.members[courier].running()?;
        self.recorder.record_fault(Fault::Sighup(courier));
        self.signal(courier, Signal::HUP)
    }

    fn signal(&mut self, courier: usize, signal: Signal) -> Result<(), FleetError> {
        let sent = self.members[courier].running()?.signal(signal);
        sent.map_err(|source| self.members[courier].signal_error(source))
    }

    /// Waits until a courier has ended, after SIGTERM or of its own accord.
    ///
    /// # Errors
    /// It is not running, or did not end in time.
    pub async fn wait_for_exit(&mut self, courier: usize) -> Result<ExitStatus, FleetError> {
        self.members[courier].running()?;
        self.wait_for_end_of_log(courier).await?;
        let status = self.members[courier].running()?.wait();
        self.members[courier].process = None;
        status.map_err(|source| self.members[courier].wait_error(source))
    }

    async fn wait_for_end_of_log(&self, courier: usize) -> Result<(), WaitTimeout> {
        let incarnation = self.incarnation(courier);
        let what = format!("the end of {}, incarnation {incarnation}", self.name(courier));
        let has_ended = |record: &RunRecord| (record.ended[courier] >= incarnation).then_some(());
        self.wait_until(&what, WAIT_TIMEOUT, has_ended).await
    }

    /// Waits until the log of a courier's latest incarnation contains this text, and returns the line.
    ///
    /// # Errors
    /// No such line was written in time.
    pub async fn wait_for_log(&self, courier: usize, text: &str) -> Result<String, WaitTimeout> {
        let (incarnation, name) = (self.incarnation(courier), self.name(courier));
        let what = format!("{text:?} in the log of {name}, incarnation {incarnation}");
        self.wait_until(&what, WAIT_TIMEOUT, |record| {
            Some(record.log_lines_with(courier, incarnation, text).next()?.text.clone())
        })
        .await
    }

    /// Waits until the latest incarnation of a courier serves.
    ///
    /// # Errors
    /// It ended, or did not serve in time.
    pub async fn wait_until_serving(&self, courier: usize) -> Result<(), FleetError> {
        let (incarnation, name) = (self.incarnation(courier), self.name(courier));
        let what = format!("{name}, incarnation {incarnation}, serves");
        let outcome = |record: &RunRecord| start_outcome(record, courier, incarnation);
        match self.wait_until(&what, WAIT_TIMEOUT, outcome).await? {
            StartOutcome::Serving => Ok(()),
            StartOutcome::Ended(last_line) => {
                Err(FleetError::EndedBeforeServing { courier: name.into(), incarnation, last_line })
            }
        }
    }

    /// Waits until the latest incarnation of each courier serves.
    pub(super) async fn wait_until_all_serve(&self) -> Result<(), FleetError> {
        for courier in 0..self.couriers() {
            self.wait_until_serving(courier).await?;
        }
        Ok(())
    }

    /// Merges changes into a courier's configuration file; a restart or SIGHUP reads it.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn configure(&mut self, courier: usize, change: &Value) -> Result<(), FleetError> {
        self.members[courier].configure(change)
    }

    /// Merges changes into a courier's operator file; a restart or SIGHUP reads it.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn configure_operator(&mut self, courier: usize, change: &Value) -> Result<(), FleetError> {
        self.members[courier].configure_operator(change)
    }

    /// Sets the program that a courier runs from its next start on.
    pub fn set_program(&mut self, courier: usize, program: &Path) {
        self.members[courier].program = program.into();
    }
}

/// How the start of an incarnation ended; `None`: not yet.
fn start_outcome(record: &RunRecord, courier: usize, incarnation: u32) -> Option<StartOutcome> {
    if record.log_lines_with(courier, incarnation, SERVING).next().is_some() {
        return Some(StartOutcome::Serving);
    }
    if record.ended[courier] < incarnation {
        return None;
    }
    let last = record.lines.iter().rfind(|line| line.courier == courier);
    Some(StartOutcome::Ended(last.map(|line| line.text.clone()).unwrap_or_default()))
}
