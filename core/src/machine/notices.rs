//! The notices to the platform: told, sent, confirmed, or lost and sent again.

use super::Machine;
use spurshore::Micros;
use spurshore::breaks::{self, Break};

/// The platform takes notices at once; one try must leave time for another.
pub const TRY: Micros = 250_000;
/// After a try that failed.
pub const REST: Micros = 50_000;
/// Notices in one body: well under the platform's 64 KiB.
pub const BATCH: usize = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Nothing is to be told.
    Quiet,
    /// So many are on their way; without a word by then they count as lost.
    Sent { count: usize, until: Micros },
    /// A try has failed.
    Resting { until: Micros },
}

impl State {
    /// The state without its time.
    pub fn kind(self) -> (u8, usize) {
        match self {
            State::Quiet => (0, 0),
            State::Sent { count, .. } => (1, count),
            State::Resting { .. } => (2, 0),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// So many are to be told.
    Wanted(usize),
    /// 204.
    Confirmed,
    /// 400: one of them can't be read.
    Unreadable,
    /// Another word, none, or a connection that failed.
    Lost,
    /// Discovery has moved: told twice does no harm, told late does.
    Moved,
    /// The time that the state waits for has come.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    Nothing,
    /// Send the oldest, so many at most.
    Send(usize),
    /// What was sent is told, and owed no more.
    Told,
    /// The single one that was sent can't be read, and is let go: it must not keep the others back.
    LetGo,
    /// Look again what is to be told.
    Again,
}

/// The machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Notices {
    state: State,
    batch: usize,
}

impl Default for Notices {
    fn default() -> Self {
        Notices { state: State::Quiet, batch: BATCH }
    }
}

impl Notices {
    pub fn state(&self) -> State {
        self.state
    }

    /// When a [`Input::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            State::Quiet => None,
            State::Sent { until, .. } | State::Resting { until } => Some(until),
        }
    }

    /// Most notices that the next try may hold.
    pub fn most(&self) -> usize {
        self.batch
    }

    pub fn step(&mut self, input: Input, now: Micros) -> Output {
        let (state, output) = match (self.state, input) {
            (State::Quiet, Input::Wanted(count)) if count > 0 => {
                let count = count.min(self.batch);
                (State::Sent { count, until: now.saturating_add(TRY) }, Output::Send(count))
            }
            (State::Sent { .. }, Input::Confirmed) => {
                self.batch = BATCH;
                (State::Quiet, Output::Told)
            }
            // Find the one that can't be read: one at a time.
            (State::Sent { count, .. }, Input::Unreadable) if count > 1 => {
                self.batch = 1;
                (State::Quiet, Output::Again)
            }
            (State::Sent { .. }, Input::Unreadable) => (State::Quiet, Output::LetGo),
            (State::Sent { .. }, Input::Moved) => (State::Quiet, Output::Again),
            (State::Sent { .. }, Input::Lost) if breaks::on(Break::NoticeOnce) => {
                (State::Quiet, Output::LetGo)
            }
            (State::Sent { .. }, Input::Lost) => {
                (State::Resting { until: now.saturating_add(REST) }, Output::Nothing)
            }
            (State::Sent { until, .. }, Input::Tick) if now >= until => {
                (State::Resting { until: now.saturating_add(REST) }, Output::Nothing)
            }
            (State::Resting { until }, Input::Tick) if now >= until => (State::Quiet, Output::Again),
            (state, _) => (state, Output::Nothing),
        };
        self.state = state;
        output
    }
}

impl Machine for Notices {
    type Input = (Input, Micros);
    const NAME: &'static str = "The notices";
    const ABOUT: &'static str =
        "`core/src/machine/notices.rs`: many at a time, and again until the platform has confirmed each.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let at = |state, batch| Notices { state, batch };
        let sent = |count| State::Sent { count, until: 10 };
        vec![
            ("Quiet", "nothing is on its way", at(State::Quiet, BATCH)),
            ("Sent", "several are on their way, for 0.25 s at most", at(sent(2), BATCH)),
            ("SentOne", "a single one is", at(sent(1), 1)),
            ("Resting", "a try has failed; 50 ms until the next", at(State::Resting { until: 10 }, BATCH)),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("wanted", "several are to be told", (Input::Wanted(2), 1)),
            ("confirmed", "204", (Input::Confirmed, 1)),
            ("unreadable", "400", (Input::Unreadable, 1)),
            ("lost", "any other word, or a connection that failed", (Input::Lost, 1)),
            ("moved", "discovery has moved", (Input::Moved, 1)),
            ("tick", "the time that the state waits for has come", (Input::Tick, 10)),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            State::Quiet => "Quiet",
            State::Sent { count: 1, .. } => "SentOne",
            State::Sent { .. } => "Sent",
            State::Resting { .. } => "Resting",
        }
    }

    fn take(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            Output::Nothing => "",
            Output::Send(_) => "send",
            Output::Told => "told",
            Output::LetGo => "let go",
            Output::Again => "look again",
        }
        .to_string()
    }
}
