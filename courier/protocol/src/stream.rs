//! Streamed submissions on HTTP/1.1: how their bodies are framed and checked, what an endpoint is sent, and
//! what the client is answered at the end.

use super::submission::{Malformed, plain};
use actix_http::header::{self, HeaderMap};
use actix_http::{Response, StatusCode};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, Bytes, BytesMut};
use quillmount_core::flow::Cut;
use quillmount_core::router::StreamEnd;
use quillmount_core::{DeliveryCall, StreamHead};
use sha2::{Digest as _, Sha256};

/// The line before a chunk: sixteen digits are the largest size there is, the rest is for extensions.
const CHUNK_LINE_MAX: usize = 256;
/// What chunks may cost beside what they carry: so many bytes, and so many times the body's. A body of single
/// bytes in chunks takes five times its own.
const OVERHEAD_FREE: u64 = 64 * 1024;
const OVERHEAD_TIMES: u64 = 7;

/// How the end of a body is marked (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// `Content-Length`, in bytes.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
}

/// How a body ends, by the one header that may say so.
///
/// # Errors
/// None, more than one, or both of `Content-Length` and `Transfer-Encoding` (RFC 9112, 6.3): some readers would
/// not agree on where the body ends, and another request could hide in it.
pub fn framing(headers: &HeaderMap) -> Result<Framing, Malformed> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH);
    let mut codings = headers.get_all(header::TRANSFER_ENCODING);
    match (lengths.next(), codings.next(), lengths.next(), codings.next()) {
        (Some(length), None, None, None) => {
            let text = length.to_str().map_err(|_| Malformed::Length)?.trim();
            let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            text.parse().ok().filter(|_| digits).map(Framing::Length).ok_or(Malformed::Length)
        }
        (None, Some(coding), None, None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked)
        }
        _ => Err(Malformed::Length),
    }
}

/// What is next in a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// So many bytes at the front belong to the body; 0: more has to come first.
    Body(usize),
    /// The body is over.
    End,
    /// The body can't be accepted, for this reason.
    Bad(Cut),
}

/// Reads the framing of a body out of the bytes in which it comes.
#[derive(Clone, Debug)]
pub struct Body {
    at: At,
    /// The most that the body may have.
    most: u64,
    body: u64,
    overhead: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    /// So many bytes are left, of a body with a length.
    Length(u64),
    /// Before a chunk's size; `first` has no line end before it.
    Size {
        first: bool,
    },
    /// So many bytes are left of a chunk.
    Chunk(u64),
    /// Behind the last chunk's size.
    Last,
    Done,
}

impl Body {
    /// A body of `most` bytes at most.
    pub fn new(framing: Framing, most: u64) -> Self {
        let at = match framing {
            Framing::Length(0) => At::Done,
            Framing::Length(n) => At::Length(n),
            Framing::Chunked => At::Size { first: true },
        };
        Body { at, most, body: 0, overhead: 0 }
    }

    /// Removes framing from the front of `buf`, and returns what is next there. Bytes of the body stay in `buf`: the caller
    /// removes them and reports them to [`Body::took`].
    pub fn next(&mut self, buf: &mut BytesMut) -> Next {
        loop {
            match self.at {
                At::Done => return Next::End,
                At::Length(n) | At::Chunk(n) if n > 0 => {
                    return Next::Body((buf.len() as u64).min(n) as usize);
                }
                At::Length(_) => self.at = At::Done,
                At::Chunk(_) => self.at = At::Size { first: false },
                At::Size { first } => {
                    let before = if first { 0 } else { 2 };
                    if buf.len() < before {
                        return Next::Body(0);
                    }
                    if !first && !buf.starts_with(b"\r\n") {
                        return Next::Bad(Cut::Malformed);
                    }
                    let line = &buf[before..];
                    let Some(end) = line.iter().take(CHUNK_LINE_MAX).position(|b| *b == b'\n') else {
                        return if line.len() >= CHUNK_LINE_MAX {
                            Next::Bad(Cut::Malformed)
                        } else {
                            Next::Body(0)
                        };
                    };
                    let Some(size) = line[..end].strip_suffix(b"\r").and_then(size) else {
                        return Next::Bad(Cut::Malformed);
                    };
                    self.overhead += (before + end + 1) as u64;
                    buf.advance(before + end + 1);
                    if self.overhead > OVERHEAD_FREE + OVERHEAD_TIMES * self.body {
                        return Next::Bad(Cut::Malformed);
                    }
                    if size > self.most - self.body {
                        return Next::Bad(Cut::TooLarge);
                    }
                    self.at = if size == 0 { At::Last } else { At::Chunk(size) };
                }
                // Trailers could say of the body what its head did not; none is passed on, so none is taken.
                At::Last if buf.len() < 2 && b"\r\n".starts_with(buf) => return Next::Body(0),
                At::Last if buf.starts_with(b"\r\n") => {
                    buf.advance(2);
                    self.at = At::Done;
                }
                At::Last => return Next::Bad(Cut::Malformed),
            }
        }
    }

