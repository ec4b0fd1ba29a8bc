//! The identity of a disk: a random number that is drawn and stored in the data folder when the folder is found empty.

use crate::files::{has_ring_files, replace_file, sync_folder};
use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Name of the file with the identity: 16 hexadecimal digits and a newline.
const IDENTITY_FILE: &str = "identity";
/// Name of the empty file that exists as long as the machine may take part in the first start of a system.
const FIRST_START_FILE: &str = "first-start";

/// Whether a machine whose folder is found empty may take part in the first start of a system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstStart {
    /// It may, and may also do so after a restart, until [`end_first_start`].
    TakesPart,
    /// It may not.
    TakesNoPart,
}

/// Identity of a disk, and whether it is new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The random number that identifies the disk.
    pub disk: u64,
    /// The identity was drawn just now because the folder had none: any data that the machine stored before is lost.
    pub is_new: bool,
    /// The machine may take part in the first start of a system: it was allowed to when its identity was drawn, and
    /// [`end_first_start`] was not called since.
    pub takes_part_in_first_start: bool,
}

/// Reasons why a folder has no usable identity. Each message includes its cause, so the variants have no
/// [`source`](std::error::Error::source): the cause would be printed twice.
#[derive(Debug, thiserror::Error)]
pub enum IdentityError {
    /// The folder or the file could not be read, created or synced.
    #[error("failed to read or write {path}: {cause}")]
    Io {
        /// Path of the folder or file.
        path: PathBuf,
        /// Error that the operating system reported.
        cause: std::io::Error,
    },
    /// The folder contains a ring, but the identity that its records belong to is lost.
    #[error(
        "{path} is missing or damaged beside a ring: restore the file, or empty the folder so that the machine catches up as a new \
         disk"
    )]
    RingWithoutIdentity {
        /// Path of the identity file.
        path: PathBuf,
    },
}

/// Reads the identity of a folder, or stores the random number `drawn` as its identity if there is none; `first_start` applies only
/// then. A folder with a ring never
/// gets a new identity, because other members know the promises and records in the ring by the previous identity.
///
/// # Errors
///
/// [`IdentityError::Io`] if the folder or the file can't be read or written, [`IdentityError::RingWithoutIdentity`] if a ring exists
/// and the identity file is missing or damaged.
pub fn load_identity(folder: &Path, drawn: u64, first_start: FirstStart) -> Result<Identity, IdentityError> {
    let io_error_at = |path: &Path| {
        let path = path.to_owned();
        move |cause| IdentityError::Io { path, cause }
    };
    fs::create_dir_all(folder).map_err(io_error_at(folder))?;
    let path = folder.join(IDENTITY_FILE);
    let has_ring = has_ring_files(folder).map_err(io_error_at(folder))?;
    if let Some(disk) = read_identity(&path).map_err(io_error_at(&path))? {
        if !has_ring {
            // An earlier start may have ended before the file's name was durable. It has to be durable before a ring is created.
            sync_folder(folder).map_err(io_error_at(folder))?;
        }
        let takes_part_in_first_start = folder.join(FIRST_START_FILE).exists();
        return Ok(Identity { disk, is_new: false, takes_part_in_first_start });
    }
    if has_ring {
        return Err(IdentityError::RingWithoutIdentity { path });
    }
    let takes_part_in_first_start = first_start == FirstStart::TakesPart;
    if takes_part_in_first_start {
        // Written first: a machine that is killed between both has no identity yet.
        replace_file(folder, FIRST_START_FILE, "").map_err(io_error_at(&path))?;
    }
    replace_file(folder, IDENTITY_FILE, &format!("{drawn:016x}\n")).map_err(io_error_at(&path))?;
    Ok(Identity { disk: drawn, is_new: true, takes_part_in_first_start })
}

/// Records that the machine takes no part in a first start any more: its system exists.
///
/// # Errors
///
/// The file could not be removed. The machine may then take part after a restart, too, which has no effect in a system that exists.
pub fn end_first_start(folder: &Path) -> std::io::Result<()> {
    match fs::remove_file(folder.join(FIRST_START_FILE)) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Reads the identity in a file; `None` if the file does not exist or contains no valid identity.
fn read_identity(path: &Path) -> std::io::Result<Option<u64>> {
    match fs::read(path) {
        Ok(bytes) => Ok(parse_identity(&bytes)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

fn parse_identity(bytes: &[u8]) -> Option<u64> {
    let text = str::from_utf8(bytes).ok()?;
    u64::from_str_radix(text.trim(), 16).ok()
}
