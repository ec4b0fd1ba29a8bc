//! The ring itself.

use std::collections::VecDeque;
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{BufReader, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Names a segment and the version of its form.
const MAGIC: [u8; 4] = *b"QMS2";
/// Head of a segment: magic, number (8 bytes), checksum (4).
const SEGMENT_HEADER_BYTES: u64 = 16;
/// Head of a record: length (4 bytes), checksum (4).
const RECORD_HEADER_BYTES: u64 = 8;
/// Set in the length of a control record: the number of the oldest segment in use (8 bytes) and a salt (8), which keeps what
/// an earlier life left behind it from passing for what follows.
const CONTROL_FLAG: u32 = 1 << 31;
/// Body of a control record, bytes.
const CONTROL_BODY_BYTES: u64 = 16;

/// Bytes read from a file at once.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Why a record could not be kept or read.
#[derive(Debug)]
pub enum StorageError {
    Io(std::io::Error),
    /// No segment is free: release older ones first.
    Full,
    /// The record is larger than a segment.
    TooLarge {
        bytes: usize,
        limit: u64,
    },
}

impl fmt::Display for StorageError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StorageError::Io(error) => write!(out, "{error}"),
            StorageError::Full => write!(out, "no segment is free"),
            StorageError::TooLarge { bytes, limit } => {
                write!(out, "a record of {bytes} bytes, {limit} at most")
            }
        }
    }
}

impl std::error::Error for StorageError {}

impl From<std::io::Error> for StorageError {
    fn from(error: std::io::Error) -> Self {
        StorageError::Io(error)
    }
}

/// How large a ring is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingSize {
    /// Bytes of one file.
    pub segment: u64,
    /// Number of files at most, two at least. A file is made, whole, when the ones there are all in use.
    pub segments: usize,
}

/// A record as recovery found it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RingRecord {
    /// Number of its segment.
    pub segment: u64,
    pub body: Vec<u8>,
}

/// An open ring.
pub struct Ring {
    size: RingSize,
    folder: PathBuf,
    /// By number: those never used first, the one that is written last. The numbers in use are consecutive, as the file with the
    /// lowest is written over first.
    files: VecDeque<SegmentFile>,
    /// Numbers of the segments in use are `oldest..=current`; 0 means none was written yet.
    oldest: u64,
    current: u64,
    /// End of what was appended, and of what is synced.
    end: WritePosition,
    synced: WritePosition,
    /// What follows the end is unknown: a control record goes before the next one.
    tail_unknown: bool,
    salt: u64,
}

/// A file of the ring.
struct SegmentFile {
    /// Number of the segment that it holds; 0 before the first.
    number: u64,
    file: File,
}

/// Where the records of the current segment end, and the checksum with which the next one goes on.
#[derive(Clone, Copy, Debug, Default)]
struct WritePosition {
    position: u64,
    chain: u32,
}

/// Name of every file of a ring, before its index.
const FILE_PREFIX: &str = "segment-";

/// The file that is made after `file_count` others: where none is used again, its index is the number of its segment.
fn segment_path(folder: &Path, file_count: usize, size: RingSize) -> PathBuf {
    let index = (file_count + 1) % size.segments;
    folder.join(format!("{FILE_PREFIX}{index:03}"))
}

fn segment_checksum(number: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&MAGIC);
    hasher.update(&number.to_le_bytes());
    hasher.finalize()
}

