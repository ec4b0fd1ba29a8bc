//! The HTTP/1.1 server that clients submit messages to: actix-http's codec, and a task for each connection on the one
//! thread.
//!
//! This file accepts connections ([`serve`]) and empties the listener's backlog at a planned stop ([`close_listener`]).
//! [`connections`] is the table of open connections and their limits, `client` runs one connection, `request` reads
//! and answers one request, `answer` has what a request led to, `socket` moves a connection's bytes.
//!
//! The loop around the codec is our own: actix-http's dispatcher buffers 128 KiB for each connection and does not show
//! bytes that follow a request, so that neither can be bounded there.

mod answer;
mod client;
mod connections;
mod request;
mod socket;

pub use client::start_client;
pub use connections::{Connections, ResumedClient};

use super::ACCEPT_BACKOFF;
use super::courier::Courier;
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::sleep;
use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpSocket;

/// Connections that the system may queue while the thread is busy: a client that finds the queue full retries only after
/// a second, and hundreds of clients may connect at once.
pub const BACKLOG: u32 = 1_024;
/// The backlog in a fleet: a short queue paces clients, since messages of a burst are rejected as long as the other members
/// have not granted capacity for them.
pub const BACKLOG_IN_FLEET: u32 = 128;

/// A connection that was asked to close may have a request on its way: it is closed after this, if none has come.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(5);
/// The log target of this module's files, which operators filter by.
const LOG_TARGET: &str = "quillmount::transport::server";

/// Listens for clients.
///
/// # Errors
/// The address can't be bound.
pub fn listen(addr: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // The previous process may have left connections there that the system still keeps.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(backlog)
}

/// Accepts and serves connections until it is dropped, until another process accepts, or until a planned stop.
pub async fn serve(listener: Rc<TcpListener>, courier: Rc<Courier>, connections: Rc<Connections>) {
    loop {
        // What is accepted is served: a connection dropped in between would be rejected without an answer.
        let accepted = tokio::select! {
            biased;
            () = connections.accept_interrupted() => match courier.handle.lifecycle() {
                lifecycle if lifecycle.is_releasing() || lifecycle.stopping_since().is_some() => return,
                _ => continue,
            },
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, &courier, &connections).await,
            // The one connection broke before it was accepted.
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => {
                connections.log_accept_error(&error);
                if is_out_of_descriptors(&error) {
                    connections.reclaim_descriptor().await;
                }
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Accepts all connections that the system has queued by now, and closes the listener as soon as there are none: a
/// listener that is closed over queued connections resets them, with the requests that they have sent.
pub async fn close_listener(listener: TcpListener, courier: &Rc<Courier>, connections: &Rc<Connections>) {
    let Ok(listener) = listener.into_std() else { return };
    // The system queues one more than it was asked to.
    for _ in 0..=BACKLOG {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => continue,
            Err(error) if is_out_of_descriptors(&error) && connections.reclaim_descriptor().await => {
                // An idle connection that was asked to close waits for a last request first.
                sleep(LAST_REQUEST_TIMEOUT).await;
                continue;
            }
            Err(_) => return,
        };
        let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) else {
            continue;
        };
        admit(stream, courier, connections).await;
    }
}

/// Counts a new connection and serves it once the limit of connections allows.
async fn admit(stream: TcpStream, courier: &Rc<Courier>, connections: &Rc<Connections>) {
    courier.count(|counters| counters.connections += 1);
    connections.wait_for_capacity().await;
    start_client(connections, courier, stream, None);
}

/// Whether the process, or the system, has no descriptor left.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    [Errno::MFILE, Errno::NFILE].map(|errno| Some(errno.raw_os_error())).contains(&error.raw_os_error())
}
