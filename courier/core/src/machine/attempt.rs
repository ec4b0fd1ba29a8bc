//! One attempt: a delivery call from its start to its end.
//!
//! The driver connects, writes and reads as the state says, and reports each result as an [`AttemptInput`]. The machine
//! decides what becomes of the connection and how the attempt ended; above all, whether it may have had an effect.

mod table;

pub use table::Streamed;

use crate::CallEnd;
use quillmount_policy::Micros;
use quillmount_policy::breaks::{self, Break};
use serde::{Deserialize, Serialize};

/// An answer that has begun must be complete within this, in microseconds; endpoints write it in one go.
pub const ANSWER_COMPLETION: Micros = 100_000;
/// The time between cancelling a call and reporting its end, in microseconds. The endpoint frees the slot when it sees that
/// sending has ended, and a call that overtakes it is rejected for want of a slot; and what the endpoint said before, above
/// all an advice to wait, can still be read.
pub const CLOSING_TIME: Micros = 5_000;

/// The result of decoding the bytes of an answer so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The final answer has not begun.
    Awaited,
    /// The final answer has begun and is not complete.
    Partial,
    /// The final answer is complete.
    Whole {
        /// The result of the call according to the answer.
        end: CallEnd,
        /// The next call may begin on the connection.
        reusable: bool,
    },
}

/// Decodes an answer's bytes. The flag says that the answer has ended; the result is [`Answer::Whole`] then.
pub type Decode = fn(&[u8], bool) -> Answer;

/// The state of an [`Attempt`]. Encoded by position when it is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptState {
    /// Not started.
    New,
    /// A connection is being opened.
    Connecting,
    /// Less than all of the request is written.
    Writing {
        /// The bytes written so far; of a streamed body, without its head.
        written: usize,
    },
    /// All of the request is written, and no answer has begun.
    Awaiting,
    /// An answer has begun.
    Reading {
        /// When it must be complete.
        by: Micros,
    },
    /// The attempt is cancelled, and bytes that the endpoint sends are still read for a short time.
    Closing {
        /// How it ends unless an answer is read.
        end: CallEnd,
        /// When the end is reported.
        until: Micros,
    },
    /// The end was reported.
    Finished,
}

/// What happens to an [`Attempt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptInput {
    /// The attempt is to start.
    Start {
        /// Calls to the endpoint may start now.
        open: bool,
        /// An idle connection to it was found.
        resting: bool,
    },
    /// The connection is established.
    Connected {
        /// Calls to the endpoint may start now; connecting takes time.
        open: bool,
    },
    /// The connection was refused, or not established in time.
    Refused,
    /// Bytes of the request were written.
    Wrote {
        /// How many.
        bytes: usize,
        /// How many are left.
        left: usize,
    },
    /// The request could not be written.
    WriteFailed,
    /// Bytes were added to the answer.
    Read,
    /// The endpoint has closed its side of the connection.
    PeerClosed,
    /// The connection was reset.
    Reset,
    /// The call's time-out has passed.
    Deadline,
    /// The call is cancelled.
    GiveUp,
    /// The message has ended, and no further byte of the call is to be sent.
    MessageEnded,
    /// The endpoint is draining or gone.
    Shut,
    /// The destination has asked another call to wait.
    BackOff,
    /// The time of [`Attempt::wake_at`] is reached.
    Tick,
}

/// The action on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Nothing.
    Nothing,
    /// Open one.
    Open,
    /// Close the sending side: the endpoint sees that the call is cancelled, and bytes that it has sent can still be read.
    Finish,
    /// Close it.
    Close,
    /// Keep it for the next call.
    Keep,
}

/// The output of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOutput {
    /// The action on the connection.
    pub action: ConnectionAction,
    /// The attempt has ended with this result.
    pub end: Option<CallEnd>,
}

const NOTHING: AttemptOutput = AttemptOutput { action: ConnectionAction::Nothing, end: None };

/// The machine of an attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    state: AttemptState,
    answer: Vec<u8>,
    /// The most bytes of an answer that are read.
    most: usize,
    /// No byte of the request may be sent from this time on.
    by: Micros,
    decode: Decode,
    /// The body is forwarded as it arrives. The endpoint may act on a part of it, so the attempt may have had an effect
    /// from its first byte on, and may be answered before its last.
    streamed: bool,
}

/// An attempt as it is handed over to another process. Encoded by position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptSnapshot {
    state: AttemptState,
    answer: Vec<u8>,
    by: Micros,
}

