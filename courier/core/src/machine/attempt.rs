//! One attempt: a delivery call from its start to its end.
//!
//! The driver connects, writes and reads according to the state, and reports each result as an [`AttemptInput`]. The
//! machine decides whether the connection is kept or closed and with which result the attempt ends. In particular it
//! decides whether the call may have had an effect at the endpoint.

mod table;

pub use table::Streamed;

use crate::CallEnd;
use quillmount_policy::Micros;
use quillmount_policy::breaks::{self, Break};
use serde::{Deserialize, Serialize};

/// The time within which an answer must be complete once its first byte is read, in microseconds. Endpoints write an
/// answer at once.
pub const ANSWER_READ_TIMEOUT: Micros = 100_000;
/// The time between cancelling a call and reporting its end, in microseconds. The endpoint frees the call's slot only
/// when it detects that the sending side is closed; a new call that arrives before that is rejected because no slot is
/// free. During this time an answer that the endpoint has already sent can still be read, in particular a rejection with
/// a `Retry-After` time.
pub const CANCEL_LINGER: Micros = 5_000;

/// The result of decoding the bytes of an answer so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// No byte of the final answer has been received.
    Awaited,
    /// The final answer is incomplete.
    Partial,
    /// The final answer is complete, or the connection ended before its end.
    Whole {
        /// The result of the call according to the answer.
        end: CallEnd,
        /// The connection can be reused for the next call.
        reusable: bool,
    },
}

/// Decodes the bytes of an answer. If the flag is set, no more bytes follow and the result is [`Answer::Whole`].
pub type Decode = fn(&[u8], bool) -> Answer;

/// The state of an [`Attempt`]. In a handover it is encoded by position: the order of the variants must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptState {
    /// The attempt is not started.
    New,
    /// No idle connection was available, and a new one is being established.
    Connecting,
    /// The request is partly written, or not at all.
    Writing {
        /// The number of bytes written so far. For a streamed body the head is not counted.
        written: usize,
    },
    /// The request is completely written, and no byte of an answer has been received.
    Awaiting,
    /// A part of an answer has been received.
    Reading {
        /// The time at which the answer must be complete.
        deadline: Micros,
    },
    /// The attempt is cancelled. For [`CANCEL_LINGER`], bytes from the endpoint are still read.
    Closing {
        /// The result of the attempt unless an answer is read.
        end: CallEnd,
        /// The time at which the result is reported.
        until: Micros,
    },
    /// The result was reported.
    Finished,
}

/// An input of an [`Attempt`]: a result of the driver's I/O, a timer, or a decision that concerns the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptInput {
    /// Starts the attempt.
    Start {
        /// Calls to the endpoint may start now: it is ready, and no backoff applies.
        open: bool,
        /// An idle connection to the endpoint is available.
        reuses_connection: bool,
    },
    /// The connection is established.
    Connected {
        /// Calls to the endpoint may still start. This may have changed while the connection was being established.
        open: bool,
    },
    /// The connection was refused, or not established within the timeout.
    Refused,
    /// Bytes of the request were written.
    Wrote {
        /// The number of bytes written.
        bytes: usize,
        /// The number of bytes that remain to be written.
        left: usize,
    },
    /// Writing the request has failed.
    WriteFailed,
    /// Bytes were appended to [`Attempt::answer_mut`].
    Read,
    /// The endpoint has closed its sending side of the connection.
    PeerClosed,
    /// The connection was reset.
    Reset,
    /// The timeout of the call has expired.
    Deadline,
    /// The policy cancels the call.
    GiveUp,
    /// The message already has its final result: no further byte of the call may be sent.
    MessageEnded,
    /// The endpoint is draining or has been removed from the list.
    EndpointUnavailable,
    /// The endpoint has answered another call with a `Retry-After` time: a backoff applies.
    BackOff,
    /// The time returned by [`Attempt::wake_at`] is reached.
    Tick,
}

/// What the driver must do with the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// No action.
    Nothing,
    /// Open a new connection.
    Open,
    /// Close the sending side. The endpoint detects the cancellation, and bytes that it has sent can still be read.
    Finish,
    /// Close the connection in both directions.
    Close,
    /// Return the connection to the pool for the next call.
    Keep,
}

/// The output of [`Attempt::step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOutput {
    /// What the driver must do with the connection.
    pub action: ConnectionAction,
    /// The result, if the attempt has ended with this step.
    pub end: Option<CallEnd>,
}

const NO_OUTPUT: AttemptOutput = AttemptOutput { action: ConnectionAction::Nothing, end: None };

