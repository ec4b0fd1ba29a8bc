//! Bodies of HTTP/1.1 messages: with a length, chunked, or until the connection closes (RFC 9112, sections 6 and 7).
//!
//! The caller passes received bytes to a [`BodyReader`] until [`BodyReader::is_done`].

use crate::head::Framing;

const LINE_BREAK: &[u8] = b"\r\n";
/// Longest line with a chunk size, or of a trailer, bytes.
const LINE_LIMIT: usize = 1024;
/// Most digits of a chunk size: a size of 15 hexadecimal digits always fits in 64 bits.
const CHUNK_SIZE_DIGITS: usize = 15;

/// The end of a chunked body without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The chunks of a body are malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the chunks of a body can't be read")]
pub struct BodyError;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// Bytes left of a body with a length.
    Length(u64),
    /// Before the line with the size of a chunk.
    ChunkSize,
    /// Bytes left of a chunk.
    Chunk(u64),
    /// Before the line break behind a chunk.
    ChunkEnd,
    /// Behind the last chunk, before a trailer line or the empty line that ends the body.
    Trailer,
    UntilClose,
    Done,
}

/// Extracts one body from the bytes of a connection.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: BodyState,
}

impl BodyReader {
    /// A reader at the start of a body.
    pub fn new(framing: Framing) -> BodyReader {
        let state = match framing {
            Framing::Empty => BodyState::Done,
            Framing::Length(length) => BodyState::Length(length),
            Framing::Chunked => BodyState::ChunkSize,
            Framing::UntilClose => BodyState::UntilClose,
        };
        BodyReader { state }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == BodyState::Done
    }

    /// Whether the body ends where the connection closes.
    pub fn ends_with_connection(&self) -> bool {
        self.state == BodyState::UntilClose
    }

    /// Removes the bytes of this body from the front of `input`, and appends its content to `output`.
    ///
    /// # Errors
    /// The framing is malformed.
    pub fn read(&mut self, input: &mut Vec<u8>, output: &mut Vec<u8>) -> Result<(), BodyError> {
        let mut consumed = 0;
        let result = self.advance(input, &mut consumed, output);
        input.drain(..consumed);
        result
    }

    fn advance(&mut self, input: &[u8], consumed: &mut usize, output: &mut Vec<u8>) -> Result<(), BodyError> {
        loop {
            let rest = &input[*consumed..];
            match self.state {
                BodyState::Done => return Ok(()),
                BodyState::Length(0) => self.state = BodyState::Done,
                BodyState::Chunk(0) => self.state = BodyState::ChunkEnd,
                _ if rest.is_empty() => return Ok(()),
                BodyState::UntilClose => {
                    output.extend_from_slice(rest);
                    *consumed += rest.len();
                }
                BodyState::Length(left) => {
                    let content = first_bytes(rest, left);
                    output.extend_from_slice(content);
                    *consumed += content.len();
                    self.state = BodyState::Length(left - content.len() as u64);
                }
                BodyState::Chunk(left) => {
                    let content = first_bytes(rest, left);
                    output.extend_from_slice(content);
                    *consumed += content.len();
                    self.state = BodyState::Chunk(left - content.len() as u64);
                }
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailer => {
                    let Some(line) = next_line(rest)? else { return Ok(()) };
                    *consumed += line.len() + LINE_BREAK.len();
                    self.state = state_after_line(self.state, line)?;
                }
            }
        }
    }
}

/// At most `limit` bytes from the front.
fn first_bytes(bytes: &[u8], limit: u64) -> &[u8] {
    let length = (bytes.len() as u64).min(limit) as usize;
    &bytes[..length]
}

/// The next line without its line break, `None` if it is incomplete.
fn next_line(rest: &[u8]) -> Result<Option<&[u8]>, BodyError> {
    match rest.windows(2).take(LINE_LIMIT).position(|pair| pair == LINE_BREAK) {
        Some(end) => Ok(Some(&rest[..end])),
        None if rest.len() > LINE_LIMIT => Err(BodyError),
        None => Ok(None),
    }
}

fn state_after_line(state: BodyState, line: &[u8]) -> Result<BodyState, BodyError> {
    match state {
        BodyState::ChunkSize => {
            let size = parse_chunk_size(line)?;
            Ok(if size == 0 { BodyState::Trailer } else { BodyState::Chunk(size) })
        }
        BodyState::ChunkEnd if line.is_empty() => Ok(BodyState::ChunkSize),
        BodyState::Trailer => Ok(if line.is_empty() { BodyState::Done } else { BodyState::Trailer }),
        _ => Err(BodyError),
    }
}

/// Parses the line before a chunk; extensions behind a semicolon are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| BodyError)?.trim();
    let valid = !digits.is_empty()
        && digits.len() <= CHUNK_SIZE_DIGITS
        && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(digits, 16).ok().filter(|_| valid).ok_or(BodyError)
}

/// Appends bytes to `output` as one chunk. No bytes make no chunk, as an empty one would end the body.
pub fn write_chunk(bytes: &[u8], output: &mut Vec<u8>) {
    if bytes.is_empty() {
        return;
    }
    output.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    output.extend_from_slice(bytes);
    output.extend_from_slice(LINE_BREAK);
}
