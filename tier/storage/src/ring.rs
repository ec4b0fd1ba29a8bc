//! The open ring: appends records, syncs them, and releases old segments.

use crate::error::StorageError;
use crate::files::{RingSize, SegmentFile, create_file, open_files};
use crate::format::{
    CONTROL_BODY_BYTES, CONTROL_FLAG, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES, encode_control_body,
    encode_segment_header, record_checksum, segment_checksum,
};
use crate::recovery::{RecoveredRing, recover};
use crate::segment::{RingRecord, WritePosition};
use std::collections::VecDeque;
use std::fs::File;
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Syncs the data of a segment's file.
pub type SyncFile = Box<dyn FnMut(&File) -> std::io::Result<()> + Send>;

/// An open ring. The caller must ensure that no other process has the same folder open.
pub struct Ring {
    size: RingSize,
    folder: PathBuf,
    /// Files in the order of their segment numbers: unused files first, the file being written last. The numbers in use are
    /// consecutive, because the file with the lowest number is reused first.
    files: VecDeque<SegmentFile>,
    /// Numbers of the segments in use are `oldest_segment..=current_segment`; both are 0 if no segment was written yet.
    oldest_segment: u64,
    current_segment: u64,
    /// Position after the last appended record.
    end: WritePosition,
    /// Position after the last synced record.
    synced_end: WritePosition,
    /// The bytes after `end` may be left over from earlier writes: a control record has to precede the next record.
    tail_unknown: bool,
    /// Salt of the last control record; it differs for each control record.
    salt: u64,
    sync_file: SyncFile,
}

impl Ring {
    /// Opens or creates the ring of a folder and returns it with the recovered records, oldest first. `salt` is a random number that
    /// differs each time the ring is opened.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`] if the folder or one of its files cannot be created, read or synced.
    pub fn open(folder: &Path, size: RingSize, salt: u64) -> Result<(Ring, Vec<RingRecord>), StorageError> {
        Ring::open_with_sync(folder, size, salt, Box::new(File::sync_data))
    }

    /// Like [`Ring::open`], with a function in place of the operating system's sync.
    ///
    /// # Errors
    ///
    /// As [`Ring::open`].
    pub fn open_with_sync(
        folder: &Path,
        size: RingSize,
        salt: u64,
        sync_file: SyncFile,
    ) -> Result<(Ring, Vec<RingRecord>), StorageError> {
        let size = RingSize { max_segments: size.max_segments.max(2), ..size };
        let mut files = open_files(folder, size)?;
        let RecoveredRing { oldest_segment, current_segment, end, records } = recover(&mut files)?;
        let folder = folder.to_owned();
        let ring = Ring {
            size,
            folder,
            files,
            oldest_segment,
            current_segment,
            end,
            synced_end: end,
            tail_unknown: true,
            salt,
            sync_file,
        };
        Ok((ring, records))
    }

    /// Size of the largest record that [`Ring::append`] accepts, bytes.
    pub fn max_record_bytes(&self) -> u64 {
        self.size.segment_bytes
            - SEGMENT_HEADER_BYTES
            - 2 * (RECORD_HEADER_BYTES + CONTROL_BODY_BYTES)
            - RECORD_HEADER_BYTES
    }

    /// Number of the segment being written; 0 if none was written yet.
    pub fn current_segment(&self) -> u64 {
        self.current_segment
    }

    /// Number of segments that can still be started.
    pub fn free_segments(&self) -> usize {
        let used_segments =
            if self.current_segment == 0 { 0 } else { self.current_segment - self.oldest_segment + 1 };
        self.size.max_segments.saturating_sub(used_segments as usize)
    }

    /// Largest number of segments.
    pub fn max_segments(&self) -> usize {
        self.size.max_segments
    }

    /// Returns whether the next record of this size starts a segment.
    pub fn starts_segment(&self, body_bytes: usize) -> bool {
        // A control record may have to precede the record.
        let needed_bytes = 2 * RECORD_HEADER_BYTES + CONTROL_BODY_BYTES + body_bytes as u64;
        self.current_segment == 0 || self.end.offset + needed_bytes > self.size.segment_bytes
    }

    /// Appends a record and returns the number of its segment. The record is durable only after [`Ring::sync`].
    ///
    /// A record that [starts a segment](Ring::starts_segment) first syncs the previous one. If that fails, the unsynced records are
    /// dropped as by [`Ring::sync`]; a caller that reports them one by one has to sync before, as [`RecordGroup`] does.
    ///
    /// [`RecordGroup`]: crate::RecordGroup
    ///
    /// # Errors
    ///
    /// [`StorageError::TooLarge`] above [`Ring::max_record_bytes`], [`StorageError::Full`] if a new segment is needed and none is
    /// free, [`StorageError::Io`] if writing fails. On an error the record is not part of the ring.
    pub fn append(&mut self, body: &[u8]) -> Result<u64, StorageError> {
        if body.len() as u64 > self.max_record_bytes() {
            return Err(StorageError::TooLarge { bytes: body.len(), limit: self.max_record_bytes() });
        }
        if self.starts_segment(body.len()) {
            self.open_segment()?;
        }
        if self.end.offset == 0 {
            self.write_segment_header()?;
        }
        if self.tail_unknown {
            self.append_control()?;
        }
        self.write_record(body.len() as u32, body)?;
        Ok(self.current_segment)
    }

