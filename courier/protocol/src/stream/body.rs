//! Determines where a request body ends and removes its framing (RFC 9112, sections 6 and 7).

use crate::submission::Malformed;
use actix_http::header::{self, HeaderMap};
use bytes::{Buf, BytesMut};
use quillmount_core::flow::Cut;

const LINE_END: &[u8] = b"\r\n";
/// Maximum length of a chunk's size line in bytes. The size takes at most sixteen digits, which leaves the
/// remainder to chunk extensions.
const CHUNK_LINE_MAX: usize = 256;
/// Maximum number of digits of a chunk size: the hexadecimal digits of a `u64`.
const CHUNK_SIZE_DIGITS: usize = 16;
/// Maximum overhead of chunk framing in bytes: this constant, plus [`OVERHEAD_PER_CONTENT_BYTE`] for each byte of
/// content. In a body of one-byte chunks the framing takes five times the content.
const OVERHEAD_BASE: u64 = 64 * 1024;
const OVERHEAD_PER_CONTENT_BYTE: u64 = 7;

/// How a request delimits its body (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// `Content-Length`, in bytes.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
}

/// Returns how a request delimits its body, from the single header that specifies it.
///
/// # Errors
/// The header is missing, repeated or invalid, or both `Content-Length` and `Transfer-Encoding` are present (RFC
/// 9112, 6.3). Implementations disagree on where such a body ends, which allows request smuggling.
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

/// The next element of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEvent {
    /// This many bytes at the front of the buffer are content; 0 means that more bytes have to be received first.
    Content(usize),
    /// The body is complete.
    End,
    /// The body is rejected for this reason.
    Invalid(Cut),
}

/// Incremental decoder that removes the framing from a request body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    position: Position,
    /// Maximum length of the content in bytes.
    max_length: u64,
    /// Content consumed so far, in bytes.
    content_length: u64,
    /// Chunk size lines decoded so far, in bytes, including the line ends of the chunks before them.
    overhead: u64,
}

/// The state of the decoder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// Inside a body with `Content-Length`, with this many bytes remaining.
    Length(u64),
    /// Before the size line of the first chunk.
    FirstSize,
    /// Before the line end of a chunk, which the size line of the next chunk follows.
    NextSize,
    /// Inside a chunk, with this many bytes remaining.
    Chunk(u64),
    /// After the size line of the last chunk, before the empty line that ends the body.
    LastChunk,
    Done,
}

/// The size line of a chunk, as far as it has been received.
enum SizeLine {
    /// The chunk's size and the length of the line, both in bytes. The length includes the line end of the chunk
    /// before.
    Complete { size: u64, length: usize },
    /// The end of the line has not been received.
    Partial,
    /// The line does not begin with a size, or is too long.
    Malformed,
}

impl BodyDecoder {
    /// Creates a decoder for a body with at most `max_length` bytes of content.
    pub fn new(framing: Framing, max_length: u64) -> Self {
        let position = match framing {
            Framing::Length(0) => Position::Done,
            Framing::Length(length) => Position::Length(length),
            Framing::Chunked => Position::FirstSize,
        };
        BodyDecoder { position, max_length, content_length: 0, overhead: 0 }
    }

    /// Removes framing from the front of `buffer` and returns the next element. Content stays in `buffer`: the
    /// caller removes it and reports its length to [`BodyDecoder::consumed`].
    pub fn next(&mut self, buffer: &mut BytesMut) -> BodyEvent {
        loop {
            match self.position {
                Position::Done => return BodyEvent::End,
                Position::Length(remaining) | Position::Chunk(remaining) if remaining > 0 => {
                    return BodyEvent::Content((buffer.len() as u64).min(remaining) as usize);
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
                // Trailer fields could contradict the head of the request. The courier does not forward them, so it
                // rejects them.
                Position::LastChunk if buffer.starts_with(LINE_END) => {
                    buffer.advance(LINE_END.len());
                    self.position = Position::Done;
                }
                Position::LastChunk if LINE_END.starts_with(buffer) => return BodyEvent::Content(0),
                Position::LastChunk => return BodyEvent::Invalid(Cut::Malformed),
            }
        }
    }

    /// Records that the caller has removed `bytes` of content from the front of the buffer.
    pub fn consumed(&mut self, bytes: u64) {
        self.content_length += bytes;
        if let Position::Length(remaining) | Position::Chunk(remaining) = &mut self.position {
            *remaining -= bytes.min(*remaining);
        }
    }

    /// Parses a chunk's size line, and the line end of the chunk before it.
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

    /// Starts the chunk of `size` bytes that follows a size line of `length` bytes.
    fn begin_chunk(&mut self, size: u64, length: usize) -> Result<(), Cut> {
        self.overhead += length as u64;
        if self.overhead > OVERHEAD_BASE + OVERHEAD_PER_CONTENT_BYTE * self.content_length {
            return Err(Cut::Malformed);
        }
        if size > self.max_length - self.content_length {
            return Err(Cut::TooLarge);
        }
        self.position = if size == 0 { Position::LastChunk } else { Position::Chunk(size) };
        Ok(())
    }
}

/// Parses a chunk size in hexadecimal digits; extensions after a semicolon are ignored.
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
