//! Sending notices to the platform: batches, confirmation and retries.
//!
//! The router owns the notices. This machine decides when the driver sends a request and how many notices it contains.

use super::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;
use quillmount_policy::breaks::{self, Break};

/// The timeout of a request, in microseconds. The platform answers at once, and after a failed attempt there must be time
/// for another one.
pub const ATTEMPT_TIMEOUT: Micros = 250_000;
/// The delay before the next request after a failed one, in microseconds.
pub const RETRY_DELAY: Micros = 50_000;
/// The maximum number of notices in a request. A request of this size is well below the platform's limit of 64 KiB.
pub const BATCH_MAX: usize = 200;

/// The state of [`Notices`], of which at most one request is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoticeState {
    /// No request is in flight, and the next one may be sent at once.
    Quiet,
    /// A request is in flight, and its answer is awaited.
    Sent {
        /// The number of notices in the request.
        count: usize,
        /// The time at which the request counts as failed.
        until: Micros,
    },
    /// A request has failed.
    BackingOff {
        /// The time at which the next request may be sent.
        until: Micros,
    },
}

impl NoticeState {
    /// The state without its time, for comparisons: a number for the variant and the number of notices in flight.
    pub fn kind(self) -> (u8, usize) {
        match self {
            NoticeState::Quiet => (0, 0),
            NoticeState::Sent { count, .. } => (1, count),
            NoticeState::BackingOff { .. } => (2, 0),
        }
    }
}

/// An input of [`Notices`]: the demand for a request, its result, or the timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeInput {
    /// The number of notices that are to be sent.
    Wanted(usize),
    /// The platform has answered with status 204.
    Confirmed,
    /// The platform has answered with status 400: it can't parse one of the notices.
    Unreadable,
    /// The platform has answered with another status or not at all, or the connection failed.
    Lost,
    /// Discovery, and with it the platform, has moved to another address. The request is sent again at once: a duplicate
    /// notice has no effect, but a late one does.
    DiscoveryMoved,
    /// The time returned by [`Notices::wake_at`] is reached.
    Tick,
}

/// What the driver of [`Notices`] must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeOutput {
    /// No action.
    Nothing,
    /// Send the oldest notices, at most this number of them.
    Send(usize),
    /// Mark the notices of the request as confirmed.
    Confirmed,
    /// Drop the single notice of the request. The platform can't parse it, and it must not block the others.
    Discard,
    /// Report the notices that are to be sent with [`NoticeInput::Wanted`] again.
    Retry,
}

/// The state machine of the notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Notices {
    state: NoticeState,
    /// The maximum number of notices in the next request.
    max_batch_len: usize,
}

impl Default for Notices {
    fn default() -> Self {
        Notices { state: NoticeState::Quiet, max_batch_len: BATCH_MAX }
    }
}

impl Notices {
    /// The current state, with the number of notices in flight.
    pub fn state(&self) -> NoticeState {
        self.state
    }

    /// The time at which a [`NoticeInput::Tick`] is due, if a timer is running.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            NoticeState::Quiet => None,
            NoticeState::Sent { until, .. } | NoticeState::BackingOff { until } => Some(until),
        }
    }

    /// The maximum number of notices in the next request: [`BATCH_MAX`], or 1 while an unparsable notice is searched for.
    pub fn max_batch_len(&self) -> usize {
        self.max_batch_len
    }

    /// Applies an input at the time `now`, in microseconds.
    pub fn step(&mut self, input: NoticeInput, now: Micros) -> NoticeOutput {
        let (state, output) = match (self.state, input) {
            (NoticeState::Quiet, NoticeInput::Wanted(count)) if count > 0 => {
                let count = count.min(self.max_batch_len);
                (
                    NoticeState::Sent { count, until: now.saturating_add(ATTEMPT_TIMEOUT) },
                    NoticeOutput::Send(count),
                )
            }
            (NoticeState::Sent { .. }, NoticeInput::Confirmed) => {
                self.max_batch_len = BATCH_MAX;
                (NoticeState::Quiet, NoticeOutput::Confirmed)
            }
            // From now on notices are sent one by one, to find the one that can't be parsed.
            (NoticeState::Sent { count, .. }, NoticeInput::Unreadable) if count > 1 => {
                self.max_batch_len = 1;
                (NoticeState::Quiet, NoticeOutput::Retry)
            }
            (NoticeState::Sent { .. }, NoticeInput::Unreadable) => {
                (NoticeState::Quiet, NoticeOutput::Discard)
            }
            (NoticeState::Sent { .. }, NoticeInput::DiscoveryMoved) => {
                (NoticeState::Quiet, NoticeOutput::Retry)
            }
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
    const ABOUT: &'static str = "`courier/core/src/machine/notices.rs`: notices are sent to the platform in batches, and retried until it has confirmed each of them.";

    fn states() -> Vec<Example<Self>> {
        let notices = |state, max_batch_len| Notices { state, max_batch_len };
        let sent = |count| NoticeState::Sent { count, until: 10 };
        examples([
            ("Quiet", "no notice is in flight", notices(NoticeState::Quiet, BATCH_MAX)),
            ("Sent", "several notices are in flight, for 0.25 s at most", notices(sent(2), BATCH_MAX)),
            ("SentOne", "a single notice is in flight", notices(sent(1), 1)),
            (
                "BackingOff",
                "a request has failed; the next one follows after 50 ms",
                notices(NoticeState::BackingOff { until: 10 }, BATCH_MAX),
            ),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("wanted", "several notices are to be sent", (NoticeInput::Wanted(2), 1)),
            ("confirmed", "the answer is 204", (NoticeInput::Confirmed, 1)),
            ("unreadable", "the answer is 400", (NoticeInput::Unreadable, 1)),
            ("lost", "another status, no answer, or a failed connection", (NoticeInput::Lost, 1)),
            ("moved", "discovery has moved", (NoticeInput::DiscoveryMoved, 1)),
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
