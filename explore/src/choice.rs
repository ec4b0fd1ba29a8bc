//! What may happen next: each is one choice of the world, and a path is a list of them.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A call by its message, in the order of handing in, and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Which {
    pub message: u64,
    pub attempt: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Written {
    Whole,
    /// Some bytes, not all.
    Part,
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
    Over,
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
            Answer::Over => b"HTTP/1.1 410 X\r\nContent-Length: 0\r\n\r\n",
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
        matches!(self, Answer::Full | Answer::Wait | Answer::Slots | Answer::Exhausted | Answer::Over)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    HandIn {
        class: u8,
        dest: u64,
    },
    Again {
        message: u64,
    },
    SameKey {
        message: u64,
    },
    Up(Which),
    /// Refused, or not up in time.
    Refused(Which),
    Write(Which, Written),
    Answer(Which, Answer),
    /// The answer is in the courier's socket, and not read yet.
    Arrives(Which, Answer),
    /// What is in the socket is read.
    Read(Which),
    /// The provider ends its side.
    End(Which),
    Reset(Which),
    Deadline(Which),
    /// The time that an attempt waits for has come.
    CallTick(Which),
    /// The module wanted to be woken.
    Tick,
    Drain(u8),
    Gone(u8),
    Ready(u8),
    Replace(u8),
    Whole,
    WatchBreak,
    WatchTick,
    SendNotices,
    Confirmed,
    /// `got`: the platform has them, and only its word was lost.
    Lost {
        got: bool,
    },
    NoticeTick,
    Twice,
    /// The first of a provider's resting connections is closed by it.
    Idle(u32),
    DiskFull,
    DiskFree,
    Term,
    Exit,
    Kill,
    Start,
    /// The clock goes on, to this time.
    Pass {
        to: u64,
    },
}

/// A kill in the middle of what a choice does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Die {
    /// After so many whole writes to the store.
    pub after: u32,
    /// Inside the next one.
    pub torn: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Move {
    pub choice: Choice,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub die: Option<Die>,
}

impl fmt::Display for Which {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call {} of m{}", self.attempt, self.message)
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Choice::HandIn { class, dest } => {
                write!(
                    f,
                    "a consumer hands in a {} for destination {dest}",
                    crate::case::CLASSES[*class as usize]
                )
            }
            Choice::Again { message } => {
                write!(f, "a consumer hands in m{message} once more, under the same id")
            }
            Choice::SameKey { message } => write!(f, "a consumer hands in m{message}'s key under a fresh id"),
            Choice::Up(w) => write!(f, "the connection for {w} is up"),
            Choice::Refused(w) => write!(f, "the connection for {w} is refused or never comes up"),
            Choice::Write(w, Written::Whole) => write!(f, "{w} is written to its last byte"),
            Choice::Write(w, Written::Part) => write!(f, "{w} is written in part"),
            Choice::Write(w, Written::Broken) => {
                write!(f, "the connection breaks before the last byte of {w}")
            }
            Choice::Answer(w, Answer::Wait) => {
                write!(f, "{w} is answered 429, with a wait of {} ms", Answer::WAIT_MS)
            }
            Choice::Answer(w, answer) => write!(f, "{w} is answered: {answer:?}"),
            Choice::Arrives(w, answer) => write!(f, "{answer:?} for {w} stands in the socket"),
            Choice::Read(w) => write!(f, "the answer to {w} is read"),
            Choice::End(w) => write!(f, "the provider ends the connection of {w}"),
            Choice::Reset(w) => write!(f, "the connection of {w} is reset"),
            Choice::Deadline(w) => write!(f, "the time of {w} is up"),
            Choice::CallTick(w) => write!(f, "what {w} waited for has come"),
            Choice::Tick => write!(f, "the module is woken"),
            Choice::Drain(n) => write!(f, "discovery tells that provider {n} drains"),
            Choice::Gone(n) => write!(f, "discovery tells that provider {n} is gone"),
            Choice::Ready(n) => write!(f, "discovery tells that provider {n} is ready again"),
            Choice::Replace(n) => write!(f, "a new provider stands at the address of provider {n}"),
            Choice::Whole => write!(f, "discovery tells the whole list"),
            Choice::WatchBreak => write!(f, "the watch on discovery breaks"),
            Choice::WatchTick => write!(f, "the watch asks again"),
            Choice::SendNotices => write!(f, "notices are sent"),
            Choice::Confirmed => write!(f, "the platform confirms the notices"),
            Choice::Lost { got: true } => {
                write!(f, "the platform has the notices, and its confirmation is lost")
            }
            Choice::Lost { got: false } => write!(f, "the notices are lost"),
            Choice::NoticeTick => write!(f, "what the notices waited for has come"),
            Choice::Twice => write!(f, "the confirmation counts twice"),
            Choice::Idle(n) => write!(f, "provider {n} closes a connection that rests"),
            Choice::DiskFull => write!(f, "the disk is full"),
            Choice::DiskFree => write!(f, "the disk takes writes again"),
            Choice::Term => write!(f, "SIGTERM"),
            Choice::Exit => write!(f, "the courier exits"),
            Choice::Kill => write!(f, "SIGKILL"),
            Choice::Start => write!(f, "the courier starts again"),
            Choice::Pass { to } => write!(f, "the clock goes on to {to} us"),
        }
    }
}

impl fmt::Display for Move {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.choice)?;
        match self.die {
            None => Ok(()),
            Some(Die { after, torn: false }) => write!(f, "; SIGKILL after write {after} of it"),
            Some(Die { after, torn: true }) => write!(f, "; SIGKILL inside write {} of it", after + 1),
        }
    }
}