    /// Counts bytes of the body that the caller has removed from the front of the buffer.
    pub fn took(&mut self, bytes: u64) {
        self.body += bytes;
        if let At::Length(n) | At::Chunk(n) = &mut self.at {
            *n -= bytes.min(*n);
        }
    }
}

/// A chunk's size (RFC 9112, section 7.1); extensions behind a semicolon are ignored.
fn size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let (size, rest) = line.split_at(digits);
    let sound = (1..=16).contains(&digits)
        && (rest.is_empty() || rest[0] == b';')
        && !rest.iter().any(|b| b.is_ascii_control() && *b != b'\t');
    u64::from_str_radix(std::str::from_utf8(size).ok()?, 16).ok().filter(|_| sound)
}

/// The SHA-256 digest that a client has announced for a body (`Content-Digest`, RFC 9530).
#[derive(Clone)]
pub struct Digest {
    wanted: [u8; 32],
    so_far: Sha256,
}

impl Digest {
    /// The one in `Content-Digest`, if there is one of `sha-256`; others pass unread.
    ///
    /// # Errors
    /// It has no form of a digest.
    pub fn of(headers: &HeaderMap) -> Result<Option<Digest>, Malformed> {
        let mut found = None;
        for value in headers.get_all("content-digest") {
            let text = value.to_str().map_err(|_| Malformed::Digest)?;
            for member in text.split(',') {
                let (name, value) = member.trim().split_once('=').ok_or(Malformed::Digest)?;
                let value = value.strip_prefix(':').and_then(|v| v.strip_suffix(':'));
                let bytes =
                    STANDARD.decode(value.ok_or(Malformed::Digest)?).map_err(|_| Malformed::Digest)?;
                if name == "sha-256" {
                    let wanted = bytes.try_into().map_err(|_| Malformed::Digest)?;
                    let twice = found.replace(Digest { wanted, so_far: Sha256::new() }).is_some();
                    if twice {
                        return Err(Malformed::Digest);
                    }
                }
            }
        }
        Ok(found)
    }

    /// Adds the next bytes of the body.
    pub fn update(&mut self, bytes: &[u8]) {
        self.so_far.update(bytes);
    }

    /// Whether the complete body has the announced digest.
    pub fn matches(self) -> bool {
        self.so_far.finalize().as_slice() == self.wanted
    }
}

/// `Content-Digest` as the client sent it, to be forwarded.
pub fn digest_text(headers: &HeaderMap) -> Option<String> {
    let all: Vec<&str> = headers.get_all("content-digest").filter_map(|v| v.to_str().ok()).collect();
    (!all.is_empty()).then(|| all.join(", "))
}

/// The head of a call; its body follows in the same framing. `Expect: 100-continue` lets the endpoint reject
/// the call before a byte of the body is sent.
pub fn encode_head(call: &DeliveryCall, head: &StreamHead) -> String {
    let payload = &call.payload;
    let key = payload.key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
    let digest = head.digest.as_ref().map(|d| format!("Content-Digest: {d}\r\n")).unwrap_or_default();
    let framing = match head.length {
        Some(length) => format!("Content-Length: {length}"),
        None => "Transfer-Encoding: chunked".to_string(),
    };
    let (addr, id, left) = (call.addr, &payload.id, call.timeout.div_ceil(1_000));
    format!(
        "POST {} HTTP/1.1\r\nHost: {addr}\r\nX-Correlation-Id: {id}\r\n{key}X-Time-Left: {left}m\r\n{digest}\
         Expect: 100-continue\r\n{framing}\r\n\r\n",
        super::delivery::PATH
    )
}

/// The line before a chunk of so many bytes.
pub fn chunk_line(bytes: u64) -> Bytes {
    Bytes::from(format!("{bytes:x}\r\n"))
}

/// The line end behind a chunk's bytes.
pub const CHUNK_END: Bytes = Bytes::from_static(b"\r\n");
/// The last chunk, with the empty line that ends the body.
pub const LAST_CHUNK: Bytes = Bytes::from_static(b"0\r\n\r\n");

/// The final answer to a streamed submission.
pub fn answer(end: StreamEnd) -> Response<Bytes> {
    let mut response = match end {
        StreamEnd::Delivered => plain(StatusCode::OK, "delivered\n"),
        StreamEnd::Deferred(_) => plain(StatusCode::SERVICE_UNAVAILABLE, "come again\n"),
        StreamEnd::Failed => plain(StatusCode::BAD_GATEWAY, "ended, perhaps with an effect\n"),
        StreamEnd::Cut(why) => {
            let (status, text) = match why {
                Cut::Gone => (StatusCode::BAD_REQUEST, "the body ended before its end\n"),
                Cut::Malformed => (StatusCode::BAD_REQUEST, "no body as RFC 9112 has it\n"),
                Cut::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is over its limit\n"),
                Cut::Digest => (StatusCode::BAD_REQUEST, "the body has another digest\n"),
                Cut::Late(_) => (StatusCode::REQUEST_TIMEOUT, "the body comes too slowly\n"),
            };
            plain(status, text)
        }
    };
    if let StreamEnd::Deferred(after) = end {
        super::submission::set_retry_after(&mut response, after);
    }
    response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    response
}
