//! The process of a courier, whose log is recorded.

use crate::config;
use crate::process::KillOnDrop;
use crate::record::{LogLine, Recorder};
use rustix::process::Signal;
use std::io::{BufRead, BufReader, ErrorKind, Result};
use std::path::Path;
use std::process::{Command, ExitStatus, Stdio};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Log lines that wait to be recorded; while there are as many, the courier's pipe is not read.
const LINES_MAX: usize = 4_096;

/// What a process is started with.
pub(super) struct ProcessSetup<'a> {
    pub program: &'a Path,
    /// The folder with the courier's files.
    pub folder: &'a Path,
    /// The value of `RUST_LOG`; empty: it is not set.
    pub levels: &'a str,
    /// The number of the courier.
    pub courier: usize,
    /// The incarnation of its process, from 1.
    pub incarnation: u32,
}

/// The process of a courier; dropped, it is killed.
pub(super) struct Process {
    child: KillOnDrop,
    /// Whether it is stopped by [`Process::suspend`].
    pub paused: bool,
}

impl Process {
    /// Starts a process, and records its log and the end of it.
    ///
    /// # Errors
    /// The system does not start it.
    pub fn start(setup: &ProcessSetup, recorder: &Recorder) -> Result<Process> {
        let mut command = Command::new(setup.program);
        config::use_folder(&mut command, setup.folder, true, setup.levels);
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take();
        let process = Process { child: KillOnDrop::new(child), paused: false };
        let log = log.ok_or(ErrorKind::BrokenPipe)?;
        let (to, from) = mpsc::channel(LINES_MAX);
        std::thread::spawn(move || {
            let lines = BufReader::new(log).lines().map_while(Result::ok);
            // Without a receiver the process has been killed, and the rest of its log is not needed.
            let _ = lines.map(|line| to.blocking_send(line)).all(|sent| sent.is_ok());
        });
        spawn_local(record_log(from, setup.courier, setup.incarnation, recorder.clone()));
        Ok(process)
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        self.child.signal(signal)
    }

    /// Sends SIGSTOP, and returns when the process has stopped.
    ///
    /// # Errors
    /// The process has ended.
    pub fn suspend(&mut self) -> Result<()> {
        self.child.suspend()?;
        self.paused = true;
        Ok(())
    }

    /// Sends SIGCONT.
    ///
    /// # Errors
    /// The process has ended.
    pub fn resume(&mut self) -> Result<()> {
        self.paused = false;
        self.signal(Signal::CONT)
    }

    /// Sends SIGKILL, and returns when the process has ended.
    ///
    /// # Errors
    /// The system does not report its end.
    pub fn kill(&mut self) -> Result<ExitStatus> {
        self.child.kill()
    }

    /// Waits for its end; does not block for long if its log has ended already.
    ///
    /// # Errors
    /// The system does not report it.
    pub fn wait(&mut self) -> Result<ExitStatus> {
        self.child.wait()
    }
}

/// Records the lines of a log, and then its end.
async fn record_log(mut lines: mpsc::Receiver<String>, courier: usize, incarnation: u32, recorder: Recorder) {
    while let Some(text) = lines.recv().await {
        recorder.write(|record, when| record.lines.push(LogLine { when, courier, incarnation, text }));
    }
    recorder.write(|record, _| record.ended[courier] = incarnation);
}
