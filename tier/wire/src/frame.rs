//! Frames between processes: a header of fixed size, then one `rkyv` message.
//!
//! The header is little endian: magic (4 bytes, identifies protocol and version), kind (1), length of the body (4), CRC-32 of the
//! body (4), call number (8). The reader decodes the header, reads the body into an [`aligned_buffer`], verifies it and decodes the
//! message. After any error the reader closes the connection, because it can't find the start of the next frame.

use rkyv::util::AlignedVec;

/// First bytes of each frame, which identify the protocol and its version.
pub const MAGIC: [u8; 4] = *b"QMF1";
/// Size of a header, bytes.
pub const HEADER_BYTES: usize = 21;
/// Size of the largest body, bytes.
pub const BODY_LIMIT: usize = 32 << 20;

/// Offsets of the header fields that follow the magic, bytes.
const KIND_OFFSET: usize = 4;
const LENGTH_OFFSET: usize = 5;
const CHECKSUM_OFFSET: usize = 9;
const CALL_OFFSET: usize = 13;

/// Role of a frame in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A message that has no response.
    Notification,
    /// A request, which is answered by a response with the same call number.
    Request,
    /// The response to a request.
    Response,
}

impl FrameKind {
    fn to_byte(self) -> u8 {
        match self {
            FrameKind::Notification => 0,
            FrameKind::Request => 1,
            FrameKind::Response => 2,
        }
    }

    fn from_byte(byte: u8) -> Result<FrameKind, FrameError> {
        match byte {
            0 => Ok(FrameKind::Notification),
            1 => Ok(FrameKind::Request),
            2 => Ok(FrameKind::Response),
            other => Err(FrameError::UnknownKind(other)),
        }
    }
}

/// Reasons why a frame is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The magic is not that of this protocol version.
    #[error("the frame is not of this protocol version; check that the peer runs a compatible release")]
    WrongVersion,
    /// The byte for the kind is not defined.
    #[error("the frame has the undefined kind {0}")]
    UnknownKind(u8),
    /// The body, of this size in bytes, is above [`BODY_LIMIT`].
    #[error("the frame body of {0} bytes exceeds the limit of {BODY_LIMIT} bytes")]
    TooLarge(usize),
    /// The body does not have the checksum in the header.
    #[error("the checksum of the frame body does not match the header")]
    WrongChecksum,
    /// The body is not a message of the expected type; contains the error of the decoder.
    #[error("the frame body is not a valid message: {0}")]
    Malformed(String),
}

/// Header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// Role of the frame in its call.
    pub kind: FrameKind,
    /// Size of the body, bytes.
    pub length: usize,
    /// CRC-32 of the body.
    pub checksum: u32,
    /// Number of the call, unique among the calls in flight on a connection.
    pub call: u64,
}

impl FrameHeader {
    /// Decodes and validates a header.
    ///
    /// # Errors
    ///
    /// [`FrameError::WrongVersion`], [`FrameError::UnknownKind`] or [`FrameError::TooLarge`] if the field in question is invalid.
    pub fn decode(bytes: &[u8; HEADER_BYTES]) -> Result<FrameHeader, FrameError> {
        if bytes[..KIND_OFFSET] != MAGIC {
            return Err(FrameError::WrongVersion);
        }
        let kind = FrameKind::from_byte(bytes[KIND_OFFSET])?;
        let length = read_u32(bytes, LENGTH_OFFSET) as usize;
        if length > BODY_LIMIT {
            return Err(FrameError::TooLarge(length));
        }
        let checksum = read_u32(bytes, CHECKSUM_OFFSET);
        let call =
            u64::from(read_u32(bytes, CALL_OFFSET)) | u64::from(read_u32(bytes, CALL_OFFSET + 4)) << 32;
        Ok(FrameHeader { kind, length, checksum, call })
    }

    /// Verifies the body against the checksum in the header.
    ///
    /// # Errors
    ///
    /// [`FrameError::WrongChecksum`] if they do not match.
    pub fn verify(&self, body: &[u8]) -> Result<(), FrameError> {
        if crc32fast::hash(body) == self.checksum { Ok(()) } else { Err(FrameError::WrongChecksum) }
    }
}

fn read_u32(bytes: &[u8; HEADER_BYTES], offset: usize) -> u32 {
    u32::from_le_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
}

/// Encodes a frame with header and body.
pub fn encode(kind: FrameKind, call: u64, body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&MAGIC);
    frame.push(kind.to_byte());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    frame.extend_from_slice(&call.to_le_bytes());
    frame.extend_from_slice(body);
    frame
}

/// Creates a buffer of `length` zero bytes that is aligned so that `rkyv` can decode a message in it.
pub fn aligned_buffer(length: usize) -> AlignedVec {
    let mut buffer = AlignedVec::new();
    buffer.resize(length, 0);
    buffer
}