impl PartialEq for Attempt {
    fn eq(&self, other: &Self) -> bool {
        (self.state, &self.answer) == (other.state, &other.answer)
    }
}

impl Attempt {
    /// An attempt that reads `most` bytes of an answer at most, and writes nothing from the time `by` on.
    pub fn new(decode: Decode, most: usize, by: Micros) -> Self {
        Attempt { state: AttemptState::New, answer: Vec::new(), most, by, decode, streamed: false }
    }

    /// The same with a streamed body, whose bytes [`AttemptState::Writing`] counts.
    pub fn streamed(decode: Decode, most: usize, by: Micros) -> Self {
        Attempt { streamed: true, ..Attempt::new(decode, most, by) }
    }

    /// The attempt for another process. If its first byte has not been sent, it starts afresh there.
    pub fn snapshot(self) -> AttemptSnapshot {
        let is_unsent = matches!(self.state, AttemptState::New | AttemptState::Connecting);
        AttemptSnapshot {
            state: if is_unsent { AttemptState::New } else { self.state },
            answer: self.answer,
            by: self.by,
        }
    }

    /// Resumes another process's attempt.
    pub fn resumed(snapshot: AttemptSnapshot, decode: Decode, most: usize) -> Self {
        let AttemptSnapshot { state, answer, by } = snapshot;
        Attempt { state, answer, ..Attempt::new(decode, most, by) }
    }

    /// The current state.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// The bytes of the answer that were read.
    pub fn answer(&self) -> &[u8] {
        &self.answer
    }

    /// Where the driver appends what it reads, before it reports [`AttemptInput::Read`].
    pub fn answer_mut(&mut self) -> &mut Vec<u8> {
        &mut self.answer
    }

    /// The endpoint has requested the body with an interim answer.
    pub fn is_asked(&self) -> bool {
        !self.answer.is_empty() && (self.decode)(&self.answer, false) == Answer::Awaited
    }

