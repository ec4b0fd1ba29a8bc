//! The identity of a disk: a random number, drawn when its folder is found empty and stored there.

use crate::files::{has_ring_files, replace_file, sync_folder};
use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Name of the file with the identity: 16 hexadecimal digits and a newline.
const FILE_NAME: &str = "identity";

/// Identity of a disk, and whether it was drawn just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The identity.
    pub disk: u64,
    /// The folder was empty: data that the machine stored before is lost.
    pub fresh: bool,
}

/// Why a folder has no identity that can be used. The texts include the cause, which is why no variant has a source: it would be
/// shown twice.
#[derive(Debug, thiserror::Error)]
pub enum IdentityError {
    /// The folder or the file could not be read, created or synced.
    #[error("{path}: {cause}")]
    Io {
        /// The folder or file.
        path: PathBuf,
        /// What the operating system reported.
        cause: std::io::Error,
    },
    /// The folder holds a ring, whose records belong to an identity that is not known any more.
    #[error(
        "{path} is missing or damaged beside a ring: restore the file, or empty the folder so that the machine catches up as a new \
         disk"
    )]
    LostBesideRing {
        /// The file.
        path: PathBuf,
    },
}

/// Reads the identity of a folder, or stores the random number `drawn` as its identity if there is none. An identity is never
/// drawn over a ring: other members know its promises and records by the identity that was there.
///
/// # Errors
///
/// [`IdentityError`], by what failed.
pub fn load_identity(folder: &Path, drawn: u64) -> Result<Identity, IdentityError> {
    let failed_at = |path: &Path| {
        let path = path.to_owned();
        move |cause| IdentityError::Io { path, cause }
    };
    fs::create_dir_all(folder).map_err(failed_at(folder))?;
    let path = folder.join(FILE_NAME);
    let has_ring = has_ring_files(folder).map_err(failed_at(folder))?;
    if let Some(disk) = read_identity(&path).map_err(failed_at(&path))? {
        if !has_ring {
            // An earlier start may have ended before the file's name was durable, which has to be before there is a ring.
            sync_folder(folder).map_err(failed_at(folder))?;
        }
        return Ok(Identity { disk, fresh: false });
    }
    if has_ring {
        return Err(IdentityError::LostBesideRing { path });
    }
    replace_file(folder, FILE_NAME, &format!("{drawn:016x}\n")).map_err(failed_at(&path))?;
    Ok(Identity { disk: drawn, fresh: true })
}

/// The identity in a file; `None` if there is no file, or no identity in it.
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
