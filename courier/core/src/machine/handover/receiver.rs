//! The receiver of a handover: the process that starts and takes over.

use crate::machine::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;

/// An owner of the lock that sends nothing for this long hangs, in microseconds: it is killed, and its journal restored.
pub const OWNER_SILENCE_MAX: Micros = 1_500_000;
/// How long after an owner reported that it hands over to another process the lock is tried again, in microseconds.
pub const LOCK_RETRY_INTERVAL: Micros = 50_000;
/// If the owner has not handed over within this, the receiver kills it, in microseconds: the receiver must serve within
/// 6 s.
pub const KILL_OWNER_AFTER: Micros = 4_000_000;

/// The state of a [`HandoverReceiver`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReceiverState {
    /// Tries for the lock.
    Locking {
        /// When it tries next.
        retry_at: Micros,
    },
    /// Has requested a handover from the lock's owner.
    Requesting {
        /// When the owner counts as failed if nothing more is received.
        until: Micros,
    },
    /// Has all parts, has confirmed them, and waits until the owner reports that the lock is free.
    Confirming {
        /// When the owner counts as failed if nothing more is received.
        until: Micros,
    },
    /// Has resumed from the state that was handed over.
    Resumed,
    /// Has restored from the journal.
    Restored,
}

/// What happens to a [`HandoverReceiver`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverInput {
    /// The lock is this process's.
    Locked,
    /// Another process has the lock.
    LockTaken,
    /// The owner is handing over to another process, or is starting.
    Busy,
    /// A part has been received.
    Part,
    /// All parts have been received and can be read.
    Complete,
    /// The owner has released the lock.
    Released,
    /// The owner can't be reached, its connection broke, or what it sent can't be read.
    Lost,
    /// The time of [`HandoverReceiver::wake_at`] is reached.
    Tick,
}

/// What the driver of a [`HandoverReceiver`] is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverOutput {
    /// Nothing.
    Nothing,
    /// Try for the lock.
    Lock,
    /// Request a handover from the lock's owner.
    Request,
    /// Confirm that all parts have been received.
    Confirm,
    /// Kill the owner, which hangs or does not hand over, then try for the lock.
    KillOwner,
    /// Resume from the state that was handed over.
    Resume,
    /// Restore from the journal.
    Restore,
}

/// The machine of the process that starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HandoverReceiver {
    state: ReceiverState,
    /// When the owner is killed if it has not handed over.
    latest: Micros,
    /// A handover was requested in vain.
    failed: bool,
    /// What was received was confirmed, and the owner has released the lock.
    complete: bool,
}

impl HandoverReceiver {
    /// A receiver that is to try for the lock at once.
    pub fn new(now: Micros) -> Self {
        let latest = now.saturating_add(KILL_OWNER_AFTER);
        HandoverReceiver {
            state: ReceiverState::Locking { retry_at: now },
            latest,
            failed: false,
            complete: false,
        }
    }

    /// The current state.
    pub fn state(&self) -> ReceiverState {
        self.state
    }

