//! A client: submits a message on a connection of its own, and reads the answer.

mod stream;

pub use stream::{BodyScript, StreamResult, block, crc, stream};

use crate::http::{BodyRemainder, Head, Reader};
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Bytes of an answer's body that are read at once.
const READ: usize = 64 * 1024;

/// A message as a client writes the head of its request.
#[derive(Clone, Debug)]
pub struct MessageRequest {
    /// The class of the message.
    pub class: String,
    /// The id of the message.
    pub id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its destination.
    pub dest: u64,
    /// What follows the destination in `X-Addressing`, as in `,settlement=evening,position=1`.
    pub of: String,
    /// The time that it may take.
    pub time_left: Duration,
    /// Further headers, each with its line end. [`submit`] and [`stream()`] add those of the body's framing.
    pub headers: String,
}

impl MessageRequest {
    /// A request without a key or further headers.
    pub fn new(class: &str, id: &str, dest: u64, time_left: Duration) -> Self {
        let (of, headers) = Default::default();
        MessageRequest { class: class.into(), id: id.into(), key: None, dest, of, time_left, headers }
    }

    /// The head of the request.
    pub fn head(&self) -> String {
        let MessageRequest { class, id, dest, of, headers, .. } = self;
        let key = self.key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        let left = self.time_left.as_millis();
        format!(
            "POST /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n{key}X-Time-Left: {left}m\r\n\
             X-Addressing: dest={dest}{of}\r\n{headers}\r\n"
        )
    }
}

/// Submits a message with a small body on a connection of its own, and returns the head of the answer.
///
/// # Errors
/// The connection broke before an answer.
pub async fn submit(courier: SocketAddr, message: &MessageRequest, body: &[u8]) -> Result<Head> {
    let mut stream = TcpStream::connect(courier).await?;
    let mut with_length = message.clone();
    with_length.headers += &format!("Content-Length: {}\r\n", body.len());
    stream.write_all(&[with_length.head().as_bytes(), body].concat()).await?;
    Reader::new(stream).head().await?.ok_or(ErrorKind::UnexpectedEof.into())
}

/// Sends a GET on a connection of its own, and returns the status and the body of the answer.
///
/// # Errors
/// The connection broke before the end of the answer.
pub async fn get(courier: SocketAddr, path: &str) -> Result<(u16, String)> {
    let mut stream = TcpStream::connect(courier).await?;
    let head = format!("GET {path} HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let mut reader = Reader::new(stream);
    let head = reader.head().await?.ok_or(ErrorKind::UnexpectedEof)?;
    let (mut left, mut body) = (BodyRemainder::from(head.framing()), Vec::new());
    while let Some(part) = reader.body(&mut left, READ).await? {
        body.extend_from_slice(&part);
    }
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}
