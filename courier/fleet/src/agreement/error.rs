//! Errors of the agreement's log, messages and snapshots.

use std::io;
use std::sync::Arc;

use crate::NodeId;

/// Why bytes received from another courier can't be decoded as a message of the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes end within the header.
    #[error("the message ends within its header")]
    Short,
    /// The format version, which is the value, is not supported by this courier.
    #[error("unknown format version {0}; run the same version on all couriers of the fleet")]
    Version(u8),
    /// The body does not match its checksum.
    #[error("the checksum does not match; check the network between the couriers")]
    Checksum,
    /// The body can't be decoded, or has a value that no correct sender writes.
    #[error("the body contains an invalid value; run the same version on all couriers of the fleet")]
    Value,
    /// The sender or the receiver in the message differs from that of the connection.
    #[error("sender or receiver do not match the connection; check the addresses of the peers")]
    Misaddressed,
}

/// Why the agreement rejects an input or halts.
#[derive(Clone, Debug, thiserror::Error)]
pub enum AgreementError {
    /// The log file can't be read or written.
    #[error(
        "agreement: {operation} the log in the data directory failed: {source}; this courier sends no more \
         messages of the agreement until it restarts; check the disk, then restart it"
    )]
    Store {
        /// The operation that failed, as a participle: `reading`, `writing`, and so on.
        operation: &'static str,
        /// The I/O error that the store returned.
        source: Arc<io::Error>,
    },
    /// A complete record of the log file is damaged. An incomplete last record, which a crash leaves, is not an error.
    #[error(
        "agreement: the log in the data directory is damaged at byte {offset}, and a crash does not explain it; \
         the entries that it has acknowledged are unknown, so this courier can't vote; remove the log to join \
         again as a new learner"
    )]
    Damaged {
        /// Offset of the damaged record in bytes.
        offset: u64,
    },
    /// A record can't be encoded, or its length exceeds the 32-bit length field.
    #[error(
        "agreement: a record of the log can't be encoded or is too long for its length field; report this bug"
    )]
    RecordTooLarge,
    /// A new log was opened with the node id 0.
    #[error("agreement: the log is new and no node id was passed for it; report this bug")]
    NoNodeId,
    /// The log is not empty, so it can't bootstrap a new Raft group.
    #[error(
        "agreement: the log in the data directory belongs to a fleet already; restart this courier, which \
         then rejoins that fleet"
    )]
    AlreadyBootstrapped,
    /// The limits are inconsistent, or the Raft library rejects them.
    #[error("agreement: its limits are invalid ({reason}); correct the section `fleet`")]
    InvalidLimits {
        /// Which limits are invalid, and why.
        reason: String,
    },
    /// A received message can't be decoded and was dropped.
    #[error("agreement: message from courier {from:016x} dropped: {reason}")]
    Malformed {
        /// Node id of the sender, as of the connection.
        from: NodeId,
        /// Why the message can't be decoded.
        reason: DecodeError,
    },
    /// Another courier has received this courier's acknowledgement of an entry that this log does not contain.
    #[error(
        "agreement: courier {from:016x} refers to log entry {index} as acknowledged by this courier, but this log \
         ends at entry {last_index}: it was restored from a backup, or that courier belongs to another fleet; this \
         courier sends no more messages of the agreement; remove its log to join again as a new learner"
    )]
    AcknowledgedEntryMissing {
        /// The courier that refers to the entry.
        from: NodeId,
        /// Index of the missing entry.
        index: u64,
        /// Index of the last entry of this log.
        last_index: u64,
    },
    /// The index of a provided snapshot is not the index of the last delivered entry.
    #[error(
        "agreement: the snapshot was taken at entry {through}, but the last delivered entry is {applied}; report \
         this bug"
    )]
    StaleSnapshot {
        /// Index of the snapshot.
        through: u64,
        /// Index of the last delivered entry.
        applied: u64,
    },
    /// A snapshot's state is longer than [`AgreementLimits::max_state_bytes`](super::AgreementLimits::max_state_bytes).
    #[error(
        "agreement: the log can't be compacted, as the fleet's state of {bytes} bytes exceeds the limit of {limit}"
    )]
    StateTooLarge {
        /// Length of the encoded state in bytes.
        bytes: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The Raft library returned an error that only a bug of the caller can cause. The value is its text.
    #[error("agreement: the Raft library failed: {0}; report this bug")]
    RaftLibrary(String),
}
