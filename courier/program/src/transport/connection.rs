//! A connection to an endpoint, and the permits for connections that are counted.
//!
//! A destination may allow a fleet so many connections ([`super::connection_budget`]). Each such connection counts from
//! before its connect until its end is known; it reports its own end to a [`ConnectionObserver`] when it is dropped,
//! wherever that is, so that no path through the pool or a call can forget it.

use actix_rt::net::TcpStream;
use quillmount_core::machine::connection::EndpointConnection;
use quillmount_fleet::budget::Permit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;

/// A counted connection's destination and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId {
    /// The destination.
    pub dest: u64,
    /// The number of the connection, which its permit has given.
    pub conn: u64,
}

/// How a counted connection ended.
pub enum ConnectionEnd {
    /// It was never opened.
    NeverOpened,
    /// This side has closed it; its socket, if there is one, says when the other side has.
    Closed(Option<OwnedFd>),
}

/// Is notified of the ends of counted connections.
pub trait ConnectionObserver {
    /// This side has closed the connection, or will not open it.
    fn connection_closed(&self, id: ConnectionId, end: ConnectionEnd);
}

/// A connection to an endpoint.
pub enum EndpointStream {
    /// To a destination whose connections are not counted.
    Plain(TcpStream),
    /// One that counts.
    Counted(Box<CountedConnection>),
}

impl EndpointStream {
    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        match self {
            EndpointStream::Plain(stream) => stream,
            EndpointStream::Counted(counted) => &counted.stream,
        }
    }

    /// The socket.
    pub fn stream_mut(&mut self) -> &mut TcpStream {
        match self {
            EndpointStream::Plain(stream) => stream,
            EndpointStream::Counted(counted) => &mut counted.stream,
        }
    }

    /// The socket for another process; one that counts can't go there, and is closed.
    #[must_use]
    pub fn into_stream(self) -> Option<TcpStream> {
        match self {
            EndpointStream::Plain(stream) => Some(stream),
            EndpointStream::Counted(_) => None,
        }
    }

    /// Whether it is the counted connection of this id.
    pub fn has_id(&self, id: ConnectionId) -> bool {
        matches!(self, EndpointStream::Counted(counted) if counted.id == id)
    }
}

/// A connection that counts; dropped, it is closed, and counts until the endpoint has closed it too.
pub struct CountedConnection {
    stream: TcpStream,
    id: ConnectionId,
    observer: Rc<dyn ConnectionObserver>,
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        // Duplicated, so that the endpoint's end can be read.
        let fd = self.stream.as_fd().try_clone_to_owned().ok();
        self.observer.connection_closed(self.id, ConnectionEnd::Closed(fd));
    }
}

/// What a call to a destination with a budget may use: an idle connection, or one that it opens.
pub struct ConnectionPermit {
    permit: Permit,
    idle: Option<(EndpointConnection, EndpointStream)>,
    opening: Option<PendingOpen>,
}

impl ConnectionPermit {
    /// A permit to open a connection, whose end `observer` is notified of.
    pub fn open(permit: Permit, observer: Rc<dyn ConnectionObserver>) -> Self {
        let id = ConnectionId { dest: permit.dest, conn: permit.conn };
        let opening = PendingOpen { id, observer, end: Some(ConnectionEnd::NeverOpened) };
        ConnectionPermit { permit, idle: None, opening: Some(opening) }
    }

    /// A permit to use an idle connection.
    pub fn reuse(permit: Permit, machine: EndpointConnection, stream: EndpointStream) -> Self {
        ConnectionPermit { permit, idle: Some((machine, stream)), opening: None }
    }

    /// What the budget has permitted.
    pub fn permit(&self) -> &Permit {
        &self.permit
    }

    /// The idle connection, once.
    pub fn take_idle(&mut self) -> Option<(EndpointConnection, EndpointStream)> {
        self.idle.take()
    }

    /// Opens the connection that is permitted; `None` if that fails, and for a second one.
    pub async fn connect(&mut self, addr: SocketAddr) -> Option<EndpointStream> {
        let mut opening = self.opening.take()?;
        // Dropped from here on, it may have been opened.
        opening.end = Some(ConnectionEnd::Closed(None));
        match TcpStream::connect(addr).await {
            Ok(stream) => {
                opening.end = None;
                let (id, observer) = (opening.id, opening.observer.clone());
                Some(EndpointStream::Counted(Box::new(CountedConnection { stream, id, observer })))
            }
            Err(e) => {
                if e.kind() == std::io::ErrorKind::ConnectionRefused {
                    opening.end = Some(ConnectionEnd::NeverOpened);
                }
                None
            }
        }
    }
}

/// A connection that counts and is not open yet.
struct PendingOpen {
    id: ConnectionId,
    observer: Rc<dyn ConnectionObserver>,
    /// How it has ended if it is dropped now; `None`: it is open.
    end: Option<ConnectionEnd>,
}

impl Drop for PendingOpen {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            self.observer.connection_closed(self.id, end);
        }
    }
}
