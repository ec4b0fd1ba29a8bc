//! What the core has to say to staff: typed here, written into the log by whoever drives it.

use crate::Ending;
use crate::journal::JournalError;
use spurshore::{Micros, MsgId};

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
    TakenOn { msg: MsgId, dest: u64, class: usize, time_left: Micros },
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
    NoRoom(JournalError),
    #[error("journal: invocation {msg} has class {class:?}, which the settings lack")]
    UnknownClass { msg: MsgId, class: String },
    #[error("journal: an attempt is {ahead} us ahead of the clock; what may have run is not repeated")]
    SetBack { ahead: Micros },
    #[error("not taken over: {id:?} is open or over here already")]
    NotAdopted { id: String },
    #[error("call {attempt} of invocation {msg} to provider {provider}: not known")]
    UnknownCall { msg: MsgId, attempt: u32, provider: u32 },
}

impl Note {
    pub fn level(&self) -> Level {
        match self {
            Note::TakenOn { .. } | Note::Ended { .. } => Level::Debug,
            Note::Decided(_) | Note::Compacted { .. } | Note::NotAdopted { .. } => Level::Info,
            Note::Torn(_) | Note::NoRoom(_) | Note::SetBack { .. } => Level::Warn,
            Note::NotWritten(_) | Note::UnknownClass { .. } | Note::UnknownCall { .. } => Level::Error,
        }
    }
}
