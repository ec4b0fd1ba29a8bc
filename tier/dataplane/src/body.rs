//! Bodies of HTTP/1.1 messages: of a stated length, chunked, or close-delimited (RFC 9112, sections 6 and 7).
//!
//! The caller passes received bytes to a [`BodyReader`] until [`BodyReader::is_done`].

use crate::head::Framing;

const CRLF: &[u8] = b"\r\n";
/// Longest chunk size line or trailer line, bytes.
const MAX_LINE_BYTES: usize = 1024;
/// Maximum number of digits of a chunk size: 15 hexadecimal digits always fit in 64 bits.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

/// The end of a chunked body without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A chunk size line, a chunk end or a trailer of a body is malformed (RFC 9112, section 7.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("failed to parse a chunked message body: malformed chunk size, chunk end or trailer")]
pub struct BodyError;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// Remaining bytes of a body with a length.
    Length(u64),
    /// Before a chunk size line.
    ChunkSize,
    /// Remaining bytes of a chunk.
    Chunk(u64),
    /// Before the line break that ends a chunk.
    ChunkEnd,
    /// After the last chunk, before a trailer line or the empty line that ends the body.
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
    /// A reader at the start of a body with this framing.
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

    /// Whether the body is delimited by the close of the connection.
    pub fn is_close_delimited(&self) -> bool {
        self.state == BodyState::UntilClose
    }

    /// Removes the bytes of this body from the front of `input` and appends the decoded content to `output`. Bytes after the end
    /// of the body stay in `input`.
    ///
    /// # Errors
    /// A chunk size line, a chunk end or a trailer is malformed or too long.
    pub fn read(&mut self, input: &mut Vec<u8>, output: &mut Vec<u8>) -> Result<(), BodyError> {
        let mut read_bytes = 0;
        let result = self.decode(input, &mut read_bytes, output);
        input.drain(..read_bytes);
        result
    }

    fn decode(
        &mut self,
        input: &[u8],
        read_bytes: &mut usize,
        output: &mut Vec<u8>,
    ) -> Result<(), BodyError> {
        loop {
            let rest = &input[*read_bytes..];
            match self.state {
                BodyState::Done => return Ok(()),
                BodyState::Length(0) => self.state = BodyState::Done,
                BodyState::Chunk(0) => self.state = BodyState::ChunkEnd,
                _ if rest.is_empty() => return Ok(()),
                BodyState::UntilClose => {
                    output.extend_from_slice(rest);
                    *read_bytes += rest.len();
                }
                BodyState::Length(remaining) => {
                    let content = first_bytes(rest, remaining);
                    output.extend_from_slice(content);
                    *read_bytes += content.len();
                    self.state = BodyState::Length(remaining - content.len() as u64);
                }
                BodyState::Chunk(remaining) => {
                    let content = first_bytes(rest, remaining);
                    output.extend_from_slice(content);
                    *read_bytes += content.len();
                    self.state = BodyState::Chunk(remaining - content.len() as u64);
                }
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailer => {
                    let Some(line) = next_line(rest)? else { return Ok(()) };
                    *read_bytes += line.len() + CRLF.len();
                    self.state = state_after_line(self.state, line)?;
                }
            }
        }
    }
}

/// The first `limit` bytes, or all if there are fewer.
fn first_bytes(bytes: &[u8], limit: u64) -> &[u8] {
    let length = (bytes.len() as u64).min(limit) as usize;
    &bytes[..length]
}

/// Returns the next line without its line break, `None` if it is incomplete.
fn next_line(rest: &[u8]) -> Result<Option<&[u8]>, BodyError> {
    match rest.windows(2).take(MAX_LINE_BYTES).position(|pair| pair == CRLF) {
        Some(end) => Ok(Some(&rest[..end])),
        None if rest.len() > MAX_LINE_BYTES => Err(BodyError),
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

/// Parses a chunk size line; chunk extensions after a semicolon are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| BodyError)?.trim();
    let valid = !digits.is_empty()
        && digits.len() <= MAX_CHUNK_SIZE_DIGITS
        && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(digits, 16).ok().filter(|_| valid).ok_or(BodyError)
}

/// Appends `bytes` to `output` as one chunk. Empty input writes nothing, because an empty chunk ends the body.
pub fn write_chunk(bytes: &[u8], output: &mut Vec<u8>) {
    if bytes.is_empty() {
        return;
    }
    output.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    output.extend_from_slice(bytes);
    output.extend_from_slice(CRLF);
}
