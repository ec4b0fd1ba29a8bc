//! An upgrade on sockets: what moves from one process to the next, and the two sides' drivers.
//!
//! `courier/core/src/machine/handover.rs` decides; `docs/operators-design.md` says why all sockets move.

use super::channel::{self, Channel};
use super::clock::Clock;
use super::courier::Courier;
use super::frames::{Frame, PASS_ON};
use super::handle::{HandoverPart, Parts};
use super::operators::OperatorService;
use super::server::{self, Connections};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{sleep, timeout};
use quillmount_core::hub;
use quillmount_core::machine::handover::{
    HandoverReceiver, ReceiverInput, ReceiverOutput, SenderInput, SenderOutput,
};
use quillmount_core::machine::lifecycle;
use std::cell::{Cell, RefCell};
use std::fs::{File, Permissions, TryLockError};
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Notify;

/// Connections of other processes at once: one takes over, and one passes operators' calls on; more are turned away.
const PEERS: usize = 4;
/// Between two looks whether the tasks have given their parts up.
const LOOK: Duration = Duration::from_millis(1);

/// The folder's lock; it ends with the last process that has this file open, and goes to the next one with it.
#[derive(Debug)]
pub struct Lock {
    file: File,
}

impl Lock {
    /// `None`: another process holds it.
    fn take(folder: &Path) -> io::Result<Option<Lock>> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("lock");
        let file = File::options().create(true).append(true).open(&path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Lock { file })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}

/// All that another process handed over.
pub struct ReceivedState {
    pub state: hub::HubState,
    pub drained: bool,
    /// How far the other process's clock ran ahead of the system's.
    pub ahead: i64,
    pub parts: Parts<OwnedFd>,
}

/// Takes the folder: at once where nobody holds it, else from its holder. `None`: told to end before it held anything, so
/// that the holder goes on as if nobody had asked. From the word that all has come it waits for the holder's.
///
/// # Errors
/// The lock's file can't be had.
pub async fn take(
    folder: &Path,
    clock: &Clock,
    shutdown_requested: impl Future<Output = ()>,
) -> io::Result<Option<(Lock, Option<ReceivedState>)>> {
    let mut shutdown_requested = std::pin::pin!(shutdown_requested);
    let mut machine = HandoverReceiver::new(clock.now());
    let (mut channel, mut handed, mut lock_owner, mut passed) = (None, None, None, None);
    let (mut todo, mut warned) = (ReceiverOutput::Lock, false);
    loop {
        let input = match todo {
            // Free for a moment, a third process could take it, and all that was handed over would be lost.
            ReceiverOutput::Lock => {
                match passed.take().map_or_else(|| Lock::take(folder), |lock| Ok(Some(lock)))? {
                    None => ReceiverInput::LockTaken,
                    Some(lock) => match machine.step(ReceiverInput::Locked, clock.now()) {
                        ReceiverOutput::Resume => return Ok(Some((lock, handed))),
                        _ => return Ok(Some((lock, None))),
                    },
                }
            }
            ReceiverOutput::Request => {
                handed = None;
                // A holder that starts does not listen yet, and one that stops does not any more.
                match channel::reach(folder).await {
                    Err(e) => {
                        if matches!(e.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::NotFound) {
                            // Whoever listened before has gone, and its number may be another's by now.
                            lock_owner = None;
                        }
                        ReceiverInput::Busy
                    }
                    Ok(stream) => {
                        lock_owner = Channel::peer(&stream);
                        tracing::info!("upgrade: asking process {}", lock_owner.unwrap_or_default());
                        let asked = tokio::select! {
                            biased;
                            () = &mut shutdown_requested => return Ok(None),
                            asked = receive(stream, &mut machine, clock) => asked,
                        };
                        asked.map_or_else(
                            |input| input,
                            |(received, from)| {
                                (handed, channel) = (Some(received), Some(from));
                                ReceiverInput::Complete
                            },
                        )
                    }
                }
            }
            ReceiverOutput::Confirm => match &mut channel {
                Some(from) => {
                    let reply = confirm(from, &machine, clock).await;
                    passed = from.fd().map(|fd| Lock { file: fd.into() });
                    reply
                }
                None => ReceiverInput::Lost,
            },
            ReceiverOutput::KillOwner => {
                match lock_owner.and_then(rustix::process::Pid::from_raw) {
                    Some(pid) => {
                        tracing::warn!("upgrade: process {pid:?} does not hand over: it is ended");
                        // Where it is gone already, so is its lock.
                        let _ = rustix::process::kill_process(pid, rustix::process::Signal::KILL);
                    }
                    None if !std::mem::replace(&mut warned, true) => {
                        tracing::error!(
                            "upgrade: another process holds {} and does not listen",
                            folder.display()
                        );
                    }
                    None => {}
                }
                ReceiverInput::Tick
            }
            _ => {
                tokio::select! {
                    biased;
                    () = &mut shutdown_requested => return Ok(None),
                    () = sleep(clock.until(machine.wake_at().unwrap_or_default())) => ReceiverInput::Tick,
                }
            }
        };
        if input == ReceiverInput::Lost {
            (channel, handed) = (None, None);
        }
        todo = machine.step(input, clock.now());
    }
}