fn record_checksum(chain: u32, length: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&chain.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn read_u32(bytes: &[u8]) -> u32 {
    bytes.iter().take(4).rev().fold(0, |value, byte| value << 8 | u32::from(*byte))
}

/// Reads until the buffer is full; `false` at the end of the file.
fn read_full(reader: &mut impl Read, buffer: &mut [u8]) -> std::io::Result<bool> {
    match reader.read_exact(buffer) {
        Ok(()) => Ok(true),
        Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => Ok(false),
        Err(error) => Err(error),
    }
}

/// Number of the segment that a file holds, if it begins with a whole head.
fn read_segment_number(file: &mut File) -> std::io::Result<Option<u64>> {
    let mut head = [0; SEGMENT_HEADER_BYTES as usize];
    file.seek(SeekFrom::Start(0))?;
    if !read_full(file, &mut head)? || head[..4] != MAGIC {
        return Ok(None);
    }
    let number = u64::from(read_u32(&head[4..8])) | u64::from(read_u32(&head[8..12])) << 32;
    Ok((read_u32(&head[12..16]) == segment_checksum(number)).then_some(number))
}

/// What a segment holds.
enum SegmentEntry {
    Body(Vec<u8>),
    /// The oldest segment in use.
    Oldest(u64),
}

/// Records of one file, in order, and only as far as they are whole: what is behind them is not read.
struct SegmentReader<'a> {
    reader: BufReader<&'a mut File>,
    /// Bytes of the file.
    length: u64,
    end: WritePosition,
}

impl<'a> SegmentReader<'a> {
    /// Reads behind the head of this segment.
    fn new(file: &'a mut File, number: u64) -> std::io::Result<SegmentReader<'a>> {
        let length = file.metadata()?.len();
        file.seek(SeekFrom::Start(SEGMENT_HEADER_BYTES))?;
        let reader = BufReader::with_capacity(READ_BUFFER_BYTES, file);
        let end = WritePosition { position: SEGMENT_HEADER_BYTES, chain: segment_checksum(number) };
        Ok(SegmentReader { reader, length, end })
    }

    /// The next entry; `None` where the next one is not whole.
    fn next_entry(&mut self) -> std::io::Result<Option<SegmentEntry>> {
        let mut head = [0; RECORD_HEADER_BYTES as usize];
        let left = self.length.saturating_sub(self.end.position);
        if left < RECORD_HEADER_BYTES || !read_full(&mut self.reader, &mut head)? {
            return Ok(None);
        }
        let (length_field, checksum) = (read_u32(&head[..4]), read_u32(&head[4..]));
        let length = u64::from(length_field & !CONTROL_FLAG);
        let control = length_field & CONTROL_FLAG != 0;
        if length == 0 || length > left - RECORD_HEADER_BYTES || (control && length != CONTROL_BODY_BYTES) {
            return Ok(None);
        }
        let mut body = vec![0; length as usize];
        if !read_full(&mut self.reader, &mut body)?
            || record_checksum(self.end.chain, length_field, &body) != checksum
        {
            return Ok(None);
        }
        self.end =
            WritePosition { position: self.end.position + RECORD_HEADER_BYTES + length, chain: checksum };
        Ok(Some(if control { SegmentEntry::Oldest(read_u64(&body)) } else { SegmentEntry::Body(body) }))
    }
}

fn read_u64(bytes: &[u8]) -> u64 {
    u64::from(read_u32(bytes)) | u64::from(read_u32(bytes.get(4..).unwrap_or_default())) << 32
}

/// A segment that was read.
struct SegmentContent {
    number: u64,
    records: Vec<RingRecord>,
    /// The oldest segment in use, as last noted here.
    oldest: u64,
    end: WritePosition,
}

/// Reads a file; `None` if it is no segment.
fn read_file(file: &mut File) -> std::io::Result<Option<SegmentContent>> {
    let Some(number) = read_segment_number(file)? else { return Ok(None) };
    let mut reader = SegmentReader::new(file, number)?;
    let mut records = Vec::new();
    let mut oldest = 0;
    while let Some(entry) = reader.next_entry()? {
        match entry {
            SegmentEntry::Body(body) => records.push(RingRecord { segment: number, body }),
            SegmentEntry::Oldest(noted) => oldest = noted,
        }
    }
    Ok(Some(SegmentContent { number, records, oldest, end: reader.end }))
}

/// Reads the records of a folder without changing anything, oldest first; those that were released are among them for as long
/// as their files are not used again.
pub fn read_records(folder: &Path) -> Result<Vec<RingRecord>, StorageError> {
    let mut records = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_name().to_string_lossy().starts_with(FILE_PREFIX) {
            let content = read_file(&mut File::open(entry.path())?)?;
            records.extend(content.into_iter().flat_map(|content| content.records));
        }
    }
    records.sort_by_key(|record| record.segment);
    Ok(records)
}

