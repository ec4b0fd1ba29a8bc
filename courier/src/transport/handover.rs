//! An upgrade on sockets: what moves from one process to the next, and the two sides' drivers.
//!
//! `core/src/machine/handover.rs` decides; `docs/operators-design.md` says why all sockets move.

use super::channel::{self, Channel};
use super::clock::Clock;
use super::courier::Courier;
use super::frames::{Frame, PASS_ON};
use super::handle::{Part, Parts};
use super::operators::Desk;
use super::server::{self, Connections};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{sleep, timeout};
use quillmount_core::hub;
use quillmount_core::machine::handover::{GiverInput, GiverOutput, Taker, TakerInput, TakerOutput};
use quillmount_core::machine::life;
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
pub struct Handed {
    pub state: hub::State,
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
    told_to_end: impl Future<Output = ()>,
) -> io::Result<Option<(Lock, Option<Handed>)>> {
    let mut told_to_end = std::pin::pin!(told_to_end);
    let mut machine = Taker::new(clock.now());
    let (mut channel, mut handed, mut holder, mut passed) = (None, None, None, None);
    let (mut todo, mut told) = (TakerOutput::Lock, false);
    loop {
        let input = match todo {
            // Free for a moment, a third process could take it, and all that was handed over would be lost.
            TakerOutput::Lock => {
                match passed.take().map_or_else(|| Lock::take(folder), |lock| Ok(Some(lock)))? {
                    None => TakerInput::Held,
                    Some(lock) => match machine.step(TakerInput::Locked, clock.now()) {
                        TakerOutput::Resume => return Ok(Some((lock, handed))),
                        _ => return Ok(Some((lock, None))),
                    },
                }
            }
            TakerOutput::Ask => {
                handed = None;
                // A holder that starts does not listen yet, and one that stops does not any more.
                match channel::reach(folder).await {
                    Err(e) => {
                        if matches!(e.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::NotFound) {
                            // Whoever listened before has gone, and its number may be another's by now.
                            holder = None;
                        }
                        TakerInput::Busy
                    }
                    Ok(stream) => {
                        holder = Channel::peer(&stream);
                        tracing::info!("upgrade: asking process {}", holder.unwrap_or_default());
                        let asked = tokio::select! {
                            biased;
                            () = &mut told_to_end => return Ok(None),
                            asked = receive(stream, &mut machine, clock) => asked,
                        };
                        asked.map_or_else(
                            |input| input,
                            |(came, from)| {
                                (handed, channel) = (Some(came), Some(from));
                                TakerInput::All
                            },
                        )
                    }
                }
            }
            TakerOutput::Confirm => match &mut channel {
                Some(from) => {
                    let word = confirm(from, &machine, clock).await;
                    passed = from.fd().map(|fd| Lock { file: fd.into() });
                    word
                }
                None => TakerInput::Lost,
            },
            TakerOutput::End => {
                match holder.and_then(rustix::process::Pid::from_raw) {
                    Some(pid) => {
                        tracing::warn!("upgrade: process {pid:?} does not hand over: it is ended");
                        // Where it is gone already, so is its lock.
                        let _ = rustix::process::kill_process(pid, rustix::process::Signal::KILL);
                    }
                    None if !std::mem::replace(&mut told, true) => {
                        tracing::error!(
                            "upgrade: another process holds {} and does not listen",
                            folder.display()
                        );
                    }
                    None => {}
                }
                TakerInput::Tick
            }
            _ => {
                tokio::select! {
                    biased;
                    () = &mut told_to_end => return Ok(None),
                    () = sleep(clock.until(machine.wake_at().unwrap_or_default())) => TakerInput::Tick,
                }
            }
        };
        if input == TakerInput::Lost {
            (channel, handed) = (None, None);
        }
        todo = machine.step(input, clock.now());
    }
}

async fn in_time<T>(
    machine: &Taker,
    clock: &Clock,
    what: impl Future<Output = io::Result<T>>,
) -> Result<T, TakerInput> {
    match timeout(clock.until(machine.wake_at().unwrap_or_default()), what).await {
        Ok(Ok(came)) => Ok(came),
        Ok(Err(e)) => {
            tracing::warn!("upgrade: the holder's word: {e}");
            Err(TakerInput::Lost)
        }
        Err(_) => Err(TakerInput::Tick),
    }
}

