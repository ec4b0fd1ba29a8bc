//! Deliberate faults in this package (mutations), each of which the tests have to detect. Only builds with the feature `breaks` have
//! them: `set` enables one for the calling thread, and `is_enabled` asks for it.

quillmount_breaks::breaks! {
    for each thread:
    /// A deliberate fault.
    pub enum Break {
        /// A primary that steps down does not apply its uncommitted batch, which is on its disk.
        UncommittedForgotten,
        /// A primary serves before its epoch is on its disk.
        TermNotSynced,
        /// A replica does not recover the highest epoch seen at a restart.
        EpochForgotten,
        /// A member acknowledges operations before they are on its disk.
        AcknowledgedBeforeSync,
        /// A primary counts its own copy before it is on its disk.
        CommittedBeforeOwnSync,
        /// A failed write is treated as a successful one.
        FailedWriteIgnored,
        /// A primary confirms reads without asking the other members.
        ReadWithoutRound,
        /// A primary serves before the members in sync have caught up.
        ServesBeforeCaughtUp,
        /// A member accepts operations of an older session.
        SessionIgnored,
        /// A member accepts repair messages after the repair, when operations may have followed.
        RepairAfterCaughtUp,
        /// A member answers calls of an older epoch.
        OlderEpochAnswered,
        /// A primary that resumes its term does not count joining members that it may have reported as caught up.
        ReportForgotten,
        /// A batch is committed without the required copies.
        OneCopyEnough,
        /// A repair continues although the shard has changed since its comparison.
        StaleRepair,
        /// A repair does not remove jobs that the primary does not have.
        DroppedJobRetained,
        /// A rewrite leaves a job out.
        RewriteDropsJob,
        /// The last record of a rewrite does not name the jobs, so that removed ones reappear at recovery.
        RewriteKeepsDropped,
        /// Each primary numbers operations from 0.
        NumbersRestart,
        /// A primary that sees a higher epoch does not step down.
        DeposedGoesOn,
    }
}
