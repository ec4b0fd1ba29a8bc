//! The notices to the platform: told, sent, confirmed, or lost and sent again.

use super::transition_table::Machine;
use quillmount_policy::Micros;
use quillmount_policy::breaks::{self, Break};

/// The platform takes notices at once; one try must leave time for another.
pub const ATTEMPT_TIMEOUT: Micros = 250_000;
/// After a try that failed.
pub const RETRY_DELAY: Micros = 50_000;
/// Notices in one body: well under the platform's 64 KiB.
pub const BATCH_MAX: usize = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoticeState {
    /// Nothing is to be told.
    Quiet,
    /// So many are on their way; without a word by then they count as lost.
    Sent { count: usize, until: Micros },
    /// A try has failed.
    BackingOff { until: Micros },
}

impl NoticeState {
    /// The state without its time.
    pub fn kind(self) -> (u8, usize) {
        match self {
            NoticeState::Quiet => (0, 0),
            NoticeState::Sent { count, .. } => (1, count),
            NoticeState::BackingOff { .. } => (2, 0),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeInput {
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
pub enum NoticeOutput {
    Nothing,
    /// Send the oldest, so many at most.
    Send(usize),
    /// What was sent is told, and owed no more.
    Confirmed,
    /// The single one that was sent can't be read, and is let go: it must not keep the others back.
    Discard,
    /// Look again what is to be told.
    Retry,
}

/// The machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Notices {
    state: NoticeState,
    batch: usize,
}

impl Default for Notices {
    fn default() -> Self {
        Notices { state: NoticeState::Quiet, batch: BATCH_MAX }
    }
}

impl Notices {
    pub fn state(&self) -> NoticeState {
        self.state
    }

    /// When a [`Input::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            NoticeState::Quiet => None,
            NoticeState::Sent { until, .. } | NoticeState::BackingOff { until } => Some(until),
        }
    }

    /// Most notices that the next try may hold.
    pub fn most(&self) -> usize {
        self.batch
    }

    pub fn step(&mut self, input: NoticeInput, now: Micros) -> NoticeOutput {
        let (state, output) = match (self.state, input) {
            (NoticeState::Quiet, NoticeInput::Wanted(count)) if count > 0 => {
                let count = count.min(self.batch);
                (
                    NoticeState::Sent { count, until: now.saturating_add(ATTEMPT_TIMEOUT) },
                    NoticeOutput::Send(count),
                )
            }
            (NoticeState::Sent { .. }, NoticeInput::Confirmed) => {
                self.batch = BATCH_MAX;
                (NoticeState::Quiet, NoticeOutput::Confirmed)
            }
            // Find the one that can't be read: one at a time.
            (NoticeState::Sent { count, .. }, NoticeInput::Unreadable) if count > 1 => {
                self.batch = 1;
                (NoticeState::Quiet, NoticeOutput::Retry)
            }
            (NoticeState::Sent { .. }, NoticeInput::Unreadable) => {
                (NoticeState::Quiet, NoticeOutput::Discard)
            }
            (NoticeState::Sent { .. }, NoticeInput::Moved) => (NoticeState::Quiet, NoticeOutput::Retry),
            (NoticeState::Sent { .. }, NoticeInput::Lost) if breaks::is_enabled(Break::NoticeOnce) => {
                (NoticeState::Quiet, NoticeOutput::Discard)
            }
            (NoticeState::Sent { .. }, NoticeInput::Lost) => {
                (NoticeState::BackingOff { until: now.saturating_add(RETRY_DELAY) }, NoticeOutput::Nothing)
            }
            (NoticeState::Sent { until, .. }, NoticeInput::Tick) if now >= until => {
                (NoticeState::BackingOff { until: now.saturating_add(RETRY_DELAY) }, NoticeOutput::Nothing)
            }
            (NoticeState::BackingOff { until }, NoticeInput::Tick) if now >= until => {
                (NoticeState::Quiet, NoticeOutput::Retry)
            }
            (state, _) => (state, NoticeOutput::Nothing),
        };
        self.state = state;
        output
    }
}

impl Machine for Notices {
    type Input = (NoticeInput, Micros);
    const NAME: &'static str = "The notices";
    const ABOUT: &'static str = "`courier/core/src/machine/notices.rs`: many at a time, and again until the platform has confirmed each.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let at = |state, batch| Notices { state, batch };
        let sent = |count| NoticeState::Sent { count, until: 10 };
        vec![
            ("Quiet", "nothing is on its way", at(NoticeState::Quiet, BATCH_MAX)),
            ("Sent", "several are on their way, for 0.25 s at most", at(sent(2), BATCH_MAX)),
            ("SentOne", "a single one is", at(sent(1), 1)),
            (
                "BackingOff",
                "a try has failed; 50 ms until the next",
                at(NoticeState::BackingOff { until: 10 }, BATCH_MAX),
            ),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("wanted", "several are to be told", (NoticeInput::Wanted(2), 1)),
            ("confirmed", "204", (NoticeInput::Confirmed, 1)),
            ("unreadable", "400", (NoticeInput::Unreadable, 1)),
            ("lost", "any other word, or a connection that failed", (NoticeInput::Lost, 1)),
            ("moved", "discovery has moved", (NoticeInput::Moved, 1)),
            ("tick", "the time that the state waits for has come", (NoticeInput::Tick, 10)),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            NoticeState::Quiet => "Quiet",
            NoticeState::Sent { count: 1, .. } => "SentOne",
            NoticeState::Sent { .. } => "Sent",
            NoticeState::BackingOff { .. } => "BackingOff",
        }
    }

    fn apply(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            NoticeOutput::Nothing => "",
            NoticeOutput::Send(_) => "send",
            NoticeOutput::Confirmed => "told",
            NoticeOutput::Discard => "let go",
            NoticeOutput::Retry => "look again",
        }
        .to_string()
    }
}
