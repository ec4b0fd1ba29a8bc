//! The sender of a handover: the process that holds the lock and makes the decisions.

use crate::machine::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;

/// The time within which the sender's tasks must release their parts, in microseconds. Each task does so when it next
/// waits for I/O or a timer.
pub const COLLECT_TIMEOUT: Micros = 150_000;
/// The time within which the receiver must confirm the parts, in microseconds. No process makes decisions until then, and
/// clients wait 0.4 s for an answer.
pub const TRANSFER_TIMEOUT: Micros = 200_000;

/// The state of a [`HandoverSender`]. Times are in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SenderState {
    /// The process makes the decisions, and no handover is in progress.
    #[default]
    Deciding,
    /// The tasks of the process release their parts: connections and the calls on them.
    Collecting {
        /// The time at which the handover is abandoned.
        until: Micros,
    },
    /// All parts are sent, and the receiver has not confirmed them yet. No decisions are made.
    Sending {
        /// The time at which the handover is abandoned.
        until: Micros,
    },
    /// The lock is released, and another process makes the decisions.
    Gone,
}

/// An input of a [`HandoverSender`]: a message of the receiver, progress of the tasks, or the timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderInput {
    /// A receiver that can decode this process's state has requested a handover.
    Requested,
    /// All tasks have released their parts.
    Collected,
    /// The receiver has confirmed that it has all parts.
    Received,
    /// The connection to the receiver broke, or its data can't be decoded.
    Lost,
    /// The time returned by [`HandoverSender::wake_at`] is reached.
    Tick,
}

/// What the driver of a [`HandoverSender`] must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderOutput {
    /// No action.
    Nothing,
    /// Signal the tasks to release their parts.
    Collect,
    /// Send the state and all parts to the receiver.
    Send,
    /// Abandon the handover and resume the released parts in this process.
    ResumeParts,
    /// Release the lock, then report it to the receiver.
    Release,
    /// Answer that a handover to another receiver is in progress.
    Busy,
}

/// The state machine of the process that hands over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HandoverSender {
    state: SenderState,
}

impl HandoverSender {
    /// The current state; [`SenderState::Gone`] is final.
    pub fn state(&self) -> SenderState {
        self.state
    }

    /// The time at which a [`SenderInput::Tick`] is due, if a handover is in progress.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            SenderState::Collecting { until } | SenderState::Sending { until } => Some(until),
            SenderState::Deciding | SenderState::Gone => None,
        }
    }

    /// Applies an input at the time `now`, in microseconds.
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
            // Without its part the handover can't continue: a task that has not released it would run in parallel with the
            // receiver.
            (Collecting { until } | Sending { until }, Tick) if now >= until => {
                (Deciding, SenderOutput::ResumeParts)
            }
            (Collecting { .. } | Sending { .. }, Lost) => (Deciding, SenderOutput::ResumeParts),
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
    const ABOUT: &'static str = "`courier/core/src/machine/handover/sender.rs`: the process that makes the decisions and hands over to the next one.";

    fn states() -> Vec<Example<Self>> {
        let sender = |state| HandoverSender { state };
        examples([
            ("Deciding", "no handover was requested", sender(SenderState::Deciding)),
            ("Collecting", "its tasks release their parts", sender(SenderState::Collecting { until: 1 })),
            (
                "Sending",
                "all parts are sent; no decisions are made",
                sender(SenderState::Sending { until: 1 }),
            ),
            ("Gone", "another process makes the decisions", sender(SenderState::Gone)),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("requested", "by a receiver of the same version and settings", (SenderInput::Requested, 1)),
            ("collected", "each task has released its part", (SenderInput::Collected, 1)),
            ("received", "the receiver has all parts", (SenderInput::Received, 1)),
            ("lost", "the receiver's connection broke", (SenderInput::Lost, 1)),
            ("tick", "the timeout of the state has expired", (SenderInput::Tick, 1)),
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
            SenderOutput::ResumeParts => "resume the parts",
            SenderOutput::Release => "release the lock and report it",
            SenderOutput::Busy => "answer that it is busy",
        }
        .to_string()
    }
}
