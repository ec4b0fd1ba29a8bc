//! A client's connection whose bytes a test writes.

use super::WAIT_TIMEOUT;
use crate::http::{BodyRemainder, Head, Reader};
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// A client's connection whose bytes the test writes.
pub struct ClientConnection {
    /// The side that is read.
    pub from: Reader<OwnedReadHalf>,
    /// The side that is written.
    pub to: OwnedWriteHalf,
}

impl ClientConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// The courier refuses it.
    pub async fn connect(courier: SocketAddr) -> Result<ClientConnection> {
        let stream = TcpStream::connect(courier).await?;
        stream.set_nodelay(true)?;
        let (from, to) = stream.into_split();
        Ok(ClientConnection { from: Reader::new(from), to })
    }

    /// Writes these bytes.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.to.write_all(bytes).await
    }

    /// Reads the next answer with its body, and returns its head; `None`: the connection ended, and was not reset.
    ///
    /// # Errors
    /// The connection broke, or there was no complete answer in time.
    pub async fn read_answer(&mut self) -> Result<Option<Head>> {
        let answer = async {
            let Some(head) = self.from.head().await? else { return Ok(None) };
            let mut left = BodyRemainder::from(head.framing());
            while self.from.body(&mut left, usize::MAX).await?.is_some() {}
            Ok(Some(head))
        };
        timeout(WAIT_TIMEOUT, answer).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
    }

    /// Reads the next answer, and returns its status.
    ///
    /// # Errors
    /// The connection ended or broke, or there was no complete answer in time.
    pub async fn status(&mut self) -> Result<u16> {
        Ok(self.read_answer().await?.ok_or(ErrorKind::UnexpectedEof)?.status())
    }

    /// Sends a request, and returns the status of its answer.
    ///
    /// # Errors
    /// See [`ClientConnection::send`] and [`ClientConnection::status`].
    pub async fn exchange(&mut self, request: &[u8]) -> Result<u16> {
        self.send(request).await?;
        self.status().await
    }
}
