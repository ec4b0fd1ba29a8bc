//! Draining: whether clients are to connect to this courier. A drained courier loses its clients and continues to run.

use super::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;

/// How long idle connections stay after the front was first notified that the courier is not ready, in microseconds. The front
/// checks ten times a second and goes on assigning connections here for 0.2 s after that: closed earlier, clients would come
/// back.
pub const FRONT_GRACE: Micros = 500_000;
/// The time between two checks for idle connections, in microseconds: there are few, since answers close theirs.
pub const IDLE_CHECK_INTERVAL: Micros = 100_000;

/// The state of a [`Drain`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum DrainState {
    /// Clients are welcome.
    #[default]
    Serving,
    /// The front is notified that the courier is not ready.
    Drained {
        /// When idle connections are closed next.
        next_check: Micros,
    },
}

/// What happens to a [`Drain`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainInput {
    /// Operators drain the courier.
    Drain,
    /// Operators end the drain.
    Undrain,
    /// The time of [`Drain::wake_at`] is reached.
    Tick,
}

/// What the driver of a [`Drain`] is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutput {
    /// Nothing.
    Nothing,
    /// Close each connection after its answer from now on.
    CloseAfterAnswers,
    /// Close idle connections.
    CloseIdle,
    /// Keep connections open after answers from now on.
    KeepConnections,
}

/// The machine of a drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Drain {
    state: DrainState,
}

impl Drain {
    /// Operators have drained the courier.
    pub fn is_drained(&self) -> bool {
        self.state != DrainState::Serving
    }

    /// When a [`DrainInput::Tick`] is due.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            DrainState::Serving => None,
            DrainState::Drained { next_check } => Some(next_check),
        }
    }

    /// Applies an input at the time `now`.
    pub fn step(&mut self, input: DrainInput, now: Micros) -> DrainOutput {
        let (state, output) = match (self.state, input) {
            (DrainState::Serving, DrainInput::Drain) => (
                DrainState::Drained { next_check: now.saturating_add(FRONT_GRACE) },
                DrainOutput::CloseAfterAnswers,
            ),
            (DrainState::Drained { .. }, DrainInput::Undrain) => {
                (DrainState::Serving, DrainOutput::KeepConnections)
            }
            (DrainState::Drained { next_check }, DrainInput::Tick) if now >= next_check => (
                DrainState::Drained { next_check: now.saturating_add(IDLE_CHECK_INTERVAL) },
                DrainOutput::CloseIdle,
            ),
            (state, _) => (state, DrainOutput::Nothing),
        };
        self.state = state;
        output
    }
}

impl Machine for Drain {
    type Input = (DrainInput, Micros);
    const NAME: &'static str = "A courier's drain";
    const ABOUT: &'static str =
        "`courier/core/src/machine/drain.rs`: operators drain the courier, or end the drain.";

    fn states() -> Vec<Example<Self>> {
        examples([
            ("Serving", "clients may connect", Drain::default()),
            (
                "Drained",
                "the front is notified that the courier is not ready, and each answer ends its connection",
                Drain { state: DrainState::Drained { next_check: FRONT_GRACE } },
            ),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("DRAIN", "the operators' command", (DrainInput::Drain, FRONT_GRACE)),
            ("UNDRAIN", "the operators' command", (DrainInput::Undrain, FRONT_GRACE)),
            ("tick", "the time to close idle connections", (DrainInput::Tick, FRONT_GRACE)),
        ])
    }

    fn state(&self) -> &'static str {
        match self.state {
            DrainState::Serving => "Serving",
            DrainState::Drained { .. } => "Drained",
        }
    }

    fn apply(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            DrainOutput::Nothing => "",
            DrainOutput::CloseAfterAnswers => "close connections after answers",
            DrainOutput::CloseIdle => "close idle connections",
            DrainOutput::KeepConnections => "keep connections",
        }
        .to_string()
    }
}
