//! Whether clients are wanted: a drained courier empties, and does not end.

use super::transition_table::Machine;
use quillmount_policy::Micros;

/// How long a no to the front's question leaves connections at rest as they are. The front asks ten times a second and
/// deals out connections for 0.2 s after the no: asked to leave before, their clients would come back here.
pub const FRONT_GRACE: Micros = 500_000;
/// Between two looks for connections that rest: few do, since answers close theirs.
pub const IDLE_CHECK_INTERVAL: Micros = 100_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum DrainState {
    #[default]
    Serving,
    /// The front is told no; connections that rest are asked to leave from then on.
    Drained { next_check: Micros },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainInput {
    Drain,
    Undrain,
    /// The time that the state waits for has come.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutput {
    Nothing,
    /// Every answer ends its connection from now on.
    CloseAfterAnswers,
    /// Connections that rest are to leave.
    CloseIdle,
    /// Connections are kept again.
    KeepConnections,
}

/// The machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Drain {
    state: DrainState,
}

impl Drain {
    pub fn is_drained(&self) -> bool {
        self.state != DrainState::Serving
    }

    /// When a [`Input::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            DrainState::Serving => None,
            DrainState::Drained { next_check } => Some(next_check),
        }
    }

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
        "`courier/core/src/machine/drain.rs`: operators empty the courier, and take clients again.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        vec![
            ("Serving", "clients are wanted", Drain::default()),
            (
                "Drained",
                "the front is told no, and answers end their connections",
                Drain { state: DrainState::Drained { next_check: FRONT_GRACE } },
            ),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("DRAIN", "the operators' call", (DrainInput::Drain, FRONT_GRACE)),
            ("UNDRAIN", "the operators' call", (DrainInput::Undrain, FRONT_GRACE)),
            ("tick", "the time to look for connections that rest", (DrainInput::Tick, FRONT_GRACE)),
        ]
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
            DrainOutput::CloseAfterAnswers => "answers end their connections",
            DrainOutput::CloseIdle => "connections at rest are to leave",
            DrainOutput::KeepConnections => "connections are kept",
        }
        .to_string()
    }
}
