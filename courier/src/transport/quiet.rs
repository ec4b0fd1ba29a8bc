//! Whether a connection that rests may carry the next call.

use socket2::SockRef;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Nothing has come on it, no end and no bytes either, which would be taken for an answer. The system itself is asked:
/// what tokio knows of a socket is as old as its last poll, and an end that came since is a call that may have run.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    SockRef::from(stream).recv(&mut byte).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}
