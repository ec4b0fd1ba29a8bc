//! What the core has to say to staff: typed here, written into the log by whoever drives it.

use crate::Ending;
use crate::journal::error::JournalError;
use quillmount_policy::{Micros, MsgId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    Debug,
    Info,
    Warn,
    Error,
}

/// One line of the log; `docs/on-call.md` says what each means.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Note {
    #[error("taken on: {msg} for destination {dest}, class {class}, {time_left} us")]
    Accepted { msg: MsgId, dest: u64, class: usize, time_left: Micros },
    #[error("ended: {msg} as {ending:?}")]
    Ended { msg: MsgId, ending: Ending },
    #[error("{0}")]
    Decided(String),
    #[error("journal: {0} bytes of a torn record dropped at its end")]
    Torn(usize),
    #[error("journal: compacted from {from} to {to} bytes")]
    Compacted { from: u64, to: u64 },
    #[error("{0}")]
    NotWritten(JournalError),
    #[error("rejected for want of room on disk: {0}")]
    JournalFull(JournalError),
    #[error(
        "journal: invocation {id:?} has class {class:?}, which the settings lack: it is ended; where the class was \
         renamed, let the old name stand beside the new one until this folder is empty"
    )]
    UnknownClass { id: String, class: String },
    #[error(
        "journal: invocation {id:?} may have run under a stricter effect of its class {class:?} than today's: it is ended \
         as undeliverable; empty the folder under the old settings before an effect is changed"
    )]
    OtherEffect { id: String, class: String },
    #[error(
        "journal: an attempt is {ahead} us ahead of the clock, which was set back: what may have run is not repeated; let the \
         clock be set before the courier starts"
    )]
    SetBack { ahead: Micros },
    #[error("not taken over: {id:?} is open or over here already")]
    NotAdopted { id: String },
    #[error("call {attempt} of invocation {msg} to provider {endpoint}: not known")]
    UnknownCall { msg: MsgId, attempt: u32, endpoint: u32 },
}

impl Note {
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
