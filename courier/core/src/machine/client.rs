//! One client's connection: it brings requests, gets answers, is idle in between, and is closed.

use super::transition_table::{Example, Machine, examples};

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
    /// To be closed: a request that arrives just now is still answered.
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
    /// Nothing more arrives, or the time for it has passed.
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
    /// Wait briefly for a request that may be in transit: sent while the connection is closed, it would be lost.
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
    const ABOUT: &'static str = "`courier/core/src/machine/client.rs`, ranked by `courier/core/src/admission.rs`: requests, answers, idle times and the close.";

    fn states() -> Vec<Example<Self>> {
        let at = |state| ClientConnection { state };
        let asking = |first, last| at(ClientState::Requesting { first, last });
        examples([
            ("Requesting", "its first request is not complete", asking(true, false)),
            ("RequestingMore", "a further request has begun", asking(false, false)),
            (
                "RequestingLast",
                "a further request has begun while the connection was to be closed",
                asking(false, true),
            ),
            (
                "Answering",
                "an answer is being written",
                at(ClientState::Answering { probed: false, closes: false }),
            ),
            (
                "AnsweringProbe",
                "the same, to a readiness check",
                at(ClientState::Answering { probed: true, closes: false }),
            ),
            (
                "AnsweringLast",
                "the last answer is being written",
                at(ClientState::Answering { probed: false, closes: true }),
            ),
            ("Idle", "between requests", at(ClientState::Idle { probed: false })),
            (
                "Probed",
                "idle after a readiness check, about to send a request",
                at(ClientState::Idle { probed: true }),
            ),
            ("Leaving", "to be closed after a last read", at(ClientState::Leaving)),
            ("Closing", "the last answer is written", at(ClientState::Closing)),
            ("Closed", "closed", at(ClientState::Closed)),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            (
                "requested",
                "a request is complete or malformed, and its answer is known",
                ClientInput::Requested { probe: false, closes: false },
            ),
            (
                "requested, probe",
                "it is a readiness check",
                ClientInput::Requested { probe: true, closes: false },
            ),
            (
                "requested, closes",
                "no request can follow it on this connection",
                ClientInput::Requested { probe: false, closes: true },
            ),
            ("silent", "an end or a time-out before the first byte of a request", ClientInput::Silent),
            (
                "broken",
                "the connection broke, or the answer could not be written in time",
                ClientInput::Broken,
            ),
            ("answered", "the answer is written", ClientInput::Answered),
            ("readable", "bytes of another request were received", ClientInput::Readable),
            ("leave", "the idle time-out has passed, or capacity is short", ClientInput::Leave),
            ("nothing arrived", "nothing was received during the last read", ClientInput::NothingArrived),
            ("lingered", "nothing more arrives, or the time for it has passed", ClientInput::Lingered),
        ])
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
            ClientOutput::Answer { closes: false } => "write the answer",
            ClientOutput::Answer { closes: true } => "write the last answer",
            ClientOutput::Rest => "wait for a request",
            ClientOutput::AwaitLastRequest => "read once more",
            ClientOutput::Linger => "linger",
            ClientOutput::Close => "close",
        }
        .to_string()
    }
}
