//! One connection to a provider.

use super::Machine;
use spurshore::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    Opening,
    Calling,
    Resting { since: Micros },
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    Up,
    Failed,
    /// Its call ended, and the next may begin on it; `open`: the provider is still listed as ready.
    Kept {
        open: bool,
    },
    /// Its call ended, and it can't be used again.
    Dropped,
    /// A call begins on it; `quiet`: nothing has come on it meanwhile, no end and no bytes.
    Taken {
        quiet: bool,
    },
    /// A look at one that rests.
    Looked {
        quiet: bool,
    },
    /// The provider drains or is gone, the module has its idle connections closed, or room is short.
    Close,
}

/// The machine: a connection carries one call at a time, and rests between calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Link {
    state: State,
    /// How long it may rest.
    rest: Micros,
}

impl Link {
    pub fn opening(rest: Micros) -> Self {
        Link { state: State::Opening, rest }
    }

    /// One that rests since then, at another process until now.
    pub fn resting(rest: Micros, since: Micros) -> Self {
        Link { state: State::Resting { since }, rest }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Since when it rests, if it does.
    pub fn since(&self) -> Option<Micros> {
        match self.state {
            State::Resting { since } => Some(since),
            _ => None,
        }
    }

    /// True where the connection is to be closed now.
    pub fn step(&mut self, input: Input, now: Micros) -> bool {
        let (next, close) = match (self.state, input) {
            (State::Opening, Input::Up) => (State::Calling, false),
            (State::Opening, Input::Failed) => (State::Closed, false),
            (State::Opening | State::Calling, Input::Dropped) => (State::Closed, true),
            (State::Calling, Input::Kept { open: true }) => (State::Resting { since: now }, false),
            (State::Calling, Input::Kept { open: false }) => (State::Closed, true),
            (State::Resting { since }, Input::Taken { quiet } | Input::Looked { quiet })
                if !quiet || now.saturating_sub(since) >= self.rest =>
            {
                // What came on it would be taken for an answer; what is too old is closed by the provider.
                (State::Closed, true)
            }
            (State::Resting { .. }, Input::Taken { .. }) => (State::Calling, false),
            (State::Resting { .. }, Input::Close) => (State::Closed, true),
            (state, _) => (state, false),
        };
        self.state = next;
        close
    }
}

impl Machine for Link {
    type Input = (Input, Micros);
    const NAME: &'static str = "A connection to a provider";
    const ABOUT: &'static str = "`core/src/machine/link.rs`, kept by `core/src/pool.rs`: it carries one call at a time and rests between calls.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let at = |state| Link { state, rest: 10 };
        vec![
            ("Opening", "on its way", at(State::Opening)),
            ("Calling", "a call is out on it", at(State::Calling)),
            ("Resting", "no call is out on it", at(State::Resting { since: 0 })),
            ("Closed", "gone", at(State::Closed)),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("up", "the connection is up", (Input::Up, 1)),
            ("failed", "refused, or not up in time", (Input::Failed, 1)),
            ("kept", "its call ended with a whole answer", (Input::Kept { open: true }, 1)),
            (
                "kept, shut",
                "the same, and the provider drains or is gone by then",
                (Input::Kept { open: false }, 1),
            ),
            ("dropped", "its call ended otherwise", (Input::Dropped, 1)),
            ("taken", "a call wants it", (Input::Taken { quiet: true }, 1)),
            (
                "taken, not quiet",
                "a call wants it, and bytes or an end have come on it",
                (Input::Taken { quiet: false }, 1),
            ),
            (
                "taken, old",
                "a call wants it, and it has rested for too long",
                (Input::Taken { quiet: true }, 10),
            ),
            ("looked at, quiet", "the sweep, once a second", (Input::Looked { quiet: true }, 1)),
            (
                "looked at, old",
                "the sweep, when it has rested for too long",
                (Input::Looked { quiet: true }, 10),
            ),
            (
                "looked at, not quiet",
                "the sweep, when bytes or an end have come",
                (Input::Looked { quiet: false }, 1),
            ),
            ("close", "a drain, the module's word, or room is short", (Input::Close, 1)),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            State::Opening => "Opening",
            State::Calling => "Calling",
            State::Resting { .. } => "Resting",
            State::Closed => "Closed",
        }
    }

    fn take(&mut self, (input, now): Self::Input) -> String {
        if self.step(input, now) { "close".into() } else { String::new() }
    }
}