impl Ring {
    /// Opens or makes the ring of a folder; returns it with the records found, oldest first. `salt` is a random number: no two
    /// openings have the same.
    pub fn open(folder: &Path, size: RingSize, salt: u64) -> Result<(Ring, Vec<RingRecord>), StorageError> {
        let size = RingSize { segments: size.segments.max(2), ..size };
        let mut files = open_files(folder, size)?;
        let mut contents = Vec::new();
        for SegmentFile { number, file } in &mut files {
            let content = read_file(file)?;
            *number = content.as_ref().map_or(0, |content| content.number);
            contents.extend(content);
        }
        files.make_contiguous().sort_by_key(|file| file.number);
        contents.sort_by_key(|content| content.number);
        let (current, end) =
            contents.last().map_or((0, WritePosition::default()), |last| (last.number, last.end));
        // What is not followed by each number up to the newest belongs to a lap before this one.
        let first = first_consecutive(&contents);
        let noted = contents.iter().map(|content| content.oldest).max().unwrap_or(0);
        let oldest = noted.clamp(first, current);
        let retained = contents.into_iter().filter(|content| content.number >= oldest);
        let records = retained.flat_map(|content| content.records).collect();
        let folder = folder.to_owned();
        let ring = Ring { size, folder, files, oldest, current, end, synced: end, tail_unknown: true, salt };
        Ok((ring, records))
    }

    /// Largest record, bytes.
    pub fn largest_record(&self) -> u64 {
        self.size.segment
            - SEGMENT_HEADER_BYTES
            - 2 * (RECORD_HEADER_BYTES + CONTROL_BODY_BYTES)
            - RECORD_HEADER_BYTES
    }

    /// Number of the segment that is written.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Segments that can still be opened.
    pub fn free(&self) -> usize {
        let used = if self.current == 0 { 0 } else { self.current - self.oldest + 1 };
        self.size.segments.saturating_sub(used as usize)
    }

    /// Number of segments.
    pub fn segments(&self) -> usize {
        self.size.segments
    }

    /// Appends a record; it is kept for certain only after [`Ring::sync`].
    pub fn append(&mut self, body: &[u8]) -> Result<u64, StorageError> {
        if body.len() as u64 > self.largest_record() {
            return Err(StorageError::TooLarge { bytes: body.len(), limit: self.largest_record() });
        }
        // A control record may go before it.
        let needed = 2 * RECORD_HEADER_BYTES + CONTROL_BODY_BYTES + body.len() as u64;
        if self.current == 0 || self.end.position + needed > self.size.segment {
            self.open_segment()?;
        }
        if self.end.position == 0 {
            self.write_segment_header()?;
        }
        if self.tail_unknown {
            self.append_control()?;
        }
        self.write_record(body.len() as u32, body)?;
        Ok(self.current)
    }

    fn write_record(&mut self, length: u32, body: &[u8]) -> Result<(), StorageError> {
        let checksum = record_checksum(self.end.chain, length, body);
        let mut bytes = Vec::with_capacity(RECORD_HEADER_BYTES as usize + body.len());
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes.extend_from_slice(body);
        self.write(&bytes)?;
        self.end.chain = checksum;
        Ok(())
    }

    /// Notes which segment is the oldest in use.
    fn append_control(&mut self) -> Result<(), StorageError> {
        self.salt = self.salt.wrapping_add(1);
        let mut body = Vec::with_capacity(CONTROL_BODY_BYTES as usize);
        body.extend_from_slice(&self.oldest.to_le_bytes());
        body.extend_from_slice(&self.salt.to_le_bytes());
        self.write_record(CONTROL_FLAG | CONTROL_BODY_BYTES as u32, &body)?;
        self.tail_unknown = false;
        Ok(())
    }

    /// The file that is written: the last one, once a segment was opened.
    fn file(&mut self) -> Result<&mut File, StorageError> {
        self.files.back_mut().map(|segment| &mut segment.file).ok_or(StorageError::Full)
    }

