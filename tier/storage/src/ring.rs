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

/// An open ring. The caller makes sure that no other process has the same folder open.
pub struct Ring {
    size: RingSize,
    folder: PathBuf,
    /// By segment number: unused files first, the one being written last. The numbers in use are consecutive, because the file
    /// with the lowest number is reused first.
    files: VecDeque<SegmentFile>,
    /// Numbers of the segments in use are `oldest..=current`; 0 means that none was written yet.
    oldest: u64,
    current: u64,
    /// End of the appended records.
    end: WritePosition,
    /// End of the synced records.
    synced: WritePosition,
    /// The bytes after the end are unknown: a control record is written before the next record.
    tail_unknown: bool,
    salt: u64,
}

impl Ring {
    /// Opens or creates the ring of a folder; returns it with the records found, oldest first. `salt` is a random number, different
    /// for each opening.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`] if the folder or one of its files cannot be created, read or synced.
    pub fn open(folder: &Path, size: RingSize, salt: u64) -> Result<(Ring, Vec<RingRecord>), StorageError> {
        let size = RingSize { segments: size.segments.max(2), ..size };
        let mut files = open_files(folder, size)?;
        let RecoveredRing { oldest, current, end, records } = recover(&mut files)?;
        let folder = folder.to_owned();
        let ring = Ring { size, folder, files, oldest, current, end, synced: end, tail_unknown: true, salt };
        Ok((ring, records))
    }

    /// Size of the largest record that [`Ring::append`] accepts, bytes.
    pub fn largest_record(&self) -> u64 {
        self.size.segment
            - SEGMENT_HEADER_BYTES
            - 2 * (RECORD_HEADER_BYTES + CONTROL_BODY_BYTES)
            - RECORD_HEADER_BYTES
    }

    /// Number of the segment being written; 0 before the first.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Number of segments that can still be started.
    pub fn free(&self) -> usize {
        let used = if self.current == 0 { 0 } else { self.current - self.oldest + 1 };
        self.size.segments.saturating_sub(used as usize)
    }

    /// Largest number of segments.
    pub fn segments(&self) -> usize {
        self.size.segments
    }

    /// Appends a record and returns the number of its segment. The record is durable only after [`Ring::sync`].
    ///
    /// # Errors
    ///
    /// [`StorageError::TooLarge`] above [`Ring::largest_record`], [`StorageError::Full`] if a new segment is needed and none is
    /// free, [`StorageError::Io`] if writing fails; the record is not part of the ring then.
    pub fn append(&mut self, body: &[u8]) -> Result<u64, StorageError> {
        if body.len() as u64 > self.largest_record() {
            return Err(StorageError::TooLarge { bytes: body.len(), limit: self.largest_record() });
        }
        // A control record may precede it.
        let needed = 2 * RECORD_HEADER_BYTES + CONTROL_BODY_BYTES + body.len() as u64;
        if self.current == 0 || self.end.offset + needed > self.size.segment {
            self.open_segment()?;
        }
        if self.end.offset == 0 {
            self.write_segment_header()?;
        }
        if self.tail_unknown {
            self.append_control()?;
        }
        self.write_record(body.len() as u32, body)?;
        Ok(self.current)
    }

    /// Syncs all records appended so far.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`] if syncing fails. Records appended since the last successful sync are then dropped: the next record
    /// is written in their place.
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

    /// Frees the segments before `segment`. The release is recorded at once, or with the next record if the current segment is
    /// full. If that control record is lost, the next start reads more segments than needed.
    pub fn release(&mut self, segment: u64) {
        let oldest = segment.clamp(self.oldest, self.current);
        if self.oldest == 0 || oldest == self.oldest {
            return;
        }
        self.oldest = oldest;
        self.tail_unknown = true;
        let fits = self.end.offset + RECORD_HEADER_BYTES + CONTROL_BODY_BYTES <= self.size.segment;
        if fits && self.end.offset > 0 {
            // On failure `tail_unknown` stays set, and the next append writes the control record.
            let _ = self.append_control();
        }
    }

    fn open_segment(&mut self) -> Result<(), StorageError> {
        if self.free() == 0 {
            return Err(StorageError::Full);
        }
        // Nothing syncs the previous segment once it is no longer the current one.
        self.sync()?;
        let file = self.next_file()?;
        self.current += 1;
        self.files.push_back(SegmentFile { number: self.current, file });
        if self.oldest == 0 {
            self.oldest = self.current;
        }
        self.end = WritePosition { offset: 0, chain: segment_checksum(self.current) };
        self.synced = self.end;
        Ok(())
    }

    /// The file with the lowest number if it is no longer in use, otherwise a new one.
    fn next_file(&mut self) -> Result<File, StorageError> {
        let is_reusable = |segment: &SegmentFile| segment.number == 0 || segment.number < self.oldest;
        if self.files.front().is_some_and(is_reusable)
            && let Some(segment) = self.files.pop_front()
        {
            return Ok(segment.file);
        }
        if self.files.len() >= self.size.segments {
            return Err(StorageError::Full);
        }
        create_file(&self.folder, self.files.len(), self.size)
    }

    fn write_segment_header(&mut self) -> Result<(), StorageError> {
        let header = encode_segment_header(self.current);
        self.tail_unknown = true;
        self.write(&header)
    }

    /// Records which segment is the oldest in use.
    fn append_control(&mut self) -> Result<(), StorageError> {
        self.salt = self.salt.wrapping_add(1);
        let body = encode_control_body(self.oldest, self.salt);
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

    /// Writes at the end; a write that fails does not move the end.
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

    /// The file being written: the last one, once a segment was opened.
    fn file(&mut self) -> Result<&mut File, StorageError> {
        self.files.back_mut().map(|segment| &mut segment.file).ok_or(StorageError::Full)
    }
}
