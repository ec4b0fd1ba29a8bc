//! The notices to the platform: when they are sent, and when sending is retried.
//!
//! The router has the notices themselves; this machine decides how many of them the driver sends in one request.

use super::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;
use quillmount_policy::breaks::{self, Break};

/// How long a request may take, in microseconds. The platform answers at once; one attempt must leave time for another.
pub const ATTEMPT_TIMEOUT: Micros = 250_000;
/// The delay after a failed attempt, in microseconds.
pub const RETRY_DELAY: Micros = 50_000;
/// The most notices in one request: well below the platform's limit of 64 KiB.
pub const BATCH_MAX: usize = 200;

/// The state of [`Notices`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoticeState {
    /// No request is in flight.
    Quiet,
    /// A request is in flight.
    Sent {
        /// The number of its notices.
        count: usize,
        /// When it counts as lost.
        until: Micros,
    },
    /// An attempt has failed.
    BackingOff {
        /// When the next one is made.
        until: Micros,
    },
}

impl NoticeState {
    /// The state without its time: its number and the count of notices in flight.
    pub fn kind(self) -> (u8, usize) {
        match self {
            NoticeState::Quiet => (0, 0),
            NoticeState::Sent { count, .. } => (1, count),
            NoticeState::BackingOff { .. } => (2, 0),
        }
    }
}

/// What happens to [`Notices`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeInput {
    /// So many notices are to be sent.
    Wanted(usize),
    /// The platform has answered with 204.
    Confirmed,
    /// The platform has answered with 400: one of the notices can't be read.
    Unreadable,
    /// Another answer, no answer, or a failed connection.
    Lost,
    /// Discovery has moved: a duplicate notice has no effect, a late one does.
    Moved,
    /// The time of [`Notices::wake_at`] is reached.
    Tick,
}

/// What the driver of [`Notices`] is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeOutput {
    /// Nothing.
    Nothing,
    /// Send the oldest notices, so many at most.
    Send(usize),
    /// The notices that were sent are confirmed.
    Confirmed,
    /// Drop the single notice that was sent: the platform can't read it, and it must not block the others.
    Discard,
    /// Check again which notices are to be sent.
    Retry,
}

/// The machine of the notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Notices {
    state: NoticeState,
    /// The most notices of the next request.
    batch: usize,
}

impl Default for Notices {
    fn default() -> Self {
        Notices { state: NoticeState::Quiet, batch: BATCH_MAX }
    }
}

impl Notices {
    /// The current state.
    pub fn state(&self) -> NoticeState {
        self.state
    }

    /// When a [`NoticeInput::Tick`] is due.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            NoticeState::Quiet => None,
            NoticeState::Sent { until, .. } | NoticeState::BackingOff { until } => Some(until),
        }
    }

    /// The most notices that the next request may contain.
    pub fn most(&self) -> usize {
        self.batch
    }

    /// Applies an input at the time `now`.
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
            // Send one at a time, to find the one that can't be read.
            (NoticeState::Sent { count, .. }, NoticeInput::Unreadable) if count > 1 => {
                self.batch = 1;
                (NoticeState::Quiet, NoticeOutput::Retry)
            }
            (NoticeState::Sent { .. }, NoticeInput::Unreadable) => {
                (NoticeState::Quiet, NoticeOutput::Discard)
            }
            (NoticeState::Sent { .. }, NoticeInput::Moved) => (NoticeState::Quiet, NoticeOutput::Retry),
            (NoticeState::Sent { .. }, NoticeInput::Lost) if breaks::is_enabled(Break::SendNoticeOnce) => {
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
    const ABOUT: &'static str = "`courier/core/src/machine/notices.rs`: sent to the platform in batches, and again until it has confirmed each of them.";

    fn states() -> Vec<Example<Self>> {
        let at = |state, batch| Notices { state, batch };
        let sent = |count| NoticeState::Sent { count, until: 10 };
        examples([
            ("Quiet", "no notice is in flight", at(NoticeState::Quiet, BATCH_MAX)),
            ("Sent", "several notices are in flight, for 0.25 s at most", at(sent(2), BATCH_MAX)),
            ("SentOne", "a single notice is in flight", at(sent(1), 1)),
            (
                "BackingOff",
                "a request has failed; the next one follows after 50 ms",
                at(NoticeState::BackingOff { until: 10 }, BATCH_MAX),
            ),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("wanted", "several notices are to be sent", (NoticeInput::Wanted(2), 1)),
            ("confirmed", "the answer is 204", (NoticeInput::Confirmed, 1)),
            ("unreadable", "the answer is 400", (NoticeInput::Unreadable, 1)),
            ("lost", "another answer, none, or a failed connection", (NoticeInput::Lost, 1)),
            ("moved", "discovery has moved", (NoticeInput::Moved, 1)),
            ("tick", "the time that the state waits for is reached", (NoticeInput::Tick, 10)),
        ])
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
            NoticeOutput::Confirmed => "mark as confirmed",
            NoticeOutput::Discard => "discard",
            NoticeOutput::Retry => "retry",
        }
        .to_string()
    }
}
