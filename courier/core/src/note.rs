//! Log records of the courier as values, which the driver writes to the log. `docs/on-call.md` explains each.

use crate::journal::error::JournalError;
use crate::submission::Ending;
use quillmount_policy::{Micros, MsgId};

/// The level at which a message is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Details that are needed for debugging only.
    Debug,
    /// Normal operation.
    Info,
    /// An operator should investigate.
    Warn,
    /// An operator must act.
    Error,
}

/// A log record; its `Display` output is the line that is logged.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Note {
    /// A message was accepted.
    #[error("accepted message {msg} for destination {dest}, class {class}, with {time_left} us left")]
    Accepted {
        /// The number of the message.
        msg: MsgId,
        /// The id of the destination.
        dest: u64,
        /// The number of the message's class under the current settings.
        class: usize,
        /// Time left for the delivery, in microseconds.
        time_left: Micros,
    },
    /// A message ended without being delivered.
    #[error("message {msg} ended as {ending:?}")]
    Ended {
        /// The number of the message.
        msg: MsgId,
        /// The message's end.
        ending: Ending,
    },
    /// A decision of the policy, in the policy's own text.
    #[error("{0}")]
    Decided(String),
    /// A torn record of this many bytes was dropped from the end of the journal.
    #[error("journal: dropped {0} bytes of a torn record at the end")]
    TornRecord(usize),
    /// The journal was compacted.
    #[error("journal: compacted from {from} to {to} bytes")]
    Compacted {
        /// The journal's length before the compaction, in bytes.
        from: u64,
        /// The journal's length after the compaction, in bytes.
        to: u64,
    },
    /// A record about an owed message could not be written.
    #[error("{0}")]
    NotWritten(JournalError),
    /// A message was rejected because its record could not be written to the journal.
    #[error("message rejected because it can't be written to the journal: {0}")]
    JournalFull(JournalError),
    /// A message in the journal was ended because the settings lack its class.
    #[error(
        "journal: message {id:?} was ended because the settings lack its class {class:?}; if the class was renamed, keep \
         the old name beside the new one until this folder is empty"
    )]
    UnknownClass {
        /// The client's id of the message.
        id: String,
        /// The name of the message's class in the journal.
        class: String,
    },
    /// A message in the journal was ended because it may have run while its class had a stricter effect than now.
    #[error(
        "journal: message {id:?} was ended as undeliverable because it may have run while its class {class:?} had a \
         stricter effect than now; before changing an effect, empty the folder under the old settings"
    )]
    EffectChanged {
        /// The client's id of the message.
        id: String,
        /// The name of the message's class in the journal.
        class: String,
    },
    /// The clock was set back after an attempt in the journal was recorded.
    #[error(
        "journal: an attempt is {ahead} us ahead of the clock, so the clock was set back; attempts that may have run are not \
         repeated; synchronize the clock before starting the courier"
    )]
    ClockSetBack {
        /// Minimum amount by which the clock was set back, in microseconds.
        ahead: Micros,
    },
    /// A message of another courier was not adopted because its id is already known here.
    #[error("message {id:?} not adopted: a message with this id is already open or ended here")]
    NotAdopted {
        /// The client's id of the message.
        id: String,
    },
    /// The policy requested a call for an unknown message or to an unknown endpoint.
    #[error(
        "attempt {attempt} of message {msg} to endpoint {endpoint} not started: the message or the endpoint is unknown"
    )]
    UnknownCall {
        /// The number of the message.
        msg: MsgId,
        /// The number of the attempt.
        attempt: u32,
        /// The number of the endpoint.
        endpoint: u32,
    },
}

impl Note {
    /// The level at which the record is logged.
    pub fn level(&self) -> Level {
        match self {
            Note::Accepted { .. } | Note::Ended { .. } => Level::Debug,
            Note::Decided(_) | Note::Compacted { .. } | Note::NotAdopted { .. } => Level::Info,
            Note::TornRecord(_) | Note::JournalFull(_) | Note::ClockSetBack { .. } => Level::Warn,
            Note::NotWritten(_) | Note::UnknownClass { .. } | Note::EffectChanged { .. } => Level::Error,
            Note::UnknownCall { .. } => Level::Error,
        }
    }
}
