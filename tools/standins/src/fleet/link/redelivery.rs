//! Sends a stored request once more, on a connection of its own.

use super::state::LinkState;
use crate::fault::LinkEventKind;
use crate::http::{BodyRemainder, Reader};
use bytes::Bytes;
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Bytes of an answer that are read at once.
const READ: usize = 64 * 1024;

/// Delivers a request to the target of the link, drops the body of its answer, records the event and returns the status.
///
/// # Errors
/// The target can't be reached, or did not answer completely.
pub(super) async fn redeliver(shared: Rc<LinkState>, connection: u64, request: Bytes) -> Result<u16> {
    let status = exchange(shared.target, &request).await;
    let recorded = status.as_ref().map_or(0, |status| *status);
    shared.record_event(connection, LinkEventKind::Redelivered(recorded));
    status
}

async fn exchange(target: SocketAddr, request: &[u8]) -> Result<u16> {
    let mut stream = TcpStream::connect(target).await?;
    stream.write_all(request).await?;
    let mut reader = Reader::new(stream);
    let head = reader.head().await?.ok_or(ErrorKind::UnexpectedEof)?;
    let mut left = BodyRemainder::from(head.framing());
    while reader.body(&mut left, READ).await?.is_some() {}
    Ok(head.status())
}