async fn in_time<T>(
    machine: &HandoverReceiver,
    clock: &Clock,
    what: impl Future<Output = io::Result<T>>,
) -> Result<T, ReceiverInput> {
    match timeout(clock.until(machine.wake_at().unwrap_or_default()), what).await {
        Ok(Ok(received)) => Ok(received),
        Ok(Err(e)) => {
            tracing::warn!("upgrade: the holder's word: {e}");
            Err(ReceiverInput::Lost)
        }
        Err(_) => Err(ReceiverInput::Tick),
    }
}

/// Asks, and reads all that comes.
async fn receive(
    stream: UnixStream,
    machine: &mut HandoverReceiver,
    clock: &Clock,
) -> Result<(ReceivedState, Channel), ReceiverInput> {
    let mut channel = in_time(machine, clock, Channel::open(stream)).await?;
    in_time(machine, clock, channel.send(&Frame::Request, None)).await?;
    let Frame::State { state, drained, parts: count, ahead } =
        in_time(machine, clock, channel.recv()).await?
    else {
        return Err(ReceiverInput::Busy);
    };
    let mut parts = Vec::new();
    for _ in 0..count {
        machine.step(ReceiverInput::Part, clock.now());
        let (part, held): (HandoverPart, bool) = in_time(machine, clock, channel.recv()).await?;
        let fd = if held { Some(channel.fd().ok_or(ReceiverInput::Lost)?) } else { None };
        parts.push((part, fd));
    }
    Ok((ReceivedState { state: *state, drained, ahead, parts }, channel))
}

async fn confirm(channel: &mut Channel, machine: &HandoverReceiver, clock: &Clock) -> ReceiverInput {
    let reply = async {
        channel.send(&Frame::Got, None).await?;
        channel.recv().await
    };
    match in_time(machine, clock, reply).await {
        Ok(Frame::LetGo) => ReceiverInput::Released,
        Ok(_) => ReceiverInput::Lost,
        Err(input) => input,
    }
}

/// The clients' listening socket among what came.
pub fn listener(parts: &mut Parts<OwnedFd>) -> Option<std::net::TcpListener> {
    let place = parts.iter().position(|(part, _)| matches!(part, HandoverPart::Listener))?;
    let listener = std::net::TcpListener::from(parts.swap_remove(place).1?);
    listener.set_nonblocking(true).ok()?;
    Some(listener)
}

/// A process's tasks, the server first.
pub type Tasks = Vec<tokio::task::JoinHandle<()>>;

