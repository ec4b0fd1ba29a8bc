//! Names, creation and opening of the files of a ring.
//!
//! Files are preallocated: a file has its full length on the disk before a segment is written to it, so that appending changes no
//! file metadata.

use crate::error::StorageError;
use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Prefix of the name of every file of a ring; the index follows.
pub(crate) const FILE_PREFIX: &str = "segment-";

/// Capacity of a ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingSize {
    /// Size of one file, bytes.
    pub segment_bytes: u64,
    /// Largest number of files, at least two. A further file is created when all existing files are in use.
    pub max_segments: usize,
}

/// One file of the ring.
pub(crate) struct SegmentFile {
    /// Number of the segment that the file contains; 0 if it contains none yet.
    pub(crate) number: u64,
    pub(crate) file: File,
}

/// Opens the existing files in the order of their creation, or creates the first one.
pub(crate) fn open_files(folder: &Path, size: RingSize) -> Result<VecDeque<SegmentFile>, StorageError> {
    fs::create_dir_all(folder)?;
    let mut files = VecDeque::new();
    while files.len() < size.max_segments {
        let path = segment_path(folder, files.len(), size);
        if !files.is_empty() && !path.exists() {
            break;
        }
        let file = open_or_create_file(&path, size.segment_bytes)?;
        files.push_back(SegmentFile { number: 0, file });
    }
    sync_folder(folder)?;
    Ok(files)
}

/// Creates the file that follows `file_count` others, and syncs it and its folder.
pub(crate) fn create_file(folder: &Path, file_count: usize, size: RingSize) -> Result<File, StorageError> {
    let path = segment_path(folder, file_count, size);
    let file = open_or_create_file(&path, size.segment_bytes)?;
    sync_folder(folder)?;
    Ok(file)
}

/// Returns whether a folder has at least one file of a ring, even if no record was written to it.
pub(crate) fn has_ring_files(folder: &Path) -> std::io::Result<bool> {
    for entry in fs::read_dir(folder)? {
        if entry?.file_name().to_string_lossy().starts_with(FILE_PREFIX) {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Replaces a small file atomically and durably: it is written and synced under a temporary name, then renamed, so that after a
/// crash the file has either its old or its new content.
pub(crate) fn replace_file(folder: &Path, name: &str, text: &str) -> std::io::Result<()> {
    let temporary = folder.join(format!("{name}.new"));
    let mut file = File::create(&temporary)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(name))?;
    sync_folder(folder)
}

/// Syncs a folder, which makes the names of new files durable.
pub(crate) fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Path of the file that is created after `file_count` others. As long as no file was reused, the index in the name equals the
/// number of the segment in the file.
fn segment_path(folder: &Path, file_count: usize, size: RingSize) -> PathBuf {
    let index = (file_count + 1) % size.max_segments;
    folder.join(format!("{FILE_PREFIX}{index:03}"))
}

/// Opens a file of the ring, or creates it with its full length, synced.
fn open_or_create_file(path: &Path, bytes: u64) -> std::io::Result<File> {
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
    if file.metadata()?.len() < bytes {
        file.set_len(bytes)?;
        file.sync_all()?;
    }
    Ok(file)
}
