//! Why the agreement's log, messages and proposals can fail.

use std::io;
use std::sync::Arc;

use crate::NodeId;

/// Why bytes from another courier are not a message of the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes end within the header.
    #[error("it is too short")]
    Short,
    /// The format version is unknown here.
    #[error("its format version {0} is not known here; the sender may be of another version")]
    Version(u8),
    /// The body does not match its checksum.
    #[error("its checksum does not match")]
    Checksum,
    /// The body can't be decoded, or has a value that no correct sender writes.
    #[error("it contains an invalid value")]
    Value,
    /// Sender or receiver in the message differ from those of the connection.
    #[error("it is from, or for, another courier")]
    Misaddressed,
}

/// Why the agreement rejects an input or stops.
#[derive(Clone, Debug, thiserror::Error)]
pub enum AgreementError {
    /// The log file can't be read or written.
    #[error(
        "agreement: {what} its log in the lasting folder failed: {source}; this courier keeps silent in the \
         agreement until it is started again; see to the disk and start it"
    )]
    Store {
        /// The operation that failed.
        what: &'static str,
        /// The error of the store.
        source: Arc<io::Error>,
    },
    /// A record in the middle of the log file is damaged. A record cut short by a kill is no damage.
    #[error(
        "agreement: its log in the lasting folder is damaged at byte {at}, and not by a kill; what it \
         has acknowledged is not known, so it takes no part; remove the log, and it comes back as a new learner"
    )]
    Damaged {
        /// Offset of the damaged record in bytes.
        at: u64,
    },
    /// A record is longer than its length field can say.
    #[error("agreement: a record is too large to be written; report it")]
    Unwritable,
    /// A new log was opened with the node id 0.
    #[error("agreement: the log is new and no node id was drawn for it; report it")]
    NoNodeId,
    /// Only an empty log can bootstrap an agreement.
    #[error(
        "agreement: there is one already, and only an empty log can begin one; start it without beginning"
    )]
    AlreadyBootstrapped,
    /// The limits contradict each other.
    #[error("agreement: its limits do not fit together ({what}); correct the section `fleet`")]
    InvalidLimits {
        /// The contradiction.
        what: String,
    },
    /// A message that can't be decoded was dropped.
    #[error("agreement: message from courier {from:016x} dropped: {what}")]
    Malformed {
        /// The sender.
        from: NodeId,
        /// What is wrong with the message.
        what: DecodeError,
    },
    /// Another courier has counted an acknowledgement that this log does not contain.
    #[error(
        "agreement: courier {from:016x} says that entry {index} was confirmed here, and there is none beyond \
         {last}: this log was put back from a copy, or that courier belongs to another fleet; this one keeps \
         silent; remove the log here, and it comes back as a new learner"
    )]
    Ahead {
        /// The courier that refers to the entry.
        from: NodeId,
        /// Index of the entry.
        index: u64,
        /// Index of the last entry of this log.
        last: u64,
    },
    /// A snapshot was passed in that is not of the last entry delivered.
    #[error(
        "agreement: the snapshot is of entry {through}, and entry {applied} was delivered last; report it"
    )]
    StaleSnapshot {
        /// Index of the snapshot.
        through: u64,
        /// Index of the last entry delivered.
        applied: u64,
    },
    /// A snapshot's state is longer than [`AgreementLimits::state_bytes`](super::AgreementLimits::state_bytes).
    #[error("agreement: a state of {bytes} bytes is beyond its limit of {limit}; the log can't be compacted")]
    StateTooLarge {
        /// Length of the state in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The Raft library returned an error that correct use rules out.
    #[error("agreement: the Raft library failed: {0}; report it")]
    Engine(String),
}