/// What the deciding process needs to hand over, and to take back.
pub struct ActiveProcess {
    pub courier: Rc<Courier>,
    pub connections: Rc<Connections>,
    pub service: Rc<OperatorService>,
    pub folder: PathBuf,
    /// Of the settings it decides under.
    pub settings_fingerprint: u32,
    /// The clients' listening socket.
    pub listener: RefCell<Option<Rc<TcpListener>>>,
    pub lock: Cell<Option<Lock>>,
    /// Begins its tasks: the server, the clock, the watch and the notices.
    pub begin: Box<dyn Fn(Option<Rc<TcpListener>>) -> Tasks>,
    pub tasks: RefCell<Tasks>,
    pub gone: Notify,
}

impl ActiveProcess {
    /// Puts a part to work.
    fn put(&self, part: HandoverPart, stream: Option<TcpStream>) {
        match (part, stream) {
            (HandoverPart::Client { state, bytes }, Some(stream)) => {
                self.connections.admit(&self.courier, stream, Some((state, bytes[..].into())));
            }
            (HandoverPart::IdleConnection { endpoint, addr, since }, Some(stream)) => {
                self.courier.add_idle(endpoint, addr, since, stream);
            }
            (HandoverPart::Call(part), stream) => self.courier.resume_call(*part, stream),
            // The listener has its place already; what came without its socket is gone.
            _ => {}
        }
    }

    /// Goes on with what another process handed over.
    pub fn adopt(&self, parts: Parts<OwnedFd>) {
        for (part, fd) in parts {
            let stream = match (&part, fd) {
                (HandoverPart::Listener, _) => continue,
                (_, fd) => fd.and_then(|fd| channel::adopt(fd).ok()),
            };
            self.put(part, stream);
        }
        self.courier.calls_lost();
    }

    /// Begins to serve.
    pub fn begin(&self) {
        let listener = self.listener.borrow().clone();
        *self.tasks.borrow_mut() = (self.begin)(listener);
    }

    /// A planned stop: accepts no more, and closes the listener once whoever waits in it is let in.
    pub async fn close_listener(&self) {
        let server = {
            let mut tasks = self.tasks.borrow_mut();
            (!tasks.is_empty()).then(|| tasks.remove(0))
        };
        self.connections.stop_accepting();
        if let Some(server) = server {
            // It ends with who it has accepted last.
            let _ = server.await;
        }
        let listener = self.listener.take().and_then(Rc::into_inner);
        if let Some(listener) = listener {
            server::close_listener(listener, &self.courier, &self.connections).await;
        }
    }

