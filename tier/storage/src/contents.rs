//! Records which kind of data the ring in a folder contains, in a file next to the ring: the records themselves do not state
//! their kind.

use crate::files::{has_ring_files, replace_file};
use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Name of the file that states the kind of records.
const CONTENTS_FILE: &str = "contents";

/// Kind of the records in a folder's ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FolderContents {
    /// Consensus registers of a core member.
    ControlState,
    /// Records of a store about its batch jobs.
    BatchJobs,
}

impl FolderContents {
    /// Name of the kind, as written to the file.
    fn name(self) -> &'static str {
        match self {
            FolderContents::ControlState => "control-state",
            FolderContents::BatchJobs => "batch-jobs",
        }
    }

    fn from_name(name: &str) -> Option<FolderContents> {
        [FolderContents::ControlState, FolderContents::BatchJobs]
            .into_iter()
            .find(|contents| contents.name() == name)
    }
}

/// Reasons why a folder can't be used for a kind of records. Each message includes its cause, so the variants have no
/// [`source`](std::error::Error::source): the cause would be printed twice.
#[derive(Debug, thiserror::Error)]
pub enum ContentsError {
    /// The file could not be read or written.
    #[error("failed to read or write {path}: {cause}")]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// Error that the operating system reported.
        cause: std::io::Error,
    },
    /// The folder contains the data of the other role.
    #[error(
        "{path} contains {actual}, not {expected}: two roles must not share a folder; set another VarDir for this process"
    )]
    Mismatch {
        /// Path of the folder.
        path: PathBuf,
        /// Kind of records that the folder contains.
        actual: &'static str,
        /// Kind of records that the role stores.
        expected: &'static str,
    },
}

/// Returns the kind of records in a folder's ring; `None` if the folder was written only by versions that did not record it.
///
/// # Errors
/// [`ContentsError::Io`] if the file exists but can't be read.
pub fn read_contents(folder: &Path) -> Result<Option<FolderContents>, ContentsError> {
    let path = folder.join(CONTENTS_FILE);
    match fs::read_to_string(&path) {
        Ok(text) => Ok(FolderContents::from_name(text.trim())),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(cause) => Err(ContentsError::Io { path, cause }),
    }
}

/// Records which kind of data a folder contains, unless that is recorded already. A folder whose ring was created by an earlier
/// version, which did not record the kind, is accepted and gets its file too.
///
/// # Errors
/// [`ContentsError::Mismatch`] if the folder contains another kind of records. [`ContentsError::Io`] if the file can't be read, or
/// if it can't be written in a folder without a ring; if the folder has a ring, a failed write is ignored, because a full disk must
/// not prevent the role from starting.
pub fn claim_contents(folder: &Path, expected: FolderContents) -> Result<(), ContentsError> {
    match read_contents(folder)? {
        Some(actual) if actual == expected => Ok(()),
        Some(actual) => Err(ContentsError::Mismatch {
            path: folder.to_owned(),
            actual: actual.name(),
            expected: expected.name(),
        }),
        None => match replace_file(folder, CONTENTS_FILE, &format!("{}\n", expected.name())) {
            Err(cause) if !has_ring_files(folder).unwrap_or(false) => {
                Err(ContentsError::Io { path: folder.join(CONTENTS_FILE), cause })
            }
            Ok(()) | Err(_) => Ok(()),
        },
    }
}
