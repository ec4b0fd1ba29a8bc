//! The receiver of a handover: the process that starts.

use crate::machine::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;

/// The time without data after which the lock's owner counts as hung, in microseconds. The receiver kills it and restores
/// the state from the journal.
pub const OWNER_SILENCE_MAX: Micros = 1_500_000;
/// The interval between attempts to acquire the lock, in microseconds, for example while its owner hands over to another
/// process.
pub const LOCK_RETRY_INTERVAL: Micros = 50_000;
/// The time after which the receiver kills an owner that has not completed the handover, in microseconds. The receiver must
/// serve within 6 s of its start.
pub const KILL_OWNER_AFTER: Micros = 4_000_000;

/// The state of a [`HandoverReceiver`]. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReceiverState {
    /// Tries to acquire the lock.
    Locking {
        /// The time of the next try.
        retry_at: Micros,
    },
    /// Has requested a handover from the lock's owner.
    Requesting {
        /// The time at which the owner counts as hung if it sends nothing more.
        until: Micros,
    },
    /// Has received and confirmed all parts, and waits for the owner's report that the lock is released.
    Confirming {
        /// The time at which the owner counts as hung if it sends nothing more.
        until: Micros,
    },
    /// Has resumed from the transferred state.
    Resumed,
    /// Has restored the state from the journal.
    Restored,
}

/// An input of a [`HandoverReceiver`]: a result of locking, a message of the owner, or the timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverInput {
    /// This process has acquired the lock.
    Locked,
    /// Another process holds the lock.
    LockTaken,
    /// The owner can't hand over now: it is handing over to another process, or is starting.
    Busy,
    /// A part of the state has been received, which shows that the owner is not hung.
    Part,
    /// All parts have been received and decoded.
    Complete,
    /// The owner reports that it has released the lock.
    Released,
    /// The owner can't be reached, its connection broke, or its data can't be decoded.
    Lost,
    /// The time returned by [`HandoverReceiver::wake_at`] is reached.
    Tick,
}

/// What the driver of a [`HandoverReceiver`] must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverOutput {
    /// No action.
    Nothing,
    /// Try to acquire the lock, and report [`ReceiverInput::Locked`] or [`ReceiverInput::LockTaken`].
    Lock,
    /// Request a handover from the lock's owner.
    Request,
    /// Confirm to the owner that all parts have been received.
    Confirm,
    /// Kill the owner, which is hung or has not completed a handover, then try to acquire the lock.
    KillOwner,
    /// Resume from the transferred state.
    Resume,
    /// Restore the state from the journal.
    Restore,
}

/// The state machine of the process that starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HandoverReceiver {
    state: ReceiverState,
    /// The time from which on the owner is killed if it still holds the lock.
    kill_at: Micros,
    /// A handover was requested and has failed.
    handover_failed: bool,
    /// All parts were received and confirmed, and the owner has released the lock.
    handover_complete: bool,
}

impl HandoverReceiver {
    /// Creates a receiver that tries to acquire the lock at once.
    pub fn new(now: Micros) -> Self {
        let kill_at = now.saturating_add(KILL_OWNER_AFTER);
        HandoverReceiver {
            state: ReceiverState::Locking { retry_at: now },
            kill_at,
            handover_failed: false,
            handover_complete: false,
        }
    }

    /// The current state; [`ReceiverState::Resumed`] and [`ReceiverState::Restored`] are final.
    pub fn state(&self) -> ReceiverState {
        self.state
    }

