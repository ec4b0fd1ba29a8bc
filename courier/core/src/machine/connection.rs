//! One connection to an endpoint.

use super::transition_table::Machine;
use quillmount_policy::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionState {
    Opening,
    Calling,
    Idle { since: Micros },
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionInput {
    Connected,
    Failed,
    /// Its call ended, and the next may begin on it; `open`: the endpoint is still listed as ready.
    CallCompleted {
        open: bool,
    },
    /// Its call ended, and it can't be used again.
    CallFailed,
    /// A call begins on it; `quiet`: nothing has come on it meanwhile, no end and no bytes.
    Reused {
        quiet: bool,
    },
    /// A look at one that rests.
    Checked {
        quiet: bool,
    },
    /// The endpoint drains or is gone, the module has its idle connections closed, or room is short.
    Close,
}

/// The machine: a connection carries one call at a time, and rests between calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EndpointConnection {
    state: ConnectionState,
    /// How long it may rest.
    idle_timeout: Micros,
}

impl EndpointConnection {
    pub fn opening(idle_timeout: Micros) -> Self {
        EndpointConnection { state: ConnectionState::Opening, idle_timeout }
    }

    /// One that rests since then, at another process until now.
    pub fn idle(idle_timeout: Micros, since: Micros) -> Self {
        EndpointConnection { state: ConnectionState::Idle { since }, idle_timeout }
    }

    pub fn state(&self) -> ConnectionState {
        self.state
    }

    /// Since when it rests, if it does.
    pub fn since(&self) -> Option<Micros> {
        match self.state {
            ConnectionState::Idle { since } => Some(since),
            _ => None,
        }
    }

    /// True where the connection is to be closed now.
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
                // What came on it would be taken for an answer; what is too old is closed by the endpoint.
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
    const ABOUT: &'static str = "`courier/core/src/machine/connection.rs`, kept by `courier/core/src/pool.rs`: it carries one call at a time and rests between calls.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let at = |state| EndpointConnection { state, idle_timeout: 10 };
        vec![
            ("Opening", "on its way", at(ConnectionState::Opening)),
            ("Calling", "a call is out on it", at(ConnectionState::Calling)),
            ("Idle", "no call is out on it", at(ConnectionState::Idle { since: 0 })),
            ("Closed", "gone", at(ConnectionState::Closed)),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("up", "the connection is up", (ConnectionInput::Connected, 1)),
            ("failed", "refused, or not up in time", (ConnectionInput::Failed, 1)),
            (
                "kept",
                "its call ended with a whole answer",
                (ConnectionInput::CallCompleted { open: true }, 1),
            ),
            (
                "kept, shut",
                "the same, and the endpoint drains or is gone by then",
                (ConnectionInput::CallCompleted { open: false }, 1),
            ),
            ("dropped", "its call ended otherwise", (ConnectionInput::CallFailed, 1)),
            ("taken", "a call wants it", (ConnectionInput::Reused { quiet: true }, 1)),
            (
                "taken, not quiet",
                "a call wants it, and bytes or an end have come on it",
                (ConnectionInput::Reused { quiet: false }, 1),
            ),
            (
                "taken, old",
                "a call wants it, and it has rested for too long",
                (ConnectionInput::Reused { quiet: true }, 10),
            ),
            ("looked at, quiet", "the sweep, once a second", (ConnectionInput::Checked { quiet: true }, 1)),
            (
                "looked at, old",
                "the sweep, when it has rested for too long",
                (ConnectionInput::Checked { quiet: true }, 10),
            ),
            (
                "looked at, not quiet",
                "the sweep, when bytes or an end have come",
                (ConnectionInput::Checked { quiet: false }, 1),
            ),
            ("close", "a drain, the module's word, or room is short", (ConnectionInput::Close, 1)),
        ]
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
