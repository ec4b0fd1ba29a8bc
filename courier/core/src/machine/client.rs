//! One client's connection: it brings requests, gets answers, is idle in between, and is closed.

use super::transition_table::Machine;

/// The state of a [`ClientConnection`]. Encoded by position when it is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum ClientState {
    /// A request is not complete.
    Requesting {
        /// It is the connection's first request.
        first: bool,
        /// Its answer ends the connection.
        last: bool,
    },
    /// An answer is being written.
    Answering {
        /// The request was a readiness check.
        probed: bool,
        /// The answer ends the connection.
        closes: bool,
    },
    /// Between requests.
    Idle {
        /// The last request was a readiness check, so that a submission is likely to follow.
        probed: bool,
    },
    /// To be closed: a request that arrives at this moment is still answered.
    Leaving,
    /// The last answer is written; what still arrives is discarded.
    Closing,
    /// Closed.
    Closed,
}

/// What happens to a [`ClientConnection`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientInput {
    /// A request is complete or malformed, and has its answer.
    Requested {
        /// It was a readiness check.
        probe: bool,
        /// Nothing can follow it on this connection.
        closes: bool,
    },
    /// The connection ended, or its time was up, before a byte of a request.
    Silent,
    /// The connection broke, or the answer was not read in time.
    Broken,
    /// The answer is written.
    Answered,
    /// Bytes of another request have arrived.
    Readable,
    /// It was idle for as long as it may be, or is to be closed.
    Leave,
    /// Nothing arrived during the last read.
    NothingArrived,
    /// Nothing more arrives, or the time for it is up.
    Lingered,
}

/// What the driver of a [`ClientConnection`] is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientOutput {
    /// Nothing.
    Nothing,
    /// Read a request.
    Read,
    /// Write the answer.
    Answer {
        /// It ends the connection.
        closes: bool,
    },
    /// Wait for bytes, for a request to close, or until the idle time is over.
    Rest,
    /// Wait a moment for a request that may be on its way: sent while the connection is closed, it would be lost.
    AwaitLastRequest,
    /// End the sending side and read what still arrives, so that the answer is not lost to a reset.
    Linger,
    /// Close the connection.
    Close,
}

/// The machine of a client's connection.
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
    /// Resumes a connection that another process had in this state; returns what is to be done next.
    pub fn resumed(state: ClientState) -> (Self, ClientOutput) {
        let is_idle = matches!(state, ClientState::Idle { .. });
        (ClientConnection { state }, if is_idle { ClientOutput::Rest } else { ClientOutput::Read })
    }

    /// The current state.
    pub fn state(&self) -> ClientState {
        self.state
    }

    /// No request is in progress.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, ClientState::Idle { .. })
    }

    /// Applies an input.
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
