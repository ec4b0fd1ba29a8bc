//! The clients' listening socket, where another process holds it and this one inherits it.

use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::net::{SocketType, getsockname};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::{SocketAddr, TcpListener};

#[derive(Debug, thiserror::Error)]
pub enum InheritedError {
    #[error("{0:?} is no descriptor's number")]
    NoNumber(String),
    #[error("descriptor {0} can't be had: {1}")]
    Closed(i32, std::io::Error),
    #[error("descriptor {0} is no socket")]
    NoSocket(i32),
    #[error("descriptor {0} is no TCP socket")]
    NotTcp(i32),
    #[error("descriptor {0} does not listen")]
    NotListening(i32),
    #[error("descriptor {fd} listens on {at}, and {wanted} is wanted")]
    Elsewhere { fd: i32, at: SocketAddr, wanted: SocketAddr },
}

/// The listener behind the inherited descriptor, which stays open beside it.
///
/// # Errors
/// It is none, or one for another address; port 0 stands for any.
pub fn listener(number: &str, wanted: SocketAddr) -> Result<TcpListener, InheritedError> {
    let fd: i32 = number.parse().map_err(|_| InheritedError::NoNumber(number.into()))?;
    let closed = |e: rustix::io::Errno| InheritedError::Closed(fd, e.into());
    // A copy by way of the own process's descriptor: no descriptor is taken by its mere number.
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