    /// When a [`ReceiverInput::Tick`] is due.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            ReceiverState::Locking { retry_at } => Some(retry_at),
            ReceiverState::Requesting { until } | ReceiverState::Confirming { until } => Some(until),
            ReceiverState::Resumed | ReceiverState::Restored => None,
        }
    }

    /// Applies an input at the time `now`.
    pub fn step(&mut self, input: ReceiverInput, now: Micros) -> ReceiverOutput {
        use ReceiverInput::*;
        use ReceiverState::*;
        let locking = Locking { retry_at: now.saturating_add(LOCK_RETRY_INTERVAL) };
        let requesting = Requesting { until: now.saturating_add(OWNER_SILENCE_MAX) };
        let (state, output) = match (self.state, input) {
            (Locking { .. }, Locked) if self.complete => (Resumed, ReceiverOutput::Resume),
            (Locking { .. }, Locked) => (Restored, ReceiverOutput::Restore),
            // A third process has taken the released lock: the state that was handed over is out of date.
            (Locking { .. }, LockTaken) if self.complete => {
                self.complete = false;
                (locking, ReceiverOutput::Nothing)
            }
            (Locking { .. }, LockTaken) if self.failed || now >= self.latest => {
                self.failed = false;
                // The lock's next owner has not received a request yet.
                self.latest = now.saturating_add(KILL_OWNER_AFTER);
                (locking, ReceiverOutput::KillOwner)
            }
            (Locking { .. }, LockTaken) => (requesting, ReceiverOutput::Request),
            (Locking { retry_at: at }, Tick) if now >= at => (locking, ReceiverOutput::Lock),
            (Requesting { .. }, Busy) => (locking, ReceiverOutput::Nothing),
            (Requesting { .. }, Part) => (requesting, ReceiverOutput::Nothing),
            (Requesting { .. }, Complete) => {
                (Confirming { until: now.saturating_add(OWNER_SILENCE_MAX) }, ReceiverOutput::Confirm)
            }
            (Requesting { .. } | Confirming { .. }, Lost) => {
                self.failed = true;
                (locking, ReceiverOutput::Nothing)
            }
            (Requesting { until } | Confirming { until }, Tick) if now >= until => {
                self.failed = true;
                (locking, ReceiverOutput::Nothing)
            }
            (Confirming { .. }, Released) => {
                self.complete = true;
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
    const ABOUT: &'static str = "`courier/core/src/machine/handover/receiver.rs`: the process that starts, in the folder of another one that may be running.";

    fn states() -> Vec<Example<Self>> {
        let fresh = HandoverReceiver::new(0);
        let at = |state| HandoverReceiver { state, ..fresh };
        let locking = ReceiverState::Locking { retry_at: 0 };
        examples([
            ("Locking", "tries for the lock", at(locking)),
            (
                "LockingFailed",
                "the same, after a handover that failed",
                HandoverReceiver { failed: true, ..fresh },
            ),
            (
                "LockingComplete",
                "the same, after the lock's owner released it",
                HandoverReceiver { complete: true, ..fresh },
            ),
            (
                "Requesting",
                "has requested a handover from the lock's owner",
                at(ReceiverState::Requesting { until: 1 }),
            ),
            (
                "Confirming",
                "has all parts, and has confirmed them",
                at(ReceiverState::Confirming { until: 1 }),
            ),
            (
                "Resumed",
                "continues from the state that was handed over",
                HandoverReceiver { complete: true, ..at(ReceiverState::Resumed) },
            ),
            ("Restored", "continues from the journal", at(ReceiverState::Restored)),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("locked", "this process has the lock", (ReceiverInput::Locked, 1)),
            ("lock taken", "another process has it", (ReceiverInput::LockTaken, 1)),
            ("busy", "the lock's owner hands over to another process", (ReceiverInput::Busy, 1)),
            ("part", "a part was received", (ReceiverInput::Part, 1)),
            ("complete", "all parts were received and can be decoded", (ReceiverInput::Complete, 1)),
            ("released", "the lock's owner has released it", (ReceiverInput::Released, 1)),
            ("lost", "the connection broke, or its data can't be decoded", (ReceiverInput::Lost, 1)),
            ("tick", "the time-out of the state has passed", (ReceiverInput::Tick, 1)),
        ])
    }

    fn state(&self) -> &'static str {
        match self.state {
            ReceiverState::Locking { .. } if self.complete => "LockingComplete",
            ReceiverState::Locking { .. } if self.failed => "LockingFailed",
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
            ReceiverOutput::Lock => "try for the lock",
            ReceiverOutput::Request => "request a handover",
            ReceiverOutput::Confirm => "confirm",
            ReceiverOutput::KillOwner => "kill the lock's owner",
            ReceiverOutput::Resume => "resume",
            ReceiverOutput::Restore => "restore",
        }
        .to_string()
    }
}
