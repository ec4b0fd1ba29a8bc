//! The events of a world. A path of the exploration is a list of [`Transition`]s, which is also how counterexamples are
//! recorded (JSON).

use crate::case::CLASSES;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A call, named by its message and the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallRef {
    /// Index of the message, in the order of submission.
    pub message: u64,
    /// Number of the attempt, as the router gave it.
    pub attempt: u32,
}

/// How much of a request the driver writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteExtent {
    /// Up to the last byte.
    #[serde(rename = "whole")]
    Complete,
    /// Some bytes, not all.
    #[serde(rename = "part")]
    Partial,
    /// The connection breaks before the last byte.
    Broken,
}

/// What an endpoint answers to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// 200.
    Ok,
    /// 500: the call may have run.
    Error,
    /// 503: rejected, the call never ran.
    Full,
    /// 429, with a wait of [`Answer::WAIT_MS`].
    Wait,
    /// 503 with `X-Over-Slots`: more calls at once than the endpoint accepts.
    Slots,
    /// 504: all attempts are used up.
    Exhausted,
    /// 410: nothing more is owed for the message.
    #[serde(rename = "over")]
    Gone,
    /// 200, and then the connection breaks off.
    #[serde(rename = "cut-ok")]
    TruncatedOk,
    /// 503, and then the connection breaks off.
    #[serde(rename = "cut-full")]
    TruncatedFull,
    /// 102: an interim answer; the final one follows.
    Interim,
    /// 200 twice on the same connection.
    #[serde(rename = "copy")]
    DuplicateOk,
}

impl Answer {
    /// The wait that [`Answer::Wait`] asks for, in milliseconds.
    pub const WAIT_MS: u64 = 700;

    /// The bytes of the answer on the connection.
    pub fn bytes(self) -> &'static [u8] {
        match self {
            Answer::Ok => b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            Answer::Error => b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
            Answer::Full => b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
            Answer::Wait => b"HTTP/1.1 429 X\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n",
            Answer::Slots => b"HTTP/1.1 503 X\r\nX-Over-Slots: 1\r\nContent-Length: 0\r\n\r\n",
            Answer::Exhausted => b"HTTP/1.1 504 X\r\nContent-Length: 0\r\n\r\n",
            Answer::Gone => b"HTTP/1.1 410 X\r\nContent-Length: 0\r\n\r\n",
            Answer::TruncatedOk => b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
            Answer::TruncatedFull => b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\npart",
            Answer::Interim => b"HTTP/1.1 102 X\r\n\r\n",
            Answer::DuplicateOk => {
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            }
        }
    }

    /// Whether it confirms the delivery of the message.
    pub fn delivers(self) -> bool {
        matches!(self, Answer::Ok | Answer::TruncatedOk | Answer::DuplicateOk)
    }

    /// Whether it proves that the call never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Answer::Full | Answer::Wait | Answer::Slots | Answer::Exhausted | Answer::Gone)
    }
}

