//! The clients' listening socket, where a supervisor has opened it and this process inherits it (socket activation).

use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::net::{SocketType, getsockname};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::{SocketAddr, TcpListener};

/// Why an inherited descriptor can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritedError {
    /// The text is no number of a descriptor.
    #[error("{0:?} is no descriptor's number")]
    NoNumber(String),
    /// The descriptor is not open, or can't be duplicated.
    #[error("descriptor {0} can't be had: {1}")]
    Closed(i32, std::io::Error),
    /// The descriptor is no socket.
    #[error("descriptor {0} is no socket")]
    NoSocket(i32),
    /// The socket is not a TCP socket.
    #[error("descriptor {0} is no TCP socket")]
    NotTcp(i32),
    /// The socket does not listen.
    #[error("descriptor {0} does not listen")]
    NotListening(i32),
    /// The socket listens on another address.
    #[error("descriptor {fd} listens on {at}, and {wanted} is wanted")]
    Elsewhere {
        /// The descriptor.
        fd: i32,
        /// The address that the socket listens on.
        at: SocketAddr,
        /// The address of the configuration.
        wanted: SocketAddr,
    },
}

/// The listener behind the inherited descriptor, which stays open beside it.
///
/// # Errors
/// It is no listening TCP socket, or one for another address than `wanted`, whose port 0 stands for any.
pub fn listener(number: &str, wanted: SocketAddr) -> Result<TcpListener, InheritedError> {
    let fd: i32 = number.parse().map_err(|_| InheritedError::NoNumber(number.into()))?;
    let closed = |e: rustix::io::Errno| InheritedError::Closed(fd, e.into());
    // Duplicated by way of this process's own pidfd: safe code can't own a descriptor by its mere number.
    let own = pidfd_open(getpid(), PidfdFlags::empty()).map_err(closed)?;
    let socket = pidfd_getfd(own, fd, PidfdGetfdFlags::empty()).map_err(closed)?;
    let at = getsockname(&socket).map_err(|_| InheritedError::NoSocket(fd))?;
    let at = SocketAddr::try_from(at).map_err(|_| InheritedError::NotTcp(fd))?;
    if socket_type(&socket).map_err(closed)? != SocketType::STREAM {
        return Err(InheritedError::NotTcp(fd));
    }
    if !socket_acceptconn(&socket).map_err(closed)? {
        return Err(InheritedError::NotListening(fd));
    }
    if at.ip() != wanted.ip() || (wanted.port() != 0 && at.port() != wanted.port()) {
        return Err(InheritedError::Elsewhere { fd, at, wanted });
    }
    let listener = TcpListener::from(socket);
    listener.set_nonblocking(true).map_err(|e| InheritedError::Closed(fd, e))?;
    Ok(listener)
}
