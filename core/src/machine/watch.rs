//! The watch on discovery at one address.

use super::Machine;
use spurshore::Micros;

/// A watch says something every two seconds; one silent for so long may be dead.
pub const SILENCE: Micros = 10_000_000;
const RETRY_FIRST: Micros = 100_000;
/// The longest pause between two tries.
pub const RETRY_MAX: Micros = 2_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Asked, and waits for the answer's head until then.
    Asking {
        until: Micros,
    },
    /// Told of changes as they come; silent until then, it counts as dead. `heard`: something has come.
    Following {
        until: Micros,
        heard: bool,
    },
    Pausing {
        until: Micros,
    },
    /// Discovery has moved from here, and the watch there is broken.
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The answer's head has come, and says 200.
    Answered,
    /// Bytes of the list have come.
    Heard,
    /// It failed, ended, or said what can't be read; `moved`: discovery is elsewhere by now.
    Broken { moved: bool },
    /// The time that the state waits for has come.
    Tick { moved: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    Nothing,
    /// Ask for the changes after the version that is held.
    Ask,
    /// The answer is here: the watches at older addresses have done their work.
    TakeOver,
    /// Nothing is to be done before this long.
    Pause(Micros),
    /// The watch is over for good.
    Stop,
}

/// The machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Watch {
    state: State,
    pause: Micros,
}

impl Watch {
    /// A watch that asks at once.
    pub fn new(now: Micros) -> Self {
        Watch { state: State::Asking { until: now.saturating_add(SILENCE) }, pause: RETRY_FIRST }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// When a [`Input::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            State::Asking { until } | State::Following { until, .. } | State::Pausing { until } => {
                Some(until)
            }
            State::Over => None,
        }
    }

    pub fn step(&mut self, input: Input, now: Micros) -> Output {
        match (self.state, input) {
            (State::Over, _) => Output::Nothing,
            (State::Asking { .. }, Input::Answered) => {
                self.state = State::Following { until: now.saturating_add(SILENCE), heard: false };
                Output::TakeOver
            }
            (State::Following { .. }, Input::Heard) => {
                self.state = State::Following { until: now.saturating_add(SILENCE), heard: true };
                self.pause = RETRY_FIRST;
                Output::Nothing
            }
            (State::Pausing { until }, Input::Tick { moved }) if now >= until => {
                if moved {
                    self.state = State::Over;
                    return Output::Stop;
                }
                self.state = State::Asking { until: now.saturating_add(SILENCE) };
                Output::Ask
            }
            (State::Asking { until } | State::Following { until, .. }, Input::Tick { moved })
                if now >= until =>
            {
                self.broken(moved, now)
            }
            (State::Asking { .. } | State::Following { .. }, Input::Broken { moved }) => {
                self.broken(moved, now)
            }
            _ => Output::Nothing,
        }
    }

    fn broken(&mut self, moved: bool, now: Micros) -> Output {
        if moved {
            self.state = State::Over;
            return Output::Stop;
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(RETRY_MAX);
        self.state = State::Pausing { until: now.saturating_add(pause) };
        Output::Pause(pause)
    }
}

impl Machine for Watch {
    type Input = (Input, Micros);
    const NAME: &'static str = "The watch on discovery";
    const ABOUT: &'static str = "`core/src/machine/watch.rs`: one address's watch. A pause is 0.1 s at first, and doubles up to \
        2 s until something is heard again. Whatever it does, the last list goes on to hold.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let at = |state| Watch { state, pause: RETRY_FIRST };
        vec![
            ("Asking", "the request is out, for 10 s at most", at(State::Asking { until: 10 })),
            (
                "Following",
                "the answer has begun; 10 s of silence end it",
                at(State::Following { until: 10, heard: true }),
            ),
            ("Pausing", "broken, until the next try", at(State::Pausing { until: 10 })),
            ("Over", "discovery is elsewhere", at(State::Over)),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("answered", "the answer's head, with 200", (Input::Answered, 1)),
            ("heard", "bytes of it", (Input::Heard, 1)),
            (
                "broken",
                "no answer, another status, an end, or what can't be read",
                (Input::Broken { moved: false }, 1),
            ),
            ("broken, moved", "the same, after discovery has moved", (Input::Broken { moved: true }, 1)),
            ("tick", "the time that the state waits for has come", (Input::Tick { moved: false }, 10)),
            ("tick, moved", "the same, after discovery has moved", (Input::Tick { moved: true }, 10)),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            State::Asking { .. } => "Asking",
            State::Following { .. } => "Following",
            State::Pausing { .. } => "Pausing",
            State::Over => "Over",
        }
    }

    fn take(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            Output::Nothing => "",
            Output::Ask => "ask",
            Output::TakeOver => "end older watches",
            Output::Pause(_) => "pause",
            Output::Stop => "stop",
        }
        .to_string()
    }
}