/// One event that may happen in a world. The serialized names are those of recorded paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// A client submits a new message.
    #[serde(rename = "hand-in")]
    Submit {
        /// Index into [`crate::case::CLASSES`].
        class: u8,
        /// The destination.
        dest: u64,
    },
    /// A client submits a message again, under the same id.
    #[serde(rename = "again")]
    Resubmit {
        /// Index of the message.
        message: u64,
    },
    /// A client submits a new message with the key of an earlier one.
    #[serde(rename = "same-key")]
    SubmitSameKey {
        /// Index of the earlier message.
        message: u64,
    },
    /// The connection for a call is established.
    #[serde(rename = "up")]
    Connected(CallRef),
    /// The connection is refused, or not established in time.
    Refused(CallRef),
    /// The driver writes a part of the request, or all of it.
    Write(CallRef, WriteExtent),
    /// The endpoint answers, and the answer is read at once.
    Answer(CallRef, Answer),
    /// The answer arrives in the courier's socket, and is not read yet.
    #[serde(rename = "arrives")]
    AnswerArrived(CallRef, Answer),
    /// The answer in the socket is read.
    #[serde(rename = "read")]
    ReadAnswer(CallRef),
    /// The endpoint closes its side of the connection.
    #[serde(rename = "end")]
    EndpointClosed(CallRef),
    /// The endpoint resets the connection after the last byte of the request.
    Reset(CallRef),
    /// The call times out.
    Deadline(CallRef),
    /// A timer of the attempt expires.
    CallTick(CallRef),
    /// The timer of the router expires.
    Tick,
    /// An endpoint begins to drain, by its index on the list.
    #[serde(rename = "drain")]
    EndpointDraining(u8),
    /// An endpoint leaves the list.
    #[serde(rename = "gone")]
    EndpointGone(u8),
    /// An endpoint is ready again, under the same id.
    #[serde(rename = "ready")]
    EndpointReady(u8),
    /// A new endpoint appears at the address of one that is gone.
    #[serde(rename = "replace")]
    EndpointReplaced(u8),
    /// Discovery sends the full list.
    #[serde(rename = "whole")]
    FullList,
    /// The watch on discovery breaks.
    WatchBreak,
    /// The backoff of the watch ends, and it resumes.
    WatchTick,
    /// The courier sends a batch of notices.
    SendNotices,
    /// The platform confirms the notices in flight.
    Confirmed,
    /// The notices in flight get no confirmation.
    #[serde(rename = "lost")]
    NoticesLost {
        /// The platform has received them: only its confirmation is lost.
        #[serde(rename = "got")]
        received: bool,
    },
    /// The time-out or the backoff of notices ends.
    NoticeTick,
    /// The last confirmation arrives a second time.
    #[serde(rename = "twice")]
    ConfirmedTwice,
    /// An endpoint closes the first of its idle connections; the number is that of the endpoint in the router.
    #[serde(rename = "idle")]
    IdleClosed(u32),
    /// The disk refuses writes from now on.
    DiskFull,
    /// The disk accepts writes again.
    DiskFree,
    /// SIGTERM: a graceful shutdown begins.
    Term,
    /// The process ends by itself.
    Exit,
    /// SIGKILL between two transitions.
    Kill,
    /// The process starts again.
    Start,
    /// The clock goes on.
    #[serde(rename = "pass")]
    AdvanceClock {
        /// Microseconds since the beginning of the world.
        to: u64,
    },
}

/// A kill in the middle of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashPoint {
    /// Complete writes to the store before the kill.
    pub after: u32,
    /// The write after those reaches the store in part.
    pub torn: bool,
}

/// An action, with or without a kill in the middle of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Transition {
    /// What happens.
    #[serde(rename = "choice")]
    pub action: Action,
    /// Where the process is killed meanwhile.
    #[serde(rename = "die", default, skip_serializing_if = "Option::is_none")]
    pub crash: Option<CrashPoint>,
}

/// The name that is printed in traces.
impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Answer::Ok => "Ok",
            Answer::Error => "Error",
            Answer::Full => "Full",
            Answer::Wait => "Wait",
            Answer::Slots => "Slots",
            Answer::Exhausted => "Exhausted",
            Answer::Gone => "Gone",
            Answer::TruncatedOk => "CutOk",
            Answer::TruncatedFull => "CutFull",
            Answer::Interim => "Interim",
            Answer::DuplicateOk => "Copy",
        })
    }
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
                write!(f, "a consumer hands in a {} for destination {dest}", CLASSES[usize::from(*class)])
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
            Action::Write(call_ref, extent) => describe_write(f, *call_ref, *extent),
            Action::Answer(call_ref, Answer::Wait) => {
                write!(f, "{call_ref} is answered 429, with a wait of {} ms", Answer::WAIT_MS)
            }
            Action::Answer(call_ref, answer) => write!(f, "{call_ref} is answered: {answer}"),
            Action::AnswerArrived(call_ref, answer) => {
                write!(f, "{answer} for {call_ref} stands in the socket")
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

/// What a write comes to, as text.
fn describe_write(f: &mut fmt::Formatter<'_>, call_ref: CallRef, extent: WriteExtent) -> fmt::Result {
    match extent {
        WriteExtent::Complete => write!(f, "{call_ref} is written to its last byte"),
        WriteExtent::Partial => write!(f, "{call_ref} is written in part"),
        WriteExtent::Broken => write!(f, "the connection breaks before the last byte of {call_ref}"),
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
