//! A reserved port on loopback, and a listener on one that accepts, ignores or refuses connections.

use std::collections::BTreeSet;
use std::io::Result;
use std::net::{SocketAddr, TcpStream as Plain};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// A queue with capacity accepts a connection within this time; a full one never does.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);
/// Connections that fill a queue of length 0; one does on Linux, the second shows that it is full.
const FILLERS: usize = 2;

/// A port on 127.0.0.1 that is reserved by a socket which is bound and never listens. The system assigns it to nobody who asks for
/// any free port, for a listener or a connection. Whoever binds it by its number with `SO_REUSEADDR`, as std and tokio do, may
/// listen there, also repeatedly.
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

/// How a gate treats new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptMode {
    /// A connection is accepted.
    Open,
    /// A connection is not established: the system drops its first packet.
    Silent,
    /// A connection is refused.
    Refused,
}

/// A listener on a port of its own.
#[derive(Debug)]
pub struct Gate {
    port: Port,
    listener: Option<TcpListener>,
    /// Connections of the gate itself that fill the queue.
    fillers: Vec<Plain>,
    /// Addresses of those that are still in the queue.
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

    /// Sets how new connections are treated, from now on.
    ///
    /// # Errors
    /// The system does not let it listen.
    pub fn set(&mut self, accept_mode: AcceptMode) -> Result<()> {
        match accept_mode {
            AcceptMode::Open => self.accept_connections(),
            AcceptMode::Silent => self.ignore_connections(),
            AcceptMode::Refused => {
                self.listener = None;
                self.fillers.clear();
                self.queued.clear();
                Ok(())
            }
        }
    }

    fn accept_connections(&mut self) -> Result<()> {
        rustix::net::listen(self.listener()?, BACKLOG as i32)?;
        self.fillers.clear();
        Ok(())
    }

    /// Shortens the queue and fills it, so that the system drops the first packet of a new connection.
    fn ignore_connections(&mut self) -> Result<()> {
        if !self.fillers.is_empty() {
            return Ok(());
        }
        // A queue of length 0 still accepts one connection; those that are in it already are accepted when the gate opens again.
        rustix::net::listen(self.listener()?, 0)?;
        for _ in 0..FILLERS {
            let Ok(filler) = Plain::connect_timeout(&self.port.addr, FILL_TIMEOUT) else { break };
            self.queued.insert(filler.local_addr()?);
            self.fillers.push(filler);
        }
        Ok(())
    }

    /// The listener, which is opened if there is none.
    fn listener(&mut self) -> Result<&TcpListener> {
        let listener = match self.listener.take() {
            Some(listener) => listener,
            None => self.port.listen()?,
        };
        Ok(self.listener.insert(listener))
    }

    /// The next connection; waits for ever unless the gate is open.
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
