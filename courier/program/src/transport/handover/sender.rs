//! The old process: it decides until another one requests the handover, and goes on if that fails.

use super::{LOG_TARGET, Lock};
use crate::transport::channel::{self, Channel, ChannelError};
use crate::transport::courier::Courier;
use crate::transport::frames::{Frame, PASS_ON_TIMEOUT};
use crate::transport::handle::{HandoverPart, ReleasedPart};
use crate::transport::operators::OperatorService;
use crate::transport::server::{self, Connections, ResumedClient, start_client};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{sleep, timeout};
use quillmount_core::hub;
use quillmount_core::machine::handover::{SenderInput, SenderOutput};
use quillmount_core::machine::lifecycle;
use std::cell::{Cell, RefCell};
use std::fs::Permissions;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Connections of other processes at once: one takes over, and one passes operators' calls on; more are closed.
const PEERS_MAX: usize = 4;
/// The interval at which is checked whether the tasks have released their parts.
const COLLECT_INTERVAL: Duration = Duration::from_millis(1);

/// A process's tasks, the server first.
pub type Tasks = Vec<JoinHandle<()>>;

/// The process that decides, with what it needs to hand over and to take back.
pub struct ActiveProcess {
    /// The courier that decides.
    pub courier: Rc<Courier>,
    /// The clients' connections.
    pub connections: Rc<Connections>,
    /// Where operators' calls are carried out.
    pub service: Rc<OperatorService>,
    /// The folder whose lock this process has.
    pub folder: PathBuf,
    /// The fingerprint of the settings that it decides under.
    pub settings_fingerprint: u32,
    /// The clients' listening socket, until it is closed.
    pub listener: RefCell<Option<Rc<TcpListener>>>,
    /// The folder's lock, until it is handed over.
    pub lock: Cell<Option<Lock>>,
    /// Begins the tasks: the server, the clock, the watch and the notices.
    pub begin: Box<dyn Fn(Option<Rc<TcpListener>>) -> Tasks>,
    /// The tasks that run.
    pub tasks: RefCell<Tasks>,
    /// All is handed over: the process may end.
    pub gone: Notify,
}

/// One connection of another process; it counts until it is dropped.
struct PeerSlot(Rc<Cell<usize>>);

impl PeerSlot {
    /// `None`: there are [`PEERS_MAX`] already.
    fn acquire(peers: &Rc<Cell<usize>>) -> Option<PeerSlot> {
        if peers.get() >= PEERS_MAX {
            return None;
        }
        peers.set(peers.get() + 1);
        Some(PeerSlot(peers.clone()))
    }
}

impl Drop for PeerSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ActiveProcess {
    /// Resumes a part in this process.
    fn resume(&self, released: ReleasedPart<TcpStream>) {
        match (released.part, released.socket) {
            (HandoverPart::Client { state, bytes }, Some(stream)) => {
                let resumed = ResumedClient { state, bytes: bytes[..].into() };
                start_client(&self.connections, &self.courier, stream, Some(resumed));
            }
            (HandoverPart::IdleConnection { endpoint, addr, since }, Some(stream)) => {
                self.courier.add_idle(endpoint, addr, since, stream);
            }
            (HandoverPart::Call(part), stream) => self.courier.resume_call(*part, stream),
            // The listener is in use already; a connection that came without its socket is gone.
            _ => {}
        }
    }

    /// Resumes the parts that another process handed over; calls that are missing among them have failed.
    pub fn adopt(&self, parts: Vec<ReleasedPart<OwnedFd>>) {
        for ReleasedPart { part, socket } in parts {
            if !matches!(part, HandoverPart::Listener) {
                let socket = socket.and_then(|fd| channel::adopt(fd).ok());
                self.resume(ReleasedPart { part, socket });
            }
        }
        self.courier.calls_lost();
    }

    /// Begins the tasks that serve.
    pub fn begin(&self) {
        let listener = self.listener.borrow().clone();
        *self.tasks.borrow_mut() = (self.begin)(listener);
    }

