//! The transition table of a body.

use super::{BodySource, Cut, Flow, Pace};
use crate::machine::transition_table::{Example, Machine, examples};

/// What can happen to a body, as the columns of its table.
#[derive(Clone, Copy, Debug)]
pub enum FlowInput {
    /// The next byte was received, if there is capacity for it.
    Receive,
    /// The end was received, and the digest matches.
    Whole,
    /// The body was cut short or is corrupt.
    Cut,
    /// An attempt begins.
    Begin,
    /// The next byte was sent, if one may be.
    Send,
    /// The attempt ended.
    End,
    /// The destination has asked to wait.
    Pause,
    /// The wait is over.
    Resume,
}

impl Machine for Flow {
    type Input = FlowInput;
    const NAME: &'static str = "A streamed body";
    const ABOUT: &'static str = "`courier/core/src/flow.rs`: a body of two bytes with a window of one byte, from the client to an \
        attempt. *read* and *write* mean that the next byte may be read or written, *finish* that the end of the body may be \
        written, *replay* that another attempt could send the full body.";

    fn states() -> Vec<Example<Self>> {
        let pace = Pace { stall: 10, span: 60, least: 1 };
        let fresh = || Flow::new(1, Some(2), pace, pace, 0);
        let with = |steps: &[FlowInput]| {
            let mut flow = fresh();
            steps.iter().for_each(|input| drop(flow.apply(*input)));
            flow
        };
        use FlowInput::*;
        examples([
            ("Empty", "nothing was received", fresh()),
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
                "an attempt is in flight, and the destination asked to wait",
                with(&[Receive, Begin, Pause]),
            ),
            (
                "Last",
                "all bytes were received, and the last one is to be sent",
                with(&[Receive, Begin, Send, Receive, Whole]),
            ),
            ("Done", "all bytes were sent", with(&[Receive, Begin, Send, Receive, Whole, Send])),
            ("Cut", "the body will never be complete", with(&[Receive, Begin, Cut])),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("receive", "the next byte was received, if the window allows it", FlowInput::Receive),
            ("complete", "the end of the body was received, and its digest matches", FlowInput::Whole),
            ("cut", "the body was cut short, or its digest does not match", FlowInput::Cut),
            ("begin", "an attempt begins", FlowInput::Begin),
            ("send", "the next byte was sent, if one may be", FlowInput::Send),
            ("end", "the attempt ended", FlowInput::End),
            ("pause", "the destination asked to wait", FlowInput::Pause),
            ("resume", "the wait is over", FlowInput::Resume),
        ])
    }

    fn state(&self) -> &'static str {
        match (self.source, self.sending) {
            (BodySource::Cut(_), _) => "Cut",
            (_, true) if self.paused => "Paused",
            (BodySource::Whole, true) if self.sent == self.received => "Done",
            (BodySource::Whole, true) => "Last",
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
            // The last byte was received by then.
            FlowInput::Whole if self.length == Some(self.received) => self.complete(1),
            FlowInput::Cut => self.cut(Cut::Gone, 1),
            FlowInput::Begin => drop(self.begin(1)),
            FlowInput::Send if self.sendable() > 0 => self.send(1, 1),
            FlowInput::End => self.end(1),
            FlowInput::Pause => self.set_paused(true, 1),
            FlowInput::Resume => self.set_paused(false, 1),
            FlowInput::Receive | FlowInput::Whole | FlowInput::Send => {}
        }
        let may = [
            ("read", self.capacity() > 0),
            ("write", self.sendable() > 0),
            ("finish", self.may_finish()),
            ("replay", !self.sending && self.is_replayable()),
        ];
        let may: Vec<&str> = may.into_iter().filter(|(_, may)| *may).map(|(what, _)| what).collect();
        may.join(", ")
    }
}
