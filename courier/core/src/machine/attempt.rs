//! One attempt: a delivery call from its start to its end.

use super::Machine;
use crate::CallEnd;
use quillmount_policy::Micros;
use quillmount_policy::breaks::{self, Break};
use serde::{Deserialize, Serialize};

/// An answer that has begun comes whole within this; endpoints write it in one go.
pub const ANSWER_COMPLETION: Micros = 100_000;
/// Between the word to give up a call and its report. The endpoint's side frees the slot when it sees that
/// the sending has ended, and a send that overtakes it is turned away for want of a slot; and what the
/// endpoint said before it saw that, a wait above all, can still be read.
pub const CLOSING_TIME: Micros = 5_000;

/// What the bytes of an answer say so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The answer that counts has yet to begin.
    Awaited,
    /// More of it is to come.
    Partial,
    /// `reusable`: the connection stands where the next call may begin.
    Whole { end: CallEnd, reusable: bool },
}

/// Reads an answer's bytes; the flag says that no more of it will come, and then it is `Whole`.
pub type Decode = fn(&[u8], bool) -> Answer;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptState {
    New,
    Connecting,
    Writing { written: usize },
    Awaiting,
    Reading { by: Micros },
    Closing { end: CallEnd, until: Micros },
    Finished,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptInput {
    /// `open`: calls to the endpoint may start now; `resting`: a connection rests there.
    Start {
        open: bool,
        resting: bool,
    },
    /// The connection is up; `open` as it stands now, since connecting takes time.
    Connected {
        open: bool,
    },
    /// Refused, or not up in time.
    Refused,
    /// So many more bytes are written, and so many are left.
    Wrote {
        bytes: usize,
        left: usize,
    },
    WriteFailed,
    /// Bytes were added to the answer.
    Read,
    /// The endpoint has ended its side.
    End,
    Reset,
    /// The time of the call is up.
    Deadline,
    GiveUp,
    /// The message has its end, and what has not left of the call is to stay.
    Ended,
    /// The endpoint drains or is gone.
    Shut,
    /// Its destination has told another call to wait.
    BackOff,
    Tick,
}

/// What is to be done with the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    Nothing,
    Open,
    /// End the sending side: the endpoint sees that the call is given up, and what it has said can be read.
    Finish,
    Close,
    Keep,
}

/// What is to be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOutput {
    pub action: ConnectionAction,
    /// The attempt is over.
    pub end: Option<CallEnd>,
}

const NOTHING: AttemptOutput = AttemptOutput { action: ConnectionAction::Nothing, end: None };

/// The machine. Its driver connects, writes and reads as the state says, and tells what came of it.
#[derive(Clone, Debug)]
pub struct Attempt {
    state: AttemptState,
    answer: Vec<u8>,
    /// More of an answer than this is never read.
    most: usize,
    /// No byte of the request may leave from then on.
    by: Micros,
    decode: Decode,
    /// Its body is passed on as it comes. The receiver may act on a part of it, so that it may have run from
    /// its first byte on; and it may be answered before its last.
    streamed: bool,
}

/// An attempt as another process goes on with it: all but its reader of answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptSnapshot {
    state: AttemptState,
    answer: Vec<u8>,
    by: Micros,
}

impl Attempt {
    /// As it stands, for another process. One whose first byte has not left begins anew there.
    pub fn snapshot(self) -> AttemptSnapshot {
        let unsent = matches!(self.state, AttemptState::New | AttemptState::Connecting);
        AttemptSnapshot {
            state: if unsent { AttemptState::New } else { self.state },
            answer: self.answer,
            by: self.by,
        }
    }

    /// Goes on with another process's attempt.
    pub fn resumed(snapshot: AttemptSnapshot, decode: Decode, most: usize) -> Self {
        let AttemptSnapshot { state, answer, by } = snapshot;
        Attempt { state, answer, ..Attempt::new(decode, most, by) }
    }

    /// Reads `most` bytes of an answer at most, and writes nothing from the time `by` on.
    pub fn new(decode: Decode, most: usize, by: Micros) -> Self {
        Attempt { state: AttemptState::New, answer: Vec::new(), most, by, decode, streamed: false }
    }

