//! The bytes of one client's connection: its socket, the codec, and what is read but not parsed yet.

use crate::transport::CONTINUE;
use actix_http::body::{BodySize, MessageBody};
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{Request, Response, ServiceConfig};
use actix_rt::net::TcpStream;
use actix_rt::time::{Instant, sleep_until};
use bytes::{Bytes, BytesMut};
use quillmount_protocol::submission::{self, Malformed};
use socket2::SockRef;
use std::io::{self, Read};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout_at;
use tokio_util::codec::{Decoder, Encoder};

/// After an answer that ends a connection, this time and this many bytes are waited for, so that a client that still
/// sends gets the answer before its connection is reset.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_MAX: usize = 256 * 1024;
/// The longest head that is read, in bytes; the platform's take some 300.
const HEAD_MAX: usize = 8 * 1024;
/// Bytes that one read may take.
const READ: usize = 2 * 1024;
/// The capacity that an encoded answer starts with, in bytes.
const ANSWER_CAPACITY: usize = 256;

/// What came of reading a request's head.
pub(super) enum HeadRead {
    /// The head is complete; its body follows.
    Request(Request),
    /// The connection ended between requests.
    Closed,
    /// The head can't be accepted.
    Malformed(Malformed),
}

/// One client's socket, the codec, and the bytes that are read but not parsed yet.
pub(super) struct ClientSocket {
    pub(super) stream: TcpStream,
    codec: Codec,
    /// The head of the request whose body is still incomplete, as it was read.
    head: Bytes,
    pub(super) buf: BytesMut,
}

impl ClientSocket {
    /// A connection with the bytes that were read from it already.
    pub(super) fn new(stream: TcpStream, buf: BytesMut) -> Self {
        ClientSocket { stream, codec: Codec::new(ServiceConfig::default()), head: Bytes::new(), buf }
    }

    /// Gives up the socket, with all bytes of the unfinished request that were read from it.
    pub(super) fn into_parts(self) -> (TcpStream, Vec<u8>) {
        let mut bytes = BytesMut::from(&self.head[..]);
        bytes.extend_from_slice(&self.buf);
        (self.stream, bytes.into())
    }

    /// Whether no byte of a request has come since the last one.
    pub(super) fn is_between_requests(&self) -> bool {
        self.buf.is_empty() && self.codec.message_type() == MessageType::None
    }

    /// Whether the client wants to keep the connection after the answer.
    pub(super) fn keep_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Frees the read buffer of a connection that becomes idle.
    pub(super) fn free_buffer(&mut self) {
        self.buf = BytesMut::new();
    }

    /// Reads the head of the next request.
    ///
    /// # Errors
    /// The connection broke.
    pub(super) async fn read_head(&mut self) -> io::Result<HeadRead> {
        while !submission::has_complete_head(&self.buf) {
            if self.buf.len() > HEAD_MAX {
                return Ok(HeadRead::Malformed(Malformed::HeadTooLarge));
            }
            if submission::has_bare_lf(&self.buf) {
                return Ok(HeadRead::Malformed(Malformed::Unreadable));
            }
            if self.read().await? == 0 {
                return Ok(match self.buf.is_empty() {
                    true => HeadRead::Closed,
                    false => HeadRead::Malformed(Malformed::Unreadable),
                });
            }
        }
        if submission::has_bare_lf(&self.buf) {
            return Ok(HeadRead::Malformed(Malformed::Unreadable));
        }
        let before = self.buf.clone().freeze();
        let Ok(Some(Message::Item(request))) = self.codec.decode(&mut self.buf) else {
            return Ok(HeadRead::Malformed(Malformed::Unreadable));
        };
        self.head = before.slice(..before.len().saturating_sub(self.buf.len()));
        Ok(HeadRead::Request(request))
    }

    /// Reads the body of a request whose head was read last, of `length` bytes.
    ///
    /// # Errors
    /// The connection broke; the inner error says why the request can't be accepted.
    pub(super) async fn read_body(
        &mut self,
        request: &Request,
        length: usize,
    ) -> io::Result<Result<Bytes, Malformed>> {
        if request.head().expect() && self.buf.len() < length {
            self.stream.write_all(CONTINUE).await?;
        }
        while self.buf.len() < length {
            if self.read().await? == 0 {
                return Ok(Err(Malformed::Unreadable));
            }
        }
        let mut body = Bytes::new();
        while self.codec.message_type() == MessageType::Payload {
            match self.codec.decode(&mut self.buf) {
                Ok(Some(Message::Chunk(Some(chunk)))) => body = chunk,
                Ok(Some(Message::Chunk(None))) => {}
                _ => return Ok(Err(Malformed::Unreadable)),
            }
        }
        self.head = Bytes::new();
        // A client sends one request at a time: there is no good reason for bytes that follow this one.
        if !self.buf.is_empty() || self.stream.try_read_buf(&mut self.buf).is_ok_and(|n| n > 0) {
            return Ok(Err(Malformed::Pipelined));
        }
        Ok(Ok(body))
    }

    /// Reads what the system has received by now; whether that was anything. The runtime knows of it only from its
    /// last poll on, and a thread that was busy since then would close the connection over a request.
    pub(super) fn read_arrived(&mut self) -> bool {
        let mut bytes = [0; READ];
        let mut socket = &*SockRef::from(&self.stream);
        let read = socket.read(&mut bytes).unwrap_or(0);
        self.buf.extend_from_slice(&bytes[..read]);
        read > 0
    }

    async fn read(&mut self) -> io::Result<usize> {
        self.buf.reserve(READ);
        self.stream.read_buf(&mut self.buf).await
    }

    /// The bytes of an answer.
    ///
    /// # Errors
    /// The codec refuses it.
    pub(super) fn encode(&mut self, answer: Response<Bytes>) -> io::Result<BytesMut> {
        let mut bytes = BytesMut::with_capacity(ANSWER_CAPACITY);
        let (head, body) = answer.into_parts();
        let size = body.size();
        self.codec.encode(Message::Item((head, size)), &mut bytes)?;
        if let BodySize::Sized(1..) = size {
            self.codec.encode(Message::Chunk(Some(body)), &mut bytes)?;
        }
        self.codec.encode(Message::Chunk(None), &mut bytes)?;
        Ok(bytes)
    }

    /// The last answer is on its way: closes the sending side, and discards what the client still sends.
    ///
    /// # Errors
    /// The connection broke.
    pub(super) async fn linger(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let (until, mut left) = (Instant::now() + LINGER, LINGER_MAX);
        self.buf = BytesMut::with_capacity(READ);
        while left > 0 {
            self.buf.clear();
            match timeout_at(until, self.stream.read_buf(&mut self.buf)).await {
                Ok(Ok(n)) if n > 0 => left = left.saturating_sub(n),
                _ => return Ok(()),
            }
        }
        sleep_until(until).await;
        Ok(())
    }
}
