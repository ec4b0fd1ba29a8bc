//! What a primary keeps in mind while it leads a shard: its group, the repairs, batch and reads under way.

use crate::replica::{CallId, Micros, OperationId, ReadId, WriteId};
use quillmount_replication::ReplicaGroup;
use quillmount_wire::messages::{DiskId, Epoch, ShardOperation};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Pause after an attempt that failed, microseconds.
pub const RETRY_DELAY: Micros = 40_000;
/// A member without an answer for so long is told of to the core, microseconds.
pub const MEMBER_TIMEOUT: Micros = 400_000;
/// The first step of a repair shows whether the member is there at all, microseconds.
pub(crate) const FIRST_STEP_TIMEOUT: Micros = 250_000;
/// A later step without an answer for so long has failed, microseconds.
pub(crate) const STEP_TIMEOUT: Micros = 800_000;
/// First steps without an answer after which a member that only joins is told of to the core.
pub(crate) const JOINING_MISSES: u32 = 5;
/// Operations replicated together at most, and their bytes, about.
pub(crate) const BATCH_LIMIT: usize = 128;
pub(crate) const BATCH_BYTES: usize = 2 << 20;
/// Operations that wait at most.
pub(crate) const QUEUE_LIMIT: usize = 4096;

/// An operation and the number by which its caller knows it.
pub(crate) struct QueuedOperation {
    pub operation: OperationId,
    pub change: ShardOperation,
}

/// Operations that are being replicated. They are on the way to this store's disk as well, but not in its memory: reads show
/// only what is committed.
pub(crate) struct OperationBatch {
    pub first: u64,
    pub queued: Vec<QueuedOperation>,
    pub write: WriteId,
    pub written: bool,
    pub synced: BTreeSet<DiskId>,
    /// A member did not answer.
    pub stuck: bool,
}

/// How far the repair of a member is.
pub(crate) enum RepairStep {
    /// Digests of all buckets were sent.
    Buckets,
    /// Digests of jobs were sent.
    Jobs { session: u64 },
    /// Jobs were sent; these are still to be sent.
    Install { session: u64, remaining: VecDeque<String> },
    /// The number of the next operation was sent: the member is level once it is synced.
    CatchUp { session: u64 },
}

/// The repair of one member.
pub(crate) struct Repair {
    pub step: RepairStep,
    /// Number of the next operation when the comparison began: the shard must not change until the repair is over.
    pub base: u64,
    /// The member has answered: batches wait for the end of the repair.
    pub answered: bool,
}

/// What a call of the primary is for.
#[derive(Clone, Copy)]
pub(crate) enum CallPurpose {
    Repair(DiskId),
    Replicate(DiskId),
    Confirm(DiskId),
}

/// A read that waits for its confirmation.
#[derive(Clone, Copy)]
pub(crate) struct PendingRead {
    pub read: ReadId,
    /// After this time it is refused.
    pub until: Micros,
}

/// A round of questions whether this primary still may answer.
pub(crate) struct ReadRound {
    pub reads: Vec<PendingRead>,
    pub waiting: BTreeSet<DiskId>,
}

/// State of a primary, from the view that made it primary to the one that ends that.
pub(crate) struct PrimaryState {
    pub group: ReplicaGroup,
    /// Its epoch is on its disk.
    pub term_durable: bool,
    pub serving: bool,
    /// Sessions in which members take operations.
    pub sessions: BTreeMap<DiskId, u64>,
    pub repairs: BTreeMap<DiskId, Repair>,
    pub calls: BTreeMap<CallId, CallPurpose>,
    /// When a member that did not answer is tried again.
    pub retry_at: BTreeMap<DiskId, Micros>,
    /// First steps in a row that a member did not answer.
    pub misses: BTreeMap<DiskId, u32>,
    pub queue: VecDeque<QueuedOperation>,
    pub batch: Option<OperationBatch>,
    pub reads: Vec<PendingRead>,
    pub round: Option<ReadRound>,
    pub next_round_at: Micros,
}

impl PrimaryState {
    pub fn new(group: ReplicaGroup) -> PrimaryState {
        PrimaryState {
            group,
            term_durable: false,
            serving: false,
            sessions: BTreeMap::new(),
            repairs: BTreeMap::new(),
            calls: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            misses: BTreeMap::new(),
            queue: VecDeque::new(),
            batch: None,
            reads: Vec::new(),
            round: None,
            next_round_at: 0,
        }
    }

    pub fn epoch(&self) -> Epoch {
        self.group.epoch()
    }

    /// Whether a call to replicate to this member, or to any, is under way.
    pub fn replicates_to(&self, member: Option<DiskId>) -> bool {
        let matches = |to: &DiskId| member.is_none_or(|member| member == *to);
        self.calls.values().any(|purpose| matches!(purpose, CallPurpose::Replicate(to) if matches(to)))
    }

    /// Whether a member may be called now.
    pub fn may_call(&self, member: DiskId, now: Micros) -> bool {
        self.retry_at.get(&member).is_none_or(|at| *at <= now)
    }

    /// Whether a repair is under way that must not see the shard change.
    pub fn repairs_block(&self) -> bool {
        self.repairs.values().any(|repair| repair.answered)
    }

    /// Whether jobs are being copied to a member.
    pub fn is_copying(&self) -> bool {
        self.repairs
            .values()
            .any(|repair| matches!(repair.step, RepairStep::Jobs { .. } | RepairStep::Install { .. }))
    }

    /// Operations of the next batch.
    pub fn next_batch(&mut self) -> Vec<QueuedOperation> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while batch.len() < BATCH_LIMIT && bytes < BATCH_BYTES {
            let Some(queued) = self.queue.pop_front() else { break };
            bytes += match &queued.change {
                ShardOperation::Submit(job) => job.items.iter().map(|item| item.body.len() + 256).sum(),
                ShardOperation::Append { result, .. } => result.text.len(),
                _ => 0,
            };
            batch.push(queued);
        }
        batch
    }

    /// Whether a submission of this job waits or is being replicated.
    pub fn is_pending(&self, job: &str) -> bool {
        let batch = self.batch.iter().flat_map(|batch| &batch.queued);
        let submits =
            |queued: &QueuedOperation| matches!(&queued.change, ShardOperation::Submit(new) if new.id == job);
        self.queue.iter().chain(batch).any(submits)
    }

    /// Drops all calls under way: their answers will be of an older epoch.
    pub fn drop_calls(&mut self) {
        self.calls.clear();
        self.repairs.clear();
        if let Some(round) = self.round.take() {
            self.reads.extend(round.reads);
        }
    }
}