/// Asks, and reads all that comes.
async fn receive(
    stream: UnixStream,
    machine: &mut Taker,
    clock: &Clock,
) -> Result<(Handed, Channel), TakerInput> {
    let mut channel = in_time(machine, clock, Channel::open(stream)).await?;
    in_time(machine, clock, channel.send(&Frame::Ask, None)).await?;
    let Frame::State { state, drained, parts: count, ahead } =
        in_time(machine, clock, channel.recv()).await?
    else {
        return Err(TakerInput::Busy);
    };
    let mut parts = Vec::new();
    for _ in 0..count {
        machine.step(TakerInput::Part, clock.now());
        let (part, held): (Part, bool) = in_time(machine, clock, channel.recv()).await?;
        let fd = if held { Some(channel.fd().ok_or(TakerInput::Lost)?) } else { None };
        parts.push((part, fd));
    }
    Ok((Handed { state: *state, drained, ahead, parts }, channel))
}

async fn confirm(channel: &mut Channel, machine: &Taker, clock: &Clock) -> TakerInput {
    let word = async {
        channel.send(&Frame::Got, None).await?;
        channel.recv().await
    };
    match in_time(machine, clock, word).await {
        Ok(Frame::LetGo) => TakerInput::LetGo,
        Ok(_) => TakerInput::Lost,
        Err(input) => input,
    }
}

/// The consumers' listening socket among what came.
pub fn listener(parts: &mut Parts<OwnedFd>) -> Option<std::net::TcpListener> {
    let place = parts.iter().position(|(part, _)| matches!(part, Part::Listener))?;
    let listener = std::net::TcpListener::from(parts.swap_remove(place).1?);
    listener.set_nonblocking(true).ok()?;
    Some(listener)
}

/// A process's tasks, the server first.
pub type Tasks = Vec<tokio::task::JoinHandle<()>>;

/// What the deciding process needs to hand over, and to take back.
pub struct Holder {
    pub courier: Rc<Courier>,
    pub connections: Rc<Connections>,
    pub desk: Rc<Desk>,
    pub folder: PathBuf,
    /// Of the settings it decides under.
    pub mark: u32,
    /// The consumers' listening socket.
    pub listener: RefCell<Option<Rc<TcpListener>>>,
    pub lock: Cell<Option<Lock>>,
    /// Begins its tasks: the server, the clock, the watch and the notices.
    pub begin: Box<dyn Fn(Option<Rc<TcpListener>>) -> Tasks>,
    pub tasks: RefCell<Tasks>,
    pub gone: Notify,
}

impl Holder {
    /// Puts a part to work.
    fn put(&self, part: Part, stream: Option<TcpStream>) {
        match (part, stream) {
            (Part::Consumer { state, bytes }, Some(stream)) => {
                self.connections.admit(&self.courier, stream, Some((state, bytes[..].into())));
            }
            (Part::Resting { provider, addr, since }, Some(stream)) => {
                self.courier.rest(provider, addr, since, stream);
            }
            (Part::Call(part), stream) => self.courier.go_on(*part, stream),
            // The listener has its place already; what came without its socket is gone.
            _ => {}
        }
    }

