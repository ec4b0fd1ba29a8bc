//! Reading of one segment file, up to the first record that is not complete.

use crate::format::{
    CONTROL_BODY_BYTES, CONTROL_FLAG, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES, decode_segment_header,
    read_u32, read_u64, record_checksum, segment_checksum,
};
use std::fs::File;
use std::io::{BufReader, Read, Seek, SeekFrom};

/// Bytes read from a file at once.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// A record as recovery found it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RingRecord {
    /// Number of its segment.
    pub segment: u64,
    /// The bytes that were appended.
    pub body: Vec<u8>,
}

/// Where the records of a segment end, and the checksum to which the next record chains.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WritePosition {
    /// Bytes from the start of the file.
    pub(crate) offset: u64,
    /// Checksum of the last record, or of the segment header before the first record.
    pub(crate) chain: u32,
}

/// The contents of a segment.
pub(crate) struct SegmentContent {
    /// Number of the segment.
    pub(crate) number: u64,
    /// Its records in order, without control records.
    pub(crate) records: Vec<RingRecord>,
    /// The oldest segment in use by the last control record of this segment; 0 without one.
    pub(crate) oldest: u64,
    /// End of the last complete record.
    pub(crate) end: WritePosition,
}

/// Reads a file; `None` if it is no segment of this version.
pub(crate) fn read_segment(file: &mut File) -> std::io::Result<Option<SegmentContent>> {
    let Some(number) = read_segment_number(file)? else { return Ok(None) };
    let mut reader = SegmentReader::new(file, number)?;
    let mut records = Vec::new();
    let mut oldest = 0;
    while let Some(entry) = reader.next_entry()? {
        match entry {
            SegmentEntry::Body(body) => records.push(RingRecord { segment: number, body }),
            SegmentEntry::Control { oldest: noted } => oldest = noted,
        }
    }
    Ok(Some(SegmentContent { number, records, oldest, end: reader.end }))
}

/// Number of the segment that a file contains, if it begins with a valid header.
fn read_segment_number(file: &mut File) -> std::io::Result<Option<u64>> {
    let mut header = [0; SEGMENT_HEADER_BYTES as usize];
    file.seek(SeekFrom::Start(0))?;
    if !read_full(file, &mut header)? {
        return Ok(None);
    }
    Ok(decode_segment_header(&header))
}

/// Reads until the buffer is full; `false` at the end of the file.
fn read_full(reader: &mut impl Read, buffer: &mut [u8]) -> std::io::Result<bool> {
    match reader.read_exact(buffer) {
        Ok(()) => Ok(true),
        Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => Ok(false),
        Err(error) => Err(error),
    }
}

/// One record of a segment.
enum SegmentEntry {
    /// A record that was appended by the caller.
    Body(Vec<u8>),
    /// A control record: the oldest segment in use when it was written.
    Control { oldest: u64 },
}

/// Iterates over the complete records of one file, in order; bytes after them are not read.
struct SegmentReader<'a> {
    reader: BufReader<&'a mut File>,
    /// Bytes of the file.
    length: u64,
    end: WritePosition,
}

impl<'a> SegmentReader<'a> {
    /// A reader that starts after the header of the segment with this number.
    fn new(file: &'a mut File, number: u64) -> std::io::Result<SegmentReader<'a>> {
        let length = file.metadata()?.len();
        file.seek(SeekFrom::Start(SEGMENT_HEADER_BYTES))?;
        let reader = BufReader::with_capacity(READ_BUFFER_BYTES, file);
        let end = WritePosition { offset: SEGMENT_HEADER_BYTES, chain: segment_checksum(number) };
        Ok(SegmentReader { reader, length, end })
    }

    /// The next entry; `None` where the next record is torn, missing, or left over from an earlier use of the file.
    fn next_entry(&mut self) -> std::io::Result<Option<SegmentEntry>> {
        let mut header = [0; RECORD_HEADER_BYTES as usize];
        let remaining = self.length.saturating_sub(self.end.offset);
        if remaining < RECORD_HEADER_BYTES || !read_full(&mut self.reader, &mut header)? {
            return Ok(None);
        }
        let (length_field, checksum) = (read_u32(&header[..4]), read_u32(&header[4..]));
        let length = u64::from(length_field & !CONTROL_FLAG);
        let is_control = length_field & CONTROL_FLAG != 0;
        let fits = length <= remaining - RECORD_HEADER_BYTES;
        if length == 0 || !fits || (is_control && length != CONTROL_BODY_BYTES) {
            return Ok(None);
        }
        let mut body = vec![0; length as usize];
        if !read_full(&mut self.reader, &mut body)? {
            return Ok(None);
        }
        if record_checksum(self.end.chain, length_field, &body) != checksum {
            return Ok(None);
        }
        self.end = WritePosition { offset: self.end.offset + RECORD_HEADER_BYTES + length, chain: checksum };
        let entry = if is_control {
            SegmentEntry::Control { oldest: read_u64(&body) }
        } else {
            SegmentEntry::Body(body)
        };
        Ok(Some(entry))
    }
}
