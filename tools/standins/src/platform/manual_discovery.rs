//! A discovery service whose answers a test writes, byte for byte.

use crate::gate::{AcceptMode, Gate};
use crate::http::{Head, Reader};
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Instant;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, spawn_local};

/// Requests that wait for the test; while there are as many, further ones wait on their connections.
const PENDING_REQUESTS_MAX: usize = 256;

/// A discovery service whose answers a test writes; closed when it is dropped.
pub struct ManualDiscovery {
    /// The address for the courier.
    pub addr: SocketAddr,
    accept_mode: watch::Sender<AcceptMode>,
    requests: mpsc::Receiver<DiscoveryRequest>,
    task: AbortHandle,
}

impl Drop for ManualDiscovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A request that was received, with its connection, which is closed when this is dropped.
pub struct DiscoveryRequest {
    /// When it was received.
    pub at: Instant,
    /// The version after which changes are wanted.
    pub after: u64,
    reader: Reader<OwnedReadHalf>,
    to: OwnedWriteHalf,
}

/// A request that a courier should not have sent.
#[derive(Debug, thiserror::Error)]
#[error("an unexpected request to discovery: {first_line}")]
struct UnexpectedRequest {
    first_line: String,
}

fn unexpected(head: Head) -> Error {
    Error::new(ErrorKind::InvalidData, UnexpectedRequest { first_line: head.first_line })
}

impl ManualDiscovery {
    /// Opens the service; must run in a `LocalSet`.
    ///
    /// # Errors
    /// The system has no port.
    pub async fn open() -> Result<ManualDiscovery> {
        let gate = Gate::open()?;
        let addr = gate.addr();
        let (accept_mode, receiver) = watch::channel(AcceptMode::Open);
        let (to, requests) = mpsc::channel(PENDING_REQUESTS_MAX);
        let task = spawn_local(accept_requests(gate, receiver, to)).abort_handle();
        Ok(ManualDiscovery { addr, accept_mode, requests, task })
    }

    /// Sets how new connections are treated, from now on.
    pub fn set(&self, accept_mode: AcceptMode) {
        self.accept_mode.send_replace(accept_mode);
    }

    /// The next request.
    ///
    /// # Errors
    /// The service has ended.
    pub async fn next_request(&mut self) -> Result<DiscoveryRequest> {
        self.requests.recv().await.ok_or_else(|| ErrorKind::NotConnected.into())
    }
}

impl DiscoveryRequest {
    /// Reads the request of a connection; `None`: the connection ended without one.
    async fn read(stream: TcpStream) -> Result<Option<DiscoveryRequest>> {
        let (from, to) = stream.into_split();
        let mut reader = Reader::new(from);
        let Some(head) = reader.head().await? else { return Ok(None) };
        let parameter = head.first_line.split_once("after=");
        let after = parameter.and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        let after = after.ok_or_else(|| unexpected(head))?;
        Ok(Some(DiscoveryRequest { at: Instant::now(), after, reader, to }))
    }

    /// Writes these bytes.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.to.write_all(bytes).await
    }

    /// Writes the head of an answer in chunks.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn head(&mut self) -> Result<()> {
        self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await
    }

    /// Writes a chunk of the answer; an empty one is its end.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn send_chunk(&mut self, text: &str) -> Result<()> {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
    }

    /// Resets the connection.
    pub fn reset(self) {
        let _ = self.to.as_ref().set_zero_linger();
    }

    /// Waits until the courier has closed the connection.
    ///
    /// # Errors
    /// It sent another request, for which it should have opened a new connection.
    pub async fn wait_for_close(&mut self) -> Result<()> {
        match self.reader.head().await {
            Ok(Some(head)) => Err(unexpected(head)),
            Ok(None) | Err(_) => Ok(()),
        }
    }
}

/// Accepts connections, and reads the request of each, until the service is dropped.
async fn accept_requests(
    mut gate: Gate,
    mut accept_mode: watch::Receiver<AcceptMode>,
    requests: mpsc::Sender<DiscoveryRequest>,
) {
    loop {
        tokio::select! {
            biased;
            changed = accept_mode.changed() => {
                let accept_mode = *accept_mode.borrow_and_update();
                if changed.is_err() || gate.set(accept_mode).is_err() {
                    return;
                }
            }
            stream = gate.accept() => {
                let Ok(stream) = stream else { continue };
                let requests = requests.clone();
                spawn_local(async move {
                    if let Ok(Some(request)) = DiscoveryRequest::read(stream).await {
                        let _ = requests.send(request).await;
                    }
                });
            }
        }
    }
}
