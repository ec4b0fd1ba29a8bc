//! The server's side of a connection: requests are read within the limits of the configuration.

use super::response::{HttpResponse, reason_phrase};
use crate::{clock, socket};
use quillmount_dataplane::body::BodyReader;
use quillmount_dataplane::head::{Framing, RequestHead, parse_request};
use quillmount_wire::Micros;
use quillmount_wire::configuration::ClientLimits;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest number of bytes in one read.
const READ_BYTES: usize = 16 * 1024;
/// Largest number of bytes that a client may send ahead of a response.
const PIPELINED_LIMIT: usize = 64 * 1024;
/// Time after which a write that the client does not accept is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a closed connection is still read.
const LINGER: Duration = Duration::from_millis(500);

/// Why no request was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestReadError {
    /// The connection ended between two requests, or broke.
    #[error("the connection is closed")]
    Closed,
    /// The request has to be answered with this status, and the connection closed.
    #[error("the request is rejected with status {0}")]
    Reject(u16),
}

/// A complete request.
#[derive(Debug)]
pub struct HttpRequest {
    /// First line and headers.
    pub head: RequestHead,
    /// Content of the body.
    pub body: Vec<u8>,
    /// When its last byte was read.
    pub arrived: Micros,
}

/// A connection with a buffer for what was read.
pub struct Connection {
    stream: TcpStream,
    /// Bytes that were read and not yet used.
    pub(super) buffer: Vec<u8>,
}

impl Connection {
    /// A connection from which nothing was read.
    pub fn new(stream: TcpStream) -> Connection {
        Connection { stream, buffer: Vec::new() }
    }

    /// Waits for the first byte of a request.
    pub async fn wait_for_input(&mut self) -> Result<(), RequestReadError> {
        if self.buffer.is_empty() { self.fill_or_closed().await } else { Ok(()) }
    }

    /// Reads a request. One that violates a limit is rejected with a response and the connection closed. `None` if the connection
    /// can't be used further.
    pub async fn next_request(&mut self, limits: &ClientLimits) -> Option<HttpRequest> {
        match self.read_request(limits).await {
            Ok(request) => Some(request),
            Err(RequestReadError::Reject(status)) => {
                let _ = self.write(&HttpResponse::text(status, reason_phrase(status)).encode(false)).await;
                self.close_lingering().await;
                None
            }
            Err(RequestReadError::Closed) => None,
        }
    }

    /// Writes bytes; fails with [`ErrorKind::TimedOut`] if the client does not accept them in time.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        match timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await {
            Ok(written) => written,
            Err(_) => Err(ErrorKind::TimedOut.into()),
        }
    }

    /// Waits until the client has closed the connection. What it sends ahead is kept for the next request, up to a limit.
    pub async fn client_disconnected(&mut self) {
        while self.buffer.len() < PIPELINED_LIMIT {
            if self.fill_or_closed().await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Closes the connection after a last response. Unread bytes would reset it and could destroy the response on its way
    /// (RFC 9112, section 9.6), so what the client sends is read and dropped for a while.
    pub async fn close_lingering(&mut self) {
        let _ = self.stream.shutdown().await;
        let drain = async {
            self.buffer.clear();
            while let Ok(read) = self.fill().await {
                if read == 0 {
                    return;
                }
                self.buffer.clear();
            }
        };
        let _ = timeout(LINGER, drain).await;
    }

    /// Waits for bytes and appends them to the buffer. Returns their number, 0 at the end of the connection.
    pub(super) async fn fill(&mut self) -> std::io::Result<usize> {
        socket::read_available::<READ_BYTES>(&self.stream, &mut self.buffer).await
    }

    async fn fill_or_closed(&mut self) -> Result<(), RequestReadError> {
        match self.fill().await {
            Ok(0) | Err(_) => Err(RequestReadError::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Reads a request whose first byte is in the buffer.
    async fn read_request(&mut self, limits: &ClientLimits) -> Result<HttpRequest, RequestReadError> {
        let head =
            match timeout(clock::duration_from_ms(limits.head_timeout_ms), self.read_head(limits)).await {
                Ok(head) => head?,
                Err(_) => return Err(RequestReadError::Reject(408)),
            };
        if head.headers.has_token("Expect", "100-continue") {
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| RequestReadError::Closed)?;
        }
        let idle_timeout = clock::duration_from_ms(limits.idle_timeout_ms);
        let body = self.read_body(head.framing, limits.max_body_bytes, idle_timeout).await?;
        Ok(HttpRequest { head, body, arrived: clock::now() })
    }

    async fn read_head(&mut self, limits: &ClientLimits) -> Result<RequestHead, RequestReadError> {
        loop {
            match parse_request(&self.buffer) {
                Ok(Some((head, length))) => {
                    if length as u64 > limits.max_head_bytes {
                        return Err(RequestReadError::Reject(431));
                    }
                    self.buffer.drain(..length);
                    return Ok(head);
                }
                Ok(None) if self.buffer.len() as u64 > limits.max_head_bytes => {
                    return Err(RequestReadError::Reject(431));
                }
                Ok(None) => {}
                Err(_) => return Err(RequestReadError::Reject(400)),
            }
            self.fill_or_closed().await?;
        }
    }

    async fn read_body(
        &mut self,
        framing: Framing,
        limit: u64,
        idle_timeout: Duration,
    ) -> Result<Vec<u8>, RequestReadError> {
        if let Framing::Length(length) = framing
            && length > limit
        {
            return Err(RequestReadError::Reject(413));
        }
        let mut reader = BodyReader::new(framing);
        let mut body = Vec::new();
        loop {
            reader.read(&mut self.buffer, &mut body).map_err(|_| RequestReadError::Reject(400))?;
            if body.len() as u64 > limit {
                return Err(RequestReadError::Reject(413));
            }
            if reader.is_done() {
                return Ok(body);
            }
            match timeout(idle_timeout, self.fill_or_closed()).await {
                Ok(filled) => filled?,
                Err(_) => return Err(RequestReadError::Reject(408)),
            }
        }
    }
}
