//! Errors of operations on the journal.

use std::io;
use std::sync::Arc;

/// An operation on the journal failed; none of its records were written to the store.
#[derive(Clone, Debug, thiserror::Error)]
pub enum JournalError {
    /// The store could not be read or written.
    #[error("journal: {operation} failed: {source}")]
    Io {
        /// The operation that failed, such as `read`.
        operation: &'static str,
        /// The store's error, shared so that this error can be cloned.
        source: Arc<io::Error>,
    },
    /// A record could not be encoded.
    #[error("journal: a record could not be encoded: {0}")]
    Encode(#[from] postcard::Error),
    /// The records do not fit into the journal's limit on disk space.
    #[error("journal: no room in its share of the disk")]
    Full,
}

impl JournalError {
    /// Returns a function for `map_err` that wraps an error of the store with the failed operation.
    pub(super) fn io(operation: &'static str) -> impl Fn(io::Error) -> JournalError {
        move |source| JournalError::Io { operation, source: Arc::new(source) }
    }
}