    /// The time at which a [`ReceiverInput::Tick`] is due; `None` in a final state.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            ReceiverState::Locking { retry_at } => Some(retry_at),
            ReceiverState::Requesting { until } | ReceiverState::Confirming { until } => Some(until),
            ReceiverState::Resumed | ReceiverState::Restored => None,
        }
    }

    /// Applies an input at the time `now`, in microseconds.
    pub fn step(&mut self, input: ReceiverInput, now: Micros) -> ReceiverOutput {
        use ReceiverInput::*;
        use ReceiverState::*;
        let locking = Locking { retry_at: now.saturating_add(LOCK_RETRY_INTERVAL) };
        let requesting = Requesting { until: now.saturating_add(OWNER_SILENCE_MAX) };
        let (state, output) = match (self.state, input) {
            (Locking { .. }, Locked) if self.handover_complete => (Resumed, ReceiverOutput::Resume),
            (Locking { .. }, Locked) => (Restored, ReceiverOutput::Restore),
            // A third process has acquired the released lock, so the transferred state is stale.
            (Locking { .. }, LockTaken) if self.handover_complete => {
                self.handover_complete = false;
                (locking, ReceiverOutput::Nothing)
            }
            (Locking { .. }, LockTaken) if self.handover_failed || now >= self.kill_at => {
                self.handover_failed = false;
                // The next owner of the lock gets the full time for a handover of its own.
                self.kill_at = now.saturating_add(KILL_OWNER_AFTER);
                (locking, ReceiverOutput::KillOwner)
            }
            (Locking { .. }, LockTaken) => (requesting, ReceiverOutput::Request),
            (Locking { retry_at: due }, Tick) if now >= due => (locking, ReceiverOutput::Lock),
            (Requesting { .. }, Busy) => (locking, ReceiverOutput::Nothing),
            (Requesting { .. }, Part) => (requesting, ReceiverOutput::Nothing),
            (Requesting { .. }, Complete) => {
                (Confirming { until: now.saturating_add(OWNER_SILENCE_MAX) }, ReceiverOutput::Confirm)
            }
            (Requesting { .. } | Confirming { .. }, Lost) => {
                self.handover_failed = true;
                (locking, ReceiverOutput::Nothing)
            }
            (Requesting { until } | Confirming { until }, Tick) if now >= until => {
                self.handover_failed = true;
                (locking, ReceiverOutput::Nothing)
            }
            (Confirming { .. }, Released) => {
                self.handover_complete = true;
                (Locking { retry_at: now }, ReceiverOutput::Lock)
            }
            (state, _) => (state, ReceiverOutput::Nothing),
        };
        self.state = state;
        output
    }
}

impl Machine for HandoverReceiver {
    type Input = (ReceiverInput, Micros);
    const NAME: &'static str = "The receiver of a handover";
    const ABOUT: &'static str = "`courier/core/src/machine/handover/receiver.rs`: the process that starts, in a directory whose lock another process may hold.";

    fn states() -> Vec<Example<Self>> {
        let initial = HandoverReceiver::new(0);
        let receiver = |state| HandoverReceiver { state, ..initial };
        let locking = ReceiverState::Locking { retry_at: 0 };
        examples([
            ("Locking", "tries to acquire the lock", receiver(locking)),
            (
                "LockingFailed",
                "the same, after a handover that failed",
                HandoverReceiver { handover_failed: true, ..initial },
            ),
            (
                "LockingComplete",
                "the same, after the lock's owner released it",
                HandoverReceiver { handover_complete: true, ..initial },
            ),
            (
                "Requesting",
                "has requested a handover from the lock's owner",
                receiver(ReceiverState::Requesting { until: 1 }),
            ),
            (
                "Confirming",
                "has received and confirmed all parts",
                receiver(ReceiverState::Confirming { until: 1 }),
            ),
            (
                "Resumed",
                "continues from the transferred state",
                HandoverReceiver { handover_complete: true, ..receiver(ReceiverState::Resumed) },
            ),
            ("Restored", "continues from the journal", receiver(ReceiverState::Restored)),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("locked", "this process has the lock", (ReceiverInput::Locked, 1)),
            ("lock taken", "another process holds it", (ReceiverInput::LockTaken, 1)),
            ("busy", "the lock's owner hands over to another process", (ReceiverInput::Busy, 1)),
            ("part", "a part was received", (ReceiverInput::Part, 1)),
            ("complete", "all parts were received and can be decoded", (ReceiverInput::Complete, 1)),
            ("released", "the lock's owner has released it", (ReceiverInput::Released, 1)),
            ("lost", "the owner can't be reached, or its data can't be decoded", (ReceiverInput::Lost, 1)),
            ("tick", "the timeout of the state has expired", (ReceiverInput::Tick, 1)),
        ])
    }

    fn state(&self) -> &'static str {
        match self.state {
            ReceiverState::Locking { .. } if self.handover_complete => "LockingComplete",
            ReceiverState::Locking { .. } if self.handover_failed => "LockingFailed",
            ReceiverState::Locking { .. } => "Locking",
            ReceiverState::Requesting { .. } => "Requesting",
            ReceiverState::Confirming { .. } => "Confirming",
            ReceiverState::Resumed => "Resumed",
            ReceiverState::Restored => "Restored",
        }
    }

    fn apply(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            ReceiverOutput::Nothing => "",
            ReceiverOutput::Lock => "try to acquire the lock",
            ReceiverOutput::Request => "request a handover",
            ReceiverOutput::Confirm => "confirm",
            ReceiverOutput::KillOwner => "kill the lock's owner",
            ReceiverOutput::Resume => "resume",
            ReceiverOutput::Restore => "restore",
        }
        .to_string()
    }
}
