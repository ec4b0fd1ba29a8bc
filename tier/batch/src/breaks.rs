//! Deliberate faults (mutations) in this package, each of which the tests have to detect. They exist only in builds
//! with the feature `breaks`: `set` enables one for the calling thread, and `is_enabled` returns whether one is
//! enabled.

quillmount_breaks::breaks! {
    for each thread:
    /// A deliberate fault in the replication of a shard.
    pub enum Break {
        /// A primary that steps down does not apply its uncommitted batch, although the batch is on its disk.
        UncommittedBatchNotApplied,
        /// A primary serves before its epoch is on its disk.
        TermNotSynced,
        /// A replica does not recover the highest epoch that it had seen before a restart.
        EpochNotRecovered,
        /// A member acknowledges operations before they are on its disk.
        AcknowledgedBeforeSync,
        /// A primary counts its own copy before it is on its disk.
        CommittedBeforeOwnSync,
        /// A failed write is treated as a successful one.
        FailedWriteIgnored,
        /// A primary confirms reads without a round of confirmation requests to the other members.
        ReadConfirmedWithoutRound,
        /// A primary serves before the members in sync have caught up.
        ServesBeforeCaughtUp,
        /// A member accepts operations of an older session.
        SessionIgnored,
        /// A member accepts repair messages after the repair has finished, when operations may have followed.
        RepairAfterCaughtUp,
        /// A member answers calls of an older epoch.
        OlderEpochAnswered,
        /// A primary that resumes its term does not require the joining members that it may have reported as caught
        /// up.
        ReportedMembersNotRequired,
        /// A batch is committed without waiting for the required copies.
        CommittedWithoutRequiredCopies,
        /// A repair continues although the shard has changed since its comparison.
        StaleRepair,
        /// A repair does not remove jobs that the primary does not have.
        DroppedJobRetained,
        /// A rewrite omits a job.
        RewriteDropsJob,
        /// The last record of a rewrite does not list the jobs, so that removed jobs reappear at recovery.
        RewriteKeepsDropped,
        /// Each primary numbers operations from 0.
        OperationNumbersRestart,
        /// A primary that sees a higher epoch does not step down.
        OutdatedPrimaryContinues,
    }
}
