//! The identity of a disk: a random number that is drawn and stored in the data folder when the folder is found empty.

use crate::files::{has_ring_files, replace_file, sync_folder};
use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Name of the file with the identity: 16 hexadecimal digits and a newline.
const IDENTITY_FILE: &str = "identity";

/// Identity of a disk, and whether it is new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The random number that identifies the disk.
    pub disk: u64,
    /// The identity was drawn just now because the folder had none: any data that the machine stored before is lost.
    pub is_new: bool,
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

/// Reads the identity of a folder, or stores the random number `drawn` as its identity if there is none. A folder with a ring never
/// gets a new identity, because other members know the promises and records in the ring by the previous identity.
///
/// # Errors
///
/// [`IdentityError::Io`] if the folder or the file can't be read or written, [`IdentityError::RingWithoutIdentity`] if a ring exists
/// and the identity file is missing or damaged.
pub fn load_identity(folder: &Path, drawn: u64) -> Result<Identity, IdentityError> {
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
        return Ok(Identity { disk, is_new: false });
    }
    if has_ring {
        return Err(IdentityError::RingWithoutIdentity { path });
    }
    replace_file(folder, IDENTITY_FILE, &format!("{drawn:016x}\n")).map_err(io_error_at(&path))?;
    Ok(Identity { disk: drawn, is_new: true })
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