    /// Syncs all records appended so far.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`] if syncing fails. The records appended since the last successful sync are then dropped: the next record
    /// overwrites them.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        if self.current_segment == 0 {
            return Ok(());
        }
        let current = self.files.back().ok_or(StorageError::Full)?;
        if let Err(error) = (self.sync_file)(&current.file) {
            self.end = self.synced_end;
            self.tail_unknown = true;
            return Err(error.into());
        }
        self.synced_end = self.end;
        Ok(())
    }

    /// Frees the segments before `segment`. A control record that states this is written at once, or with the next record if the
    /// current segment is full. If the control record is lost, the next recovery reads more segments than needed.
    pub fn release(&mut self, segment: u64) {
        let oldest_segment = segment.clamp(self.oldest_segment, self.current_segment);
        if self.oldest_segment == 0 || oldest_segment == self.oldest_segment {
            return;
        }
        self.oldest_segment = oldest_segment;
        self.tail_unknown = true;
        let fits = self.end.offset + RECORD_HEADER_BYTES + CONTROL_BODY_BYTES <= self.size.segment_bytes;
        if fits && self.end.offset > 0 {
            // On failure `tail_unknown` stays set, and the next append writes the control record.
            let _ = self.append_control();
        }
    }

    fn open_segment(&mut self) -> Result<(), StorageError> {
        if self.free_segments() == 0 {
            return Err(StorageError::Full);
        }
        // The previous segment has to be synced now: later syncs only cover the current segment.
        self.sync()?;
        let file = self.next_file()?;
        self.current_segment += 1;
        self.files.push_back(SegmentFile { number: self.current_segment, file });
        if self.oldest_segment == 0 {
            self.oldest_segment = self.current_segment;
        }
        self.end = WritePosition { offset: 0, chain: segment_checksum(self.current_segment) };
        self.synced_end = self.end;
        Ok(())
    }

    /// Returns the file with the lowest segment number if it is no longer in use, otherwise creates a new file.
    fn next_file(&mut self) -> Result<File, StorageError> {
        let is_reusable = |segment: &SegmentFile| segment.number == 0 || segment.number < self.oldest_segment;
        if self.files.front().is_some_and(is_reusable)
            && let Some(segment) = self.files.pop_front()
        {
            return Ok(segment.file);
        }
        if self.files.len() >= self.size.max_segments {
            return Err(StorageError::Full);
        }
        create_file(&self.folder, self.files.len(), self.size)
    }

    fn write_segment_header(&mut self) -> Result<(), StorageError> {
        let header = encode_segment_header(self.current_segment);
        self.tail_unknown = true;
        self.write(&header)
    }

    /// Appends a control record, which states the oldest segment in use.
    fn append_control(&mut self) -> Result<(), StorageError> {
        self.salt = self.salt.wrapping_add(1);
        let body = encode_control_body(self.oldest_segment, self.salt);
        self.write_record(CONTROL_FLAG | CONTROL_BODY_BYTES as u32, &body)?;
        self.tail_unknown = false;
        Ok(())
    }

    fn write_record(&mut self, length_field: u32, body: &[u8]) -> Result<(), StorageError> {
        let checksum = record_checksum(self.end.chain, length_field, body);
        let mut bytes = Vec::with_capacity(RECORD_HEADER_BYTES as usize + body.len());
        bytes.extend_from_slice(&length_field.to_le_bytes());
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes.extend_from_slice(body);
        self.write(&bytes)?;
        self.end.chain = checksum;
        Ok(())
    }

    /// Writes at the end of the appended records; a failed write does not move the end.
    fn write(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        let offset = self.end.offset;
        let file = self.file()?;
        let written = file.seek(SeekFrom::Start(offset)).and_then(|_| file.write_all(bytes));
        if let Err(error) = written {
            self.tail_unknown = true;
            return Err(error.into());
        }
        self.end.offset += bytes.len() as u64;
        Ok(())
    }

    /// Returns the file being written, which is the last file once a segment was opened.
    fn file(&mut self) -> Result<&mut File, StorageError> {
        self.files.back_mut().map(|segment| &mut segment.file).ok_or(StorageError::Full)
    }
}
