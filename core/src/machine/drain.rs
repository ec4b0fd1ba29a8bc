//! Whether consumers are wanted: a drained courier empties, and does not end.

use super::Machine;
use spurshore::Micros;

/// How long a no to the front's question leaves connections at rest as they are. The front asks ten times a second and
/// deals out connections for 0.2 s after the no: asked to leave before, their consumers would come back here.
pub const FRONT: Micros = 500_000;
/// Between two looks for connections that rest: few do, since answers close theirs.
pub const LOOK: Micros = 100_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum State {
    #[default]
    Serving,
    /// The front is told no; connections that rest are asked to leave from then on.
    Drained { look: Micros },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    Drain,
    Undrain,
    /// The time that the state waits for has come.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    Nothing,
    /// Every answer ends its connection from now on.
    LastAnswers,
    /// Connections that rest are to leave.
    Empty,
    /// Connections are kept again.
    Keep,
}

/// The machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Drain {
    state: State,
}

impl Drain {
    pub fn is_drained(&self) -> bool {
        self.state != State::Serving
    }

    /// When a [`Input::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            State::Serving => None,
            State::Drained { look } => Some(look),
        }
    }

    pub fn step(&mut self, input: Input, now: Micros) -> Output {
        let (state, output) = match (self.state, input) {
            (State::Serving, Input::Drain) => {
                (State::Drained { look: now.saturating_add(FRONT) }, Output::LastAnswers)
            }
            (State::Drained { .. }, Input::Undrain) => (State::Serving, Output::Keep),
            (State::Drained { look }, Input::Tick) if now >= look => {
                (State::Drained { look: now.saturating_add(LOOK) }, Output::Empty)
            }
            (state, _) => (state, Output::Nothing),
        };
        self.state = state;
        output
    }
}

impl Machine for Drain {
    type Input = (Input, Micros);
    const NAME: &'static str = "A courier's drain";
    const ABOUT: &'static str =
        "`core/src/machine/drain.rs`: operators empty the courier, and take consumers again.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        vec![
            ("Serving", "consumers are wanted", Drain::default()),
            (
                "Drained",
                "the front is told no, and answers end their connections",
                Drain { state: State::Drained { look: FRONT } },
            ),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("DRAIN", "the operators' call", (Input::Drain, FRONT)),
            ("UNDRAIN", "the operators' call", (Input::Undrain, FRONT)),
            ("tick", "the time to look for connections that rest", (Input::Tick, FRONT)),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            State::Serving => "Serving",
            State::Drained { .. } => "Drained",
        }
    }

    fn take(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            Output::Nothing => "",
            Output::LastAnswers => "answers end their connections",
            Output::Empty => "connections at rest are to leave",
            Output::Keep => "connections are kept",
        }
        .to_string()
    }
}
