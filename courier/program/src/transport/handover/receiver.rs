//! The new process: it acquires the folder, from the process that has it if there is one.

use super::{AcquiredFolder, LOG_TARGET, Lock, ReceivedState};
use crate::transport::channel::{self, Channel, ChannelError};
use crate::transport::clock::Clock;
use crate::transport::frames::Frame;
use crate::transport::handle::{HandoverPart, ReleasedPart};
use actix_rt::time::{sleep, timeout};
use quillmount_core::machine::handover::{HandoverReceiver, ReceiverInput, ReceiverOutput};
use rustix::process::{Pid, Signal, kill_process};
use std::io;
use std::os::fd::OwnedFd;
use std::path::Path;
use tokio::net::UnixStream;

/// Acquires the folder: at once where it is free, else from the process that has its lock. `None`: shutdown was requested
/// before this process had anything, so that the other goes on as before. Once all parts have come, a shutdown waits for
/// the other process's answer.
///
/// # Errors
/// The lock's file can't be opened or locked.
pub async fn take(
    folder: &Path,
    clock: &Clock,
    shutdown_requested: impl Future<Output = ()>,
) -> io::Result<Option<AcquiredFolder>> {
    let mut shutdown_requested = std::pin::pin!(shutdown_requested);
    let mut receiver = Receiver::new(folder, clock);
    let mut output = ReceiverOutput::Lock;
    loop {
        let input = match output {
            ReceiverOutput::Lock => match receiver.lock()? {
                None => ReceiverInput::LockTaken,
                acquired => return Ok(acquired),
            },
            ReceiverOutput::Request => match receiver.reach_owner().await {
                None => ReceiverInput::Busy,
                Some(stream) => tokio::select! {
                    biased;
                    () = &mut shutdown_requested => return Ok(None),
                    input = receiver.request(stream) => input,
                },
            },
            ReceiverOutput::Confirm => receiver.confirm().await,
            ReceiverOutput::KillOwner => {
                receiver.kill_owner();
                ReceiverInput::Tick
            }
            _ => {
                let wake_at = receiver.machine.wake_at().unwrap_or_default();
                tokio::select! {
                    biased;
                    () = &mut shutdown_requested => return Ok(None),
                    () = sleep(clock.until(wake_at)) => ReceiverInput::Tick,
                }
            }
        };
        output = receiver.step(input);
    }
}

/// The clients' listening socket among the parts that came.
pub fn listener(parts: &mut Vec<ReleasedPart<OwnedFd>>) -> Option<std::net::TcpListener> {
    let position = parts.iter().position(|released| matches!(released.part, HandoverPart::Listener))?;
    let listener = std::net::TcpListener::from(parts.swap_remove(position).socket?);
    listener.set_nonblocking(true).ok()?;
    Some(listener)
}

/// The receiver's machine, and what it has so far.
struct Receiver<'a> {
    folder: &'a Path,
    clock: &'a Clock,
    machine: HandoverReceiver,
    channel: Option<Channel>,
    received: Option<ReceivedState>,
    /// The process that has the folder's lock, as far as it is known.
    owner: Option<i32>,
    /// The lock that the owner has handed over.
    passed_lock: Option<Lock>,
    unreachable_logged: bool,
}

impl<'a> Receiver<'a> {
    fn new(folder: &'a Path, clock: &'a Clock) -> Self {
        Receiver {
            folder,
            clock,
            machine: HandoverReceiver::new(clock.now()),
            channel: None,
            received: None,
            owner: None,
            passed_lock: None,
            unreachable_logged: false,
        }
    }

    fn step(&mut self, input: ReceiverInput) -> ReceiverOutput {
        if input == ReceiverInput::Lost {
            self.channel = None;
            self.received = None;
        }
        self.machine.step(input, self.clock.now())
    }

    /// Locks the folder, unless another process has the lock; with what was handed over, if the machine accepts it.
    fn lock(&mut self) -> io::Result<Option<AcquiredFolder>> {
        // A lock that was handed over is never free: a third process could take it, and all that came would be lost.
        let lock = match self.passed_lock.take() {
            Some(lock) => lock,
            None => match Lock::try_acquire(self.folder)? {
                Some(lock) => lock,
                None => return Ok(None),
            },
        };
        let received = match self.machine.step(ReceiverInput::Locked, self.clock.now()) {
            ReceiverOutput::Resume => self.received.take(),
            _ => None,
        };
        Ok(Some(AcquiredFolder { lock, received }))
    }

