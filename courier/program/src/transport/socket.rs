//! Reads and writes on an endpoint's socket that bypass the runtime's view of it: whether it may carry the next call, and
//! what may still be written.

use socket2::SockRef;
use std::io::{ErrorKind, Result};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::Poll;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

/// Whether nothing has come on the connection: neither its end, nor bytes, which would be taken for an answer. The system
/// itself is asked: what tokio knows of a socket is as old as its last poll, and a call on a connection that was closed
/// since would count as one that may have run.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    SockRef::from(stream).recv(&mut byte).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

/// Writes as many of these bytes as the socket takes; `None`: it is too late for any. Time may have passed since the
/// runtime found the socket writable, so `late` is called just before each write.
pub async fn write(stream: &mut TcpStream, bytes: &[u8], late: impl Fn() -> bool) -> Option<Result<usize>> {
    std::future::poll_fn(|cx| match late() {
        true => Poll::Ready(None),
        false => Pin::new(&mut *stream).poll_write(cx, bytes).map(Some),
    })
    .await
}
