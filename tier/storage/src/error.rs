//! Why an operation on the ring failed.

/// Why a record could not be stored or read.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The operating system reported an error on a file or folder.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Every segment is in use: the caller has to release older ones first.
    #[error("no segment is free")]
    Full,
    /// The record does not fit into a segment.
    #[error("a record of {bytes} bytes, {limit} at most")]
    TooLarge {
        /// Size of the record, bytes.
        bytes: usize,
        /// Size of the largest record that fits, bytes.
        limit: u64,
    },
}
