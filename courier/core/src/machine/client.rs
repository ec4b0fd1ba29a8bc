//! The state machine of a client connection: requests, answers, idle times between them, and the close.

use super::transition_table::{Example, Machine, examples};

/// The state of a [`ClientConnection`]. In a handover it is encoded by position: the order of the variants must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum ClientState {
    /// A request has been received partly, or not at all.
    Requesting {
        /// The request is the first one on the connection.
        first: bool,
        /// The connection is closed after the answer.
        last: bool,
    },
    /// The answer to the last request is being written.
    Answering {
        /// The request was a readiness check.
        probed: bool,
        /// The connection is closed after the answer.
        closes: bool,
    },
    /// No request has been received since the last answer.
    Idle {
        /// The last request was a readiness check, so that a submission is likely to follow.
        probed: bool,
    },
    /// The connection is about to be closed. A request that is already in transit is still answered.
    Leaving,
    /// The last answer is written. Bytes that are still received are discarded.
    Closing,
    /// The connection is closed.
    Closed,
}

/// An input of a [`ClientConnection`]: a result of reading or writing, or a decision to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientInput {
    /// A request was completely received or is malformed, and its answer is ready to be written.
    Requested {
        /// The request was a readiness check.
        probe: bool,
        /// No further request can follow on this connection.
        closes: bool,
    },
    /// The connection was closed or timed out before the first byte of a request.
    Silent,
    /// The connection broke, or the answer could not be written within its timeout.
    Broken,
    /// The answer is completely written.
    Answered,
    /// Bytes of another request can be read.
    Readable,
    /// The idle timeout has expired, or the server closes the connection.
    Leave,
    /// Nothing was received during the last read before the close.
    NothingArrived,
    /// The client has closed its side, or the time for discarding its bytes has expired.
    Lingered,
}

/// What the driver of a [`ClientConnection`] must do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientOutput {
    /// No action.
    Nothing,
    /// Read a request until it is complete, malformed or timed out.
    Read,
    /// Write the answer to the last request.
    Answer {
        /// The connection is closed after the answer.
        closes: bool,
    },
    /// Wait for the next request, until the server closes the connection or the idle timeout expires.
    Rest,
    /// Wait briefly for a request that may be in transit. It would be lost if the connection were closed at once.
    AwaitLastRequest,
    /// Close the sending side, and read and discard bytes until the client closes. Unread bytes would cause a reset, which
    /// can destroy the answer before the client has read it.
    Linger,
    /// Close the connection in both directions.
    Close,
}

/// The state machine of a client connection.
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
    /// Resumes a connection that another process has handed over in this state; returns what the driver must do next.
    pub fn resumed(state: ClientState) -> (Self, ClientOutput) {
        let is_idle = matches!(state, ClientState::Idle { .. });
        (ClientConnection { state }, if is_idle { ClientOutput::Rest } else { ClientOutput::Read })
    }

    /// The current state, by which [`Admission`](crate::admission::Admission) ranks the connection.
    pub fn state(&self) -> ClientState {
        self.state
    }

    /// Whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, ClientState::Idle { .. })
    }

    /// Applies an input; returns what the driver must do next.
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
        let connection = |state| ClientConnection { state };
        let requesting = |first, last| connection(ClientState::Requesting { first, last });
        examples([
            ("Requesting", "its first request is not complete", requesting(true, false)),
            ("RequestingMore", "a further request has begun", requesting(false, false)),
            (
                "RequestingLast",
                "a further request has begun while the connection was to be closed",
                requesting(false, true),
            ),
            (
                "Answering",
                "an answer is being written",
                connection(ClientState::Answering { probed: false, closes: false }),
            ),
            (
                "AnsweringProbe",
                "the same, for a readiness check",
                connection(ClientState::Answering { probed: true, closes: false }),
            ),
            (
                "AnsweringLast",
                "the last answer is being written",
                connection(ClientState::Answering { probed: false, closes: true }),
            ),
            ("Idle", "between requests", connection(ClientState::Idle { probed: false })),
            (
                "Probed",
                "idle after a readiness check, a submission is likely to follow",
                connection(ClientState::Idle { probed: true }),
            ),
            ("Leaving", "to be closed after a last read", connection(ClientState::Leaving)),
            ("Closing", "the last answer is written", connection(ClientState::Closing)),
            ("Closed", "closed", connection(ClientState::Closed)),
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
            ("silent", "closed or timed out before the first byte of a request", ClientInput::Silent),
            (
                "broken",
                "the connection broke, or the answer could not be written in time",
                ClientInput::Broken,
            ),
            ("answered", "the answer is written", ClientInput::Answered),
            ("readable", "bytes of another request were received", ClientInput::Readable),
            ("leave", "the idle timeout has expired, or the connection limit is reached", ClientInput::Leave),
            ("nothing arrived", "nothing was received during the last read", ClientInput::NothingArrived),
            (
                "lingered",
                "the client has closed its side, or the time for it has expired",
                ClientInput::Lingered,
            ),
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