    /// Goes on with what another process handed over.
    pub fn adopt(&self, parts: Parts<OwnedFd>) {
        for (part, fd) in parts {
            let stream = match (&part, fd) {
                (Part::Listener, _) => continue,
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
    pub async fn close_doors(&self) {
        let server = {
            let mut tasks = self.tasks.borrow_mut();
            (!tasks.is_empty()).then(|| tasks.remove(0))
        };
        self.connections.accept_no_more();
        if let Some(server) = server {
            // It ends with who it has accepted last.
            let _ = server.await;
        }
        let listener = self.listener.take().and_then(Rc::into_inner);
        if let Some(listener) = listener {
            server::close_doors(listener, &self.courier, &self.connections).await;
        }
    }

    /// Listens for the next process until this one has handed over.
    ///
    /// # Errors
    /// The socket can't be had.
    pub fn listen(self: &Rc<Self>) -> io::Result<()> {
        let (path, _kept) = channel::path(&self.folder)?;
        // Of a process that is gone: the lock is ours.
        match std::fs::remove_file(&path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(&path)?;
        std::fs::set_permissions(&path, Permissions::from_mode(0o600))?;
        let holder = self.clone();
        actix_rt::spawn(async move {
            let peers = Rc::new(Cell::new(0));
            loop {
                tokio::select! {
                    biased;
                    () = holder.gone.notified() => break,
                    Ok((stream, _)) = listener.accept() => {
                        if peers.get() < PEERS {
                            peers.set(peers.get() + 1);
                            let (holder, peers) = (holder.clone(), peers.clone());
                            actix_rt::spawn(async move {
                                if let Err(e) = holder.attend(stream).await {
                                    tracing::debug!("upgrade: another process: {e}");
                                }
                                peers.set(peers.get() - 1);
                            });
                        }
                    }
                }
            }
            holder.gone.notify_one();
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
            Frame::Call(call) => channel.send(&Frame::Said(self.desk.answer(call).await), None).await,
            Frame::Ask => match self.step(GiverInput::Asked) {
                GiverOutput::Collect => self.hand_over(&mut channel).await,
                _ => channel.send(&Frame::Busy, None).await,
            },
            _ => Ok(()),
        }
    }

    fn step(&self, input: GiverInput) -> GiverOutput {
        match self.courier.handle.live(life::Input::Give(input)) {
            life::Output::Give(output) => output,
            _ => GiverOutput::Nothing,
        }
    }

    /// Hands all over, or takes all back.
    async fn hand_over(&self, channel: &mut Channel) -> io::Result<()> {
        let clock = &self.courier.clock;
        let begun = clock.now();
        tracing::info!("upgrade: another process asks; {}", self.courier.report());
        self.courier.hand_over();
        self.connections.give();
        let server_runs = || self.tasks.borrow().first().is_some_and(|server| !server.is_finished());
        while self.courier.to_give() + self.connections.to_give() > 0 || server_runs() {
            sleep(LOOK).await;
            if self.step(GiverInput::Tick) == GiverOutput::TakeBack {
                tracing::warn!(
                    "upgrade: {} calls and {} connections did not give way",
                    self.courier.to_give(),
                    self.connections.to_give()
                );
                self.take_back(Vec::new());
                return Ok(());
            }
        }
        let frozen = clock.now();
        self.step(GiverInput::Collected);
        let (state, parts) = self.courier.frozen(self.mark);
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        let until = self.courier.handle.life().give_by().unwrap_or_default();
        let sent = timeout(clock.until(until), self.send(channel, state, &parts)).await;
        let word = match sent {
            Ok(Ok(())) => GiverInput::Got,
            Ok(Err(e)) => {
                tracing::warn!("upgrade: the other process: {e}");
                GiverInput::Lost
            }
            Err(_) => GiverInput::Tick,
        };
        match self.step(word) {
            GiverOutput::LetGo => {
                let count = parts.len();
                drop(parts);
                let lock = self.lock.take();
                tracing::info!(
                    "upgrade: handed over {count} parts in {} us, of which {} us without a decision",
                    clock.now() - begun,
                    clock.now() - frozen
                );
                // The lock goes with the word: from here on it is the other's, or nobody's where that one is gone.
                let said = channel.send(&Frame::LetGo, lock.as_ref().map(|lock| lock.file.as_fd())).await;
                drop(lock);
                self.gone.notify_one();
                said
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
        state: hub::State,
        parts: &[(Part, Option<TcpStream>)],
    ) -> io::Result<()> {
        let drained = self.courier.handle.life().is_drained();
        let ahead = self.courier.clock.ahead();
        let first = Frame::State { state: Box::new(state), drained, parts: parts.len() + 1, ahead };
        channel.send(&first, None).await?;
        drop(first);
        let listener = self.listener.borrow().clone();
        let fd = listener.as_ref().map(AsFd::as_fd);
        channel.send(&(Part::Listener, fd.is_some()), fd).await?;
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
        for (part, stream) in parts.into_iter().chain(self.courier.handle.given()) {
            self.put(part, stream);
        }
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        self.begin();
    }
}
