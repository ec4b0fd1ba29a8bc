//! Bodies: with a length, in chunks, or until the end of the connection.

use crate::head::Framing;

/// Longest line before a chunk, or of a trailer, bytes.
const LINE_LIMIT: usize = 1024;

/// Why a body can't be read further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyError;

impl std::fmt::Display for BodyError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "the chunks of a body can't be read")
    }
}

impl std::error::Error for BodyError {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// Bytes left of a body or chunk with a length.
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Takes bytes of a connection and gives the bytes of one body.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: BodyState,
}

impl BodyReader {
    pub fn new(framing: Framing) -> BodyReader {
        let state = match framing {
            Framing::Empty => BodyState::Done,
            Framing::Length(length) => BodyState::Length(length),
            Framing::Chunked => BodyState::ChunkSize,
            Framing::UntilClose => BodyState::UntilClose,
        };
        BodyReader { state }
    }

    /// Whether the body is whole.
    pub fn is_done(&self) -> bool {
        self.state == BodyState::Done
    }

    /// Whether the end of the connection ends the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state == BodyState::UntilClose
    }

    /// Takes what it can from the front of `input`, and appends the body's bytes to `output`.
    pub fn read(&mut self, input: &mut Vec<u8>, output: &mut Vec<u8>) -> Result<(), BodyError> {
        let mut at = 0;
        let result = self.advance(input, &mut at, output);
        input.drain(..at);
        result
    }

    fn advance(&mut self, input: &[u8], at: &mut usize, output: &mut Vec<u8>) -> Result<(), BodyError> {
        loop {
            let rest = &input[*at..];
            match self.state {
                BodyState::Done => return Ok(()),
                BodyState::Length(0) => self.state = BodyState::Done,
                BodyState::Chunk(0) => self.state = BodyState::ChunkEnd,
                _ if rest.is_empty() => return Ok(()),
                BodyState::UntilClose => {
                    output.extend_from_slice(rest);
                    *at += rest.len();
                }
                BodyState::Length(left) | BodyState::Chunk(left) => {
                    let taken = (rest.len() as u64).min(left) as usize;
                    output.extend_from_slice(&rest[..taken]);
                    *at += taken;
                    let left = left - taken as u64;
                    self.state = if matches!(self.state, BodyState::Length(_)) {
                        BodyState::Length(left)
                    } else {
                        BodyState::Chunk(left)
                    };
                }
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailer => {
                    let Some(line) = next_line(rest)? else { return Ok(()) };
                    *at += line.len() + 2;
                    self.state = state_after_line(self.state, line)?;
                }
            }
        }
    }
}

/// The next line without its end, if it is whole.
fn next_line(rest: &[u8]) -> Result<Option<&[u8]>, BodyError> {
    match rest.windows(2).take(LINE_LIMIT).position(|pair| pair == b"\r\n") {
        Some(end) => Ok(Some(&rest[..end])),
        None if rest.len() > LINE_LIMIT => Err(BodyError),
        None => Ok(None),
    }
}

fn state_after_line(state: BodyState, line: &[u8]) -> Result<BodyState, BodyError> {
    match state {
        BodyState::ChunkSize => {
            let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
            let digits = std::str::from_utf8(digits).map_err(|_| BodyError)?.trim();
            let valid = !digits.is_empty()
                && digits.len() <= 15
                && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
            let size = u64::from_str_radix(digits, 16).ok().filter(|_| valid).ok_or(BodyError)?;
            Ok(if size == 0 { BodyState::Trailer } else { BodyState::Chunk(size) })
        }
        BodyState::ChunkEnd if line.is_empty() => Ok(BodyState::ChunkSize),
        BodyState::Trailer => Ok(if line.is_empty() { BodyState::Done } else { BodyState::Trailer }),
        _ => Err(BodyError),
    }
}

/// Puts the frame of one chunk around bytes; no bytes make no chunk.
pub fn write_chunk(bytes: &[u8], output: &mut Vec<u8>) {
    if bytes.is_empty() {
        return;
    }
    output.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    output.extend_from_slice(bytes);
    output.extend_from_slice(b"\r\n");
}

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