    /// Listens for the next process until this one has handed over.
    ///
    /// # Errors
    /// The socket can't be had.
    pub fn listen(self: &Rc<Self>) -> io::Result<()> {
        let (path, _folder) = channel::path(&self.folder)?;
        // Of a process that is gone: the lock is ours.
        match std::fs::remove_file(&path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(&path)?;
        std::fs::set_permissions(&path, Permissions::from_mode(0o600))?;
        let active = self.clone();
        actix_rt::spawn(async move {
            let peers = Rc::new(Cell::new(0));
            loop {
                tokio::select! {
                    biased;
                    () = active.gone.notified() => break,
                    Ok((stream, _)) = listener.accept() => {
                        if peers.get() < PEERS {
                            peers.set(peers.get() + 1);
                            let (active, peers) = (active.clone(), peers.clone());
                            actix_rt::spawn(async move {
                                if let Err(e) = active.attend(stream).await {
                                    tracing::debug!("upgrade: another process: {e}");
                                }
                                peers.set(peers.get() - 1);
                            });
                        }
                    }
                }
            }
            active.gone.notify_one();
        });
        Ok(())
    }

    async fn attend(&self, stream: UnixStream) -> io::Result<()> {
        let opened = timeout(PASS_ON, async {
            let mut channel = Channel::open(stream).await?;
            let frame = channel.recv().await?;
            Ok::<_, io::Error>((channel, frame))
        });
        let (mut channel, frame) = opened.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        match frame {
            Frame::Call(call) => channel.send(&Frame::Said(self.service.answer(call).await), None).await,
            Frame::Request => match self.step(SenderInput::Requested) {
                SenderOutput::Collect => self.send_all(&mut channel).await,
                _ => channel.send(&Frame::Busy, None).await,
            },
            _ => Ok(()),
        }
    }

    fn step(&self, input: SenderInput) -> SenderOutput {
        match self.courier.handle.step_lifecycle(lifecycle::LifecycleInput::Handover(input)) {
            lifecycle::LifecycleOutput::Handover(output) => output,
            _ => SenderOutput::Nothing,
        }
    }

    /// Hands all over, or takes all back.
    async fn send_all(&self, channel: &mut Channel) -> io::Result<()> {
        let clock = &self.courier.clock;
        let begun = clock.now();
        tracing::info!("upgrade: another process asks; {}", self.courier.report());
        self.courier.release();
        self.connections.release();
        let server_runs = || self.tasks.borrow().first().is_some_and(|server| !server.is_finished());
        while self.courier.handover_pending() + self.connections.handover_pending() > 0 || server_runs() {
            sleep(LOOK).await;
            if self.step(SenderInput::Tick) == SenderOutput::TakeBack {
                tracing::warn!(
                    "upgrade: {} calls and {} connections did not give way",
                    self.courier.handover_pending(),
                    self.connections.handover_pending()
                );
                self.take_back(Vec::new());
                return Ok(());
            }
        }
        let frozen = clock.now();
        self.step(SenderInput::Collected);
        let (state, parts) = self.courier.frozen(self.settings_fingerprint);
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        let until = self.courier.handle.lifecycle().handover_deadline().unwrap_or_default();
        let sent = timeout(clock.until(until), self.send(channel, state, &parts)).await;
        let reply = match sent {
            Ok(Ok(())) => SenderInput::Received,
            Ok(Err(e)) => {
                tracing::warn!("upgrade: the other process: {e}");
                SenderInput::Lost
            }
            Err(_) => SenderInput::Tick,
        };
        match self.step(reply) {
            SenderOutput::Release => {
                let count = parts.len();
                drop(parts);
                let lock = self.lock.take();
                tracing::info!(
                    "upgrade: handed over {count} parts in {} us, of which {} us without a decision",
                    clock.now() - begun,
                    clock.now() - frozen
                );
                // The lock goes with the word: from here on it is the other's, or nobody's where that one is gone.
                let sent_release =
                    channel.send(&Frame::LetGo, lock.as_ref().map(|lock| lock.file.as_fd())).await;
                drop(lock);
                self.gone.notify_one();
                sent_release
            }
            _ => {
                self.take_back(parts);
                Ok(())
            }
        }
    }

    async fn send(
        &self,
        channel: &mut Channel,
        state: hub::HubState,
        parts: &[(HandoverPart, Option<TcpStream>)],
    ) -> io::Result<()> {
        let drained = self.courier.handle.lifecycle().is_drained();
        let ahead = self.courier.clock.ahead();
        let first = Frame::State { state: Box::new(state), drained, parts: parts.len() + 1, ahead };
        channel.send(&first, None).await?;
        drop(first);
        let listener = self.listener.borrow().clone();
        let fd = listener.as_ref().map(AsFd::as_fd);
        channel.send(&(HandoverPart::Listener, fd.is_some()), fd).await?;
        for (part, stream) in parts {
            let fd = stream.as_ref().map(AsFd::as_fd);
            channel.send(&(part, fd.is_some()), fd).await?;
        }
        match channel.recv().await? {
            Frame::Got => Ok(()),
            _ => Err(io::Error::other("not confirmed")),
        }
    }

    /// Goes on as if nothing had been asked.
    fn take_back(&self, parts: Parts<TcpStream>) {
        tracing::warn!("upgrade: not handed over; this process goes on");
        for (part, stream) in parts.into_iter().chain(self.courier.handle.take_parts()) {
            self.put(part, stream);
        }
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        self.begin();
    }
}
