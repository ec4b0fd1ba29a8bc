//! The sender of a handover: the process that decides now.

use crate::machine::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;

/// The sender's tasks must release their parts within this, in microseconds: each does when it next waits.
pub const COLLECT_TIMEOUT: Micros = 150_000;
/// The receiver must confirm within this, in microseconds: no process decides until then, and clients wait 0.4 s for an answer.
pub const TRANSFER_TIMEOUT: Micros = 200_000;

/// The state of a [`HandoverSender`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SenderState {
    /// The process decides, and no handover was requested.
    #[default]
    Deciding,
    /// Its tasks release their parts.
    Collecting {
        /// When the handover is abandoned.
        until: Micros,
    },
    /// All parts are sent and the receiver is to confirm them; no decisions are made.
    Sending {
        /// When the handover is abandoned.
        until: Micros,
    },
    /// The lock is free, and another process decides.
    Gone,
}

/// What happens to a [`HandoverSender`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderInput {
    /// A receiver that can decode this process's state has requested a handover.
    Requested,
    /// Each task has released its part or has none.
    Collected,
    /// The receiver has confirmed all parts.
    Received,
    /// The receiver's connection broke, or it sent what can't be read.
    Lost,
    /// The time of [`HandoverSender::wake_at`] is reached.
    Tick,
}

/// What the driver of a [`HandoverSender`] is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderOutput {
    /// Nothing.
    Nothing,
    /// Have the tasks release their parts.
    Collect,
    /// Send the state and the parts.
    Send,
    /// Resume the parts here: nothing has been handed over.
    TakeBack,
    /// Release the lock, then notify the receiver.
    Release,
    /// Answer that another receiver is being served.
    Busy,
}

/// The machine of the process that decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HandoverSender {
    state: SenderState,
}

impl HandoverSender {
    /// The current state.
    pub fn state(&self) -> SenderState {
        self.state
    }

    /// When a [`SenderInput::Tick`] is due.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            SenderState::Collecting { until } | SenderState::Sending { until } => Some(until),
            SenderState::Deciding | SenderState::Gone => None,
        }
    }

    /// Applies an input at the time `now`.
    pub fn step(&mut self, input: SenderInput, now: Micros) -> SenderOutput {
        use SenderInput::*;
        use SenderState::*;
        let (state, output) = match (self.state, input) {
            (Deciding, Requested) => {
                (Collecting { until: now.saturating_add(COLLECT_TIMEOUT) }, SenderOutput::Collect)
            }
            (state, Requested) => (state, SenderOutput::Busy),
            (Collecting { .. }, Collected) => {
                (Sending { until: now.saturating_add(TRANSFER_TIMEOUT) }, SenderOutput::Send)
            }
            // A task that does not release its part would continue in parallel with the next process.
            (Collecting { until } | Sending { until }, Tick) if now >= until => {
                (Deciding, SenderOutput::TakeBack)
            }
            (Collecting { .. } | Sending { .. }, Lost) => (Deciding, SenderOutput::TakeBack),
            (Sending { .. }, Received) => (Gone, SenderOutput::Release),
            (state, _) => (state, SenderOutput::Nothing),
        };
        self.state = state;
        output
    }
}

impl Machine for HandoverSender {
    type Input = (SenderInput, Micros);
    const NAME: &'static str = "The sender of a handover";
    const ABOUT: &'static str = "`courier/core/src/machine/handover/sender.rs`: the process that decides, and hands over to the next one.";

    fn states() -> Vec<Example<Self>> {
        let at = |state| HandoverSender { state };
        examples([
            ("Deciding", "no handover was requested", at(SenderState::Deciding)),
            ("Collecting", "its tasks release their parts", at(SenderState::Collecting { until: 1 })),
            ("Sending", "all parts are sent; no decisions are made", at(SenderState::Sending { until: 1 })),
            ("Gone", "another process decides", at(SenderState::Gone)),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("requested", "by a receiver of the same version and settings", (SenderInput::Requested, 1)),
            ("collected", "each task has released its part", (SenderInput::Collected, 1)),
            ("received", "the receiver has all parts", (SenderInput::Received, 1)),
            ("lost", "the receiver's connection broke", (SenderInput::Lost, 1)),
            ("tick", "the time-out of the state has passed", (SenderInput::Tick, 1)),
        ])
    }

    fn state(&self) -> &'static str {
        match self.state {
            SenderState::Deciding => "Deciding",
            SenderState::Collecting { .. } => "Collecting",
            SenderState::Sending { .. } => "Sending",
            SenderState::Gone => "Gone",
        }
    }

    fn apply(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            SenderOutput::Nothing => "",
            SenderOutput::Collect => "collect parts",
            SenderOutput::Send => "send all parts",
            SenderOutput::TakeBack => "resume the parts",
            SenderOutput::Release => "release the lock and report it",
            SenderOutput::Busy => "answer that it is busy",
        }
        .to_string()
    }
}
