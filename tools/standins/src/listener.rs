//! The listener through which one courier reaches a stand-in. Each courier has its own, so that it can be partitioned from
//! one stand-in alone, and its calls can be attributed to it.

use crate::gate::{AcceptMode, Gate};
use std::future::Future;
use std::io::Result;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet, spawn_local};

/// What a listener does with connections and answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListenerMode {
    /// Connections are accepted, and answered.
    #[default]
    Open,
    /// Connections go silent, and new ones are not established; bytes in flight arrive when it opens.
    Partitioned,
    /// The same, and new ones are refused.
    PartitionedRefusing,
    /// Calls are received, but no answer leaves.
    AnswersLost,
}

impl ListenerMode {
    fn is_stalled(self) -> bool {
        matches!(self, ListenerMode::Partitioned | ListenerMode::PartitionedRefusing)
    }

    /// A random mode, drawn from the generator.
    pub fn random(seed: &mut fastrand::Rng) -> ListenerMode {
        [
            ListenerMode::Open,
            ListenerMode::Partitioned,
            ListenerMode::PartitionedRefusing,
            ListenerMode::AnswersLost,
        ][seed.usize(0..4)]
    }
}

/// A listener for one courier; closed with all its connections when it is dropped.
pub struct CourierListener {
    addr: SocketAddr,
    mode: watch::Sender<ListenerMode>,
    task: AbortHandle,
}

impl Drop for CourierListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl CourierListener {
    /// Opens a listener; `serve` runs for each connection, and stands still during a partition. Must run in a `LocalSet`.
    ///
    /// # Errors
    /// The system has no port.
    pub(crate) fn open<F>(
        serve: impl Fn(TcpStream, watch::Receiver<ListenerMode>) -> F + 'static,
    ) -> Result<CourierListener>
    where
        F: Future<Output = ()> + 'static,
    {
        let gate = Gate::open()?;
        let addr = gate.addr();
        let (mode, receiver) = watch::channel(ListenerMode::Open);
        let task = spawn_local(listen(gate, receiver, serve)).abort_handle();
        Ok(CourierListener { addr, mode, task })
    }

    /// The address for the courier.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the mode, from now on.
    pub(crate) fn set(&self, mode: ListenerMode) {
        self.mode.send_replace(mode);
    }

    /// The mode now.
    pub fn mode(&self) -> ListenerMode {
        *self.mode.borrow()
    }
}

async fn listen<F>(
    mut gate: Gate,
    mut mode: watch::Receiver<ListenerMode>,
    serve: impl Fn(TcpStream, watch::Receiver<ListenerMode>) -> F,
) -> Result<()>
where
    F: Future<Output = ()> + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            changed = mode.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                gate.set(match *mode.borrow_and_update() {
                    ListenerMode::Partitioned => AcceptMode::Silent,
                    ListenerMode::PartitionedRefusing => AcceptMode::Refused,
                    ListenerMode::Open | ListenerMode::AnswersLost => AcceptMode::Open,
                })?;
            }
            Some(_) = connections.join_next() => {}
            stream = gate.accept() => {
                let Ok(stream) = stream else { continue };
                let serving = serve(stream, mode.clone());
                connections.spawn_local(while_open(mode.clone(), serving));
            }
        }
    }
}

/// Runs a future, but not during a partition.
async fn while_open(mut mode: watch::Receiver<ListenerMode>, serving: impl Future<Output = ()>) {
    tokio::pin!(serving);
    loop {
        let stalled = mode.borrow_and_update().is_stalled();
        tokio::select! {
            biased;
            changed = mode.changed() => if changed.is_err() { return },
            () = &mut serving, if !stalled => return,
        }
    }
}
