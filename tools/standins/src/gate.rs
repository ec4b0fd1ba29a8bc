//! A listening address that a harness reserves for as long as it wants, whoever listens there: open, silent or refusing.

use std::collections::BTreeSet;
use std::io::Result;
use std::net::{SocketAddr, TcpStream as Plain};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// A queue with capacity accepts a connection within this time; a full one never does.
const FILL: Duration = Duration::from_millis(20);
/// Connections that fill a queue of length 0; one does on Linux, the second shows that it is full.
const FILLERS: usize = 2;

/// A port on 127.0.0.1 that nobody else is given: a socket that is bound and never listens reserves it. The
/// system's search for a free port, for a listener as for a connection, passes it by; whoever binds it by
/// its number with SO_REUSEADDR, as std and tokio do, may listen there, and again after its end.
#[derive(Debug)]
pub struct Port {
    /// The address.
    pub addr: SocketAddr,
    _reservation: TcpSocket,
}

impl Port {
    /// Reserves a free port.
    ///
    /// # Errors
    /// The system has no port.
    pub fn reserve() -> Result<Port> {
        let reservation = TcpSocket::new_v4()?;
        reservation.set_reuseaddr(true)?;
        reservation.bind(([127, 0, 0, 1], 0).into())?;
        Ok(Port { addr: reservation.local_addr()?, _reservation: reservation })
    }

    fn listen(&self) -> Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.addr)?;
        socket.listen(BACKLOG)
    }
}

/// How a gate meets new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptMode {
    /// A connection is accepted.
    Open,
    /// A connection does not come up: the system drops its first packet.
    Silent,
    /// A connection is refused.
    Refused,
}

/// A listener on a port of its own.
#[derive(Debug)]
pub struct Gate {
    port: Port,
    listener: Option<TcpListener>,
    /// Connections of its own that fill the queue.
    fillers: Vec<Plain>,
    /// Those that are still in the queue.
    queued: BTreeSet<SocketAddr>,
}

impl Gate {
    /// Opens a listener on a port of its own.
    ///
    /// # Errors
    /// The system has no port.
    pub fn open() -> Result<Gate> {
        let port = Port::reserve()?;
        let listener = Some(port.listen()?);
        Ok(Gate { port, listener, fillers: Vec::new(), queued: BTreeSet::new() })
    }

    /// The address.
    pub fn addr(&self) -> SocketAddr {
        self.port.addr
    }

    /// Changes how connections are met, from now on.
    ///
    /// # Errors
    /// The system does not let it listen.
    pub fn set(&mut self, accept_mode: AcceptMode) -> Result<()> {
        match accept_mode {
            AcceptMode::Refused => {
                self.listener = None;
                self.fillers.clear();
                self.queued.clear();
            }
            AcceptMode::Open | AcceptMode::Silent => {
                let listener = match self.listener.take() {
                    Some(listener) => listener,
                    None => self.port.listen()?,
                };
                let listener = self.listener.insert(listener);
                if accept_mode == AcceptMode::Open {
                    rustix::net::listen(&*listener, BACKLOG as i32)?;
                    self.fillers.clear();
                } else if self.fillers.is_empty() {
                    // A queue of length 0 still accepts one connection; those that are in it already are accepted
                    // when the gate opens again.
                    rustix::net::listen(&*listener, 0)?;
                    for _ in 0..FILLERS {
                        let Ok(filler) = Plain::connect_timeout(&self.port.addr, FILL) else { break };
                        self.queued.insert(filler.local_addr()?);
                        self.fillers.push(filler);
                    }
                }
            }
        }
        Ok(())
    }

    /// The next connection; waits for ever unless it is open.
    ///
    /// # Errors
    /// The system has no descriptor for it.
    pub async fn accept(&mut self) -> Result<TcpStream> {
        loop {
            let Some(listener) = self.listener.as_ref().filter(|_| self.fillers.is_empty()) else {
                return std::future::pending().await;
            };
            let (stream, from) = listener.accept().await?;
            if !self.queued.remove(&from) {
                stream.set_nodelay(true)?;
                return Ok(stream);
            }
        }
    }
}