    /// The same for a streamed body, of which [`State::Writing`] counts the bytes; its head is not counted.
    pub fn streamed(decode: Decode, most: usize, by: Micros) -> Self {
        Attempt { streamed: true, ..Attempt::new(decode, most, by) }
    }

    /// The endpoint has asked for the body, with an interim answer.
    pub fn is_asked(&self) -> bool {
        !self.answer.is_empty() && (self.decode)(&self.answer, false) == Answer::Awaited
    }

    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Where the driver puts what it reads, before it says [`Input::Read`].
    pub fn answer_mut(&mut self) -> &mut Vec<u8> {
        &mut self.answer
    }

    pub fn answer(&self) -> &[u8] {
        &self.answer
    }

    /// When a [`Input::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            AttemptState::Reading { by } => Some(by),
            AttemptState::Closing { until, .. } => Some(until),
            AttemptState::Connecting | AttemptState::Writing { .. } if self.by < Micros::MAX => Some(self.by),
            _ => None,
        }
    }

    /// Nothing of the call has left yet, or not all of it: it has not run.
    pub fn is_unsent(&self) -> bool {
        matches!(self.state, AttemptState::New | AttemptState::Connecting | AttemptState::Writing { .. })
            && !self.is_half()
    }

    /// A part of a streamed body has left, and not all of it: it may have run.
    pub fn is_half(&self) -> bool {
        self.streamed
            && matches!(self.state, AttemptState::Writing { written: 1.. })
            && !breaks::is_enabled(Break::HalfSentNeverRan)
    }

    pub fn step(&mut self, input: AttemptInput, now: Micros) -> AttemptOutput {
        use AttemptState::*;
        match (self.state, input) {
            (Finished, _) => NOTHING,
            (Closing { end, until }, AttemptInput::Tick) if now >= until => self.given_up(end),
            (Closing { end, .. }, AttemptInput::End | AttemptInput::Reset) => self.given_up(end),
            (Closing { .. }, AttemptInput::Read) if breaks::is_enabled(Break::AnswerUnread) => NOTHING,
            // It crossed with the word to give up: what it tells holds all the same.
            (Closing { .. }, AttemptInput::Read) => {
                match (self.decode)(&self.answer, self.answer.len() > self.most) {
                    Answer::Whole { end, .. } => self.end(ConnectionAction::Close, end),
                    Answer::Awaited | Answer::Partial => NOTHING,
                }
            }
            (Closing { .. }, _) => NOTHING,
            (New, AttemptInput::Start { open: false, .. }) => {
                self.end(ConnectionAction::Nothing, CallEnd::HeldBack)
            }
            // The host stood still, or its record took long to write; what rested may serve another call.
            (New, AttemptInput::Start { .. }) if now >= self.by => {
                self.end(ConnectionAction::Keep, CallEnd::HeldBack)
            }
            (New, AttemptInput::Start { resting: true, .. }) => {
                self.transition(Writing { written: 0 }, ConnectionAction::Nothing)
            }
            (New, AttemptInput::Start { .. }) => self.transition(Connecting, ConnectionAction::Open),
            (_, AttemptInput::Ended) if breaks::is_enabled(Break::SendAfterEnd) => NOTHING,
            (Writing { .. }, AttemptInput::Ended) if self.is_half() => self.close(CallEnd::GivenUp, now),
            (New | Connecting | Writing { .. }, AttemptInput::Ended) => {
                self.end(ConnectionAction::Close, CallEnd::HeldBack)
            }
            (New, AttemptInput::GiveUp) => self.end(ConnectionAction::Nothing, CallEnd::GivenUp),
            (New, _) => NOTHING,
            // What has left of a body can't be taken back, and the rest stays here.
            (Writing { .. }, AttemptInput::Tick) if now >= self.by && self.is_half() => {
                self.close(CallEnd::GivenUp, now)
            }
            // Later its endpoint may not drop a repeat any more.
            (Connecting | Writing { .. }, AttemptInput::Connected { .. } | AttemptInput::Tick)
                if now >= self.by =>
            {
                self.end(ConnectionAction::Close, CallEnd::HeldBack)
            }
            // A call counts once its last byte has come, and that byte stays here now: it never ran.
            (Connecting | Writing { .. }, AttemptInput::Deadline | AttemptInput::GiveUp)
                if !self.streamed =>
            {
                self.end(ConnectionAction::Close, CallEnd::CouldNotConnect)
            }
            (_, AttemptInput::Deadline) => self.close(CallEnd::TimedOut, now),
            (_, AttemptInput::GiveUp) => self.close(CallEnd::GivenUp, now),
            // Connecting may last longer than the leave that the call had.
            (Connecting, AttemptInput::Connected { open: false }) => {
                self.end(ConnectionAction::Close, CallEnd::HeldBack)
            }
            (Connecting, AttemptInput::Connected { .. }) => {
                self.transition(Writing { written: 0 }, ConnectionAction::Nothing)
            }
            (Connecting, AttemptInput::Refused) => {
                self.end(ConnectionAction::Nothing, CallEnd::CouldNotConnect)
            }
            (Writing { .. }, AttemptInput::Wrote { left: 0, .. }) => {
                self.transition(Awaiting, ConnectionAction::Nothing)
            }
            (Writing { written }, AttemptInput::Wrote { bytes, .. }) => {
                self.transition(Writing { written: written + bytes }, ConnectionAction::Nothing)
            }
            // Its driver pauses: broken off, a body that may have had no effect would be one that may.
            (Writing { .. }, AttemptInput::BackOff) if self.is_half() => NOTHING,
            // A call counts once its last byte has come: written on now, it would come within the wait.
            (Writing { .. }, AttemptInput::BackOff) if !breaks::is_enabled(Break::WriteOnInWait) => {
                self.end(ConnectionAction::Close, CallEnd::HeldBack)
            }
            // Only a write that failed proves, from here on, that the call never ran.
            (Writing { .. }, AttemptInput::WriteFailed) if self.streamed => self.unwritable(now),
            (Writing { .. }, AttemptInput::Read) if self.streamed => self.early(now),
            (Writing { .. }, AttemptInput::End | AttemptInput::Reset) if self.streamed => {
                let end = if self.is_half() { CallEnd::Reset } else { CallEnd::CouldNotConnect };
                self.end(ConnectionAction::Close, end)
            }
            (Writing { .. }, AttemptInput::WriteFailed) => {
                self.end(ConnectionAction::Close, CallEnd::CouldNotConnect)
            }
            (Awaiting | Reading { .. }, AttemptInput::Read) => self.read(now),
            (Awaiting | Reading { .. }, AttemptInput::End | AttemptInput::Reset)
                if self.answer.is_empty() =>
            {
                self.end(ConnectionAction::Close, CallEnd::Reset)
            }
            (Awaiting | Reading { .. }, AttemptInput::End | AttemptInput::Reset) => self.final_answer(),
            (Reading { by }, AttemptInput::Tick) if now >= by => self.final_answer(),
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

    fn close(&mut self, end: CallEnd, now: Micros) -> AttemptOutput {
        let action = if self.is_unsent() || breaks::is_enabled(Break::AnswerUnread) {
            ConnectionAction::Close
        } else {
            ConnectionAction::Finish
        };
        self.transition(AttemptState::Closing { end, until: now.saturating_add(CLOSING_TIME) }, action)
    }

    /// An endpoint that has answered before the last byte may have closed: its answer may still be read.
    fn unwritable(&mut self, now: Micros) -> AttemptOutput {
        let end = if self.is_half() { CallEnd::Reset } else { CallEnd::CouldNotConnect };
        self.transition(
            AttemptState::Closing { end, until: now.saturating_add(CLOSING_TIME) },
            ConnectionAction::Nothing,
        )
    }

    /// An answer before the body's last byte: the rest of the body has no reader any more.
    fn early(&mut self, now: Micros) -> AttemptOutput {
        match (self.decode)(&self.answer, self.answer.len() > self.most) {
            Answer::Awaited => NOTHING,
            Answer::Partial => self.transition(
                AttemptState::Reading { by: now.saturating_add(ANSWER_COMPLETION) },
                ConnectionAction::Nothing,
            ),
            Answer::Whole { end, .. } => self.end(ConnectionAction::Close, end),
        }
    }

    /// Nothing came that says otherwise, unless the first line of a 200 did.
    fn given_up(&mut self, end: CallEnd) -> AttemptOutput {
        let answer = (!self.answer.is_empty()).then(|| (self.decode)(&self.answer, true));
        let answered = answer.and_then(|answer| match answer {
            Answer::Whole { end: end @ (CallEnd::Delivered | CallEnd::Each), .. } => Some(end),
            _ => None,
        });
        self.end(ConnectionAction::Close, answered.unwrap_or(end))
    }

    fn read(&mut self, now: Micros) -> AttemptOutput {
        match (self.decode)(&self.answer, self.answer.len() > self.most) {
            // What had begun was an interim answer, and it is whole. The rest of a stream's body may be unwritten.
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

    /// No more of the answer will come.
    fn final_answer(&mut self) -> AttemptOutput {
        match (self.decode)(&self.answer, true) {
            Answer::Whole { end, .. } if breaks::is_enabled(Break::KeepSpoilt) => {
                self.end(ConnectionAction::Keep, end)
            }
            Answer::Whole { end, .. } => self.end(ConnectionAction::Close, end),
            Answer::Awaited | Answer::Partial => self.end(ConnectionAction::Close, CallEnd::Reset),
        }
    }
}

impl PartialEq for Attempt {
    fn eq(&self, other: &Self) -> bool {
        (self.state, &self.answer) == (other.state, &other.answer)
    }
}

impl Machine for Attempt {
    type Input = (AttemptInput, &'static str);
    const NAME: &'static str = "An attempt";
    const ABOUT: &'static str = "`courier/core/src/machine/attempt.rs`: one delivery call, from the router's order to its end. \
        *open*, *end sending*, *close* and *keep* say what becomes of the connection.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        // For the table an answer is whole with `.`, and does not count yet with `1`.
        let decode: Decode = |bytes, over| match bytes.last() {
            Some(b'.') => Answer::Whole { end: CallEnd::Delivered, reusable: !over },
            _ if over => Answer::Whole { end: CallEnd::Spoilt(0), reusable: false },
            Some(b'1') => Answer::Awaited,
            _ => Answer::Partial,
        };
        let at = |state, answer: &[u8]| {
            let fresh = Attempt::new(decode, 9, 2);
            Attempt { state, answer: answer.to_vec(), ..fresh }
        };
        vec![
            ("New", "ordered, not begun", at(AttemptState::New, b"")),
            (
                "Connecting",
                "no connection rested there, and a new one is on its way",
                at(AttemptState::Connecting, b""),
            ),
            (
                "Writing",
                "less than all of the request is written: it has not run",
                at(AttemptState::Writing { written: 1 }, b""),
            ),
            ("Awaiting", "all of it is written: it may have run", at(AttemptState::Awaiting, b"")),
            (
                "Reading",
                "a part of the answer has come; the rest has 100 ms",
                at(AttemptState::Reading { by: 1 }, b"2"),
            ),
            (
                "Closing",
                "given up after its last byte, and its sending has ended (a stream's connection is closed if nothing of its body was written); the end is told 5 ms later, or what was still read",
                at(AttemptState::Closing { end: CallEnd::TimedOut, until: 2 }, b""),
            ),
            ("Finished", "its end has been told", at(AttemptState::Finished, b"")),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            (
                "start, shut",
                "begun while the endpoint drains, is gone or has told to wait",
                (AttemptInput::Start { open: false, resting: false }, ""),
            ),
            (
                "start, resting",
                "begun where a connection rests",
                (AttemptInput::Start { open: true, resting: true }, ""),
            ),
            ("start", "begun where none does", (AttemptInput::Start { open: true, resting: false }, "")),
            ("connected", "the connection is up", (AttemptInput::Connected { open: true }, "")),
            (
                "connected, shut",
                "it is up, but calls may not start there any more",
                (AttemptInput::Connected { open: false }, ""),
            ),
            ("refused", "it was refused, or did not come up in time", (AttemptInput::Refused, "")),
            ("wrote", "some more bytes are written", (AttemptInput::Wrote { bytes: 1, left: 1 }, "")),
            ("wrote last", "the last byte is written", (AttemptInput::Wrote { bytes: 1, left: 0 }, "")),
            (
                "write failed",
                "the connection broke before the last byte was written",
                (AttemptInput::WriteFailed, ""),
            ),
            ("read interim", "bytes of an answer that does not count yet (1xx)", (AttemptInput::Read, "1")),
            ("read part", "bytes of an answer, with more to come", (AttemptInput::Read, "2")),
            ("read all", "the answer is whole", (AttemptInput::Read, ".")),
            ("end", "the endpoint ended its side", (AttemptInput::End, "")),
            ("reset", "the connection was reset", (AttemptInput::Reset, "")),
            ("deadline", "the time of the call is up", (AttemptInput::Deadline, "")),
            ("give up", "the module calls it off", (AttemptInput::GiveUp, "")),
            ("ended", "its message has its end", (AttemptInput::Ended, "")),
            ("shut", "the endpoint drains or is gone", (AttemptInput::Shut, "")),
            ("hold", "its destination told another call to wait", (AttemptInput::BackOff, "")),
            ("tick", "the time that the state waits for has come", (AttemptInput::Tick, "")),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            AttemptState::New => "New",
            AttemptState::Connecting => "Connecting",
            AttemptState::Writing { .. } => "Writing",
            AttemptState::Awaiting => "Awaiting",
            AttemptState::Reading { .. } => "Reading",
            AttemptState::Closing { .. } => "Closing",
            AttemptState::Finished => "Finished",
        }
    }

    fn apply(&mut self, (input, bytes): Self::Input) -> String {
        let early = self.streamed && matches!(self.state, AttemptState::Writing { .. });
        if early
            || matches!(
                self.state,
                AttemptState::Awaiting | AttemptState::Reading { .. } | AttemptState::Closing { .. }
            )
        {
            self.answer.extend_from_slice(bytes.as_bytes());
        }
        let output = self.step(input, if input == AttemptInput::Tick { 2 } else { 1 });
        let action = match output.action {
            ConnectionAction::Nothing => "",
            ConnectionAction::Open => "open",
            ConnectionAction::Finish => "end sending",
            ConnectionAction::Close => "close",
            ConnectionAction::Keep => "keep",
        };
        let end = output.end.map_or(String::new(), |end| format!("end {end:?}"));
        [action, &end].into_iter().filter(|t| !t.is_empty()).collect::<Vec<_>>().join(", ")
    }
}

/// An attempt whose body is passed on as it comes, for its table.
#[derive(Clone, Debug, PartialEq)]
pub struct Streamed(Attempt);

impl Machine for Streamed {
    type Input = <Attempt as Machine>::Input;
    const NAME: &'static str = "An attempt of a stream";
    const ABOUT: &'static str = "`courier/core/src/machine/attempt.rs` again, where the body is passed on as it comes: it may \
        have run from its first byte on, and may be answered before its last.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let mut states: Vec<_> = Attempt::states()
            .into_iter()
            .map(|(name, about, attempt)| (name, about, Streamed(Attempt { streamed: true, ..attempt })))
            .collect();
        let at = states.iter().position(|(name, ..)| *name == "Writing").unwrap_or(0);
        let (_, _, Streamed(half)) = states[at].clone();
        states[at] = ("Half", "a part of its body is written: it may have run", Streamed(half.clone()));
        let head = Streamed(Attempt { state: AttemptState::Writing { written: 0 }, ..half });
        states.insert(at, ("Writing", "no byte of its body is written: it has not run", head));
        states
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        Attempt::inputs()
    }

    fn state(&self) -> &'static str {
        if self.0.is_half() { "Half" } else { Machine::state(&self.0) }
    }

    fn apply(&mut self, input: Self::Input) -> String {
        self.0.apply(input)
    }
}
