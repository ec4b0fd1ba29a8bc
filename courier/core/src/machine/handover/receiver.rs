//! The process that starts and takes over.

use crate::machine::transition_table::Machine;
use quillmount_policy::Micros;

/// An owner of the lock that sends nothing for so long hangs, in microseconds: it is killed, and its journal restored.
pub const OWNER_SILENCE_MAX: Micros = 1_500_000;
/// How long after an owner said that it hands over to another the lock is tried again, in microseconds.
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
    /// Has asked the lock's owner for a handover.
    Requesting {
        /// When the owner counts as failed if nothing more comes.
        until: Micros,
    },
    /// Has all parts, has confirmed them, and waits until the owner says that the lock is free.
    Confirming {
        /// When the owner counts as failed if nothing more comes.
        until: Micros,
    },
    /// Has resumed from what was handed over.
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
    /// The time of [`HandoverReceiver::wake_at`] has come.
    Tick,
}

/// What the driver of a [`HandoverReceiver`] is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverOutput {
    /// Nothing.
    Nothing,
    /// Try for the lock.
    Lock,
    /// Ask the lock's owner for a handover.
    Request,
    /// Confirm that all parts have been received.
    Confirm,
    /// Kill the owner, which hangs or does not hand over, then try for the lock.
    KillOwner,
    /// Resume from what was handed over.
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

    /// When a [`ReceiverInput::Tick`] is wanted.
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
            // A third process has taken the released lock: what was handed over here is of no use.
            (Locking { .. }, LockTaken) if self.complete => {
                self.complete = false;
                (locking, ReceiverOutput::Nothing)
            }
            (Locking { .. }, LockTaken) if self.failed || now >= self.latest => {
                self.failed = false;
                // The lock's next owner has not been asked yet.
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
    const NAME: &'static str = "The receiver of an upgrade";
    const ABOUT: &'static str = "`courier/core/src/machine/handover.rs`: the process that starts, with the folder of one that may run.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let fresh = HandoverReceiver::new(0);
        let at = |state| HandoverReceiver { state, ..fresh };
        let locking = ReceiverState::Locking { retry_at: 0 };
        vec![
            ("Locking", "tries for the lock", at(locking)),
            ("LockingFailed", "the same, asked in vain", HandoverReceiver { failed: true, ..fresh }),
            (
                "LockingComplete",
                "the same, and the lock's owner let go",
                HandoverReceiver { complete: true, ..fresh },
            ),
            ("Requesting", "has asked the lock's owner", at(ReceiverState::Requesting { until: 1 })),
            ("Confirming", "has all, and has said so", at(ReceiverState::Confirming { until: 1 })),
            (
                "Resumed",
                "goes on from what it was handed",
                HandoverReceiver { complete: true, ..at(ReceiverState::Resumed) },
            ),
            ("Restored", "goes on from the journal", at(ReceiverState::Restored)),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("locked", "the lock is this process's", (ReceiverInput::Locked, 1)),
            ("held", "another holds it", (ReceiverInput::LockTaken, 1)),
            ("busy", "the lock's owner hands over to another", (ReceiverInput::Busy, 1)),
            ("part", "a part has come", (ReceiverInput::Part, 1)),
            ("all", "all has come, and can be read", (ReceiverInput::Complete, 1)),
            ("let go", "the lock's owner has let go", (ReceiverInput::Released, 1)),
            ("lost", "the connection broke, or it can't be read", (ReceiverInput::Lost, 1)),
            ("tick", "the state's time is up", (ReceiverInput::Tick, 1)),
        ]
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
            ReceiverOutput::Request => "ask",
            ReceiverOutput::Confirm => "confirm",
            ReceiverOutput::KillOwner => "end the lock's owner",
            ReceiverOutput::Resume => "resume",
            ReceiverOutput::Restore => "restore",
        }
        .to_string()
    }
}
