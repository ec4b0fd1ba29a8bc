//! Frames between couriers: a fixed head, then one `rkyv` message.
//!
//! Head, little endian: magic (4 bytes, names the version), kind (1), length of the body (4), CRC-32 of the body (4),
//! call number (8).

use rkyv::util::AlignedVec;
use std::fmt;

/// Names protocol and version.
pub const MAGIC: [u8; 4] = *b"QMF1";
/// Bytes of a head.
pub const HEADER_BYTES: usize = 21;
/// Largest body, bytes.
pub const BODY_LIMIT: usize = 32 << 20;

/// What a frame is in its conversation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Nobody waits for an answer.
    Notification,
    Request,
    Response,
}

/// Why a frame was not accepted: its connection is closed.
#[derive(Debug, PartialEq, Eq)]
pub enum FrameError {
    WrongVersion,
    UnknownKind(u8),
    TooLarge(usize),
    WrongChecksum,
    Malformed(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::WrongVersion => write!(out, "a frame of another version"),
            FrameError::UnknownKind(kind) => write!(out, "a frame of unknown kind {kind}"),
            FrameError::TooLarge(bytes) => write!(out, "a frame of {bytes} bytes, {BODY_LIMIT} at most"),
            FrameError::WrongChecksum => write!(out, "a frame with a wrong checksum"),
            FrameError::Malformed(detail) => write!(out, "a frame that holds no message: {detail}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Head of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    pub kind: FrameKind,
    pub length: usize,
    pub checksum: u32,
    pub call: u64,
}

impl FrameHeader {
    /// Decodes a head.
    pub fn decode(bytes: &[u8; HEADER_BYTES]) -> Result<FrameHeader, FrameError> {
        if bytes[..4] != MAGIC {
            return Err(FrameError::WrongVersion);
        }
        let kind = match bytes[4] {
            0 => FrameKind::Notification,
            1 => FrameKind::Request,
            2 => FrameKind::Response,
            other => return Err(FrameError::UnknownKind(other)),
        };
        let read_u32 =
            |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let length = read_u32(5) as usize;
        if length > BODY_LIMIT {
            return Err(FrameError::TooLarge(length));
        }
        let call = u64::from(read_u32(13)) | u64::from(read_u32(17)) << 32;
        Ok(FrameHeader { kind, length, checksum: read_u32(9), call })
    }

    /// Whether `body` is the one this head announces.
    pub fn verify(&self, body: &[u8]) -> Result<(), FrameError> {
        if crc32fast::hash(body) == self.checksum { Ok(()) } else { Err(FrameError::WrongChecksum) }
    }
}

/// Puts a head before a body.
pub fn encode(kind: FrameKind, call: u64, body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&MAGIC);
    frame.push(match kind {
        FrameKind::Notification => 0,
        FrameKind::Request => 1,
        FrameKind::Response => 2,
    });
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    frame.extend_from_slice(&call.to_le_bytes());
    frame.extend_from_slice(body);
    frame
}

/// A buffer that `rkyv` can read from.
pub fn aligned_buffer(length: usize) -> AlignedVec {
    let mut buffer = AlignedVec::new();
    buffer.resize(length, 0);
    buffer
}
