//! Format of a segment on the disk; all numbers are little endian.
//!
//! A segment begins with a header: magic (4 bytes), segment number (8), CRC-32 of both (4). Records follow without gaps; each has
//! a length (4), a CRC-32 (4) and a body. The checksum of a record covers the checksum of the previous record (for the first
//! record, that of the segment header), the length field and the body. The most significant bit of the length field marks a
//! control record.

/// Identifies a segment and the version of its format.
pub(crate) const MAGIC: [u8; 4] = *b"QMS2";
/// Size of a segment header, bytes.
pub(crate) const SEGMENT_HEADER_BYTES: u64 = 16;
/// Size of a record header, bytes.
pub(crate) const RECORD_HEADER_BYTES: u64 = 8;
/// Bit that is set in the length field of a control record.
pub(crate) const CONTROL_FLAG: u32 = 1 << 31;
/// Size of a control record's body, bytes: the number of the oldest segment in use (8) and a salt (8). The salt changes the
/// checksum chain, so that bytes that an earlier process wrote after this position do not verify as the records that follow.
pub(crate) const CONTROL_BODY_BYTES: u64 = 16;

/// Checksum in a segment's header; the checksum of the first record is chained to it.
pub(crate) fn segment_checksum(number: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&MAGIC);
    hasher.update(&number.to_le_bytes());
    hasher.finalize()
}

/// Checksum of a record whose predecessor has the checksum `chain`; `length_field` includes the control flag.
pub(crate) fn record_checksum(chain: u32, length_field: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&chain.to_le_bytes());
    hasher.update(&length_field.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Encodes the header of the segment with this number.
pub(crate) fn encode_segment_header(number: u64) -> Vec<u8> {
    let mut header = Vec::with_capacity(SEGMENT_HEADER_BYTES as usize);
    header.extend_from_slice(&MAGIC);
    header.extend_from_slice(&number.to_le_bytes());
    header.extend_from_slice(&segment_checksum(number).to_le_bytes());
    header
}

/// Decodes the segment number from a header; `None` if the bytes are not a valid header of this version.
pub(crate) fn decode_segment_header(header: &[u8; SEGMENT_HEADER_BYTES as usize]) -> Option<u64> {
    if header[..4] != MAGIC {
        return None;
    }
    let number = read_u64(&header[4..12]);
    (read_u32(&header[12..16]) == segment_checksum(number)).then_some(number)
}

/// Encodes the body of a control record.
pub(crate) fn encode_control_body(oldest_segment: u64, salt: u64) -> Vec<u8> {
    let mut body = Vec::with_capacity(CONTROL_BODY_BYTES as usize);
    body.extend_from_slice(&oldest_segment.to_le_bytes());
    body.extend_from_slice(&salt.to_le_bytes());
    body
}

/// Reads up to four bytes as a little-endian number; missing bytes count as 0.
pub(crate) fn read_u32(bytes: &[u8]) -> u32 {
    bytes.iter().take(4).rev().fold(0, |value, byte| value << 8 | u32::from(*byte))
}

/// Reads up to eight bytes as a little-endian number; missing bytes count as 0.
pub(crate) fn read_u64(bytes: &[u8]) -> u64 {
    u64::from(read_u32(bytes)) | u64::from(read_u32(bytes.get(4..).unwrap_or_default())) << 32
}
