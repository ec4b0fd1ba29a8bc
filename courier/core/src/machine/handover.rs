//! An upgrade: one process hands all that it is doing to the next, which has the same folder.
//!
//! Who holds the folder's lock decides and writes the journal. The sender lets go of the lock last, with the word that
//! it does, and the receiver goes on from what it was handed only if it hears so; else it restores from the journal once the
//! lock is free.

use super::Machine;
use quillmount_policy::Micros;

/// The sender's tasks give up their parts within this: each does when it is next waiting.
pub const COLLECT_TIMEOUT: Micros = 150_000;
/// Nobody decides while a receiver is silent; clients wait 0.4 s for a word.
pub const TRANSFER_TIMEOUT: Micros = 200_000;
/// A holder of the lock that says nothing for so long hangs: it is ended, and its journal taken up.
pub const OWNER_SILENCE_MAX: Micros = 1_500_000;
/// After a holder said that it is handing over to another.
pub const LOCK_RETRY_INTERVAL: Micros = 50_000;
/// Asked in vain until then, the receiver ends the holder: it is to serve within 6 s.
pub const KILL_OWNER_AFTER: Micros = 4_000_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SenderState {
    #[default]
    Deciding,
    /// Its tasks give up their parts.
    Collecting { until: Micros },
    /// Nothing is decided: all is sent, and its arrival is to be confirmed.
    Sending { until: Micros },
    /// The lock is free, and another decides.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderInput {
    /// A receiver that reads what this process writes.
    Requested,
    /// Each task has given up its part, or has nothing to give.
    Collected,
    /// The receiver has all of it.
    Received,
    /// The receiver's connection broke, or it said what can't be read.
    Lost,
    /// The time that the state waits for has come.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderOutput {
    Nothing,
    Collect,
    /// Send the state and the parts.
    Send,
    /// Put the parts back to work: nothing has been handed over.
    TakeBack,
    /// Let go of the lock, then say so.
    Release,
    /// Say that another is being served.
    Busy,
}

/// The process that decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HandoverSender {
    state: SenderState,
}

impl HandoverSender {
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
            // A task that does not give its part up would go on beside the next process.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReceiverState {
    /// Holds nothing yet; the lock decides.
    Locking { retry_at: Micros },
    /// Has asked the lock's holder, and hears it until then at the latest.
    Requesting { until: Micros },
    /// Has all, has said so, and waits for the word that the lock is free.
    Confirming { until: Micros },
    /// Goes on from what it was handed.
    Resumed,
    /// Goes on from the journal.
    Restored,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverInput {
    /// The lock is this process's.
    Locked,
    /// Another holds it.
    LockTaken,
    /// The holder is handing over to another process, or starts.
    Busy,
    /// A part has come.
    Part,
    /// All of it has come and can be read.
    Complete,
    /// The holder has let go.
    Released,
    /// The holder can't be reached, its connection broke, or what it said can't be read.
    Lost,
    /// The time that the state waits for has come.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverOutput {
    Nothing,
    /// Try for the lock.
    Lock,
    /// Ask the lock's holder.
    Request,
    /// Say that all has come.
    Confirm,
    /// End the holder, then try for the lock: it hangs, or does not hand over.
    KillOwner,
    /// Go on from what was handed over.
    Resume,
    /// Go on from the journal.
    Restore,
}

/// The process that starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HandoverReceiver {
    state: ReceiverState,
    /// When the holder is ended, if it has not handed over by then.
    latest: Micros,
    /// The holder was asked in vain.
    failed: bool,
    /// What came was confirmed, and the holder has let go.
    complete: bool,
}

impl HandoverReceiver {
    /// Its first [`ReceiverOutput`] is to try for the lock.
    pub fn new(now: Micros) -> Self {
        let latest = now.saturating_add(KILL_OWNER_AFTER);
        HandoverReceiver {
            state: ReceiverState::Locking { retry_at: now },
            latest,
            failed: false,
            complete: false,
        }
    }

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

    pub fn step(&mut self, input: ReceiverInput, now: Micros) -> ReceiverOutput {
        use ReceiverInput::*;
        use ReceiverState::*;
        let locking = Locking { retry_at: now.saturating_add(LOCK_RETRY_INTERVAL) };
        let asking = Requesting { until: now.saturating_add(OWNER_SILENCE_MAX) };
        let (state, output) = match (self.state, input) {
            (Locking { .. }, Locked) if self.complete => (Resumed, ReceiverOutput::Resume),
            (Locking { .. }, Locked) => (Restored, ReceiverOutput::Restore),
            // Let go of, and taken by a third: what was handed over here is of no use.
            (Locking { .. }, LockTaken) if self.complete => {
                self.complete = false;
                (locking, ReceiverOutput::Nothing)
            }
            (Locking { .. }, LockTaken) if self.failed || now >= self.latest => {
                self.failed = false;
                // Whoever holds the lock from here on has not been asked yet.
                self.latest = now.saturating_add(KILL_OWNER_AFTER);
                (locking, ReceiverOutput::KillOwner)
            }
            (Locking { .. }, LockTaken) => (asking, ReceiverOutput::Request),
            (Locking { retry_at: at }, Tick) if now >= at => (locking, ReceiverOutput::Lock),
            (Requesting { .. }, Busy) => (locking, ReceiverOutput::Nothing),
            (Requesting { .. }, Part) => (asking, ReceiverOutput::Nothing),
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
