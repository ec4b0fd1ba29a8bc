//! Deliberate breaks of the shards' code, each of which the tests have to find; no release build has them.

/// What is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Break {
    /// A batch that was not committed stays on the primary's disk and is forgotten in its memory.
    UncommittedForgotten,
    /// A primary serves before its epoch is on its disk.
    TermNotSynced,
    /// A replica forgets at a restart which epochs it has seen.
    EpochForgotten,
    /// A member acknowledges operations before they are on its disk.
    AcknowledgedBeforeSync,
    /// A primary counts its own copy before it is on its disk.
    CommittedBeforeOwnSync,
    /// A failed write changes nothing: what is in memory is taken for what is on the disk.
    FailedWriteIgnored,
    /// A primary answers reads without asking the other members.
    ReadWithoutRound,
    /// A primary serves before the members in sync are level.
    ServesBeforeCaughtUp,
    /// A member takes operations of an older session.
    SessionIgnored,
    /// A member takes what a repair sent although operations came after it.
    RepairAfterCaughtUp,
    /// A member answers an older epoch.
    OlderEpochAnswered,
    /// A primary that begins again in its term forgets which joining members it has reported as level.
    ReportForgotten,
    /// A batch is committed with too few copies.
    OneCopyEnough,
    /// A repair goes on although the shard has changed since its comparison.
    StaleRepair,
    /// A repair keeps jobs that the primary does not have.
    DroppedJobRetained,
    /// A rewrite leaves a job out.
    RewriteDropsJob,
    /// The final record of a rewrite does not name the jobs that are kept, so that dropped ones come back.
    RewriteKeepsDropped,
    /// Operations are numbered from 0 again by each primary.
    NumbersRestart,
    /// A primary that is deposed goes on with its batch.
    DeposedGoesOn,
}

/// Every break.
pub const ALL: [Break; 19] = [
    Break::UncommittedForgotten,
    Break::TermNotSynced,
    Break::EpochForgotten,
    Break::AcknowledgedBeforeSync,
    Break::CommittedBeforeOwnSync,
    Break::FailedWriteIgnored,
    Break::ReadWithoutRound,
    Break::ServesBeforeCaughtUp,
    Break::SessionIgnored,
    Break::RepairAfterCaughtUp,
    Break::OlderEpochAnswered,
    Break::ReportForgotten,
    Break::OneCopyEnough,
    Break::StaleRepair,
    Break::DroppedJobRetained,
    Break::RewriteDropsJob,
    Break::RewriteKeepsDropped,
    Break::NumbersRestart,
    Break::DeposedGoesOn,
];

quillmount_replication::break_switch!(Break);
