//! The identity of a disk: a random number, drawn when its folder is found empty and stored there.

use crate::error::StorageError;
use crate::files::sync_folder;
use std::fs::{self, File};
use std::io::Write;
use std::path::Path;

/// Name of the file with the identity: 16 hexadecimal digits and a newline.
const FILE_NAME: &str = "identity";
/// Name under which the file is written before it is renamed, so that a crash leaves no partial identity.
const TEMPORARY_FILE_NAME: &str = "identity.new";

/// Identity of a disk, and whether it was drawn just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The identity.
    pub disk: u64,
    /// The folder was empty: data that the machine stored before is lost.
    pub fresh: bool,
}

/// Reads the identity of a folder, or stores the random number `drawn` as its identity if there is none.
///
/// # Errors
///
/// [`StorageError::Io`] if the folder or the file cannot be created or synced.
pub fn load_identity(folder: &Path, drawn: u64) -> Result<Identity, StorageError> {
    fs::create_dir_all(folder)?;
    let path = folder.join(FILE_NAME);
    if let Ok(text) = fs::read_to_string(&path)
        && let Ok(disk) = u64::from_str_radix(text.trim(), 16)
    {
        return Ok(Identity { disk, fresh: false });
    }
    let temporary = folder.join(TEMPORARY_FILE_NAME);
    let mut file = File::create(&temporary)?;
    file.write_all(format!("{drawn:016x}\n").as_bytes())?;
    file.sync_all()?;
    fs::rename(&temporary, &path)?;
    sync_folder(folder)?;
    Ok(Identity { disk: drawn, fresh: true })
}
