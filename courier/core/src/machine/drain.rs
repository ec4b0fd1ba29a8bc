//! The drain of a courier, with which operators move its clients to other couriers. A drained courier continues to run.

use super::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;

/// The time for which idle connections stay open after the load balancer was first notified that the courier is not ready,
/// in microseconds. The load balancer checks readiness ten times a second and continues to assign connections here for
/// 0.2 s after that. If connections were closed earlier, their clients would be assigned to this courier again.
pub const LOAD_BALANCER_GRACE: Micros = 500_000;
/// The interval between checks for idle connections, in microseconds. Few connections become idle during a drain, since
/// each is closed after its answer.
pub const IDLE_CHECK_INTERVAL: Micros = 100_000;

/// The state of a [`Drain`]; initially the courier is not drained.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum DrainState {
    /// Clients may connect.
    #[default]
    Serving,
    /// Readiness checks of the load balancer fail, and clients are disconnected.
    Drained {
        /// The time at which idle connections are closed next.
        next_check: Micros,
    },
}

/// An input of a [`Drain`]: a command of an operator, or the timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainInput {
    /// An operator requests the drain.
    Drain,
    /// An operator ends the drain.
    Undrain,
    /// The time returned by [`Drain::wake_at`] is reached.
    Tick,
}

/// What the driver of a [`Drain`] must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutput {
    /// No action.
    Nothing,
    /// From now on, close each connection after its answer.
    CloseAfterAnswers,
    /// Close all idle connections.
    CloseIdle,
    /// From now on, keep connections open after answers.
    KeepConnections,
}

/// The state machine of a drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Drain {
    state: DrainState,
}

impl Drain {
    /// Whether the courier is drained.
    pub fn is_drained(&self) -> bool {
        self.state != DrainState::Serving
    }

    /// The time at which a [`DrainInput::Tick`] is due, if the courier is drained.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            DrainState::Serving => None,
            DrainState::Drained { next_check } => Some(next_check),
        }
    }

    /// Applies an input at the time `now`, in microseconds.
    pub fn step(&mut self, input: DrainInput, now: Micros) -> DrainOutput {
        let (state, output) = match (self.state, input) {
            (DrainState::Serving, DrainInput::Drain) => (
                DrainState::Drained { next_check: now.saturating_add(LOAD_BALANCER_GRACE) },
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
                "readiness checks fail, and each connection is closed after its answer",
                Drain { state: DrainState::Drained { next_check: LOAD_BALANCER_GRACE } },
            ),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("DRAIN", "the operators' command", (DrainInput::Drain, LOAD_BALANCER_GRACE)),
            ("UNDRAIN", "the operators' command", (DrainInput::Undrain, LOAD_BALANCER_GRACE)),
            ("tick", "the time to close idle connections", (DrainInput::Tick, LOAD_BALANCER_GRACE)),
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
