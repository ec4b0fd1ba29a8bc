//! Faults that tests inject into this package's code to prove that they detect them. They exist only with the feature
//! `breaks`, which no release build has.

quillmount_breaks::breaks! {
    for each thread:
    /// A fault that a test can enable.
    pub enum Break {
        /// A primary confirms reads and rejections without replies from a majority.
        ReadWithoutRound,
        /// A member promises and acknowledges before its register is synced.
        AnsweredBeforeSync,
        /// A change is confirmed when it is proposed.
        ConfirmedWhenProposed,
        /// A primary without recent contact with a majority serves its state.
        StaleTables,
        /// Actions that depend on a write are performed although the write failed.
        FailedWriteCounts,
        /// A primary whose disk refuses writes does not hand leadership over.
        PrimaryWithoutDisk,
        /// A process without contact to the core refuses requests based on its outdated configuration.
        RefusesWithoutCore,
        /// A subscriber with a list of another epoch gets only the changes since its version number, although numbers of
        /// different epochs are not comparable.
        DirectoryOfOtherEpoch,
        /// Answers to polls are sent without a rate limit.
        TablesUnpaced,
        /// A process without contact to the core never fetches the endpoint list itself.
        NoOwnList,
        /// The finalized counts of a window are replaced by those of another primary.
        UsageFinalizedTwice,
        /// The digest of an order omits the base version.
        DigestWithoutBase,
        /// A retried order is not recognized.
        OrderForgotten,
        /// An order is applied regardless of the version that it builds on.
        BaseIgnored,
        /// An order is rejected although it may have been applied and then dropped from the applied orders.
        ForgottenRefused,
        /// Members whose lease has expired are counted as replacements of a retiring store.
        RetiringCountsGone,
        /// A report of an older epoch changes a view.
        ReportOfOlderEpoch,
        /// A joining store counts as in sync before it has caught up.
        JoiningAtOnce,
        /// The in-sync set shrinks to the live members even if too few remain.
        ShrinksBelowMinimum,
    }
}