/// The state machine of an attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    state: AttemptState,
    answer: Vec<u8>,
    /// The maximum number of bytes that are read of an answer.
    max_answer_bytes: usize,
    /// The time from which on no byte of the request may be sent.
    send_before: Micros,
    decode: Decode,
    /// The body is forwarded while it is received. The endpoint may process a part of it: from its first byte on the
    /// attempt may have had an effect, and the endpoint may answer before the last byte.
    streamed: bool,
}

/// The part of an attempt that is handed over to another process. Encoded by position: the order of the fields must not
/// change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptSnapshot {
    state: AttemptState,
    answer: Vec<u8>,
    send_before: Micros,
}

impl PartialEq for Attempt {
    fn eq(&self, other: &Self) -> bool {
        (self.state, &self.answer) == (other.state, &other.answer)
    }
}

impl Attempt {
    /// Creates an attempt that reads at most `max_answer_bytes` bytes of an answer and writes nothing from the time
    /// `send_before` on.
    pub fn new(decode: Decode, max_answer_bytes: usize, send_before: Micros) -> Self {
        Attempt {
            state: AttemptState::New,
            answer: Vec::new(),
            max_answer_bytes,
            send_before,
            decode,
            streamed: false,
        }
    }

    /// Like [`Attempt::new`], for a streamed body, whose bytes are counted in [`AttemptState::Writing`].
    pub fn streamed(decode: Decode, max_answer_bytes: usize, send_before: Micros) -> Self {
        Attempt { streamed: true, ..Attempt::new(decode, max_answer_bytes, send_before) }
    }

    /// Converts the attempt for a handover. If no byte was sent, the other process starts it from the beginning.
    pub fn snapshot(self) -> AttemptSnapshot {
        let is_unsent = matches!(self.state, AttemptState::New | AttemptState::Connecting);
        AttemptSnapshot {
            state: if is_unsent { AttemptState::New } else { self.state },
            answer: self.answer,
            send_before: self.send_before,
        }
    }

    /// Resumes an attempt that another process has handed over.
    pub fn resumed(snapshot: AttemptSnapshot, decode: Decode, max_answer_bytes: usize) -> Self {
        let AttemptSnapshot { state, answer, send_before } = snapshot;
        Attempt { state, answer, ..Attempt::new(decode, max_answer_bytes, send_before) }
    }

    /// The current state, which tells the driver whether to connect, write or read.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// The bytes of the answer that were read so far.
    pub fn answer(&self) -> &[u8] {
        &self.answer
    }

    /// The answer buffer, to which the driver appends bytes before it reports [`AttemptInput::Read`].
    pub fn answer_mut(&mut self) -> &mut Vec<u8> {
        &mut self.answer
    }

    /// Whether the endpoint has sent an interim answer (1xx), with which it requests the body.
    pub fn is_body_requested(&self) -> bool {
        !self.answer.is_empty() && (self.decode)(&self.answer, false) == Answer::Awaited
    }