    /// When an [`AttemptInput::Tick`] is due.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            AttemptState::Reading { by } => Some(by),
            AttemptState::Closing { until, .. } => Some(until),
            AttemptState::Connecting | AttemptState::Writing { .. } if self.by < Micros::MAX => Some(self.by),
            _ => None,
        }
    }

    /// So little of the call was sent that it had no effect.
    pub fn is_unsent(&self) -> bool {
        matches!(self.state, AttemptState::New | AttemptState::Connecting | AttemptState::Writing { .. })
            && !self.is_half()
    }

    /// A part of a streamed body was sent, and not all of it: the call may have had an effect.
    pub fn is_half(&self) -> bool {
        self.streamed
            && matches!(self.state, AttemptState::Writing { written: 1.. })
            && !breaks::is_enabled(Break::HalfSentNeverRan)
    }

    /// Applies an input at the time `now`.
    pub fn step(&mut self, input: AttemptInput, now: Micros) -> AttemptOutput {
        match self.state {
            AttemptState::New => self.step_new(input, now),
            AttemptState::Connecting => self.step_connecting(input, now),
            AttemptState::Writing { written } => self.step_writing(written, input, now),
            AttemptState::Awaiting | AttemptState::Reading { .. } => self.step_answered(input, now),
            AttemptState::Closing { end, until } => self.step_closing(end, until, input, now),
            AttemptState::Finished => NOTHING,
        }
    }

    fn step_new(&mut self, input: AttemptInput, now: Micros) -> AttemptOutput {
        match input {
            AttemptInput::Start { open: false, .. } => self.end(ConnectionAction::Nothing, CallEnd::HeldBack),
            // The machine stood still, or the record took long to write; an idle connection may serve another call.
            AttemptInput::Start { .. } if now >= self.by => {
                self.end(ConnectionAction::Keep, CallEnd::HeldBack)
            }
            AttemptInput::Start { resting: true, .. } => {
                self.transition(AttemptState::Writing { written: 0 }, ConnectionAction::Nothing)
            }
            AttemptInput::Start { .. } => self.transition(AttemptState::Connecting, ConnectionAction::Open),
            AttemptInput::MessageEnded => self.message_ended(),
            AttemptInput::GiveUp => self.end(ConnectionAction::Nothing, CallEnd::GivenUp),
            _ => NOTHING,
        }
    }

    fn step_connecting(&mut self, input: AttemptInput, now: Micros) -> AttemptOutput {
        match input {
            AttemptInput::MessageEnded => self.message_ended(),
            // If the call were sent later, the endpoint might not drop a repeat any more.
            AttemptInput::Connected { .. } | AttemptInput::Tick if now >= self.by => {
                self.end(ConnectionAction::Close, CallEnd::HeldBack)
            }
            AttemptInput::Deadline => self.cancel_unsent(CallEnd::TimedOut, now),
            AttemptInput::GiveUp => self.cancel_unsent(CallEnd::GivenUp, now),
            // Connecting may take longer than calls could start.
            AttemptInput::Connected { open: false } => self.end(ConnectionAction::Close, CallEnd::HeldBack),
            AttemptInput::Connected { .. } => {
                self.transition(AttemptState::Writing { written: 0 }, ConnectionAction::Nothing)
            }
            AttemptInput::Refused => self.end(ConnectionAction::Nothing, CallEnd::CouldNotConnect),
            _ => NOTHING,
        }
    }

    fn step_writing(&mut self, written: usize, input: AttemptInput, now: Micros) -> AttemptOutput {
        match input {
            AttemptInput::MessageEnded if self.is_half() && !breaks::is_enabled(Break::SendAfterEnd) => {
                self.close(CallEnd::GivenUp, now)
            }
            AttemptInput::MessageEnded => self.message_ended(),
            // The bytes sent of a body can't be withdrawn, and the others are not sent.
            AttemptInput::Tick if now >= self.by && self.is_half() => self.close(CallEnd::GivenUp, now),
            // If the call were sent later, the endpoint might not drop a repeat any more.
            AttemptInput::Connected { .. } | AttemptInput::Tick if now >= self.by => {
                self.end(ConnectionAction::Close, CallEnd::HeldBack)
            }
            AttemptInput::Deadline => self.cancel_unsent(CallEnd::TimedOut, now),
            AttemptInput::GiveUp => self.cancel_unsent(CallEnd::GivenUp, now),
            AttemptInput::Wrote { left: 0, .. } => {
                self.transition(AttemptState::Awaiting, ConnectionAction::Nothing)
            }
            AttemptInput::Wrote { bytes, .. } => {
                let written = written + bytes;
                self.transition(AttemptState::Writing { written }, ConnectionAction::Nothing)
            }
            // The driver pauses the stream: ending it here would turn a call without an effect into one that may have had one.
            AttemptInput::BackOff if self.is_half() => NOTHING,
            // A call counts once its last byte arrives: written on now, it would arrive during the wait.
            AttemptInput::BackOff if !breaks::is_enabled(Break::WriteOnInWait) => {
                self.end(ConnectionAction::Close, CallEnd::HeldBack)
            }
            AttemptInput::WriteFailed if self.streamed => self.stream_write_failed(now),
            AttemptInput::Read if self.streamed => self.read_early(now),
            AttemptInput::PeerClosed | AttemptInput::Reset if self.streamed => {
                let end = self.broken_stream_end();
                self.end(ConnectionAction::Close, end)
            }
            // In this state only a failed write proves that the call had no effect.
            AttemptInput::WriteFailed => self.end(ConnectionAction::Close, CallEnd::CouldNotConnect),
            _ => NOTHING,
        }
    }

    /// The request is written; an answer may have begun.
    fn step_answered(&mut self, input: AttemptInput, now: Micros) -> AttemptOutput {
        match (self.state, input) {
            (_, AttemptInput::Deadline) => self.close(CallEnd::TimedOut, now),
            (_, AttemptInput::GiveUp) => self.close(CallEnd::GivenUp, now),
            (_, AttemptInput::Read) => self.read(now),
            (_, AttemptInput::PeerClosed | AttemptInput::Reset) if self.answer.is_empty() => {
                self.end(ConnectionAction::Close, CallEnd::Reset)
            }
            (_, AttemptInput::PeerClosed | AttemptInput::Reset) => self.final_answer(),
            (AttemptState::Reading { by }, AttemptInput::Tick) if now >= by => self.final_answer(),
            _ => NOTHING,
        }
    }

    fn step_closing(
        &mut self,
        end: CallEnd,
        until: Micros,
        input: AttemptInput,
        now: Micros,
    ) -> AttemptOutput {
        match input {
            AttemptInput::Tick if now >= until => self.closed(end),
            AttemptInput::PeerClosed | AttemptInput::Reset => self.closed(end),
            AttemptInput::Read if breaks::is_enabled(Break::AnswerUnread) => NOTHING,
            // The answer crossed with the cancellation, and counts nevertheless.
            AttemptInput::Read => match (self.decode)(&self.answer, self.answer.len() > self.most) {
                Answer::Whole { end, .. } => self.end(ConnectionAction::Close, end),
                Answer::Awaited | Answer::Partial => NOTHING,
            },
            _ => NOTHING,
        }
    }

    fn transition(&mut self, state: AttemptState, action: ConnectionAction) -> AttemptOutput {
        self.state = state;
        AttemptOutput { action, end: None }
    }

    fn end(&mut self, action: ConnectionAction, end: CallEnd) -> AttemptOutput {
        self.state = AttemptState::Finished;
        AttemptOutput { action, end: Some(end) }
    }

    /// The message has its end before the call had an effect.
    fn message_ended(&mut self) -> AttemptOutput {
        if breaks::is_enabled(Break::SendAfterEnd) {
            return NOTHING;
        }
        self.end(ConnectionAction::Close, CallEnd::HeldBack)
    }

    /// Cancels a call whose last byte was not sent. It counts only once that byte arrives, so it had no effect, unless its
    /// body is streamed.
    fn cancel_unsent(&mut self, end: CallEnd, now: Micros) -> AttemptOutput {
        if self.streamed {
            self.close(end, now)
        } else {
            self.end(ConnectionAction::Close, CallEnd::CouldNotConnect)
        }
    }

    /// Cancels a call that may have had an effect, and goes on reading for [`CLOSING_TIME`].
    fn close(&mut self, end: CallEnd, now: Micros) -> AttemptOutput {
        let action = if self.is_unsent() || breaks::is_enabled(Break::AnswerUnread) {
            ConnectionAction::Close
        } else {
            ConnectionAction::Finish
        };
        self.transition(AttemptState::Closing { end, until: now.saturating_add(CLOSING_TIME) }, action)
    }

    /// The closing time is over: the call ends as planned, unless the first line of the answer says that it was
    /// delivered.
    fn closed(&mut self, end: CallEnd) -> AttemptOutput {
        let answer = (!self.answer.is_empty()).then(|| (self.decode)(&self.answer, true));
        let answered = answer.and_then(|answer| match answer {
            Answer::Whole { end: end @ (CallEnd::Delivered | CallEnd::Each), .. } => Some(end),
            _ => None,
        });
        self.end(ConnectionAction::Close, answered.unwrap_or(end))
    }

    /// How a streamed call ends whose connection broke before the last byte was sent.
    fn broken_stream_end(&self) -> CallEnd {
        if self.is_half() { CallEnd::Reset } else { CallEnd::CouldNotConnect }
    }

    /// An endpoint that has answered before the last byte may have closed the connection: its answer can still be read.
    fn stream_write_failed(&mut self, now: Micros) -> AttemptOutput {
        let end = self.broken_stream_end();
        let until = now.saturating_add(CLOSING_TIME);
        self.transition(AttemptState::Closing { end, until }, ConnectionAction::Nothing)
    }

    /// An answer before the body's last byte: the endpoint does not read the rest of the body any more.
    fn read_early(&mut self, now: Micros) -> AttemptOutput {
        match (self.decode)(&self.answer, self.answer.len() > self.most) {
            Answer::Awaited => NOTHING,
            Answer::Partial => {
                let by = now.saturating_add(ANSWER_COMPLETION);
                self.transition(AttemptState::Reading { by }, ConnectionAction::Nothing)
            }
            Answer::Whole { end, .. } => self.end(ConnectionAction::Close, end),
        }
    }

    fn read(&mut self, now: Micros) -> AttemptOutput {
        match (self.decode)(&self.answer, self.answer.len() > self.most) {
            // What had begun was an interim answer, and it is complete. A stream's body may not be written to its end.
            Answer::Awaited if !self.streamed => {
                self.transition(AttemptState::Awaiting, ConnectionAction::Nothing)
            }
            Answer::Awaited => NOTHING,
            Answer::Partial => {
                let by = match self.state {
                    AttemptState::Reading { by } => by,
                    _ => now.saturating_add(ANSWER_COMPLETION),
                };
                self.transition(AttemptState::Reading { by }, ConnectionAction::Nothing)
            }
            Answer::Whole { end, reusable } => {
                self.end(if reusable { ConnectionAction::Keep } else { ConnectionAction::Close }, end)
            }
        }
    }

    /// The answer has ended.
    fn final_answer(&mut self) -> AttemptOutput {
        match (self.decode)(&self.answer, true) {
            Answer::Whole { end, .. } if breaks::is_enabled(Break::KeepBrokenConnection) => {
                self.end(ConnectionAction::Keep, end)
            }
            Answer::Whole { end, .. } => self.end(ConnectionAction::Close, end),
            Answer::Awaited | Answer::Partial => self.end(ConnectionAction::Close, CallEnd::Reset),
        }
    }
}
