//! What may happen next: each is one choice of the world, and a path is a list of them.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A call by its message, in the order of handing in, and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallRef {
    pub message: u64,
    pub attempt: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteExtent {
    #[serde(rename = "whole")]
    Complete,
    /// Some bytes, not all.
    #[serde(rename = "part")]
    Partial,
    /// The connection broke.
    Broken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    Ok,
    Error,
    Full,
    Wait,
    Slots,
    Exhausted,
    /// 410: the endpoint says that nothing more is owed for the message.
    #[serde(rename = "over")]
    Gone,
    /// 200 at first, then it breaks off.
    CutOk,
    /// 503 at first, then it breaks off.
    CutFull,
    Interim,
    Copy,
}

impl Answer {
    /// How long a told wait lasts, in milliseconds.
    pub const WAIT_MS: u64 = 700;

    pub fn bytes(self) -> &'static [u8] {
        match self {
            Answer::Ok => b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            Answer::Error => b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
            Answer::Full => b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
            Answer::Wait => b"HTTP/1.1 429 X\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n",
            Answer::Slots => b"HTTP/1.1 503 X\r\nX-Over-Slots: 1\r\nContent-Length: 0\r\n\r\n",
            Answer::Exhausted => b"HTTP/1.1 504 X\r\nContent-Length: 0\r\n\r\n",
            Answer::Gone => b"HTTP/1.1 410 X\r\nContent-Length: 0\r\n\r\n",
            Answer::CutOk => b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
            Answer::CutFull => b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\npart",
            Answer::Interim => b"HTTP/1.1 102 X\r\n\r\n",
            Answer::Copy => {
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            }
        }
    }

    /// It says that the message is delivered.
    pub fn delivers(self) -> bool {
        matches!(self, Answer::Ok | Answer::CutOk | Answer::Copy)
    }

    /// It proves that the call never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Answer::Full | Answer::Wait | Answer::Slots | Answer::Exhausted | Answer::Gone)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    #[serde(rename = "hand-in")]
    Submit {
        class: u8,
        dest: u64,
    },
    #[serde(rename = "again")]
    Resubmit {
        message: u64,
    },
    #[serde(rename = "same-key")]
    SubmitSameKey {
        message: u64,
    },
    #[serde(rename = "up")]
    Connected(CallRef),
    /// Refused, or not up in time.
    Refused(CallRef),
    Write(CallRef, WriteExtent),
    Answer(CallRef, Answer),
    /// The answer is in the courier's socket, and not read yet.
    #[serde(rename = "arrives")]
    AnswerArrived(CallRef, Answer),
    /// What is in the socket is read.
    #[serde(rename = "read")]
    ReadAnswer(CallRef),
    /// The provider ends its side.
    #[serde(rename = "end")]
    EndpointClosed(CallRef),
    Reset(CallRef),
    Deadline(CallRef),
    /// The time that an attempt waits for has come.
    CallTick(CallRef),
    /// The module wanted to be woken.
    Tick,
    #[serde(rename = "drain")]
    EndpointDraining(u8),
    #[serde(rename = "gone")]
    EndpointGone(u8),
    #[serde(rename = "ready")]
    EndpointReady(u8),
    #[serde(rename = "replace")]
    EndpointReplaced(u8),
    #[serde(rename = "whole")]
    FullList,
    WatchBreak,
    WatchTick,
    SendNotices,
    Confirmed,
    /// `received`: the platform has them, and only its word was lost.
    #[serde(rename = "lost")]
    NoticesLost {
        #[serde(rename = "got")]
        received: bool,
    },
    NoticeTick,
    #[serde(rename = "twice")]
    ConfirmedTwice,
    /// The first of a provider's resting connections is closed by it.
    #[serde(rename = "idle")]
    IdleClosed(u32),
    DiskFull,
    DiskFree,
    Term,
    Exit,
    Kill,
    Start,
    /// The clock goes on, to this time.
    #[serde(rename = "pass")]
    AdvanceClock {
        to: u64,
    },
}

