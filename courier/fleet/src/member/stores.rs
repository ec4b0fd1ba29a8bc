//! Where a member keeps what outlasts its process, and under which names.

use super::MemberError;
use crate::state::{Epoch, JournalId};
use quillmount_core::store::Store;
use std::io;

/// Name of the store of the agreement's log.
pub(super) const AGREEMENT_STORE: &str = "agreement";
/// Name of the store that says which journal is in the folder.
pub(super) const IDENTITY_STORE: &str = "identity";
/// Start of the names of the stores of replicas.
const REPLICA_PREFIX: &str = "copy.";

/// A directory of stores with names of letters, digits, `-`, `_` and `.`.
pub trait StoreDirectory {
    /// One of the stores.
    type Store: Store;

    /// Opens a store, or creates it.
    ///
    /// # Errors
    /// It can't be opened or created.
    fn open(&mut self, name: &str) -> io::Result<Self::Store>;

    /// Removes a store, if it exists.
    ///
    /// # Errors
    /// It exists and can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// The names of all stores.
    ///
    /// # Errors
    /// The directory can't be read.
    fn names(&mut self) -> io::Result<Vec<String>>;
}

/// Reads the lineage of the journal beside the fleet's folder; `None`: there is no journal that counts.
pub(super) fn read_lineage<S: Store>(identity: &mut S) -> Result<Option<Epoch>, MemberError> {
    let bytes = identity.read()?;
    if bytes.is_empty() {
        return Ok(None);
    }
    Ok(postcard::from_bytes(&bytes)?)
}

/// The name of the store of a journal's replica.
pub(super) fn replica_store_name(journal: &JournalId) -> String {
    format!("{REPLICA_PREFIX}{}.{}", journal.epoch, journal.owner)
}

/// The journal whose replica a store is; `None`: the store is of another kind.
pub(super) fn journal_of_store(name: &str) -> Option<JournalId> {
    let (epoch, owner) = name.strip_prefix(REPLICA_PREFIX)?.split_once('.')?;
    Some(JournalId { owner: owner.into(), epoch: epoch.parse().ok()? })
}
