//! Calls between processes: frames over TCP, many calls on one connection.

mod client;
mod server;

pub use client::{CallError, PeerLinks, connect};
pub use server::{Handler, listen, serve};

use quillmount_wire::frame::{FrameError, FrameHeader, HEADER_BYTES, aligned_buffer};
use rkyv::util::AlignedVec;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Why a connection's frames can't be read further.
#[derive(Debug)]
pub enum ReadError {
    Io(std::io::Error),
    Frame(FrameError),
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ReadError::Io(error) => write!(out, "{error}"),
            ReadError::Frame(error) => write!(out, "{error}"),
        }
    }
}

/// Reads one frame.
async fn read_frame<R: AsyncRead + Unpin>(reader: &mut R) -> Result<(FrameHeader, AlignedVec), ReadError> {
    let mut head = [0; HEADER_BYTES];
    reader.read_exact(&mut head).await.map_err(ReadError::Io)?;
    let head = FrameHeader::decode(&head).map_err(ReadError::Frame)?;
    let mut body = aligned_buffer(head.length);
    reader.read_exact(&mut body).await.map_err(ReadError::Io)?;
    head.verify(&body).map_err(ReadError::Frame)?;
    Ok((head, body))
}

/// Sets what every connection of this process has: no delay, and an end when the other side is silent.
pub fn set_socket_options(stream: &tokio::net::TcpStream, silence: std::time::Duration) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(silence));
}
