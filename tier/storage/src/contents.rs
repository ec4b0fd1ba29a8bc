//! What the ring of a folder holds, noted in a file beside it: the records of a ring say nothing of their kind themselves.

use crate::files::{has_ring_files, replace_file};
use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Name of the file with the kind of records.
const FILE_NAME: &str = "contents";

/// What the records of a folder's ring are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FolderContents {
    /// Registers of a member of the core.
    ControlState,
    /// Records of a store's batch jobs.
    BatchJobs,
}

impl FolderContents {
    /// The name in the file.
    fn name(self) -> &'static str {
        match self {
            FolderContents::ControlState => "control-state",
            FolderContents::BatchJobs => "batch-jobs",
        }
    }

    fn from_name(name: &str) -> Option<FolderContents> {
        [FolderContents::ControlState, FolderContents::BatchJobs]
            .into_iter()
            .find(|known| known.name() == name)
    }
}

/// Why a folder can't be used for records of a kind. The texts include the cause, which is why no variant has a source: it would
/// be shown twice.
#[derive(Debug, thiserror::Error)]
pub enum ContentsError {
    /// The file could not be read or written.
    #[error("{path}: {cause}")]
    Io {
        /// The file.
        path: PathBuf,
        /// What the operating system reported.
        cause: std::io::Error,
    },
    /// The folder belongs to the other role.
    #[error("{path} holds {found}, not {wanted}: two roles must not share a folder")]
    Other {
        /// The folder.
        path: PathBuf,
        /// What it holds.
        found: &'static str,
        /// What the role stores.
        wanted: &'static str,
    },
}

/// What a folder's ring holds; `None` if no version that notes it has written to the folder.
///
/// # Errors
/// The file can't be read.
pub fn read_contents(folder: &Path) -> Result<Option<FolderContents>, ContentsError> {
    let path = folder.join(FILE_NAME);
    match fs::read_to_string(&path) {
        Ok(text) => Ok(FolderContents::from_name(text.trim())),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(cause) => Err(ContentsError::Io { path, cause }),
    }
}

/// Notes what a folder holds, unless that is noted already. A folder whose ring an earlier version made is noted too.
///
/// # Errors
/// [`ContentsError::Other`] if it holds something else, [`ContentsError::Io`] if the file can't be read, or not be written
/// for a folder without a ring; where there is one, a disk that is full must not keep the role from starting.
pub fn claim_contents(folder: &Path, wanted: FolderContents) -> Result<(), ContentsError> {
    match read_contents(folder)? {
        Some(found) if found == wanted => Ok(()),
        Some(found) => {
            Err(ContentsError::Other { path: folder.to_owned(), found: found.name(), wanted: wanted.name() })
        }
        None => match replace_file(folder, FILE_NAME, &format!("{}\n", wanted.name())) {
            Err(cause) if !has_ring_files(folder).unwrap_or(false) => {
                Err(ContentsError::Io { path: folder.join(FILE_NAME), cause })
            }
            Ok(()) | Err(_) => Ok(()),
        },
    }
}