    /// Writes at the end; a write that fails leaves the end where it was.
    fn write(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        let position = self.end.position;
        let file = self.file()?;
        let written = file.seek(SeekFrom::Start(position)).and_then(|_| file.write_all(bytes));
        if let Err(error) = written {
            self.tail_unknown = true;
            return Err(error.into());
        }
        self.end.position += bytes.len() as u64;
        Ok(())
    }

    fn open_segment(&mut self) -> Result<(), StorageError> {
        if self.free() == 0 {
            return Err(StorageError::Full);
        }
        // Whatever the last segment still has to sync is synced before it is left.
        self.sync()?;
        let file = self.take_free_file()?;
        self.current += 1;
        self.files.push_back(SegmentFile { number: self.current, file });
        if self.oldest == 0 {
            self.oldest = self.current;
        }
        self.end = WritePosition { position: 0, chain: segment_checksum(self.current) };
        self.synced = self.end;
        Ok(())
    }

    /// The file with the lowest number, if that is no longer in use; else a new one.
    fn take_free_file(&mut self) -> Result<File, StorageError> {
        let reusable = |segment: &SegmentFile| segment.number == 0 || segment.number < self.oldest;
        if self.files.front().is_some_and(reusable)
            && let Some(segment) = self.files.pop_front()
        {
            return Ok(segment.file);
        }
        if self.files.len() >= self.size.segments {
            return Err(StorageError::Full);
        }
        let file =
            open_or_create_file(&segment_path(&self.folder, self.files.len(), self.size), self.size.segment)?;
        File::open(&self.folder)?.sync_all()?;
        Ok(file)
    }

    fn write_segment_header(&mut self) -> Result<(), StorageError> {
        let mut head = Vec::with_capacity(SEGMENT_HEADER_BYTES as usize);
        head.extend_from_slice(&MAGIC);
        head.extend_from_slice(&self.current.to_le_bytes());
        head.extend_from_slice(&segment_checksum(self.current).to_le_bytes());
        self.tail_unknown = true;
        self.write(&head)
    }

    /// Syncs all records appended so far. When that fails, none of them since the last sync counts: the next record takes their
    /// place.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        if self.current == 0 {
            return Ok(());
        }
        if let Err(error) = self.file()?.sync_data() {
            self.end = self.synced;
            self.tail_unknown = true;
            return Err(error.into());
        }
        self.synced = self.end;
        Ok(())
    }

    /// Frees the segments before `segment`. That is noted at once, or with the next record where there is no room now; should
    /// the note be lost, more is read at the next start than is needed.
    pub fn release(&mut self, segment: u64) {
        let oldest = segment.clamp(self.oldest, self.current);
        if self.oldest == 0 || oldest == self.oldest {
            return;
        }
        self.oldest = oldest;
        self.tail_unknown = true;
        let fits = self.end.position + RECORD_HEADER_BYTES + CONTROL_BODY_BYTES <= self.size.segment;
        if fits && self.end.position > 0 {
            // A note that fails is made with the next record.
            let _ = self.append_control();
        }
    }
}

/// The first number of those that go up to the newest without a gap.
fn first_consecutive(contents: &[SegmentContent]) -> u64 {
    let mut first = contents.last().map_or(0, |content| content.number);
    for content in contents.iter().rev().skip(1) {
        if content.number + 1 != first {
            break;
        }
        first = content.number;
    }
    first
}

/// Opens a file of the ring, or makes it; it has its whole length, on the disk, before it is used.
fn open_or_create_file(path: &Path, bytes: u64) -> std::io::Result<File> {
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
    if file.metadata()?.len() < bytes {
        file.set_len(bytes)?;
        file.sync_all()?;
    }
    Ok(file)
}

/// Opens the files that are there, or makes the first one.
fn open_files(folder: &Path, size: RingSize) -> Result<VecDeque<SegmentFile>, StorageError> {
    fs::create_dir_all(folder)?;
    let mut files = VecDeque::new();
    while files.len() < size.segments {
        let path = segment_path(folder, files.len(), size);
        if !files.is_empty() && !path.exists() {
            break;
        }
        files.push_back(SegmentFile { number: 0, file: open_or_create_file(&path, size.segment)? });
    }
    File::open(folder)?.sync_all()?;
    Ok(files)
}
