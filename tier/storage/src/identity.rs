//! The identity of a disk: drawn when its folder is found empty.

use crate::StorageError;
use std::fs::{self, File};
use std::io::Write;
use std::path::Path;

/// Name of the file that holds it.
const FILE_NAME: &str = "identity";
/// Name under which it is written first.
const TEMPORARY_FILE_NAME: &str = "identity.new";

/// Identity of a disk, and whether it was drawn just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    pub disk: u64,
    /// The folder was empty: nothing that the machine held before is here.
    pub fresh: bool,
}

/// Reads the identity of a folder, or writes `drawn` as its identity if there is none.
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
    File::open(folder)?.sync_all()?;
    Ok(Identity { disk: drawn, fresh: true })
}
