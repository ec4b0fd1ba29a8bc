//! Log messages of the courier, as values: the driver writes them to the log. `docs/on-call.md` explains each.

use crate::journal::error::JournalError;
use crate::submission::Ending;
use quillmount_policy::{Micros, MsgId};

/// The level at which a message is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// For debugging.
    Debug,
    /// For the record.
    Info,
    /// Someone should look at it.
    Warn,
    /// Someone must act on it.
    Error,
}

/// A message for the log.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Note {
    /// A message was accepted.
    #[error("accepted: {msg} for destination {dest}, class {class}, {time_left} us")]
    Accepted {
        /// Its number.
        msg: MsgId,
        /// Its destination.
        dest: u64,
        /// The number of its class.
        class: usize,
        /// How long it may still be delivered.
        time_left: Micros,
    },
    /// A message ended without being delivered.
    #[error("ended: {msg} as {ending:?}")]
    Ended {
        /// Its number.
        msg: MsgId,
        /// Its end.
        ending: Ending,
    },
    /// A decision of the policy.
    #[error("{0}")]
    Decided(String),
    /// So many bytes of a torn record were dropped from the journal.
    #[error("journal: {0} bytes of a torn record dropped at its end")]
    Torn(usize),
    /// The journal was compacted.
    #[error("journal: compacted from {from} to {to} bytes")]
    Compacted {
        /// Its length before, in bytes.
        from: u64,
        /// Its length after, in bytes.
        to: u64,
    },
    /// A record about an owed message could not be written.
    #[error("{0}")]
    NotWritten(JournalError),
    /// A message was rejected because it could not be written.
    #[error("rejected for want of room on disk: {0}")]
    JournalFull(JournalError),
    /// A message in the journal has a class that the settings lack, and was ended.
    #[error(
        "journal: message {id:?} has class {class:?}, which the settings lack: it is ended; where the class was \
         renamed, let the old name stand beside the new one until this folder is empty"
    )]
    UnknownClass {
        /// The message's id.
        id: String,
        /// The name of its class.
        class: String,
    },
    /// A message in the journal may have run under a stricter effect than today's, and was ended.
    #[error(
        "journal: message {id:?} may have run under a stricter effect of its class {class:?} than today's: it is ended \
         as undeliverable; empty the folder under the old settings before an effect is changed"
    )]
    OtherEffect {
        /// The message's id.
        id: String,
        /// The name of its class.
        class: String,
    },
    /// The clock was set back since an attempt in the journal.
    #[error(
        "journal: an attempt is {ahead} us ahead of the clock, which was set back: what may have run is not repeated; let the \
         clock be set before the courier starts"
    )]
    SetBack {
        /// By at least this, microseconds.
        ahead: Micros,
    },
    /// A message of another courier was not adopted, since its id is known here.
    #[error("not taken over: {id:?} is open or over here already")]
    NotAdopted {
        /// The message's id.
        id: String,
    },
    /// The policy ordered a call for a message or to an endpoint that is not known.
    #[error("call {attempt} of message {msg} to endpoint {endpoint}: not known")]
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
    /// The level of the message.
    pub fn level(&self) -> Level {
        match self {
            Note::Accepted { .. } | Note::Ended { .. } => Level::Debug,
            Note::Decided(_) | Note::Compacted { .. } | Note::NotAdopted { .. } => Level::Info,
            Note::Torn(_) | Note::JournalFull(_) | Note::SetBack { .. } => Level::Warn,
            Note::NotWritten(_) | Note::UnknownClass { .. } | Note::OtherEffect { .. } => Level::Error,
            Note::UnknownCall { .. } => Level::Error,
        }
    }
}
