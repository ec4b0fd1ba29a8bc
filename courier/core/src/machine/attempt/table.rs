//! The transition tables of an attempt, with a plain body and with a streamed one.

use super::{Answer, Attempt, AttemptInput, AttemptState, ConnectionAction, Decode};
use crate::CallEnd;
use crate::machine::transition_table::Machine;

impl Machine for Attempt {
    type Input = (AttemptInput, &'static str);
    const NAME: &'static str = "An attempt";
    const ABOUT: &'static str = "`courier/core/src/machine/attempt.rs`: one delivery call, from the router's order to its end. \
        *open*, *end sending*, *close* and *keep* say what becomes of the connection.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        // For the table an answer is whole with `.`, and does not count yet with `1`.
        let decode: Decode = |bytes, closed| match bytes.last() {
            Some(b'.') => Answer::Whole { end: CallEnd::Delivered, reusable: !closed },
            _ if closed => Answer::Whole { end: CallEnd::Spoilt(0), reusable: false },
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
            ("end", "the endpoint ended its side", (AttemptInput::PeerClosed, "")),
            ("reset", "the connection was reset", (AttemptInput::Reset, "")),
            ("deadline", "the time of the call is up", (AttemptInput::Deadline, "")),
            ("give up", "the module calls it off", (AttemptInput::GiveUp, "")),
            ("ended", "its message has its end", (AttemptInput::MessageEnded, "")),
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
