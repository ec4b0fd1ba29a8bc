//! The transition tables of attempts, with a buffered body and with a streamed body.

use super::{Answer, Attempt, AttemptInput, AttemptState, ConnectionAction, Decode};
use crate::CallEnd;
use crate::machine::transition_table::{Example, Machine, examples};

impl Machine for Attempt {
    type Input = (AttemptInput, &'static str);
    const NAME: &'static str = "An attempt";
    const ABOUT: &'static str = "`courier/core/src/machine/attempt.rs`: one delivery call, from the router's action to its result. \
        *open*, *close the sending side*, *close* and *keep* are the actions on the connection.";

    fn states() -> Vec<Example<Self>> {
        // In the table, `.` completes a final answer and `1` completes an interim one.
        let decode: Decode = |bytes, closed| match bytes.last() {
            Some(b'.') => Answer::Whole { end: CallEnd::Delivered, reusable: !closed },
            _ if closed => Answer::Whole { end: CallEnd::Spoilt(0), reusable: false },
            Some(b'1') => Answer::Awaited,
            _ => Answer::Partial,
        };
        let attempt = |state, answer: &[u8]| {
            let initial = Attempt::new(decode, 9, 2);
            Attempt { state, answer: answer.to_vec(), ..initial }
        };
        examples([
            ("New", "created, not started", attempt(AttemptState::New, b"")),
            (
                "Connecting",
                "there was no idle connection, and a new one is being opened",
                attempt(AttemptState::Connecting, b""),
            ),
            (
                "Writing",
                "the request is not completely written: the call had no effect",
                attempt(AttemptState::Writing { written: 1 }, b""),
            ),
            (
                "Awaiting",
                "the request is completely written: the call may have had an effect",
                attempt(AttemptState::Awaiting, b""),
            ),
            (
                "Reading",
                "a part of the answer was read; the rest must follow within 100 ms",
                attempt(AttemptState::Reading { deadline: 1 }, b"2"),
            ),
            (
                "Closing",
                "cancelled after its last byte, and the sending side is closed (the connection of a stream is closed if nothing of its body was written); 5 ms later the result is reported, which is the answer if one was still read",
                attempt(AttemptState::Closing { end: CallEnd::TimedOut, until: 2 }, b""),
            ),
            ("Finished", "its result is reported", attempt(AttemptState::Finished, b"")),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            (
                "start, unavailable",
                "started while the endpoint is draining, was removed or is in a backoff",
                (AttemptInput::Start { open: false, reuses_connection: false }, ""),
            ),
            (
                "start, idle",
                "started where an idle connection exists",
                (AttemptInput::Start { open: true, reuses_connection: true }, ""),
            ),
            (
                "start",
                "started where none exists",
                (AttemptInput::Start { open: true, reuses_connection: false }, ""),
            ),
            ("connected", "the connection is established", (AttemptInput::Connected { open: true }, "")),
            (
                "connected, unavailable",
                "it is established, but calls may not start there any more",
                (AttemptInput::Connected { open: false }, ""),
            ),
            ("refused", "it was refused, or not established in time", (AttemptInput::Refused, "")),
            (
                "wrote",
                "more bytes are written, but not the last one",
                (AttemptInput::Wrote { bytes: 1, left: 1 }, ""),
            ),
            ("wrote last", "the last byte is written", (AttemptInput::Wrote { bytes: 1, left: 0 }, "")),
            (
                "write failed",
                "the connection broke before the last byte was written",
                (AttemptInput::WriteFailed, ""),
            ),
            ("read interim", "an interim answer (1xx)", (AttemptInput::Read, "1")),
            ("read part", "a part of an answer", (AttemptInput::Read, "2")),
            ("read all", "the last part of an answer", (AttemptInput::Read, ".")),
            ("end", "the endpoint closed its sending side", (AttemptInput::PeerClosed, "")),
            ("reset", "the connection was reset", (AttemptInput::Reset, "")),
            ("deadline", "the timeout of the call has expired", (AttemptInput::Deadline, "")),
            ("give up", "the policy cancels the call", (AttemptInput::GiveUp, "")),
            ("ended", "its message already has its final result", (AttemptInput::MessageEnded, "")),
            (
                "unavailable",
                "the endpoint is draining or was removed",
                (AttemptInput::EndpointUnavailable, ""),
            ),
            ("back off", "another call was answered with a `Retry-After` time", (AttemptInput::BackOff, "")),
            ("tick", "the time that the state waits for is reached", (AttemptInput::Tick, "")),
        ])
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
        let is_read_before_last_byte = self.streamed && matches!(self.state, AttemptState::Writing { .. });
        if is_read_before_last_byte
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
            ConnectionAction::Finish => "close the sending side",
            ConnectionAction::Close => "close",
            ConnectionAction::Keep => "keep",
        };
        let end = output.end.map_or(String::new(), |end| format!("end {end:?}"));
        [action, &end].into_iter().filter(|t| !t.is_empty()).collect::<Vec<_>>().join(", ")
    }
}

/// An attempt with a streamed body, which has its own transition table.
#[derive(Clone, Debug, PartialEq)]
pub struct Streamed(Attempt);

impl Machine for Streamed {
    type Input = <Attempt as Machine>::Input;
    const NAME: &'static str = "An attempt of a stream";
    const ABOUT: &'static str = "`courier/core/src/machine/attempt.rs` with a body that is forwarded while it is received: \
        from its first byte on the call may have had an effect, and it may be answered before its last byte.";

    fn states() -> Vec<Example<Self>> {
        let streamed = |example: Example<Attempt>| Example {
            name: example.name,
            meaning: example.meaning,
            value: Streamed(Attempt { streamed: true, ..example.value }),
        };
        let mut states: Vec<_> = Attempt::states().into_iter().map(streamed).collect();
        let index = states.iter().position(|example| example.name == "Writing").unwrap_or(0);
        let Streamed(partly_sent) = states[index].value.clone();
        let unsent = Streamed(Attempt { state: AttemptState::Writing { written: 0 }, ..partly_sent.clone() });
        let writing_states = examples([
            ("Writing", "no byte of its body is written: the call had no effect", unsent),
            (
                "HalfWritten",
                "a part of its body is written: the call may have had an effect",
                Streamed(partly_sent),
            ),
        ]);
        states.splice(index..=index, writing_states);
        states
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        Attempt::inputs()
    }

    fn state(&self) -> &'static str {
        if self.0.is_partly_sent() { "HalfWritten" } else { Machine::state(&self.0) }
    }

    fn apply(&mut self, input: Self::Input) -> String {
        self.0.apply(input)
    }
}
