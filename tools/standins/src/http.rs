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
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

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
    /// Parses the bytes of a head, with the empty line at its end.
    fn parse(bytes: &[u8]) -> std::result::Result<Head, ParseError> {
        let line = bytes.iter().position(|byte| *byte == b'\r').unwrap_or(0);
        let first_line = String::from_utf8_lossy(&bytes[..line]).into_owned();
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let parsed = httparse::parse_headers(&bytes[line + LINE_END.len()..], &mut headers);
        let Ok(httparse::Status::Complete((_, headers))) = parsed else { return Err(ParseError::Headers) };
        let pair = |header: &httparse::Header| {
            (header.name.to_string(), String::from_utf8_lossy(header.value).trim().to_string())
        };
        Ok(Head { first_line, headers: headers.iter().map(pair).collect() })
    }

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

/// Bytes that are no message of HTTP/1.1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The headers can't be parsed.
    #[error("the headers of a message can't be parsed")]
    Headers,
    /// The head is too long.
    #[error("the head of a message is longer than {HEAD_MAX} bytes")]
    HeadTooLong,
    /// The size of a chunk can't be parsed.
    #[error("the size of a chunk can't be parsed")]
    ChunkSize,
}

impl From<ParseError> for Error {
    fn from(error: ParseError) -> Self {
        Error::new(ErrorKind::InvalidData, error)
    }
}

/// What a server does with a connection after a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// It reads the next call.
    Continue,
    /// It closes the connection.
    Close,
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
    /// The connection broke, or the bytes are no head ([`ParseError`]).
    pub async fn head(&mut self) -> Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END) {
                let head = self.buf.split_to(end + HEAD_END.len());
                return Ok(Some(Head::parse(&head)?));
            }
            if self.buf.len() > HEAD_MAX {
                return Err(ParseError::HeadTooLong.into());
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
                    let skip = if matches!(left, BodyRemainder::Begin) { 0 } else { LINE_END.len() };
                    match self.buf.get(skip..).map(httparse::parse_chunk_size) {
                        Some(Ok(httparse::Status::Complete((used, size)))) => {
                            self.buf.advance(skip + used);
                            *left = if size == 0 { BodyRemainder::End } else { BodyRemainder::Chunk(size) };
                        }
                        Some(Err(_)) => return Err(ParseError::ChunkSize.into()),
                        _ if self.fill_buffer().await? == 0 => return Err(ErrorKind::UnexpectedEof.into()),
                        _ => {}
                    }
                }
                BodyRemainder::End => {
                    if self.buf.len() >= LINE_END.len() {
                        self.buf.advance(LINE_END.len());
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