/// A kill in the middle of what a choice does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashPoint {
    /// After so many whole writes to the store.
    pub after: u32,
    /// Inside the next one.
    pub torn: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Transition {
    #[serde(rename = "choice")]
    pub action: Action,
    #[serde(rename = "die", default, skip_serializing_if = "Option::is_none")]
    pub crash: Option<CrashPoint>,
}

impl fmt::Display for CallRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call {} of m{}", self.attempt, self.message)
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Submit { class, dest } => {
                write!(
                    f,
                    "a consumer hands in a {} for destination {dest}",
                    crate::case::CLASSES[*class as usize]
                )
            }
            Action::Resubmit { message } => {
                write!(f, "a consumer hands in m{message} once more, under the same id")
            }
            Action::SubmitSameKey { message } => {
                write!(f, "a consumer hands in m{message}'s key under a fresh id")
            }
            Action::Connected(call_ref) => write!(f, "the connection for {call_ref} is up"),
            Action::Refused(call_ref) => {
                write!(f, "the connection for {call_ref} is refused or never comes up")
            }
            Action::Write(call_ref, WriteExtent::Complete) => {
                write!(f, "{call_ref} is written to its last byte")
            }
            Action::Write(call_ref, WriteExtent::Partial) => write!(f, "{call_ref} is written in part"),
            Action::Write(call_ref, WriteExtent::Broken) => {
                write!(f, "the connection breaks before the last byte of {call_ref}")
            }
            Action::Answer(call_ref, Answer::Wait) => {
                write!(f, "{call_ref} is answered 429, with a wait of {} ms", Answer::WAIT_MS)
            }
            Action::Answer(call_ref, answer) => write!(f, "{call_ref} is answered: {answer:?}"),
            Action::AnswerArrived(call_ref, answer) => {
                write!(f, "{answer:?} for {call_ref} stands in the socket")
            }
            Action::ReadAnswer(call_ref) => write!(f, "the answer to {call_ref} is read"),
            Action::EndpointClosed(call_ref) => write!(f, "the provider ends the connection of {call_ref}"),
            Action::Reset(call_ref) => write!(f, "the connection of {call_ref} is reset"),
            Action::Deadline(call_ref) => write!(f, "the time of {call_ref} is up"),
            Action::CallTick(call_ref) => write!(f, "what {call_ref} waited for has come"),
            Action::Tick => write!(f, "the module is woken"),
            Action::EndpointDraining(n) => write!(f, "discovery tells that provider {n} drains"),
            Action::EndpointGone(n) => write!(f, "discovery tells that provider {n} is gone"),
            Action::EndpointReady(n) => write!(f, "discovery tells that provider {n} is ready again"),
            Action::EndpointReplaced(n) => write!(f, "a new provider stands at the address of provider {n}"),
            Action::FullList => write!(f, "discovery tells the whole list"),
            Action::WatchBreak => write!(f, "the watch on discovery breaks"),
            Action::WatchTick => write!(f, "the watch asks again"),
            Action::SendNotices => write!(f, "notices are sent"),
            Action::Confirmed => write!(f, "the platform confirms the notices"),
            Action::NoticesLost { received: true } => {
                write!(f, "the platform has the notices, and its confirmation is lost")
            }
            Action::NoticesLost { received: false } => write!(f, "the notices are lost"),
            Action::NoticeTick => write!(f, "what the notices waited for has come"),
            Action::ConfirmedTwice => write!(f, "the confirmation counts twice"),
            Action::IdleClosed(n) => write!(f, "provider {n} closes a connection that rests"),
            Action::DiskFull => write!(f, "the disk is full"),
            Action::DiskFree => write!(f, "the disk takes writes again"),
            Action::Term => write!(f, "SIGTERM"),
            Action::Exit => write!(f, "the courier exits"),
            Action::Kill => write!(f, "SIGKILL"),
            Action::Start => write!(f, "the courier starts again"),
            Action::AdvanceClock { to } => write!(f, "the clock goes on to {to} us"),
        }
    }
}

impl fmt::Display for Transition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.action)?;
        match self.crash {
            None => Ok(()),
            Some(CrashPoint { after, torn: false }) => write!(f, "; SIGKILL after write {after} of it"),
            Some(CrashPoint { after, torn: true }) => write!(f, "; SIGKILL inside write {} of it", after + 1),
        }
    }
}
