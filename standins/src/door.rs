//! The door through which one courier reaches a stand-in, so that it can be cut off from that one alone,
//! and its calls are known for its own.

use crate::gate::{Entry, Gate};
use std::future::Future;
use std::io::Result;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet, spawn_local};

/// How a stand-in's door stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    #[default]
    Open,
    /// Connections there go silent, and new ones do not come up; what is on its way comes when it opens.
    Cut,
    /// The same, and new ones are refused.
    CutRefusing,
    /// What comes is met; no answer leaves.
    AnswersLost,
}

impl Way {
    fn stands(self) -> bool {
        matches!(self, Way::Cut | Way::CutRefusing)
    }

    /// One of all, by the seed of the generator.
    pub fn pick(seed: &mut fastrand::Rng) -> Way {
        [Way::Open, Way::Cut, Way::CutRefusing, Way::AnswersLost][seed.usize(0..4)]
    }
}

/// A door; closed with all its connections when it is dropped.
pub struct Door {
    addr: SocketAddr,
    way: watch::Sender<Way>,
    task: AbortHandle,
}

impl Drop for Door {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Door {
    /// Opens one; `serve` is run for each connection, and stands still while the door is cut. Must run in a
    /// `LocalSet`.
    ///
    /// # Errors
    /// No port could be had.
    pub(crate) fn open<F>(serve: impl Fn(TcpStream, watch::Receiver<Way>) -> F + 'static) -> Result<Door>
    where
        F: Future<Output = ()> + 'static,
    {
        let gate = Gate::open()?;
        let addr = gate.addr();
        let (way, told) = watch::channel(Way::Open);
        let task = spawn_local(listen(gate, told, serve)).abort_handle();
        Ok(Door { addr, way, task })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// From now on.
    pub(crate) fn set(&self, way: Way) {
        self.way.send_replace(way);
    }

    pub fn way(&self) -> Way {
        *self.way.borrow()
    }
}

async fn listen<F>(
    mut gate: Gate,
    mut way: watch::Receiver<Way>,
    serve: impl Fn(TcpStream, watch::Receiver<Way>) -> F,
) -> Result<()>
where
    F: Future<Output = ()> + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            changed = way.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                gate.set(match *way.borrow_and_update() {
                    Way::Cut => Entry::Silent,
                    Way::CutRefusing => Entry::Refused,
                    Way::Open | Way::AnswersLost => Entry::Open,
                })?;
            }
            Some(_) = connections.join_next() => {}
            stream = gate.accept() => {
                let Ok(stream) = stream else { continue };
                let serving = serve(stream, way.clone());
                connections.spawn_local(while_open(way.clone(), serving));
            }
        }
    }
}

/// Goes on with it only while the door is not cut.
async fn while_open(mut way: watch::Receiver<Way>, what: impl Future<Output = ()>) {
    tokio::pin!(what);
    loop {
        let stands = way.borrow_and_update().stands();
        tokio::select! {
            biased;
            changed = way.changed() => if changed.is_err() { return },
            () = &mut what, if !stands => return,
        }
    }
}