    /// A planned stop: accepts no more, and closes the listener once the connections that it has queued are accepted.
    pub async fn close_listener(&self) {
        let server = {
            let mut tasks = self.tasks.borrow_mut();
            (!tasks.is_empty()).then(|| tasks.remove(0))
        };
        self.connections.stop_accepting();
        if let Some(server) = server {
            // It ends once the connection that it accepted last is served.
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
    /// The Unix socket can't be bound.
    pub fn listen(self: &Rc<Self>) -> io::Result<()> {
        let (path, _folder) = channel::path(&self.folder)?;
        // A socket that is left there is of a process that has ended: this one has the lock.
        match std::fs::remove_file(&path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(&path)?;
        std::fs::set_permissions(&path, Permissions::from_mode(0o600))?;
        // Detached: it ends by `gone`.
        actix_rt::spawn(self.clone().serve_peers(listener));
        Ok(())
    }

    async fn serve_peers(self: Rc<Self>, listener: UnixListener) {
        let peers = Rc::new(Cell::new(0));
        loop {
            tokio::select! {
                biased;
                () = self.gone.notified() => break,
                Ok((stream, _)) = listener.accept() => {
                    let Some(slot) = PeerSlot::acquire(&peers) else { continue };
                    let active = self.clone();
                    // Detached: the time of each exchange with a peer is limited.
                    actix_rt::spawn(async move {
                        if let Err(e) = active.serve_peer(stream).await {
                            tracing::debug!(target: LOG_TARGET, "upgrade: another process: {e}");
                        }
                        drop(slot);
                    });
                }
            }
        }
        // Whoever else waits for it is notified, too.
        self.gone.notify_one();
    }

    /// Answers one call or request of another process.
    async fn serve_peer(&self, stream: UnixStream) -> Result<(), ChannelError> {
        let opened = timeout(PASS_ON_TIMEOUT, async {
            let mut channel = Channel::open(stream).await?;
            let frame = channel.recv().await?;
            Ok((channel, frame))
        });
        let (mut channel, frame) = opened.await.unwrap_or(Err(ChannelError::TimedOut))?;
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

    /// Hands everything over, or takes everything back.
    async fn send_all(&self, channel: &mut Channel) -> Result<(), ChannelError> {
        let clock = &self.courier.clock;
        let begun = clock.now();
        tracing::info!(target: LOG_TARGET, "upgrade: another process asks; {}", self.courier.report());
        self.courier.release();
        self.connections.release();
        if !self.collect().await {
            self.take_back(Vec::new());
            return Ok(());
        }
        let frozen = clock.now();
        self.step(SenderInput::Collected);
        let (state, parts) = self.courier.freeze(self.settings_fingerprint);
        self.abort_tasks();
        let reply = self.deliver(channel, state, &parts).await;
        if self.step(reply) != SenderOutput::Release {
            self.take_back(parts);
            return Ok(());
        }
        let count = parts.len();
        drop(parts);
        let lock = self.lock.take();
        tracing::info!(
            target: LOG_TARGET,
            "upgrade: handed over {count} parts in {} us, of which {} us without a decision",
            clock.now() - begun,
            clock.now() - frozen
        );
        // The lock goes with this frame: from here on it is the other's, or nobody's if that process is gone.
        let released = channel.send(&Frame::Released, lock.as_ref().map(AsFd::as_fd)).await;
        drop(lock);
        self.gone.notify_one();
        released
    }

    /// Waits until all tasks have released their parts; false if they take too long.
    async fn collect(&self) -> bool {
        let server_runs = || self.tasks.borrow().first().is_some_and(|server| !server.is_finished());
        while self.courier.handover_pending() + self.connections.handover_pending() > 0 || server_runs() {
            sleep(COLLECT_INTERVAL).await;
            if self.step(SenderInput::Tick) == SenderOutput::ResumeParts {
                tracing::warn!(
                    target: LOG_TARGET,
                    calls = self.courier.handover_pending(),
                    connections = self.connections.handover_pending(),
                    "upgrade: calls or connections were not given up in time"
                );
                return false;
            }
        }
        true
    }

    /// Sends all, and waits until the other process confirms it.
    async fn deliver(
        &self,
        channel: &mut Channel,
        state: hub::HubState,
        parts: &[ReleasedPart<TcpStream>],
    ) -> SenderInput {
        let until = self.courier.handle.lifecycle().handover_deadline().unwrap_or_default();
        match timeout(self.courier.clock.until(until), self.send(channel, state, parts)).await {
            Ok(Ok(())) => SenderInput::Received,
            Ok(Err(error)) => {
                tracing::warn!(target: LOG_TARGET, %error, "upgrade: sending to the next process failed");
                SenderInput::Lost
            }
            Err(_) => SenderInput::Tick,
        }
    }

    fn abort_tasks(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Sends the state and all parts.
    async fn send(
        &self,
        channel: &mut Channel,
        state: hub::HubState,
        parts: &[ReleasedPart<TcpStream>],
    ) -> Result<(), ChannelError> {
        let drained = self.courier.handle.lifecycle().is_drained();
        let ahead = self.courier.clock.ahead();
        let first = Frame::State { state: Box::new(state), drained, parts: parts.len() + 1, ahead };
        channel.send(&first, None).await?;
        drop(first);
        let listener = self.listener.borrow().clone();
        let fd = listener.as_ref().map(AsFd::as_fd);
        channel.send(&(HandoverPart::Listener, fd.is_some()), fd).await?;
        for ReleasedPart { part, socket } in parts {
            let fd = socket.as_ref().map(AsFd::as_fd);
            channel.send(&(part, fd.is_some()), fd).await?;
        }
        match channel.recv().await? {
            Frame::Confirmed => Ok(()),
            _ => Err(ChannelError::NotConfirmed),
        }
    }

    /// Goes on as if no handover had been requested.
    fn take_back(&self, parts: Vec<ReleasedPart<TcpStream>>) {
        tracing::warn!(target: LOG_TARGET, "upgrade: not handed over; this process goes on");
        for released in parts.into_iter().chain(self.courier.handle.take_parts()) {
            self.resume(released);
        }
        self.abort_tasks();
        self.begin();
    }
}