    /// The time at which an [`AttemptInput::Tick`] is due, if a timer is running.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            AttemptState::Reading { deadline } => Some(deadline),
            AttemptState::Closing { until, .. } => Some(until),
            AttemptState::Connecting | AttemptState::Writing { .. } if self.send_before < Micros::MAX => {
                Some(self.send_before)
            }
            _ => None,
        }
    }

    /// Whether too little of the call was sent for it to have had an effect.
    pub fn is_unsent(&self) -> bool {
        matches!(self.state, AttemptState::New | AttemptState::Connecting | AttemptState::Writing { .. })
            && !self.is_partly_sent()
    }

    /// Whether a streamed body was sent partly, but not completely: the call may have had an effect.
    pub fn is_partly_sent(&self) -> bool {
        self.streamed
            && matches!(self.state, AttemptState::Writing { written: 1.. })
            && !breaks::is_enabled(Break::HalfSentNeverRan)
    }

    /// Applies an input at the time `now`, in microseconds.
    pub fn step(&mut self, input: AttemptInput, now: Micros) -> AttemptOutput {
        match self.state {
            AttemptState::New => self.step_new(input, now),
            AttemptState::Connecting => self.step_connecting(input, now),
            AttemptState::Writing { written } => self.step_writing(written, input, now),
            AttemptState::Awaiting | AttemptState::Reading { .. } => self.step_after_request(input, now),
            AttemptState::Closing { end, until } => self.step_closing(end, until, input, now),
            AttemptState::Finished => NO_OUTPUT,
        }
    }

    fn step_new(&mut self, input: AttemptInput, now: Micros) -> AttemptOutput {
        match input {
            AttemptInput::Start { open: false, .. } => self.end(ConnectionAction::Nothing, CallEnd::HeldBack),
            // The process was suspended, or the journal record took long to write. An idle connection can serve another
            // call.
            AttemptInput::Start { .. } if now >= self.send_before => {
                self.end(ConnectionAction::Keep, CallEnd::HeldBack)
            }
            AttemptInput::Start { reuses_connection: true, .. } => {
                self.transition(AttemptState::Writing { written: 0 }, ConnectionAction::Nothing)
            }
            AttemptInput::Start { .. } => self.transition(AttemptState::Connecting, ConnectionAction::Open),
            AttemptInput::MessageEnded => self.withhold(),
            AttemptInput::GiveUp => self.end(ConnectionAction::Nothing, CallEnd::GivenUp),
            _ => NO_OUTPUT,
        }
    }

    fn step_connecting(&mut self, input: AttemptInput, now: Micros) -> AttemptOutput {
        match input {
            AttemptInput::MessageEnded => self.withhold(),
            // From `send_before` on the endpoint may have forgotten the idempotency key and would process a duplicate.
            AttemptInput::Connected { .. } | AttemptInput::Tick if now >= self.send_before => {
                self.end(ConnectionAction::Close, CallEnd::HeldBack)
            }
            AttemptInput::Deadline => self.cancel_unsent(CallEnd::TimedOut, now),
            AttemptInput::GiveUp => self.cancel_unsent(CallEnd::GivenUp, now),
            // While the connection was being established, the endpoint became unavailable or a backoff began.
            AttemptInput::Connected { open: false } => self.end(ConnectionAction::Close, CallEnd::HeldBack),
            AttemptInput::Connected { .. } => {
                self.transition(AttemptState::Writing { written: 0 }, ConnectionAction::Nothing)
            }
            AttemptInput::Refused => self.end(ConnectionAction::Nothing, CallEnd::CouldNotConnect),
            _ => NO_OUTPUT,
        }
    }

    fn step_writing(&mut self, written: usize, input: AttemptInput, now: Micros) -> AttemptOutput {
        match input {
            AttemptInput::MessageEnded
                if self.is_partly_sent() && !breaks::is_enabled(Break::SendAfterEnd) =>
            {
                self.close(CallEnd::GivenUp, now)
            }
            AttemptInput::MessageEnded => self.withhold(),
            // The bytes that were already sent may have had an effect; the remaining ones are not sent.
            AttemptInput::Tick if now >= self.send_before && self.is_partly_sent() => {
                self.close(CallEnd::GivenUp, now)
            }
            // From `send_before` on the endpoint may have forgotten the idempotency key and would process a duplicate.
            AttemptInput::Connected { .. } | AttemptInput::Tick if now >= self.send_before => {
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
            // The driver pauses the stream. Ending the attempt here would give a call that may still be completed or
            // rejected the result that it may have had an effect.
            AttemptInput::BackOff if self.is_partly_sent() => NO_OUTPUT,
            // The endpoint processes a call when its last byte arrives. If writing continued, that would be during the
            // backoff.
            AttemptInput::BackOff if !breaks::is_enabled(Break::WriteOnInWait) => {
                self.end(ConnectionAction::Close, CallEnd::HeldBack)
            }
            AttemptInput::WriteFailed if self.streamed => self.stream_write_failed(now),
            AttemptInput::Read if self.streamed => self.read_before_last_byte(now),
            AttemptInput::PeerClosed | AttemptInput::Reset if self.streamed => {
                let end = self.broken_stream_result();
                self.end(ConnectionAction::Close, end)
            }
            // In this state only a failed write proves that the call had no effect.
            AttemptInput::WriteFailed => self.end(ConnectionAction::Close, CallEnd::CouldNotConnect),
            _ => NO_OUTPUT,
        }
    }

    /// Handles an input when the request is completely written, before or while an answer is read.
    fn step_after_request(&mut self, input: AttemptInput, now: Micros) -> AttemptOutput {
        match (self.state, input) {
            (_, AttemptInput::Deadline) => self.close(CallEnd::TimedOut, now),
            (_, AttemptInput::GiveUp) => self.close(CallEnd::GivenUp, now),
            (_, AttemptInput::Read) => self.read(now),
            (_, AttemptInput::PeerClosed | AttemptInput::Reset) if self.answer.is_empty() => {
                self.end(ConnectionAction::Close, CallEnd::Reset)
            }
            (_, AttemptInput::PeerClosed | AttemptInput::Reset) => self.final_answer(),
            (AttemptState::Reading { deadline }, AttemptInput::Tick) if now >= deadline => {
                self.final_answer()
            }
            _ => NO_OUTPUT,
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
            AttemptInput::Read if breaks::is_enabled(Break::AnswerUnread) => NO_OUTPUT,
            // The endpoint sent the answer before it detected the cancellation: the answer is the result.
            AttemptInput::Read => {
                match (self.decode)(&self.answer, self.answer.len() > self.max_answer_bytes) {
                    Answer::Whole { end, .. } => self.end(ConnectionAction::Close, end),
                    Answer::Awaited | Answer::Partial => NO_OUTPUT,
                }
            }
            _ => NO_OUTPUT,
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

    /// Ends the attempt without an effect, because the message already has its final result.
    fn withhold(&mut self) -> AttemptOutput {
        if breaks::is_enabled(Break::SendAfterEnd) {
            return NO_OUTPUT;
        }
        self.end(ConnectionAction::Close, CallEnd::HeldBack)
    }

    /// Cancels a call whose last byte was not sent. Endpoints process a call only when its last byte arrives, so it had no
    /// effect, unless its body is streamed.
    fn cancel_unsent(&mut self, end: CallEnd, now: Micros) -> AttemptOutput {
        if self.streamed {
            self.close(end, now)
        } else {
            self.end(ConnectionAction::Close, CallEnd::CouldNotConnect)
        }
    }

    /// Cancels a call that may have had an effect, and continues to read for [`CANCEL_LINGER`].
    fn close(&mut self, end: CallEnd, now: Micros) -> AttemptOutput {
        let action = if self.is_unsent() || breaks::is_enabled(Break::AnswerUnread) {
            ConnectionAction::Close
        } else {
            ConnectionAction::Finish
        };
        self.transition(AttemptState::Closing { end, until: now.saturating_add(CANCEL_LINGER) }, action)
    }

    /// Ends a cancelled call after [`CANCEL_LINGER`], with the planned result unless the status line of an incomplete
    /// answer reports that the message was delivered.
    fn closed(&mut self, end: CallEnd) -> AttemptOutput {
        let answer = (!self.answer.is_empty()).then(|| (self.decode)(&self.answer, true));
        let answered = answer.and_then(|answer| match answer {
            Answer::Whole { end: end @ (CallEnd::Delivered | CallEnd::Each), .. } => Some(end),
            _ => None,
        });
        self.end(ConnectionAction::Close, answered.unwrap_or(end))
    }

    /// The result of a streamed call whose connection broke before the last byte was sent.
    fn broken_stream_result(&self) -> CallEnd {
        if self.is_partly_sent() { CallEnd::Reset } else { CallEnd::CouldNotConnect }
    }

    /// Continues to read for [`CANCEL_LINGER`] after a failed write of a stream: the endpoint may have answered before the
    /// last byte and closed the connection.
    fn stream_write_failed(&mut self, now: Micros) -> AttemptOutput {
        let end = self.broken_stream_result();
        let until = now.saturating_add(CANCEL_LINGER);
        self.transition(AttemptState::Closing { end, until }, ConnectionAction::Nothing)
    }

    /// Handles an answer before the body's last byte: the endpoint does not read the rest of the body.
    fn read_before_last_byte(&mut self, now: Micros) -> AttemptOutput {
        match (self.decode)(&self.answer, self.answer.len() > self.max_answer_bytes) {
            Answer::Awaited => NO_OUTPUT,
            Answer::Partial => {
                let deadline = now.saturating_add(ANSWER_READ_TIMEOUT);
                self.transition(AttemptState::Reading { deadline }, ConnectionAction::Nothing)
            }
            Answer::Whole { end, .. } => self.end(ConnectionAction::Close, end),
        }
    }

    fn read(&mut self, now: Micros) -> AttemptOutput {
        match (self.decode)(&self.answer, self.answer.len() > self.max_answer_bytes) {
            // An interim answer is complete, and the final answer has not begun. The body of a stream may still be
            // incomplete, so its state does not change.
            Answer::Awaited if !self.streamed => {
                self.transition(AttemptState::Awaiting, ConnectionAction::Nothing)
            }
            Answer::Awaited => NO_OUTPUT,
            Answer::Partial => {
                let deadline = match self.state {
                    AttemptState::Reading { deadline } => deadline,
                    _ => now.saturating_add(ANSWER_READ_TIMEOUT),
                };
                self.transition(AttemptState::Reading { deadline }, ConnectionAction::Nothing)
            }
            Answer::Whole { end, reusable } => {
                self.end(if reusable { ConnectionAction::Keep } else { ConnectionAction::Close }, end)
            }
        }
    }

    /// Ends the attempt with the answer as it was received: the connection was closed or the time for reading expired.
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
