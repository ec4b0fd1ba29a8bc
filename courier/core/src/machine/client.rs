//! One client's connection: it asks, is answered, rests, and leaves.

use super::transition_table::Machine;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum ClientState {
    /// Has yet to send a whole request: its `first`, or one more; `last`: its answer ends the connection.
    Requesting {
        first: bool,
        last: bool,
    },
    /// An answer is being written, the last one if `closes`.
    Answering {
        probed: bool,
        closes: bool,
    },
    /// Rests between requests; `probed`: it has but seen that the courier is ready, and is about to ask.
    Idle {
        probed: bool,
    },
    /// Is to go: closes, or answers what came in this moment and closes.
    Leaving,
    /// Answered for the last time; what still comes is let go.
    Closing,
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientInput {
    /// A request is whole or malformed, and has its answer; `closes`: nothing can follow on this connection.
    Requested { probe: bool, closes: bool },
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
    NothingArrived,
    /// Nothing more comes, or the time for it is up.
    Lingered,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientOutput {
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
    AwaitLastRequest,
    /// End the sending side and read what still comes, so that the answer is not lost to a reset.
    Linger,
    Close,
}

/// The machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClientConnection {
    state: ClientState,
}

impl Default for ClientConnection {
    fn default() -> Self {
        ClientConnection { state: ClientState::Requesting { first: true, last: false } }
    }
}

impl ClientConnection {
    /// Goes on with a connection that another process had in this state; says what is to be done next.
    pub fn resumed(state: ClientState) -> (Self, ClientOutput) {
        let is_idle = matches!(state, ClientState::Idle { .. });
        (ClientConnection { state }, if is_idle { ClientOutput::Rest } else { ClientOutput::Read })
    }

    pub fn state(&self) -> ClientState {
        self.state
    }

    pub fn is_idle(&self) -> bool {
        matches!(self.state, ClientState::Idle { .. })
    }

    pub fn step(&mut self, input: ClientInput) -> ClientOutput {
        use ClientState::*;
        let (state, output) = match (self.state, input) {
            (Closed, _) => (Closed, ClientOutput::Nothing),
            (_, ClientInput::Broken) => (Closed, ClientOutput::Close),
            (Requesting { last, .. }, ClientInput::Requested { probe, closes }) => {
                let closes = closes || last;
                (Answering { probed: probe, closes }, ClientOutput::Answer { closes })
            }
            (Requesting { .. }, ClientInput::Silent) => (Closed, ClientOutput::Close),
            (Answering { closes: true, .. }, ClientInput::Answered) => (Closing, ClientOutput::Linger),
            (Answering { probed, .. }, ClientInput::Answered) => (Idle { probed }, ClientOutput::Rest),
            (Idle { .. }, ClientInput::Readable) => {
                (Requesting { first: false, last: false }, ClientOutput::Read)
            }
            (Idle { .. }, ClientInput::Leave) => (Leaving, ClientOutput::AwaitLastRequest),
            (Leaving, ClientInput::Readable) => (Requesting { first: false, last: true }, ClientOutput::Read),
            (Leaving, ClientInput::NothingArrived) => (Closed, ClientOutput::Close),
            (Closing, ClientInput::Lingered) => (Closed, ClientOutput::Close),
            (state, _) => (state, ClientOutput::Nothing),
        };
        self.state = state;
        output
    }
}

impl Machine for ClientConnection {
    type Input = ClientInput;
    const NAME: &'static str = "A client's connection";
    const ABOUT: &'static str = "`courier/core/src/machine/client.rs`, ranked by `courier/core/src/admission.rs`: it asks, is answered, rests, and leaves.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let at = |state| ClientConnection { state };
        let asking = |first, last| at(ClientState::Requesting { first, last });
        vec![
            ("Requesting", "has yet to send its first whole request", asking(true, false)),
            ("RequestingMore", "has begun one more", asking(false, false)),
            ("RequestingLast", "has begun one more while it was to leave", asking(false, true)),
            (
                "Answering",
                "its answer is being written",
                at(ClientState::Answering { probed: false, closes: false }),
            ),
            (
                "AnsweringProbe",
                "the same, to a look whether the courier is ready",
                at(ClientState::Answering { probed: true, closes: false }),
            ),
            (
                "AnsweringLast",
                "its last answer is being written",
                at(ClientState::Answering { probed: false, closes: true }),
            ),
            ("Idle", "between requests", at(ClientState::Idle { probed: false })),
            ("Probed", "rests, and is about to ask", at(ClientState::Idle { probed: true })),
            ("Leaving", "to go, after a last look", at(ClientState::Leaving)),
            ("Closing", "answered for the last time", at(ClientState::Closing)),
            ("Closed", "closed", at(ClientState::Closed)),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            (
                "asked",
                "a request is whole, or malformed, and has its answer",
                ClientInput::Requested { probe: false, closes: false },
            ),
            (
                "asked, probe",
                "it only asked whether the courier is ready",
                ClientInput::Requested { probe: true, closes: false },
            ),
            (
                "asked, closes",
                "nothing can follow it on this connection",
                ClientInput::Requested { probe: false, closes: true },
            ),
            ("silent", "an end, or its time is up, before a byte of a request", ClientInput::Silent),
            ("broken", "the connection broke, or the answer was not taken in time", ClientInput::Broken),
            ("answered", "the answer is written", ClientInput::Answered),
            ("readable", "bytes of another request have come", ClientInput::Readable),
            ("leave", "it has rested for as long as it may, or room is short", ClientInput::Leave),
            ("looked", "nothing came during the last look", ClientInput::NothingArrived),
            ("lingered", "nothing more comes, or the time for it is up", ClientInput::Lingered),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            ClientState::Requesting { first: true, .. } => "Requesting",
            ClientState::Requesting { last: false, .. } => "RequestingMore",
            ClientState::Requesting { .. } => "RequestingLast",
            ClientState::Answering { closes: true, .. } => "AnsweringLast",
            ClientState::Answering { probed: true, .. } => "AnsweringProbe",
            ClientState::Answering { .. } => "Answering",
            ClientState::Idle { probed: false } => "Idle",
            ClientState::Idle { .. } => "Probed",
            ClientState::Leaving => "Leaving",
            ClientState::Closing => "Closing",
            ClientState::Closed => "Closed",
        }
    }

    fn apply(&mut self, input: Self::Input) -> String {
        match self.step(input) {
            ClientOutput::Nothing => "",
            ClientOutput::Read => "read",
            ClientOutput::Answer { closes: false } => "answer",
            ClientOutput::Answer { closes: true } => "answer, the last",
            ClientOutput::Rest => "rest",
            ClientOutput::AwaitLastRequest => "look",
            ClientOutput::Linger => "linger",
            ClientOutput::Close => "close",
        }
        .to_string()
    }
}
