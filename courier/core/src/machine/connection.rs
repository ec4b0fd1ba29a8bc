//! One connection to an endpoint, which carries one call at a time and is idle between calls.

use super::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;

/// The state of an [`EndpointConnection`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionState {
    /// It is being established.
    Opening,
    /// A call uses it.
    Calling,
    /// It waits for the next call.
    Idle {
        /// Since when.
        since: Micros,
    },
    /// It is closed, or was never established.
    Closed,
}

/// What happens to an [`EndpointConnection`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionInput {
    /// It was established.
    Connected,
    /// It was refused, or not established in time.
    Failed,
    /// Its call ended, and the next may begin on it.
    CallCompleted {
        /// The endpoint is still listed as ready.
        open: bool,
    },
    /// Its call ended, and it can't be reused.
    CallFailed,
    /// A call begins on it.
    Reused {
        /// Nothing has arrived on it meanwhile, neither an end nor bytes.
        quiet: bool,
    },
    /// An idle connection is checked.
    Checked {
        /// Nothing has arrived on it meanwhile, neither an end nor bytes.
        quiet: bool,
    },
    /// The endpoint drains or is gone, the policy has its idle connections closed, or there are too many connections.
    Close,
}

/// The machine of a connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EndpointConnection {
    state: ConnectionState,
    /// How long it may be idle.
    idle_timeout: Micros,
}

impl EndpointConnection {
    /// A connection that is being established.
    pub fn opening(idle_timeout: Micros) -> Self {
        EndpointConnection { state: ConnectionState::Opening, idle_timeout }
    }

    /// A connection that has been idle since then, at another process until now.
    pub fn idle(idle_timeout: Micros, since: Micros) -> Self {
        EndpointConnection { state: ConnectionState::Idle { since }, idle_timeout }
    }

    /// The current state.
    pub fn state(&self) -> ConnectionState {
        self.state
    }

    /// Since when it is idle, if it is.
    pub fn since(&self) -> Option<Micros> {
        match self.state {
            ConnectionState::Idle { since } => Some(since),
            _ => None,
        }
    }

    /// Applies an input at the time `now`. True: the connection is to be closed.
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
                ConnectionInput::Reused { quiet } | ConnectionInput::Checked { quiet },
            ) if !quiet || now.saturating_sub(since) >= self.idle_timeout => {
                // Bytes on it would be taken for an answer; the endpoint closes connections that are too old.
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
        let at = |state| EndpointConnection { state, idle_timeout: 10 };
        examples([
            ("Opening", "being opened", at(ConnectionState::Opening)),
            ("Calling", "a call is in flight on it", at(ConnectionState::Calling)),
            ("Idle", "no call is in flight on it", at(ConnectionState::Idle { since: 0 })),
            ("Closed", "closed", at(ConnectionState::Closed)),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("up", "the connection is established", (ConnectionInput::Connected, 1)),
            ("failed", "refused, or not established in time", (ConnectionInput::Failed, 1)),
            (
                "call completed",
                "its call ended with a complete answer",
                (ConnectionInput::CallCompleted { open: true }, 1),
            ),
            (
                "call completed, shut",
                "the same, and the endpoint is draining or gone by then",
                (ConnectionInput::CallCompleted { open: false }, 1),
            ),
            ("call failed", "its call ended otherwise", (ConnectionInput::CallFailed, 1)),
            ("reused", "a call is to use it", (ConnectionInput::Reused { quiet: true }, 1)),
            (
                "reused, not quiet",
                "a call is to use it, and bytes or an end were received on it",
                (ConnectionInput::Reused { quiet: false }, 1),
            ),
            (
                "reused, old",
                "a call is to use it, and it was idle for too long",
                (ConnectionInput::Reused { quiet: true }, 10),
            ),
            ("checked, quiet", "the sweep, once a second", (ConnectionInput::Checked { quiet: true }, 1)),
            (
                "checked, old",
                "the sweep, when it was idle for too long",
                (ConnectionInput::Checked { quiet: true }, 10),
            ),
            (
                "checked, not quiet",
                "the sweep, when bytes or an end were received",
                (ConnectionInput::Checked { quiet: false }, 1),
            ),
            (
                "close",
                "a drain, an instruction of the policy, or capacity is short",
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
