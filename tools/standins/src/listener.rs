//! The door through which one courier reaches a stand-in, so that it can be cut off from that one alone,
//! and its calls are known for its own.

use crate::gate::{AcceptMode, Gate};
use std::future::Future;
use std::io::Result;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet, spawn_local};

/// How a stand-in's door stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListenerMode {
    #[default]
    Open,
    /// Connections there go silent, and new ones do not come up; what is on its way comes when it opens.
    Partitioned,
    /// The same, and new ones are refused.
    PartitionedRefusing,
    /// What comes is met; no answer leaves.
    AnswersLost,
}

impl ListenerMode {
    fn is_stalled(self) -> bool {
        matches!(self, ListenerMode::Partitioned | ListenerMode::PartitionedRefusing)
    }

    /// One of all, by the seed of the generator.
    pub fn random(seed: &mut fastrand::Rng) -> ListenerMode {
        [
            ListenerMode::Open,
            ListenerMode::Partitioned,
            ListenerMode::PartitionedRefusing,
            ListenerMode::AnswersLost,
        ][seed.usize(0..4)]
    }
}

/// A door; closed with all its connections when it is dropped.
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
    /// Opens one; `serve` is run for each connection, and stands still while the door is cut. Must run in a
    /// `LocalSet`.
    ///
    /// # Errors
    /// No port could be had.
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

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// From now on.
    pub(crate) fn set(&self, mode: ListenerMode) {
        self.mode.send_replace(mode);
    }

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

/// Goes on with it only while the door is not cut.
async fn while_open(mut mode: watch::Receiver<ListenerMode>, what: impl Future<Output = ()>) {
    tokio::pin!(what);
    loop {
        let stalled = mode.borrow_and_update().is_stalled();
        tokio::select! {
            biased;
            changed = mode.changed() => if changed.is_err() { return },
            () = &mut what, if !stalled => return,
        }
    }
}
