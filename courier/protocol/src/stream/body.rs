//! Where a body ends, and its content out of the bytes in which it arrives (RFC 9112, sections 6 and 7).

use crate::submission::Malformed;
use actix_http::header::{self, HeaderMap};
use bytes::{Buf, BytesMut};
use quillmount_core::flow::Cut;

const LINE_END: &[u8] = b"\r\n";
/// Bytes of the line before a chunk at most: sixteen digits are the largest size there is, the rest is for extensions.
const CHUNK_LINE_MAX: usize = 256;
/// Digits of a chunk's size at most: as many as a `u64` has.
const CHUNK_SIZE_DIGITS: usize = 16;
/// What chunk lines may take beside the content: so many bytes, and so many times the content's. A body in chunks of a single
/// byte each takes five times its content.
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
/// There is none, more than one, or both of `Content-Length` and `Transfer-Encoding` (RFC 9112, 6.3): some readers would
/// not agree on where the body ends, and another request could hide in it.
pub fn framing(headers: &HeaderMap) -> Result<Framing, Malformed> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH);
    let mut codings = headers.get_all(header::TRANSFER_ENCODING);
    match (lengths.next(), codings.next(), lengths.next(), codings.next()) {
        (Some(length), None, None, None) => {
            let text = length.to_str().map_err(|_| Malformed::Length)?.trim();
            if !text.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(Malformed::Length);
            }
            text.parse().map(Framing::Length).map_err(|_| Malformed::Length)
        }
        (None, Some(coding), None, None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked)
        }
        _ => Err(Malformed::Length),
    }
}

/// What is next in a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEvent {
    /// So many bytes at the front belong to the content; 0: more have to be received first.
    Content(usize),
    /// The body is complete.
    End,
    /// The body can't be accepted, for this reason.
    Invalid(Cut),
}

/// Takes the content of a body out of the bytes in which it arrives.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    position: Position,
    /// Bytes of the content at most.
    max_length: u64,
    /// Bytes of the content so far.
    content: u64,
    /// Bytes of the framing so far.
    overhead: u64,
}

/// Where in a body the decoder is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// So many bytes are left, of a body with a length.
    Length(u64),
    /// Before the size of the first chunk.
    FirstSize,
    /// Before the line end behind a chunk, and the size of the next one.
    NextSize,
    /// So many bytes are left of a chunk.
    Chunk(u64),
    /// Behind the size of the last chunk.
    Last,
    Done,
}

/// The line before a chunk.
enum SizeLine {
    /// The chunk's size and the length of the line, both in bytes.
    Complete { size: u64, length: usize },
    /// Its end is still to come.
    Partial,
    /// It does not begin with a size.
    Malformed,
}

impl BodyDecoder {
    /// A body whose content has `max_length` bytes at most.
    pub fn new(framing: Framing, max_length: u64) -> Self {
        let position = match framing {
            Framing::Length(0) => Position::Done,
            Framing::Length(length) => Position::Length(length),
            Framing::Chunked => Position::FirstSize,
        };
        BodyDecoder { position, max_length, content: 0, overhead: 0 }
    }

    /// Removes framing from the front of `buffer`, and returns what is next there. Content stays in `buffer`: the caller removes
    /// it and reports that to [`BodyDecoder::consumed`].
    pub fn next(&mut self, buffer: &mut BytesMut) -> BodyEvent {
        loop {
            match self.position {
                Position::Done => return BodyEvent::End,
                Position::Length(left) | Position::Chunk(left) if left > 0 => {
                    return BodyEvent::Content((buffer.len() as u64).min(left) as usize);
                }
                Position::Length(_) => self.position = Position::Done,
                Position::Chunk(_) => self.position = Position::NextSize,
                Position::FirstSize | Position::NextSize => match self.read_size_line(buffer) {
                    SizeLine::Partial => return BodyEvent::Content(0),
                    SizeLine::Malformed => return BodyEvent::Invalid(Cut::Malformed),
                    SizeLine::Complete { size, length } => {
                        buffer.advance(length);
                        if let Err(cut) = self.begin_chunk(size, length) {
                            return BodyEvent::Invalid(cut);
                        }
                    }
                },
                // Trailers could say of the body what its head did not. None is forwarded, so that none is accepted.
                Position::Last if buffer.starts_with(LINE_END) => {
                    buffer.advance(LINE_END.len());
                    self.position = Position::Done;
                }
                Position::Last if LINE_END.starts_with(buffer) => return BodyEvent::Content(0),
                Position::Last => return BodyEvent::Invalid(Cut::Malformed),
            }
        }
    }

    /// Counts content that the caller has removed from the front of the buffer, in bytes.
    pub fn consumed(&mut self, bytes: u64) {
        self.content += bytes;
        if let Position::Length(left) | Position::Chunk(left) = &mut self.position {
            *left -= bytes.min(*left);
        }
    }

    /// Reads a chunk's size line, and the line end of the chunk before it.
    fn read_size_line(&self, buffer: &[u8]) -> SizeLine {
        let line_start = if self.position == Position::FirstSize { 0 } else { LINE_END.len() };
        if buffer.len() < line_start {
            return SizeLine::Partial;
        }
        if line_start > 0 && !buffer.starts_with(LINE_END) {
            return SizeLine::Malformed;
        }
        let line = &buffer[line_start..];
        let Some(line_feed) = line.iter().take(CHUNK_LINE_MAX).position(|byte| *byte == b'\n') else {
            return if line.len() >= CHUNK_LINE_MAX { SizeLine::Malformed } else { SizeLine::Partial };
        };
        match line[..line_feed].strip_suffix(b"\r").and_then(parse_chunk_size) {
            Some(size) => SizeLine::Complete { size, length: line_start + line_feed + 1 },
            None => SizeLine::Malformed,
        }
    }

    /// Goes on with the chunk behind a size line of `length` bytes.
    fn begin_chunk(&mut self, size: u64, length: usize) -> Result<(), Cut> {
        self.overhead += length as u64;
        if self.overhead > OVERHEAD_FREE + OVERHEAD_TIMES * self.content {
            return Err(Cut::Malformed);
        }
        if size > self.max_length - self.content {
            return Err(Cut::TooLarge);
        }
        self.position = if size == 0 { Position::Last } else { Position::Chunk(size) };
        Ok(())
    }
}

/// A chunk's size, in hexadecimal digits; extensions behind a semicolon are ignored.
fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (size, extensions) = line.split_at(digits);
    let is_size_line = (1..=CHUNK_SIZE_DIGITS).contains(&digits)
        && (extensions.is_empty() || extensions.starts_with(b";"))
        && !extensions.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t');
    if !is_size_line {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(size).ok()?, 16).ok()
}
