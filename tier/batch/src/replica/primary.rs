//! The data of a primary: its group, and the repairs, batch and reads in flight.

use crate::ids::{CallId, OperationId, ReadId, WriteId};
use crate::job::ITEM_OVERHEAD_BYTES;
use quillmount_replication::ReplicaGroup;
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, Epoch, ShardOperation};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Largest number of operations in a batch.
const BATCH_LIMIT: usize = 128;
/// Approximate size at which a batch is closed, bytes.
const BATCH_BYTES: usize = 2 << 20;

/// An operation and the number that its caller gave it.
pub(super) struct QueuedOperation {
    pub(super) operation: OperationId,
    pub(super) change: ShardOperation,
}

impl QueuedOperation {
    /// Approximate size of the operation, bytes.
    fn bytes(&self) -> usize {
        match &self.change {
            ShardOperation::Submit(job) => {
                job.items.iter().map(|item| item.body.len() + ITEM_OVERHEAD_BYTES).sum()
            }
            ShardOperation::Append { result, .. } => result.text.len(),
            ShardOperation::End { .. } | ShardOperation::Forget { .. } => 0,
        }
    }

    fn submits(&self, id: &str) -> bool {
        matches!(&self.change, ShardOperation::Submit(job) if job.id == id)
    }
}

/// Operations being replicated. They are being written to this store's disk as well but are not applied in memory, so that reads
/// show only what is committed.
pub(super) struct OperationBatch {
    /// Number of the first operation.
    pub(super) first: u64,
    pub(super) queued: Vec<QueuedOperation>,
    /// The write of the batch to this store's disk.
    pub(super) write: WriteId,
    /// That write is durable.
    pub(super) written: bool,
    /// Members that have the batch on their disk.
    pub(super) synced: BTreeSet<DiskId>,
    /// A member did not answer: joining members that have not caught up are sent the batch too.
    pub(super) stuck: bool,
}

/// Progress of the repair of a member.
pub(super) enum RepairStep {
    /// Digests of all buckets were sent.
    Buckets,
    /// Digests of jobs were sent.
    Jobs { session: u64 },
    /// Jobs were sent; those in `remaining` have still to be sent.
    Install { session: u64, remaining: VecDeque<String> },
    /// The number of the next operation was sent: the member has caught up once it has answered.
    CatchUp { session: u64 },
}

/// The repair of one member.
pub(super) struct Repair {
    pub(super) step: RepairStep,
    /// Number of the next operation when the comparison started: the shard must not change until the repair is finished.
    pub(super) base: u64,
    /// The member has answered: batches wait for the end of the repair.
    pub(super) answered: bool,
}

/// What a call of the primary is for.
#[derive(Clone, Copy)]
pub(super) enum CallPurpose {
    /// A step of the repair of this member.
    Repair(DiskId),
    /// Replication of the batch to this member.
    Replicate(DiskId),
    /// The question to this member whether the epoch is still in force.
    Confirm(DiskId),
}

/// A read that waits for its confirmation.
#[derive(Clone, Copy)]
pub(super) struct PendingRead {
    pub(super) read: ReadId,
    /// Time at which it is rejected.
    pub(super) until: Micros,
}

/// A round of questions to the members whether the epoch of this primary is still in force.
pub(super) struct ReadRound {
    /// Reads that the round confirms.
    pub(super) reads: Vec<PendingRead>,
    /// Members that have not answered yet.
    pub(super) waiting: BTreeSet<DiskId>,
}

/// State of a primary, from the view that names it until it steps down.
pub(super) struct PrimaryState {
    pub(super) group: ReplicaGroup,
    /// The start of the term is on the disk.
    pub(super) term_durable: bool,
    /// Operations and reads are accepted.
    pub(super) serving: bool,
    /// Sessions in which members accept operations.
    pub(super) sessions: BTreeMap<DiskId, u64>,
    /// Repairs in progress.
    pub(super) repairs: BTreeMap<DiskId, Repair>,
    /// Calls in flight.
    pub(super) calls: BTreeMap<CallId, CallPurpose>,
    /// Times before which a member is not called again.
    pub(super) retry_at: BTreeMap<DiskId, Micros>,
    /// Consecutive first steps of a repair that a member did not answer.
    pub(super) misses: BTreeMap<DiskId, u32>,
    /// Operations that wait for a batch.
    pub(super) queue: VecDeque<QueuedOperation>,
    pub(super) batch: Option<OperationBatch>,
    /// Reads that wait for a round.
    pub(super) reads: Vec<PendingRead>,
    pub(super) round: Option<ReadRound>,
    /// Time before which no round starts.
    pub(super) next_round_at: Micros,
}

impl PrimaryState {
    /// A primary whose term has just started.
    pub(super) fn new(group: ReplicaGroup) -> PrimaryState {
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

    pub(super) fn epoch(&self) -> Epoch {
        self.group.epoch()
    }

    /// Whether something is in progress that the passing of time may change.
    pub(super) fn is_working(&self) -> bool {
        !self.serving
            || self.batch.is_some()
            || !self.reads.is_empty()
            || self.round.is_some()
            || !self.group.lagging().is_empty()
    }

    /// Whether a call to replicate to any member is in flight.
    pub(super) fn is_replicating(&self) -> bool {
        self.calls.values().any(|purpose| matches!(purpose, CallPurpose::Replicate(_)))
    }

    /// Whether a call to replicate to this member is in flight.
    pub(super) fn is_replicating_to(&self, member: DiskId) -> bool {
        self.calls.values().any(|purpose| matches!(purpose, CallPurpose::Replicate(to) if *to == member))
    }

    /// Whether a member may be called at this time.
    pub(super) fn may_call(&self, member: DiskId, now: Micros) -> bool {
        self.retry_at.get(&member).is_none_or(|at| *at <= now)
    }

    /// Whether a repair is in progress during which the shard must not change.
    pub(super) fn repairs_block(&self) -> bool {
        self.repairs.values().any(|repair| repair.answered)
    }

    /// Whether jobs are being copied to a member.
    pub(super) fn is_copying(&self) -> bool {
        self.repairs
            .values()
            .any(|repair| matches!(repair.step, RepairStep::Jobs { .. } | RepairStep::Install { .. }))
    }

    /// Takes the operations of the next batch from the queue.
    pub(super) fn take_next_batch(&mut self) -> Vec<QueuedOperation> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while batch.len() < BATCH_LIMIT && bytes < BATCH_BYTES {
            let Some(queued) = self.queue.pop_front() else { break };
            bytes += queued.bytes();
            batch.push(queued);
        }
        batch
    }

    /// Whether a submission of this job is queued or being replicated.
    pub(super) fn is_pending(&self, job: &str) -> bool {
        let batch = self.batch.iter().flat_map(|batch| &batch.queued);
        self.queue.iter().chain(batch).any(|queued| queued.submits(job))
    }

    /// Forgets all calls in flight, because their answers are for an older epoch; reads of a round wait for the next one.
    pub(super) fn drop_calls(&mut self) {
        self.calls.clear();
        self.repairs.clear();
        if let Some(round) = self.round.take() {
            self.reads.extend(round.reads);
        }
    }
}
