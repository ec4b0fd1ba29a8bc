//! A courier's process, with its log on record.

use crate::record::{LogLine, Recorder};
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use std::io::{BufRead, BufReader, Error, Result};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Lines that wait to be recorded; a courier that says more waits.
const LINES_MAX: usize = 4_096;

/// Dropped, it is killed.
pub struct Process {
    child: Child,
    pub paused: bool,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Where it has ended already there is nothing to kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts `program` in a folder with `config.json`, `operator.json` and `state`, and records its log.
    ///
    /// # Errors
    /// It can't be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        levels: &str,
        courier: usize,
        incarnation: u32,
        recorder: &Recorder,
    ) -> Result<Process> {
        let mut command = Command::new(program);
        command.arg("run").arg("--operator").arg(folder.join("operator.json"));
        if levels.is_empty() {
            command.env_remove("RUST_LOG");
        } else {
            command.env("RUST_LOG", levels);
        }
        for name in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_OPERATOR", "GW_INHERITED_FD"] {
            command.env_remove(name);
        }
        command.env("GW_CONFIG", folder.join("config.json")).env("GW_STATE", folder.join("state"));
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or_else(|| Error::other("the courier has no log"))?;
        let (to, mut from) = mpsc::channel(LINES_MAX);
        std::thread::spawn(move || {
            let lines = BufReader::new(log).lines().map_while(Result::ok);
            // Nobody listens any more: it is killed, and the rest of its log let go.
            let _ = lines.map(|line| to.blocking_send(line)).all(|sent| sent.is_ok());
        });
        let recorder = recorder.clone();
        spawn_local(async move {
            while let Some(text) = from.recv().await {
                recorder
                    .write(|record, when| record.lines.push(LogLine { when, courier, incarnation, text }));
            }
            recorder.write(|record, _| record.ended[courier] = incarnation);
        });
        Ok(Process { child, paused: false })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// # Errors
    /// It is gone.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill_process(Pid::from_child(&self.child), signal).map_err(Error::from)
    }

    /// SIGSTOP; returns when it has stopped, or has ended before.
    ///
    /// # Errors
    /// It is gone.
    pub fn suspend(&mut self) -> Result<()> {
        self.signal(Signal::STOP)?;
        let what = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
        waitid(WaitId::Pid(Pid::from_child(&self.child)), what)?;
        self.paused = true;
        Ok(())
    }

    /// SIGCONT.
    ///
    /// # Errors
    /// It is gone.
    pub fn resume(&mut self) -> Result<()> {
        self.paused = false;
        self.signal(Signal::CONT)
    }

    /// SIGKILL; returns when it is gone.
    ///
    /// # Errors
    /// The system does not tell of its end.
    pub fn kill(&mut self) -> Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Its end, where its log has ended already.
    ///
    /// # Errors
    /// The system does not tell of it.
    pub fn wait(&mut self) -> Result<ExitStatus> {
        self.child.wait()
    }
}
