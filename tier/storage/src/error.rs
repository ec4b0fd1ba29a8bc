//! Errors of operations on the ring.

/// Reasons why a record could not be stored or read.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The operating system reported an error on a file or folder.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Every segment is in use: the caller has to release older segments first.
    #[error("no segment of the ring is free: release older segments or enlarge the ring")]
    Full,
    /// The record does not fit into one segment.
    #[error("a record of {bytes} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// Size of the record, bytes.
        bytes: usize,
        /// Size of the largest record that fits, bytes.
        limit: u64,
    },
}
