//! Starts the process of a courier, and reads its log.

use super::error::CourierError;
use super::setup::Setup;
use crate::config;
use crate::process::KillOnDrop;
use std::io::{BufRead, BufReader, ErrorKind, Lines, Result as IoResult};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{ChildStderr, Command, Stdio};
use std::sync::mpsc::{Receiver, sync_channel};

/// Log lines that wait for the test; while there are as many, further ones are dropped.
const LINES_MAX: usize = 4_096;
/// What precedes the address for clients in the log line of a courier that serves.
const SERVING: &str = "serving on ";
/// What precedes the address for operators in the log.
const LISTENING_FOR_OPERATORS: &str = "operators: listening on ";

/// A process that has been started, with its log from the start.
pub(super) struct Started {
    pub process: KillOnDrop,
    log: Lines<BufReader<ChildStderr>>,
}

/// A process that serves.
pub(super) struct Serving {
    pub process: KillOnDrop,
    /// The address for clients.
    pub addr: SocketAddr,
    /// The address for operators, if there is one.
    pub operators: Option<SocketAddr>,
    /// The lines of its log from here on.
    pub log: Receiver<String>,
}

/// Starts a process with the files of the folder, and does not wait.
pub(super) fn start(setup: &Setup, folder: &Path) -> Result<Started, CourierError> {
    let spawn_error = |source| CourierError::Spawn { program: setup.program.clone(), source };
    let mut child = command(setup, folder).spawn().map_err(spawn_error)?;
    let log = child.stderr.take();
    let process = KillOnDrop::new(child);
    let log = log.ok_or(CourierError::Log { source: ErrorKind::BrokenPipe.into() })?;
    Ok(Started { process, log: BufReader::new(log).lines() })
}

impl Started {
    /// The process and the lines of its log, which are read whether or not the test receives them.
    pub fn forward_log(self) -> (KillOnDrop, Receiver<String>) {
        (self.process, forward(self.log))
    }

    /// Blocks until the process serves.
    ///
    /// # Errors
    /// It ended before.
    pub fn wait_until_serving(mut self) -> Result<Serving, CourierError> {
        let (mut last_line, mut operators) = (String::new(), None);
        while let Some(line) = self.log.next() {
            last_line = line.map_err(|source| CourierError::Log { source })?;
            if let Some((_, addr)) = last_line.split_once(LISTENING_FOR_OPERATORS) {
                operators = addr.parse().ok();
            }
            let Some((_, rest)) = last_line.split_once(SERVING) else { continue };
            let addr = rest.split(';').next().and_then(|addr| addr.parse().ok());
            let addr = addr.ok_or_else(|| CourierError::NoAddress { line: last_line.clone() })?;
            let (process, log) = self.forward_log();
            return Ok(Serving { process, addr, operators, log });
        }
        Err(CourierError::EndedBeforeServing { last_line })
    }
}

/// Reads a log in a thread of its own: unread, it would fill the pipe and block the courier.
fn forward(lines: impl Iterator<Item = IoResult<String>> + Send + 'static) -> Receiver<String> {
    let (to, from) = sync_channel(LINES_MAX);
    std::thread::spawn(move || {
        lines.map_while(IoResult::ok).for_each(|line| drop(to.try_send(line)));
    });
    from
}

fn command(setup: &Setup, folder: &Path) -> Command {
    let mut command = match setup.descriptors {
        None => Command::new(&setup.program),
        Some(most) => {
            let mut shell = Command::new("sh");
            shell.args(["-c", &format!("ulimit -n {most} && exec \"$0\" \"$@\"")]).arg(&setup.program);
            shell
        }
    };
    config::use_folder(&mut command, folder, setup.operator.is_some(), &setup.levels);
    command.stderr(Stdio::piped());
    command
}
