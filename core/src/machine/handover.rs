//! An upgrade: one process hands all that it is doing to the next, which has the same folder.
//!
//! Who holds the folder's lock decides and writes the journal. The giver lets go of the lock last, with the word that
//! it does, and the taker goes on from what it was handed only if it hears so; else it restores from the journal once the
//! lock is free.

use super::Machine;
use spurshore::Micros;

/// The giver's tasks give up their parts within this: each does when it is next waiting.
pub const COLLECT: Micros = 150_000;
/// Nobody decides while a taker is silent; consumers wait 0.4 s for a word.
pub const PATIENCE: Micros = 200_000;
/// A holder of the lock that says nothing for so long hangs: it is ended, and its journal taken up.
pub const SILENCE: Micros = 1_500_000;
/// After a holder said that it is handing over to another.
pub const AGAIN: Micros = 50_000;
/// Asked in vain until then, the taker ends the holder: it is to serve within 6 s.
pub const LATEST: Micros = 4_000_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum GiverState {
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
pub enum GiverInput {
    /// A taker that reads what this process writes.
    Asked,
    /// Each task has given up its part, or has nothing to give.
    Collected,
    /// The taker has all of it.
    Got,
    /// The taker's connection broke, or it said what can't be read.
    Lost,
    /// The time that the state waits for has come.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiverOutput {
    Nothing,
    Collect,
    /// Send the state and the parts.
    Send,
    /// Put the parts back to work: nothing has been handed over.
    TakeBack,
    /// Let go of the lock, then say so.
    LetGo,
    /// Say that another is being served.
    Busy,
}

/// The process that decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Giver {
    state: GiverState,
}

impl Giver {
    pub fn state(&self) -> GiverState {
        self.state
    }

    /// When a [`GiverInput::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            GiverState::Collecting { until } | GiverState::Sending { until } => Some(until),
            GiverState::Deciding | GiverState::Gone => None,
        }
    }

    pub fn step(&mut self, input: GiverInput, now: Micros) -> GiverOutput {
        use GiverInput::*;
        use GiverState::*;
        let (state, output) = match (self.state, input) {
            (Deciding, Asked) => (Collecting { until: now.saturating_add(COLLECT) }, GiverOutput::Collect),
            (state, Asked) => (state, GiverOutput::Busy),
            (Collecting { .. }, Collected) => {
                (Sending { until: now.saturating_add(PATIENCE) }, GiverOutput::Send)
            }
            // A task that does not give its part up would go on beside the next process.
            (Collecting { until } | Sending { until }, Tick) if now >= until => {
                (Deciding, GiverOutput::TakeBack)
            }
            (Collecting { .. } | Sending { .. }, Lost) => (Deciding, GiverOutput::TakeBack),
            (Sending { .. }, Got) => (Gone, GiverOutput::LetGo),
            (state, _) => (state, GiverOutput::Nothing),
        };
        self.state = state;
        output
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TakerState {
    /// Holds nothing yet; the lock decides.
    Locking { again: Micros },
    /// Has asked the lock's holder, and hears it until then at the latest.
    Asking { until: Micros },
    /// Has all, has said so, and waits for the word that the lock is free.
    Confirming { until: Micros },
    /// Goes on from what it was handed.
    Resumed,
    /// Goes on from the journal.
    Restored,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakerInput {
    /// The lock is this process's.
    Locked,
    /// Another holds it.
    Held,
    /// The holder is handing over to another process, or starts.
    Busy,
    /// A part has come.
    Part,
    /// All of it has come and can be read.
    All,
    /// The holder has let go.
    LetGo,
    /// The holder can't be reached, its connection broke, or what it said can't be read.
    Lost,
    /// The time that the state waits for has come.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakerOutput {
    Nothing,
    /// Try for the lock.
    Lock,
    /// Ask the lock's holder.
    Ask,
    /// Say that all has come.
    Confirm,
    /// End the holder, then try for the lock: it hangs, or does not hand over.
    End,
    /// Go on from what was handed over.
    Resume,
    /// Go on from the journal.
    Restore,
}

/// The process that starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Taker {
    state: TakerState,
    /// When the holder is ended, if it has not handed over by then.
    latest: Micros,
    /// The holder was asked in vain.
    failed: bool,
    /// What came was confirmed, and the holder has let go.
    whole: bool,
}

impl Taker {
    /// Its first [`TakerOutput`] is to try for the lock.
    pub fn new(now: Micros) -> Self {
        let latest = now.saturating_add(LATEST);
        Taker { state: TakerState::Locking { again: now }, latest, failed: false, whole: false }
    }

    pub fn state(&self) -> TakerState {
        self.state
    }

    /// When a [`TakerInput::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            TakerState::Locking { again } => Some(again),
            TakerState::Asking { until } | TakerState::Confirming { until } => Some(until),
            TakerState::Resumed | TakerState::Restored => None,
        }
    }

    pub fn step(&mut self, input: TakerInput, now: Micros) -> TakerOutput {
        use TakerInput::*;
        use TakerState::*;
        let again = Locking { again: now.saturating_add(AGAIN) };
        let asking = Asking { until: now.saturating_add(SILENCE) };
        let (state, output) = match (self.state, input) {
            (Locking { .. }, Locked) if self.whole => (Resumed, TakerOutput::Resume),
            (Locking { .. }, Locked) => (Restored, TakerOutput::Restore),
            // Let go of, and taken by a third: what was handed over here is of no use.
            (Locking { .. }, Held) if self.whole => {
                self.whole = false;
                (again, TakerOutput::Nothing)
            }
            (Locking { .. }, Held) if self.failed || now >= self.latest => {
                self.failed = false;
                // Whoever holds the lock from here on has not been asked yet.
                self.latest = now.saturating_add(LATEST);
                (again, TakerOutput::End)
            }
            (Locking { .. }, Held) => (asking, TakerOutput::Ask),
            (Locking { again: at }, Tick) if now >= at => (again, TakerOutput::Lock),
            (Asking { .. }, Busy) => (again, TakerOutput::Nothing),
            (Asking { .. }, Part) => (asking, TakerOutput::Nothing),
            (Asking { .. }, All) => (Confirming { until: now.saturating_add(SILENCE) }, TakerOutput::Confirm),
            (Asking { .. } | Confirming { .. }, Lost) => {
                self.failed = true;
                (again, TakerOutput::Nothing)
            }
            (Asking { until } | Confirming { until }, Tick) if now >= until => {
                self.failed = true;
                (again, TakerOutput::Nothing)
            }
            (Confirming { .. }, LetGo) => {
                self.whole = true;
                (Locking { again: now }, TakerOutput::Lock)
            }
            (state, _) => (state, TakerOutput::Nothing),
        };
        self.state = state;
        output
    }
}

