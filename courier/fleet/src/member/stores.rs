//! Persistent stores of a member and their names.

use super::MemberError;
use crate::state::{Epoch, JournalId};
use quillmount_core::store::Store;
use std::io;

/// Name of the store of the agreement's log.
pub(super) const AGREEMENT_STORE: &str = "agreement";
/// Name of the store that contains the lineage of the journal in the data directory.
pub(super) const IDENTITY_STORE: &str = "identity";
/// Prefix of the names of replica stores. The name continues with the journal's epoch and owner.
const REPLICA_PREFIX: &str = "copy.";

/// A directory of stores. Names consist of letters, digits, `-`, `_` and `.`.
pub trait StoreDirectory {
    /// The type of a store in this directory.
    type Store: Store;

    /// Opens a store, or creates an empty one if it does not exist.
    ///
    /// # Errors
    /// The store can't be opened or created.
    fn open(&mut self, name: &str) -> io::Result<Self::Store>;

    /// Removes a store if it exists.
    ///
    /// # Errors
    /// The store exists and can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Lists the names of all stores.
    ///
    /// # Errors
    /// The directory can't be read.
    fn names(&mut self) -> io::Result<Vec<String>>;
}

/// Reads the lineage of the journal in the data directory; `None` if there is no valid journal.
pub(super) fn read_lineage<S: Store>(identity: &mut S) -> Result<Option<Epoch>, MemberError> {
    let bytes = identity.read()?;
    if bytes.is_empty() {
        return Ok(None);
    }
    Ok(postcard::from_bytes(&bytes)?)
}

/// The name of the store that contains the replica of a journal.
pub(super) fn replica_store_name(journal: &JournalId) -> String {
    format!("{REPLICA_PREFIX}{}.{}", journal.epoch, journal.owner)
}

/// The journal whose replica a store contains; `None` if the store contains no replica.
pub(super) fn journal_of_store(name: &str) -> Option<JournalId> {
    let (epoch, owner) = name.strip_prefix(REPLICA_PREFIX)?.split_once('.')?;
    Some(JournalId { owner: owner.into(), epoch: epoch.parse().ok()? })
}
