//! An endpoint's connection by itself: whether it may carry the next call, and what may still be written to it.

use socket2::SockRef;
use std::io::{ErrorKind, Result};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::Poll;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

/// Nothing has come on it, no end and no bytes either, which would be taken for an answer. The system itself is asked:
/// what tokio knows of a socket is as old as its last poll, and an end that came since is a call that may have run.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    SockRef::from(stream).recv(&mut byte).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

/// Writes what it takes of these bytes; `None`: it is too late for any. Time may have passed since the socket was said
/// to be writable, so `late` is asked just before each write.
pub async fn write(stream: &mut TcpStream, bytes: &[u8], late: impl Fn() -> bool) -> Option<Result<usize>> {
    std::future::poll_fn(|cx| match late() {
        true => Poll::Ready(None),
        false => Pin::new(&mut *stream).poll_write(cx, bytes).map(Some),
    })
    .await
}
