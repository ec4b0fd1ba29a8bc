//! Why an operation on the journal failed.

use std::io;
use std::sync::Arc;

/// An operation on the journal failed; nothing of it was written to the store.
#[derive(Clone, Debug, thiserror::Error)]
pub enum JournalError {
    /// The store could not be read or written.
    #[error("journal: {what} failed: {source}")]
    Io {
        /// The operation that failed.
        what: &'static str,
        /// The store's error, shared so that this error can be cloned.
        source: Arc<io::Error>,
    },
    /// A record could not be encoded.
    #[error("journal: a record could not be encoded: {0}")]
    Encode(#[from] postcard::Error),
    /// The journal has reached its limit on disk space.
    #[error("journal: no room in its share of the disk")]
    Full,
}

impl JournalError {
    /// Wraps an error of the store, for `map_err`.
    pub(super) fn io(what: &'static str) -> impl Fn(io::Error) -> JournalError {
        move |source| JournalError::Io { what, source: Arc::new(source) }
    }
}
