//! The state machine of a connection to an endpoint, which carries one call at a time and is idle between calls.

use super::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;

/// The state of an [`EndpointConnection`]; [`ConnectionState::Closed`] is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionState {
    /// The connection is being established.
    Opening,
    /// A call is in flight on the connection.
    Calling,
    /// No call is in flight on the connection; the next one can reuse it.
    Idle {
        /// The time at which the connection became idle, in microseconds.
        since: Micros,
    },
    /// The connection is closed, or was never established.
    Closed,
}

/// An input of an [`EndpointConnection`]: a result of its call, a check, or a decision to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionInput {
    /// The connection was established.
    Connected,
    /// The connection was refused, or was not established within the timeout.
    Failed,
    /// The call ended with a complete answer, so that the connection can be reused.
    CallCompleted {
        /// The endpoint is still listed as ready.
        open: bool,
    },
    /// The call ended in a way after which the connection can't be reused.
    CallFailed,
    /// A call is about to start on the idle connection.
    Reused {
        /// The idle connection has received neither bytes nor a close.
        nothing_received: bool,
    },
    /// The periodic check of an idle connection.
    Checked {
        /// The idle connection has received neither bytes nor a close.
        nothing_received: bool,
    },
    /// Closes the idle connection: the endpoint is draining or was removed, the policy requests it, or the connection limit
    /// is reached.
    Close,
}

/// The state machine of a connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EndpointConnection {
    state: ConnectionState,
    /// The time for which the connection may be idle, in microseconds.
    idle_timeout: Micros,
}

impl EndpointConnection {
    /// Creates the machine of a connection that is being established.
    pub fn opening(idle_timeout: Micros) -> Self {
        EndpointConnection { state: ConnectionState::Opening, idle_timeout }
    }

    /// Creates the machine of an idle connection that another process has handed over.
    pub fn idle(idle_timeout: Micros, since: Micros) -> Self {
        EndpointConnection { state: ConnectionState::Idle { since }, idle_timeout }
    }

    /// The current state; between calls the pool owns the connection.
    pub fn state(&self) -> ConnectionState {
        self.state
    }

    /// The time at which the connection became idle, if it is idle.
    pub fn idle_since(&self) -> Option<Micros> {
        match self.state {
            ConnectionState::Idle { since } => Some(since),
            _ => None,
        }
    }

    /// Applies an input at the time `now`. Returns whether the driver must close the connection.
    pub fn step(&mut self, input: ConnectionInput, now: Micros) -> bool {
        let (next, close) = match (self.state, input) {
            (ConnectionState::Opening, ConnectionInput::Connected) => (ConnectionState::Calling, false),
            (ConnectionState::Opening, ConnectionInput::Failed) => (ConnectionState::Closed, false),
            (ConnectionState::Opening | ConnectionState::Calling, ConnectionInput::CallFailed) => {
                (ConnectionState::Closed, true)
            }
            (ConnectionState::Calling, ConnectionInput::CallCompleted { open: true }) => {
                (ConnectionState::Idle { since: now }, false)
            }
            (ConnectionState::Calling, ConnectionInput::CallCompleted { open: false }) => {
                (ConnectionState::Closed, true)
            }
            (
                ConnectionState::Idle { since },
                ConnectionInput::Reused { nothing_received } | ConnectionInput::Checked { nothing_received },
            ) if !nothing_received || now.saturating_sub(since) >= self.idle_timeout => {
                // Bytes received while idle would be taken for the next call's answer. After the idle timeout the endpoint
                // closes the connection.
                (ConnectionState::Closed, true)
            }
            (ConnectionState::Idle { .. }, ConnectionInput::Reused { .. }) => {
                (ConnectionState::Calling, false)
            }
            (ConnectionState::Idle { .. }, ConnectionInput::Close) => (ConnectionState::Closed, true),
            (state, _) => (state, false),
        };
        self.state = next;
        close
    }
}

impl Machine for EndpointConnection {
    type Input = (ConnectionInput, Micros);
    const NAME: &'static str = "A connection to an endpoint";
    const ABOUT: &'static str = "`courier/core/src/machine/connection.rs`, owned by `courier/core/src/pool.rs` between calls: it carries one call at a time.";

    fn states() -> Vec<Example<Self>> {
        let connection = |state| EndpointConnection { state, idle_timeout: 10 };
        examples([
            ("Opening", "being opened", connection(ConnectionState::Opening)),
            ("Calling", "a call is in flight on it", connection(ConnectionState::Calling)),
            ("Idle", "no call is in flight on it", connection(ConnectionState::Idle { since: 0 })),
            ("Closed", "closed", connection(ConnectionState::Closed)),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("up", "the connection is established", (ConnectionInput::Connected, 1)),
            ("failed", "refused, or not established within the timeout", (ConnectionInput::Failed, 1)),
            (
                "call completed",
                "its call ended with a complete answer",
                (ConnectionInput::CallCompleted { open: true }, 1),
            ),
            (
                "call completed, unavailable",
                "the same, while the endpoint is draining or removed",
                (ConnectionInput::CallCompleted { open: false }, 1),
            ),
            ("call failed", "its call ended otherwise", (ConnectionInput::CallFailed, 1)),
            ("reused", "a call is to use it", (ConnectionInput::Reused { nothing_received: true }, 1)),
            (
                "reused, data received",
                "a call is to use it, and bytes or a close were received on it",
                (ConnectionInput::Reused { nothing_received: false }, 1),
            ),
            (
                "reused, expired",
                "a call is to use it, and its idle timeout has expired",
                (ConnectionInput::Reused { nothing_received: true }, 10),
            ),
            (
                "checked",
                "the periodic check, once a second",
                (ConnectionInput::Checked { nothing_received: true }, 1),
            ),
            (
                "checked, expired",
                "the periodic check, and its idle timeout has expired",
                (ConnectionInput::Checked { nothing_received: true }, 10),
            ),
            (
                "checked, data received",
                "the periodic check, and bytes or a close were received",
                (ConnectionInput::Checked { nothing_received: false }, 1),
            ),
            (
                "close",
                "a drain, a decision of the policy, or the connection limit is reached",
                (ConnectionInput::Close, 1),
            ),
        ])
    }

    fn state(&self) -> &'static str {
        match self.state {
            ConnectionState::Opening => "Opening",
            ConnectionState::Calling => "Calling",
            ConnectionState::Idle { .. } => "Idle",
            ConnectionState::Closed => "Closed",
        }
    }

    fn apply(&mut self, (input, now): Self::Input) -> String {
        if self.step(input, now) { "close".into() } else { String::new() }
    }
}
