//! Deliberate breaks of the control state's code, each of which the tests have to find; no release build has them.

/// What is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Break {
    /// A primary answers reads and refusals without asking a majority.
    ReadWithoutRound,
    /// A member promises and acknowledges before its register is on its disk.
    AnsweredBeforeSync,
    /// A change is confirmed when it is proposed.
    ConfirmedWhenProposed,
    /// A primary that hears no majority hands out its tables.
    StaleTables,
    /// An order is known again by its body alone, whatever it builds on.
    DigestWithoutBase,
    /// An order that comes again is not known.
    OrderForgotten,
    /// An order is taken whatever version it builds on.
    BaseIgnored,
    /// An order that may have been forgotten is refused.
    ForgottenRefused,
    /// A store that leaves counts members that are gone as copies.
    RetiringCountsGone,
    /// A report of an older epoch changes a view.
    ReportOfOlderEpoch,
    /// A store that joins counts as in sync at once.
    JoiningAtOnce,
    /// The set in sync shrinks to the members that are alive, however few.
    ShrinksBelowMinimum,
}

quillmount_replication::break_switch!(Break);
