//! What a primary keeps in mind while it leads a shard: its group, the repairs, batch and reads under way.

use crate::replica::{CallId, Micros, OperationId, ReadId, WriteId};
use quillmount_replication::Group;
use quillmount_wire::messages::{DiskId, Epoch, ShardOperation};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Pause after an attempt that failed, microseconds.
pub const RETRY: Micros = 40_000;
/// A member without an answer for so long is told of to the core, microseconds.
pub const MEMBER_TIME: Micros = 400_000;
/// The first step of a repair shows whether the member is there at all, microseconds.
pub(crate) const FIRST_STEP_TIME: Micros = 250_000;
/// A later step without an answer for so long has failed, microseconds.
pub(crate) const STEP_TIME: Micros = 800_000;
/// First steps without an answer after which a member that only joins is told of to the core.
pub(crate) const JOINING_MISSES: u32 = 5;
/// Operations replicated together at most, and their bytes, about.
pub(crate) const BATCH_LIMIT: usize = 128;
pub(crate) const BATCH_BYTES: usize = 2 << 20;
/// Operations that wait at most.
pub(crate) const QUEUE_LIMIT: usize = 4096;

/// An operation and the number by which its caller knows it.
pub(crate) struct Queued {
    pub operation: OperationId,
    pub change: ShardOperation,
}

/// Operations that are being replicated. They are on the way to this store's disk as well, but not in its memory: reads show
/// only what is committed.
pub(crate) struct Batch {
    pub first: u64,
    pub queued: Vec<Queued>,
    pub write: WriteId,
    pub written: bool,
    pub synced: BTreeSet<DiskId>,
    /// A member did not answer.
    pub stuck: bool,
}

/// How far the repair of a member is.
pub(crate) enum Step {
    /// Digests of all buckets were sent.
    Buckets,
    /// Digests of jobs were sent.
    Jobs { session: u64 },
    /// Jobs were sent; these are still to be sent.
    Install { session: u64, remaining: VecDeque<String> },
    /// The number of the next operation was sent: the member is level once it is synced.
    Level { session: u64 },
}

/// The repair of one member.
pub(crate) struct Repair {
    pub step: Step,
    /// Number of the next operation when the comparison began: the shard must not change until the repair is over.
    pub base: u64,
    /// The member has answered: batches wait for the end of the repair.
    pub answered: bool,
}

/// What a call of the primary is for.
#[derive(Clone, Copy)]
pub(crate) enum Purpose {
    Repair(DiskId),
    Replicate(DiskId),
    Confirm(DiskId),
}

/// A read that waits for its confirmation.
#[derive(Clone, Copy)]
pub(crate) struct Read {
    pub read: ReadId,
    /// After this time it is refused.
    pub until: Micros,
}

/// A round of questions whether this primary still may answer.
pub(crate) struct Round {
    pub reads: Vec<Read>,
    pub waiting: BTreeSet<DiskId>,
}

/// State of a primary, from the view that made it primary to the one that ends that.
pub(crate) struct Primary {
    pub group: Group,
    /// Its epoch is on its disk.
    pub reigning: bool,
    pub serving: bool,
    /// Sessions in which members take operations.
    pub sessions: BTreeMap<DiskId, u64>,
    pub repairs: BTreeMap<DiskId, Repair>,
    pub calls: BTreeMap<CallId, Purpose>,
    /// When a member that did not answer is tried again.
    pub retry_at: BTreeMap<DiskId, Micros>,
    /// First steps in a row that a member did not answer.
    pub misses: BTreeMap<DiskId, u32>,
    pub queue: VecDeque<Queued>,
    pub batch: Option<Batch>,
    pub reads: Vec<Read>,
    pub round: Option<Round>,
    pub next_round_at: Micros,
}

impl Primary {
    pub fn new(group: Group) -> Primary {
        Primary {
            group,
            reigning: false,
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
        self.calls.values().any(|purpose| matches!(purpose, Purpose::Replicate(to) if matches(to)))
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
        self.repairs.values().any(|repair| matches!(repair.step, Step::Jobs { .. } | Step::Install { .. }))
    }

    /// Operations of the next batch.
    pub fn take_batch(&mut self) -> Vec<Queued> {
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
            |queued: &Queued| matches!(&queued.change, ShardOperation::Submit(new) if new.id == job);
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