impl Machine for Giver {
    type Input = (GiverInput, Micros);
    const NAME: &'static str = "The giver of an upgrade";
    const ABOUT: &'static str =
        "`core/src/machine/handover.rs`: the process that decides, and hands over to the next.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let at = |state| Giver { state };
        vec![
            ("Deciding", "nobody has asked", at(GiverState::Deciding)),
            ("Collecting", "its tasks give up their parts", at(GiverState::Collecting { until: 1 })),
            ("Sending", "nothing is decided; all is on its way", at(GiverState::Sending { until: 1 })),
            ("Gone", "another decides", at(GiverState::Gone)),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("asked", "a taker of the same version and settings", (GiverInput::Asked, 1)),
            ("collected", "each task has given up its part", (GiverInput::Collected, 1)),
            ("got", "the taker has all of it", (GiverInput::Got, 1)),
            ("lost", "the taker's connection broke", (GiverInput::Lost, 1)),
            ("tick", "the state's time is up", (GiverInput::Tick, 1)),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            GiverState::Deciding => "Deciding",
            GiverState::Collecting { .. } => "Collecting",
            GiverState::Sending { .. } => "Sending",
            GiverState::Gone => "Gone",
        }
    }

    fn take(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            GiverOutput::Nothing => "",
            GiverOutput::Collect => "collect",
            GiverOutput::Send => "send all",
            GiverOutput::TakeBack => "take back",
            GiverOutput::LetGo => "let go of the lock, say so",
            GiverOutput::Busy => "say busy",
        }
        .to_string()
    }
}

impl Machine for Taker {
    type Input = (TakerInput, Micros);
    const NAME: &'static str = "The taker of an upgrade";
    const ABOUT: &'static str =
        "`core/src/machine/handover.rs`: the process that starts, with the folder of one that may run.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let fresh = Taker::new(0);
        let at = |state| Taker { state, ..fresh };
        let locking = TakerState::Locking { again: 0 };
        vec![
            ("Locking", "tries for the lock", at(locking)),
            ("LockingFailed", "the same, asked in vain", Taker { failed: true, ..fresh }),
            ("LockingWhole", "the same, and the holder let go", Taker { whole: true, ..fresh }),
            ("Asking", "has asked the holder", at(TakerState::Asking { until: 1 })),
            ("Confirming", "has all, and has said so", at(TakerState::Confirming { until: 1 })),
            ("Resumed", "goes on from what it was handed", Taker { whole: true, ..at(TakerState::Resumed) }),
            ("Restored", "goes on from the journal", at(TakerState::Restored)),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("locked", "the lock is this process's", (TakerInput::Locked, 1)),
            ("held", "another holds it", (TakerInput::Held, 1)),
            ("busy", "the holder hands over to another", (TakerInput::Busy, 1)),
            ("part", "a part has come", (TakerInput::Part, 1)),
            ("all", "all has come, and can be read", (TakerInput::All, 1)),
            ("let go", "the holder has let go", (TakerInput::LetGo, 1)),
            ("lost", "the connection broke, or it can't be read", (TakerInput::Lost, 1)),
            ("tick", "the state's time is up", (TakerInput::Tick, 1)),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            TakerState::Locking { .. } if self.whole => "LockingWhole",
            TakerState::Locking { .. } if self.failed => "LockingFailed",
            TakerState::Locking { .. } => "Locking",
            TakerState::Asking { .. } => "Asking",
            TakerState::Confirming { .. } => "Confirming",
            TakerState::Resumed => "Resumed",
            TakerState::Restored => "Restored",
        }
    }

    fn take(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            TakerOutput::Nothing => "",
            TakerOutput::Lock => "try for the lock",
            TakerOutput::Ask => "ask",
            TakerOutput::Confirm => "confirm",
            TakerOutput::End => "end the holder",
            TakerOutput::Resume => "resume",
            TakerOutput::Restore => "restore",
        }
        .to_string()
    }
}
