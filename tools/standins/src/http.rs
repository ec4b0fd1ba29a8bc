//! As much of HTTP/1.1 (RFC 9112) as a stand-in reads: a head, and a body with a length or in chunks.

use bytes::{Buf, BytesMut};
use std::io::{Error, ErrorKind, Result};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Bytes of a head at most: no courier sends a longer one.
const HEAD_MAX: usize = 64 * 1024;
/// Bytes that are read at once.
const READ: usize = 64 * 1024;
/// Headers of a head at most.
const HEADERS_MAX: usize = 64;

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(u64),
    /// With its last chunk.
    Chunked,
}

/// The head of a request or of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// The first line.
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The value of the first header with this name, in whatever case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// How the body behind this head ends.
    pub fn framing(&self) -> Framing {
        match self.header("transfer-encoding") {
            Some(_) => Framing::Chunked,
            None => Framing::Length(self.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0)),
        }
    }

    /// The status of an answer; 0 for a request.
    pub fn status(&self) -> u16 {
        let status = self.first_line.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3));
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// The side of a connection that is read, with the bytes that were received and not used yet.
pub struct Reader<R> {
    from: R,
    buf: BytesMut,
}

fn invalid_data(what: &str) -> Error {
    Error::new(ErrorKind::InvalidData, what.to_string())
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// A reader without any bytes yet.
    pub fn new(from: R) -> Self {
        Reader { from, buf: BytesMut::new() }
    }

    /// The side itself; received bytes that were not used are lost.
    pub fn into_inner(self) -> R {
        self.from
    }

    async fn fill_buffer(&mut self) -> Result<usize> {
        self.buf.reserve(READ);
        self.from.read_buf(&mut self.buf).await
    }

    /// The next head; `None` at the connection's end.
    ///
    /// # Errors
    /// The connection broke, or the bytes are no head.
    pub async fn head(&mut self) -> Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|four| four == b"\r\n\r\n") {
                let bytes = self.buf.split_to(end + 4);
                let line = bytes.iter().position(|b| *b == b'\r').unwrap_or(0);
                let first_line = String::from_utf8_lossy(&bytes[..line]).into_owned();
                let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
                let parsed = httparse::parse_headers(&bytes[line + 2..], &mut headers);
                let Ok(httparse::Status::Complete((_, headers))) = parsed else {
                    return Err(invalid_data("no headers"));
                };
                let pair = |h: &httparse::Header| {
                    (h.name.to_string(), String::from_utf8_lossy(h.value).trim().to_string())
                };
                return Ok(Some(Head { first_line, headers: headers.iter().map(pair).collect() }));
            }
            if self.buf.len() > HEAD_MAX {
                return Err(invalid_data("an endless head"));
            }
            if self.fill_buffer().await? == 0 {
                return if self.buf.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// The next bytes of a body, `most` at most; `None` at its end. `left` is where in the body the reader is.
    ///
    /// # Errors
    /// The connection broke or ended before the body did, or its chunks can't be read.
    pub async fn body(&mut self, left: &mut BodyRemainder, most: usize) -> Result<Option<BytesMut>> {
        loop {
            match left {
                BodyRemainder::Done => return Ok(None),
                BodyRemainder::Bytes(0) => *left = BodyRemainder::Done,
                BodyRemainder::Bytes(n) | BodyRemainder::Chunk(n) if *n > 0 => {
                    if self.buf.is_empty() && self.fill_buffer().await? == 0 {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                    let take = (self.buf.len() as u64).min(*n).min(most as u64);
                    *n -= take;
                    return Ok(Some(self.buf.split_to(take as usize)));
                }
                // Between two chunks: the last one's line end, the next one's size.
                BodyRemainder::Chunk(_) | BodyRemainder::Bytes(_) | BodyRemainder::Begin => {
                    let skip = if matches!(left, BodyRemainder::Begin) { 0 } else { 2 };
                    match self.buf.get(skip..).map(httparse::parse_chunk_size) {
                        Some(Ok(httparse::Status::Complete((used, size)))) => {
                            self.buf.advance(skip + used);
                            *left = if size == 0 { BodyRemainder::End } else { BodyRemainder::Chunk(size) };
                        }
                        Some(Err(_)) => return Err(invalid_data("no chunk")),
                        _ if self.fill_buffer().await? == 0 => return Err(ErrorKind::UnexpectedEof.into()),
                        _ => {}
                    }
                }
                BodyRemainder::End => {
                    if self.buf.len() >= 2 {
                        self.buf.advance(2);
                        *left = BodyRemainder::Done;
                    } else if self.fill_buffer().await? == 0 {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                }
            }
        }
    }
}

/// What is left to be read of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRemainder {
    /// This many bytes.
    Bytes(u64),
    /// Chunks; next is the size of the first.
    Begin,
    /// This many bytes of a chunk, and further chunks.
    Chunk(u64),
    /// The line end behind the size of the last chunk.
    End,
    /// Nothing.
    Done,
}

impl From<Framing> for BodyRemainder {
    fn from(framing: Framing) -> Self {
        match framing {
            Framing::Length(n) => BodyRemainder::Bytes(n),
            Framing::Chunked => BodyRemainder::Begin,
        }
    }
}