    /// Connects to the process that has the lock; `None` if it does not listen: it is starting or stopping.
    async fn reach_owner(&mut self) -> Option<UnixStream> {
        self.received = None;
        match channel::reach(self.folder).await {
            Ok(stream) => {
                self.owner = Channel::peer(&stream);
                let pid = self.owner.unwrap_or_default();
                tracing::info!(target: LOG_TARGET, "upgrade: asking process {pid}");
                Some(stream)
            }
            Err(e) => {
                if matches!(e.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::NotFound) {
                    // The process that listened before has gone, and its number may be another's by now.
                    self.owner = None;
                }
                None
            }
        }
    }

    /// Requests the handover, and reads all that comes.
    async fn request(&mut self, stream: UnixStream) -> ReceiverInput {
        match self.receive(stream).await {
            Ok((received, channel)) => {
                self.received = Some(received);
                self.channel = Some(channel);
                ReceiverInput::Complete
            }
            Err(input) => input,
        }
    }

    async fn receive(&mut self, stream: UnixStream) -> Result<(ReceivedState, Channel), ReceiverInput> {
        let mut channel = self.in_time(Channel::open(stream)).await?;
        self.in_time(channel.send(&Frame::Request, None)).await?;
        let Frame::State { state, drained, parts: count, ahead } = self.in_time(channel.recv()).await? else {
            return Err(ReceiverInput::Busy);
        };
        let mut parts = Vec::new();
        for _ in 0..count {
            self.machine.step(ReceiverInput::Part, self.clock.now());
            let (part, has_fd): (HandoverPart, bool) = self.in_time(channel.recv()).await?;
            let socket = if has_fd { Some(channel.fd().ok_or(ReceiverInput::Lost)?) } else { None };
            parts.push(ReleasedPart { part, socket });
        }
        Ok((ReceivedState { state: *state, drained, ahead, parts }, channel))
    }

    /// Confirms that all has come, and waits until the other process lets go.
    async fn confirm(&mut self) -> ReceiverInput {
        let Some(mut channel) = self.channel.take() else { return ReceiverInput::Lost };
        let reply = self.in_time(async {
            channel.send(&Frame::Confirmed, None).await?;
            channel.recv().await
        });
        let input = match reply.await {
            Ok(Frame::Released) => ReceiverInput::Released,
            Ok(_) => ReceiverInput::Lost,
            Err(input) => input,
        };
        self.passed_lock = channel.fd().map(Lock::from);
        self.channel = Some(channel);
        input
    }

    /// Waits as long as the machine does.
    async fn in_time<T>(
        &self,
        reply: impl Future<Output = Result<T, ChannelError>>,
    ) -> Result<T, ReceiverInput> {
        let left = self.clock.until(self.machine.wake_at().unwrap_or_default());
        match timeout(left, reply).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => {
                tracing::warn!(
                    target: LOG_TARGET,
                    %error,
                    "upgrade: receiving from the process that has the folder failed"
                );
                Err(ReceiverInput::Lost)
            }
            Err(_) => Err(ReceiverInput::Tick),
        }
    }

    /// Kills the process that has the folder and does not hand over.
    fn kill_owner(&mut self) {
        match self.owner.and_then(Pid::from_raw) {
            Some(pid) => {
                tracing::warn!(
                    target: LOG_TARGET,
                    pid = pid.as_raw_nonzero().get(),
                    "upgrade: the process that has the folder does not hand over: it is killed"
                );
                // Where it is gone already, so is its lock.
                let _ = kill_process(pid, Signal::KILL);
            }
            None if !std::mem::replace(&mut self.unreachable_logged, true) => {
                tracing::error!(
                    target: LOG_TARGET,
                    folder = %self.folder.display(),
                    "upgrade: another process has the folder and does not listen"
                );
            }
            None => {}
        }
    }
}
