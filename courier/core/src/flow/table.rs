//! The transition table of a body.

use super::{BodySource, Cut, Flow, Pace};
use crate::machine::transition_table::Machine;

/// What can happen to a body, as the columns of its table.
#[derive(Clone, Copy, Debug)]
pub enum FlowInput {
    /// The next byte was received, if there is capacity for it.
    Receive,
    /// The end was received, and the digest matches.
    Whole,
    /// The body was cut.
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
    const ABOUT: &'static str = "`courier/core/src/flow.rs`: a body of two bytes in a window of one, from the client to an \
        attempt. *read* and *write* say what may be done next, *finish* that its end may be written, *again* that \
        another attempt could have all of it.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let pace = Pace { stall: 10, span: 60, least: 1 };
        let fresh = || Flow::new(1, Some(2), pace, pace, 0);
        let with = |steps: &[FlowInput]| {
            let mut flow = fresh();
            steps.iter().for_each(|input| drop(flow.apply(*input)));
            flow
        };
        use FlowInput::*;
        vec![
            ("Empty", "nothing has come", fresh()),
            ("Buffered", "all that came is kept, and no attempt is out", with(&[Receive])),
            ("Sending", "an attempt is out, and all that came is kept", with(&[Begin])),
            ("Committed", "an attempt is out, and what it has had is dropped", with(&[Receive, Begin, Send])),
            ("Lost", "no attempt is out, and none can have all of it", with(&[Receive, Begin, Send, End])),
            ("Paused", "an attempt is out, and the destination told to wait", with(&[Receive, Begin, Pause])),
            (
                "Last",
                "all has come, and the last byte is to leave",
                with(&[Receive, Begin, Send, Receive, Whole]),
            ),
            ("Done", "all has left", with(&[Receive, Begin, Send, Receive, Whole, Send])),
            ("Cut", "it will never be whole", with(&[Receive, Begin, Cut])),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("receive", "the next byte has come, where there is room", FlowInput::Receive),
            ("whole", "the body's end has come, and its digest holds", FlowInput::Whole),
            ("cut", "it was cut short, or its digest is another", FlowInput::Cut),
            ("begin", "an attempt begins", FlowInput::Begin),
            ("send", "the next byte has left, where one may", FlowInput::Send),
            ("end", "the attempt is over", FlowInput::End),
            ("pause", "the destination told to wait", FlowInput::Pause),
            ("resume", "the wait is over", FlowInput::Resume),
        ]
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
            ("again", !self.sending && self.is_replayable()),
        ];
        let may: Vec<&str> = may.into_iter().filter(|(_, may)| *may).map(|(what, _)| what).collect();
        may.join(", ")
    }
}
