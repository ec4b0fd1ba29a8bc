//! Deliberate faults in the code of the control state, for the proof that the tests detect them; no release build has
//! them.

quillmount_breaks::breaks! {
    for each thread:
    /// A fault that can be switched on.
    pub enum Break {
        /// A primary confirms reads and rejections without hearing from a majority.
        ReadWithoutRound,
        /// A member promises and acknowledges before its register is synced.
        AnsweredBeforeSync,
        /// A change is confirmed when it is proposed.
        ConfirmedWhenProposed,
        /// A primary that hears from no majority serves its state.
        StaleTables,
        /// What rests on a write goes on although the write failed.
        FailedWriteCounts,
        /// A primary goes on although its own disk refuses its writes.
        PrimaryWithoutDisk,
        /// A process without the core refuses requests by the configuration that it has.
        RefusesWithoutCore,
        /// A subscriber with the list of another epoch gets only the changes after the same number.
        DirectoryOfOtherEpoch,
        /// Answers to polls take the whole link.
        TablesUnpaced,
        /// A process that has lost the core never reads the list of endpoints itself.
        NoOwnList,
        /// The counts of a window that are final are replaced by those of another primary.
        UsageFinalizedTwice,
        /// The digest of an order leaves the base version out.
        DigestWithoutBase,
        /// A retried order is not recognized.
        OrderForgotten,
        /// An order is applied whatever version it builds on.
        BaseIgnored,
        /// An order that may have been applied and forgotten is rejected.
        ForgottenRefused,
        /// A retiring store is dropped although members that are gone are counted as its replacement.
        RetiringCountsGone,
        /// A report of an older epoch changes a view.
        ReportOfOlderEpoch,
        /// A joining store counts as in sync at once.
        JoiningAtOnce,
        /// The in-sync set shrinks to the live members, however few.
        ShrinksBelowMinimum,
    }
}
