//! One consumer's connection: it asks, is answered, rests, and leaves.

use super::Machine;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// Has yet to send a whole request: its `first`, or one more; `last`: its answer ends the connection.
    Asking {
        first: bool,
        last: bool,
    },
    /// An answer is being written, the last one if `closes`.
    Answering {
        probed: bool,
        closes: bool,
    },
    /// Rests between requests; `probed`: it has but seen that the courier is ready, and is about to ask.
    Resting {
        probed: bool,
    },
    /// Is to go: closes, or answers what came in this moment and closes.
    Leaving,
    /// Answered for the last time; what still comes is let go.
    Closing,
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A request is whole or malformed, and has its answer; `closes`: nothing can follow on this connection.
    Asked { probe: bool, closes: bool },
    /// It ended, or its time was up, before a byte of a request.
    Silent,
    /// The connection broke, or the answer was not taken in time.
    Broken,
    /// The answer is written; `closes`: it said that the connection ends.
    Answered,
    /// Bytes of another request have come.
    Readable,
    /// It has rested for as long as it may, or was asked to leave.
    Leave,
    /// Nothing came during the last look.
    Looked,
    /// Nothing more comes, or the time for it is up.
    Lingered,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    Nothing,
    /// Read a request.
    Read,
    /// Write the answer; it ends the connection if `closes`.
    Answer {
        closes: bool,
    },
    /// Wait for bytes, for the word to leave, or until the rest is over.
    Rest,
    /// Wait a moment for a request that may be on its way: written as its connection closes, it would be lost.
    Look,
    /// End the sending side and read what still comes, so that the answer is not lost to a reset.
    Linger,
    Close,
}

/// The machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Consumer {
    state: State,
}

impl Default for Consumer {
    fn default() -> Self {
        Consumer { state: State::Asking { first: true, last: false } }
    }
}

impl Consumer {
    /// Goes on with a connection that another process had in this state; says what is to be done next.
    pub fn resumed(state: State) -> (Self, Output) {
        let rests = matches!(state, State::Resting { .. });
        (Consumer { state }, if rests { Output::Rest } else { Output::Read })
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn rests(&self) -> bool {
        matches!(self.state, State::Resting { .. })
    }

    pub fn step(&mut self, input: Input) -> Output {
        use State::*;
        let (state, output) = match (self.state, input) {
            (Over, _) => (Over, Output::Nothing),
            (_, Input::Broken) => (Over, Output::Close),
            (Asking { last, .. }, Input::Asked { probe, closes }) => {
                let closes = closes || last;
                (Answering { probed: probe, closes }, Output::Answer { closes })
            }
            (Asking { .. }, Input::Silent) => (Over, Output::Close),
            (Answering { closes: true, .. }, Input::Answered) => (Closing, Output::Linger),
            (Answering { probed, .. }, Input::Answered) => (Resting { probed }, Output::Rest),
            (Resting { .. }, Input::Readable) => (Asking { first: false, last: false }, Output::Read),
            (Resting { .. }, Input::Leave) => (Leaving, Output::Look),
            (Leaving, Input::Readable) => (Asking { first: false, last: true }, Output::Read),
            (Leaving, Input::Looked) => (Over, Output::Close),
            (Closing, Input::Lingered) => (Over, Output::Close),
            (state, _) => (state, Output::Nothing),
        };
        self.state = state;
        output
    }
}

impl Machine for Consumer {
    type Input = Input;
    const NAME: &'static str = "A consumer's connection";
    const ABOUT: &'static str = "`core/src/machine/consumer.rs`, ranked by `core/src/crowd.rs`: it asks, is answered, rests, and leaves.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let at = |state| Consumer { state };
        let asking = |first, last| at(State::Asking { first, last });
        vec![
            ("Asking", "has yet to send its first whole request", asking(true, false)),
            ("AskingMore", "has begun one more", asking(false, false)),
            ("AskingLast", "has begun one more while it was to leave", asking(false, true)),
            (
                "Answering",
                "its answer is being written",
                at(State::Answering { probed: false, closes: false }),
            ),
            (
                "AnsweringProbe",
                "the same, to a look whether the courier is ready",
                at(State::Answering { probed: true, closes: false }),
            ),
            (
                "AnsweringLast",
                "its last answer is being written",
                at(State::Answering { probed: false, closes: true }),
            ),
            ("Resting", "between requests", at(State::Resting { probed: false })),
            ("Probed", "rests, and is about to ask", at(State::Resting { probed: true })),
            ("Leaving", "to go, after a last look", at(State::Leaving)),
            ("Closing", "answered for the last time", at(State::Closing)),
            ("Over", "closed", at(State::Over)),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            (
                "asked",
                "a request is whole, or malformed, and has its answer",
                Input::Asked { probe: false, closes: false },
            ),
            (
                "asked, probe",
                "it only asked whether the courier is ready",
                Input::Asked { probe: true, closes: false },
            ),
            (
                "asked, closes",
                "nothing can follow it on this connection",
                Input::Asked { probe: false, closes: true },
            ),
            ("silent", "an end, or its time is up, before a byte of a request", Input::Silent),
            ("broken", "the connection broke, or the answer was not taken in time", Input::Broken),
            ("answered", "the answer is written", Input::Answered),
            ("readable", "bytes of another request have come", Input::Readable),
            ("leave", "it has rested for as long as it may, or room is short", Input::Leave),
            ("looked", "nothing came during the last look", Input::Looked),
            ("lingered", "nothing more comes, or the time for it is up", Input::Lingered),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            State::Asking { first: true, .. } => "Asking",
            State::Asking { last: false, .. } => "AskingMore",
            State::Asking { .. } => "AskingLast",
            State::Answering { closes: true, .. } => "AnsweringLast",
            State::Answering { probed: true, .. } => "AnsweringProbe",
            State::Answering { .. } => "Answering",
            State::Resting { probed: false } => "Resting",
            State::Resting { .. } => "Probed",
            State::Leaving => "Leaving",
            State::Closing => "Closing",
            State::Over => "Over",
        }
    }

    fn take(&mut self, input: Self::Input) -> String {
        match self.step(input) {
            Output::Nothing => "",
            Output::Read => "read",
            Output::Answer { closes: false } => "answer",
            Output::Answer { closes: true } => "answer, the last",
            Output::Rest => "rest",
            Output::Look => "look",
            Output::Linger => "linger",
            Output::Close => "close",
        }
        .to_string()
    }
}
