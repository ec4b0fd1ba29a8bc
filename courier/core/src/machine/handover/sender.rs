//! The process that decides now and hands over.

use crate::machine::transition_table::Machine;
use quillmount_policy::Micros;

/// The sender's tasks must give up their parts within this, in microseconds: each does when it next waits.
pub const COLLECT_TIMEOUT: Micros = 150_000;
/// The receiver must confirm within this, in microseconds: nobody decides until then, and clients wait 0.4 s for an answer.
pub const TRANSFER_TIMEOUT: Micros = 200_000;

/// The state of a [`HandoverSender`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SenderState {
    /// The process decides, and no other has asked for a handover.
    #[default]
    Deciding,
    /// Its tasks give up their parts.
    Collecting {
        /// When the handover is abandoned.
        until: Micros,
    },
    /// Nothing is decided: all parts are sent, and the receiver is to confirm them.
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
    /// A receiver asks that can read what this process writes.
    Requested,
    /// Each task has given up its part, or has nothing to give.
    Collected,
    /// The receiver has confirmed all parts.
    Received,
    /// The receiver's connection broke, or it sent what can't be read.
    Lost,
    /// The time of [`HandoverSender::wake_at`] has come.
    Tick,
}

/// What the driver of a [`HandoverSender`] is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderOutput {
    /// Nothing.
    Nothing,
    /// Have the tasks give up their parts.
    Collect,
    /// Send the state and the parts.
    Send,
    /// Put the parts back to work: nothing has been handed over.
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

    /// When a [`SenderInput::Tick`] is wanted.
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
            // A task that does not give up its part would go on working beside the next process.
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
    const NAME: &'static str = "The sender of an upgrade";
    const ABOUT: &'static str =
        "`courier/core/src/machine/handover.rs`: the process that decides, and hands over to the next.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let at = |state| HandoverSender { state };
        vec![
            ("Deciding", "nobody has asked", at(SenderState::Deciding)),
            ("Collecting", "its tasks give up their parts", at(SenderState::Collecting { until: 1 })),
            ("Sending", "nothing is decided; all is on its way", at(SenderState::Sending { until: 1 })),
            ("Gone", "another decides", at(SenderState::Gone)),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("asked", "a receiver of the same version and settings", (SenderInput::Requested, 1)),
            ("collected", "each task has given up its part", (SenderInput::Collected, 1)),
            ("got", "the receiver has all of it", (SenderInput::Received, 1)),
            ("lost", "the receiver's connection broke", (SenderInput::Lost, 1)),
            ("tick", "the state's time is up", (SenderInput::Tick, 1)),
        ]
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
            SenderOutput::Collect => "collect",
            SenderOutput::Send => "send all",
            SenderOutput::TakeBack => "take back",
            SenderOutput::Release => "let go of the lock, say so",
            SenderOutput::Busy => "say busy",
        }
        .to_string()
    }
}
