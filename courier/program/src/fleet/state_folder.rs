//! What a membership changes in the courier's state folder: the file of a sealed journal is put aside, and the record of the
//! lineage says whether the folder is a member's.

use super::error::FleetError;
use super::stores::FileStores;
use quillmount_fleet::member::Member;
use quillmount_fleet::state::Epoch;
use std::io::ErrorKind;
use std::path::Path;

/// The journal's file.
pub const JOURNAL_FILE: &str = "journal";
/// The file of a journal that others have taken over.
const SEALED_JOURNAL_FILE: &str = "journal.sealed";
/// The folder of the member's stores.
pub const STORES_FOLDER: &str = "fleet";
/// The store that records the lineage under which the member has joined.
const LINEAGE_STORE: &str = "identity";

/// Puts the journal's file aside, as others have its contents.
///
/// # Errors
/// The folder refuses it.
pub fn put_journal_aside(member: &mut Member<FileStores>, folder: &Path) -> Result<(), FleetError> {
    // A kill in between must not leave a journal that counts as the own one.
    member.record_lineage(None)?;
    match std::fs::rename(folder.join(JOURNAL_FILE), folder.join(SEALED_JOURNAL_FILE)) {
        Err(e) if e.kind() != ErrorKind::NotFound => Err(FleetError::Aside(e)),
        _ => Ok(()),
    }
}

/// Whether a courier may start with this folder while the section is off.
///
/// # Errors
/// The folder is of a member that has not left: others have its work, or are to have it.
pub fn may_be_off(folder: &Path) -> Result<(), FleetError> {
    let path = folder.join(STORES_FOLDER).join(LINEAGE_STORE);
    let bytes = match std::fs::read(&path) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(()),
        read => read?,
    };
    match postcard::from_bytes::<Option<Epoch>>(&bytes) {
        Ok(None) => Ok(()),
        _ if bytes.is_empty() => Ok(()),
        _ => Err(FleetError::StillMember(folder.display().to_string())),
    }
}
