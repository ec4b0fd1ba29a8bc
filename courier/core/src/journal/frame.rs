//! The encoding of records: each one is preceded by its length and its checksum.
//!
//! A frame is the payload's length (4 bytes, little-endian), the payload's CRC-32 (4 bytes, little-endian) and the
//! payload, a [`JournalRecord`] in postcard. Reading stops at the first frame that is truncated or whose checksum does
//! not match: a crash in the middle of a write leaves such a torn record at the end.

use super::error::JournalError;
use super::record::JournalRecord;

/// Size of the length and the checksum before each payload, in bytes.
const HEADER_LEN: usize = 8;

/// Encodes a record with its length and checksum, as it is stored in a journal.
///
/// # Errors
/// The record can't be encoded in postcard.
pub fn frame(record: &JournalRecord) -> Result<Vec<u8>, JournalError> {
    let payload = postcard::to_allocvec(record)?;
    let mut frame = Vec::with_capacity(payload.len() + HEADER_LEN);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Encodes several records as consecutive frames.
pub(super) fn frames(records: &[JournalRecord]) -> Result<Vec<u8>, JournalError> {
    let mut frames = Vec::new();
    for record in records {
        frames.extend(frame(record)?);
    }
    Ok(frames)
}

/// The length of a record's frame, in bytes.
pub(super) fn encoded_len(record: &JournalRecord) -> Result<u64, JournalError> {
    Ok(frame(record)?.len() as u64)
}

/// Iterates over the records in a journal's bytes, each with the offset of its frame, up to the first torn one.
#[derive(Clone, Debug)]
pub struct Records<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Records<'a> {
    /// Iterates over the records in these bytes from the start.
    pub fn new(bytes: &'a [u8]) -> Self {
        Records { bytes, offset: 0 }
    }

    /// The offset after the last record that was read; at the end of the iteration, the length of the intact part.
    pub(super) fn offset(&self) -> usize {
        self.offset
    }
}

impl Iterator for Records<'_> {
    type Item = (usize, JournalRecord);

    fn next(&mut self) -> Option<Self::Item> {
        let offset = self.offset;
        let (head, rest) = self.bytes[offset..].split_first_chunk::<HEADER_LEN>()?;
        let len = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let checksum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
        let payload = rest.get(..len).filter(|payload| crc32fast::hash(payload) == checksum)?;
        let record = postcard::from_bytes(payload).ok()?;
        self.offset = offset + HEADER_LEN + len;
        Some((offset, record))
    }
}
