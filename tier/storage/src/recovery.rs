//! Recovery of a ring when it is opened: finds the records in use and the position at which appending resumes.

use crate::error::StorageError;
use crate::files::{FILE_PREFIX, SegmentFile};
use crate::segment::{RingRecord, SegmentContent, WritePosition, read_segment};
use std::collections::VecDeque;
use std::fs::{self, File};
use std::path::Path;

/// State of a ring as recovered from its files.
pub(crate) struct RecoveredRing {
    /// Numbers of the segments in use are `oldest_segment..=current_segment`; both are 0 if no segment was written yet.
    pub(crate) oldest_segment: u64,
    pub(crate) current_segment: u64,
    /// End of the last complete record of the current segment.
    pub(crate) end: WritePosition,
    /// Records of the segments in use, oldest first.
    pub(crate) records: Vec<RingRecord>,
}

/// Reads all files, sets the segment number of each, and sorts the files by it.
pub(crate) fn recover(files: &mut VecDeque<SegmentFile>) -> Result<RecoveredRing, StorageError> {
    let mut contents = Vec::new();
    for SegmentFile { number, file } in files.iter_mut() {
        let content = read_segment(file)?;
        *number = content.as_ref().map_or(0, |content| content.number);
        contents.extend(content);
    }
    files.make_contiguous().sort_by_key(|file| file.number);
    contents.sort_by_key(|content| content.number);
    let (current_segment, end) =
        contents.last().map_or((0, WritePosition::default()), |last| (last.number, last.end));
    // Segments before a gap in the numbers are left over from before the ring wrapped around.
    let first_segment = first_consecutive(&contents);
    let recorded_oldest = contents.iter().map(|content| content.oldest_segment).max().unwrap_or(0);
    let oldest_segment = recorded_oldest.clamp(first_segment, current_segment);
    let retained = contents.into_iter().filter(|content| content.number >= oldest_segment);
    let records = retained.flat_map(|content| content.records).collect();
    Ok(RecoveredRing { oldest_segment, current_segment, end, records })
}

/// Returns the lowest segment number of the run of consecutive numbers that ends with the newest segment.
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

/// Reads the records of a folder, oldest first, without changing any file. Released records are included until their files are
/// reused.
///
/// # Errors
///
/// [`StorageError::Io`] if the folder or one of its files cannot be read.
pub fn read_records(folder: &Path) -> Result<Vec<RingRecord>, StorageError> {
    let mut records = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_name().to_string_lossy().starts_with(FILE_PREFIX) {
            let content = read_segment(&mut File::open(entry.path())?)?;
            records.extend(content.into_iter().flat_map(|content| content.records));
        }
    }
    records.sort_by_key(|record| record.segment);
    Ok(records)
}
