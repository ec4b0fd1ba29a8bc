//! What a ring contains when it is opened: the records in use, and where appending resumes.

use crate::error::StorageError;
use crate::files::{FILE_PREFIX, SegmentFile};
use crate::segment::{RingRecord, SegmentContent, WritePosition, read_segment};
use std::collections::VecDeque;
use std::fs::{self, File};
use std::path::Path;

/// The state of a ring as its files give it.
pub(crate) struct RecoveredRing {
    /// Numbers of the segments in use are `oldest..=current`; 0 means that none was written yet.
    pub(crate) oldest: u64,
    pub(crate) current: u64,
    /// End of the last complete record of the current segment.
    pub(crate) end: WritePosition,
    /// Records of the segments in use, oldest first.
    pub(crate) records: Vec<RingRecord>,
}

/// Reads all files, notes the segment number of each, and sorts them by it.
pub(crate) fn recover(files: &mut VecDeque<SegmentFile>) -> Result<RecoveredRing, StorageError> {
    let mut contents = Vec::new();
    for SegmentFile { number, file } in files.iter_mut() {
        let content = read_segment(file)?;
        *number = content.as_ref().map_or(0, |content| content.number);
        contents.extend(content);
    }
    files.make_contiguous().sort_by_key(|file| file.number);
    contents.sort_by_key(|content| content.number);
    let (current, end) =
        contents.last().map_or((0, WritePosition::default()), |last| (last.number, last.end));
    // Segments before a gap in the numbers are left over from an earlier lap of the ring.
    let first = first_consecutive(&contents);
    let noted = contents.iter().map(|content| content.oldest).max().unwrap_or(0);
    let oldest = noted.clamp(first, current);
    let retained = contents.into_iter().filter(|content| content.number >= oldest);
    let records = retained.flat_map(|content| content.records).collect();
    Ok(RecoveredRing { oldest, current, end, records })
}

/// The lowest of the numbers that lead up to the newest without a gap.
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

/// Reads the records of a folder without changing anything, oldest first. Released records are included as long as their files
/// were not reused.
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
