//! The transition table of a streamed body.

use super::{BodySource, Cut, Flow, Pace};
use crate::machine::transition_table::{Example, Machine, examples};

/// The inputs of a streamed body, which are the columns of its table.
#[derive(Clone, Copy, Debug)]
pub enum FlowInput {
    /// The next byte was received, if [`Flow::capacity`] allows it.
    Receive,
    /// The end was received, and the digest matches.
    Complete,
    /// The body was cut short or is corrupt.
    Cut,
    /// An attempt begins at the first byte of the body.
    Begin,
    /// The next byte was sent, if [`Flow::sendable`] allows it.
    Send,
    /// The attempt ended, with or without an answer.
    End,
    /// A backoff of the endpoint begins.
    Pause,
    /// The backoff ends.
    Resume,
}

impl Machine for Flow {
    type Input = FlowInput;
    const NAME: &'static str = "A streamed body";
    const ABOUT: &'static str = "`courier/core/src/flow.rs`: a body of two bytes with a window of one byte, from the client to an \
        attempt. *read* and *write* mean that the next byte may be read or written, *finish* that the end of the body may be \
        written, *replay* that another attempt could send the full body.";

    fn states() -> Vec<Example<Self>> {
        let pace = Pace { stall_timeout: 10, span: 60, min_bytes: 1 };
        let initial = || Flow::new(1, Some(2), pace, pace, 0);
        let with = |steps: &[FlowInput]| {
            let mut flow = initial();
            steps.iter().for_each(|input| drop(flow.apply(*input)));
            flow
        };
        use FlowInput::*;
        examples([
            ("Empty", "nothing was received", initial()),
            ("Buffered", "all received bytes are buffered, and no attempt is in flight", with(&[Receive])),
            ("Sending", "an attempt is in flight, and all received bytes are buffered", with(&[Begin])),
            (
                "Committed",
                "an attempt is in flight, and the bytes that were sent are dropped",
                with(&[Receive, Begin, Send]),
            ),
            (
                "Lost",
                "no attempt is in flight, and none could send the full body",
                with(&[Receive, Begin, Send, End]),
            ),
            (
                "Paused",
                "an attempt is in flight, and the endpoint is in a backoff",
                with(&[Receive, Begin, Pause]),
            ),
            (
                "Last",
                "all bytes were received, and the last one is to be sent",
                with(&[Receive, Begin, Send, Receive, Complete]),
            ),
            ("Done", "all bytes were sent", with(&[Receive, Begin, Send, Receive, Complete, Send])),
            ("Cut", "the body will never be complete", with(&[Receive, Begin, Cut])),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("receive", "the next byte was received, if the window allows it", FlowInput::Receive),
            ("complete", "the end of the body was received, and its digest matches", FlowInput::Complete),
            ("cut", "the body was cut short, or its digest does not match", FlowInput::Cut),
            ("begin", "an attempt begins", FlowInput::Begin),
            ("send", "the next byte was sent, if one may be", FlowInput::Send),
            ("end", "the attempt ended", FlowInput::End),
            ("pause", "a backoff of the endpoint begins", FlowInput::Pause),
            ("resume", "the backoff ends", FlowInput::Resume),
        ])
    }

    fn state(&self) -> &'static str {
        match (self.source, self.sending) {
            (BodySource::Cut(_), _) => "Cut",
            (_, true) if self.paused => "Paused",
            (BodySource::Complete, true) if self.sent == self.received => "Done",
            (BodySource::Complete, true) => "Last",
            (_, true) if self.base > 0 => "Committed",
            (_, true) => "Sending",
            (_, false) if self.base > 0 => "Lost",
            (_, false) if self.received > 0 => "Buffered",
            _ => "Empty",
        }
    }

    fn apply(&mut self, input: Self::Input) -> String {
        match input {
            FlowInput::Receive if self.capacity() > 0 => self.receive(1, 1),
            // A body can be complete only once its last byte was received.
            FlowInput::Complete if self.length == Some(self.received) => self.complete(1),
            FlowInput::Cut => self.cut(Cut::Gone, 1),
            FlowInput::Begin => drop(self.begin_attempt(1)),
            FlowInput::Send if self.sendable() > 0 => self.send(1, 1),
            FlowInput::End => self.end_attempt(1),
            FlowInput::Pause => self.set_paused(true, 1),
            FlowInput::Resume => self.set_paused(false, 1),
            FlowInput::Receive | FlowInput::Complete | FlowInput::Send => {}
        }
        let may = [
            ("read", self.capacity() > 0),
            ("write", self.sendable() > 0),
            ("finish", self.may_finish()),
            ("replay", !self.sending && self.is_replayable()),
        ];
        let may: Vec<&str> = may.into_iter().filter(|(_, may)| *may).map(|(name, _)| name).collect();
        may.join(", ")
    }
}
