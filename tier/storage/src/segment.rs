//! Reads one segment file, up to the first incomplete record.

use crate::format::{
    CONTROL_BODY_BYTES, CONTROL_FLAG, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES, decode_segment_header,
    read_u32, read_u64, record_checksum, segment_checksum,
};
use std::fs::File;
use std::io::{BufReader, Read, Seek, SeekFrom};

/// Size of the buffer for reading a segment file, bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// A record that recovery has read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RingRecord {
    /// Number of the segment that contains the record.
    pub segment: u64,
    /// The bytes passed to [`Ring::append`](crate::Ring::append).
    pub body: Vec<u8>,
}

/// Position after the last record of a segment, and the checksum that the next record is chained to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WritePosition {
    /// Offset from the start of the file, bytes.
    pub(crate) offset: u64,
    /// Checksum of the last record, or of the segment header before the first record.
    pub(crate) chain: u32,
}

/// The contents of a segment.
pub(crate) struct SegmentContent {
    /// Number of the segment.
    pub(crate) number: u64,
    /// Records of the segment in order, without control records.
    pub(crate) records: Vec<RingRecord>,
    /// Oldest segment in use according to the last control record of this segment; 0 if there is no control record.
    pub(crate) oldest_segment: u64,
    /// Position after the last complete record.
    pub(crate) end: WritePosition,
}

/// Reads a segment file; `None` if the file does not contain a segment of this version.
pub(crate) fn read_segment(file: &mut File) -> std::io::Result<Option<SegmentContent>> {
    let Some(number) = read_segment_number(file)? else { return Ok(None) };
    let mut reader = SegmentReader::new(file, number)?;
    let mut records = Vec::new();
    let mut oldest_segment = 0;
    while let Some(entry) = reader.next_entry()? {
        match entry {
            SegmentEntry::Body(body) => records.push(RingRecord { segment: number, body }),
            SegmentEntry::Control { oldest_segment: recorded } => oldest_segment = recorded,
        }
    }
    Ok(Some(SegmentContent { number, records, oldest_segment, end: reader.end }))
}

/// Reads the number of the segment that a file contains; `None` if the file does not begin with a valid header.
fn read_segment_number(file: &mut File) -> std::io::Result<Option<u64>> {
    let mut header = [0; SEGMENT_HEADER_BYTES as usize];
    file.seek(SeekFrom::Start(0))?;
    if !read_full(file, &mut header)? {
        return Ok(None);
    }
    Ok(decode_segment_header(&header))
}

/// Reads until the buffer is full; returns `false` if the file ends before that.
fn read_full(reader: &mut impl Read, buffer: &mut [u8]) -> std::io::Result<bool> {
    match reader.read_exact(buffer) {
        Ok(()) => Ok(true),
        Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => Ok(false),
        Err(error) => Err(error),
    }
}

/// One record of a segment.
enum SegmentEntry {
    /// A record appended by the caller.
    Body(Vec<u8>),
    /// A control record, with the oldest segment in use when it was written.
    Control { oldest_segment: u64 },
}

/// Iterates over the complete records of one file, in order, and stops at the first incomplete record.
struct SegmentReader<'a> {
    reader: BufReader<&'a mut File>,
    /// Size of the file, bytes.
    file_bytes: u64,
    end: WritePosition,
}

impl<'a> SegmentReader<'a> {
    /// Creates a reader that starts after the header of the segment with this number.
    fn new(file: &'a mut File, number: u64) -> std::io::Result<SegmentReader<'a>> {
        let file_bytes = file.metadata()?.len();
        file.seek(SeekFrom::Start(SEGMENT_HEADER_BYTES))?;
        let reader = BufReader::with_capacity(READ_BUFFER_BYTES, file);
        let end = WritePosition { offset: SEGMENT_HEADER_BYTES, chain: segment_checksum(number) };
        Ok(SegmentReader { reader, file_bytes, end })
    }

    /// Returns the next record; `None` if it is torn, missing, or left over from an earlier use of the file.
    fn next_entry(&mut self) -> std::io::Result<Option<SegmentEntry>> {
        let mut header = [0; RECORD_HEADER_BYTES as usize];
        let remaining = self.file_bytes.saturating_sub(self.end.offset);
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
            SegmentEntry::Control { oldest_segment: read_u64(&body) }
        } else {
            SegmentEntry::Body(body)
        };
        Ok(Some(entry))
    }
}
