//! The state of a primary: its group, and the repairs, batch and reads in flight.

use crate::copies::{CopiedResults, RECORD_TARGET_BYTES};
use crate::ids::{CallId, OperationId, ReadId, WriteId};
use crate::job::job_bytes;
use quillmount_replication::ReplicaGroup;
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, Epoch, ShardOperation};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of operations in a batch.
const MAX_BATCH_OPERATIONS: usize = 128;

/// An operation and the identifier that the caller assigned to it.
pub(super) struct QueuedOperation {
    pub(super) operation: OperationId,
    pub(super) change: ShardOperation,
    /// Approximate size of the operation.
    bytes: usize,
}

impl QueuedOperation {
    pub(super) fn new(operation: OperationId, change: ShardOperation) -> QueuedOperation {
        let bytes = match &change {
            ShardOperation::Submit(job) => job_bytes(job),
            ShardOperation::Append { result, .. } => result.text.len(),
            ShardOperation::End { .. } | ShardOperation::Forget { .. } => 0,
        };
        QueuedOperation { operation, change, bytes }
    }

    fn submits(&self, id: &str) -> bool {
        matches!(&self.change, ShardOperation::Submit(job) if job.id == id)
    }
}

/// Operations that are being replicated. They are also being written to this store's disk but are not applied in
/// memory, so that reads show only committed operations.
pub(super) struct OperationBatch {
    /// Number of the first operation.
    pub(super) first: u64,
    pub(super) queued: Vec<QueuedOperation>,
    /// Write of the batch to this store's disk.
    pub(super) write: WriteId,
    /// Whether the batch is durable on this store's disk.
    pub(super) written: bool,
    /// Members that have the batch on their disks.
    pub(super) synced: BTreeSet<DiskId>,
    /// Whether a member did not answer; if so, joining members that have not caught up are repaired and sent the
    /// batch too.
    pub(super) stalled: bool,
}

/// Progress of the repair of a member.
pub(super) enum RepairStep {
    /// Digests of all buckets were sent.
    Buckets,
    /// Digests of the jobs in the buckets that differ were sent.
    Jobs { session: u64 },
    /// Jobs or a part of a job were sent; the jobs in `remaining` still have to be sent, of the first one what follows `copied`.
    Install { session: u64, remaining: VecDeque<String>, copied: CopiedResults },
    /// The number of the next operation was sent; the member has caught up once it has answered.
    CatchUp { session: u64 },
}

pub(super) struct Repair {
    pub(super) step: RepairStep,
    /// Number of the next operation when the comparison started; the shard must not change until the repair is
    /// finished.
    pub(super) base_operation: u64,
    /// Whether the member has answered; if so, new batches wait for the end of the repair.
    pub(super) answered: bool,
}

/// Purpose of a call of the primary to a member.
#[derive(Clone, Copy)]
pub(super) enum CallPurpose {
    /// A step of the repair of this member.
    Repair(DiskId),
    /// Replication of the batch to this member.
    Replicate(DiskId),
    /// Confirmation by this member that the epoch is still in force.
    Confirm(DiskId),
}

/// A read that is waiting for its confirmation.
#[derive(Clone, Copy)]
pub(super) struct PendingRead {
    pub(super) read: ReadId,
    /// Time at which the read is rejected, microseconds.
    pub(super) deadline: Micros,
}

/// A round of requests to the members to confirm that the epoch of this primary is still in force.
pub(super) struct ReadRound {
    /// Reads that the round confirms.
    pub(super) reads: Vec<PendingRead>,
    /// Members whose confirmation is outstanding.
    pub(super) waiting: BTreeSet<DiskId>,
}

/// State of a primary, from the view that names it until it steps down.
pub(super) struct PrimaryState {
    pub(super) group: ReplicaGroup,
    /// Whether the record of the term's start is durable.
    pub(super) term_durable: bool,
    /// Whether operations and reads are accepted.
    pub(super) serving: bool,
    /// Session id by member; a member accepts only operations with its current session.
    pub(super) sessions: BTreeMap<DiskId, u64>,
    /// Repairs in progress by member.
    pub(super) repairs: BTreeMap<DiskId, Repair>,
    pub(super) calls: BTreeMap<CallId, CallPurpose>,
    /// Time before which a member is not called again, by member, microseconds.
    pub(super) retry_at: BTreeMap<DiskId, Micros>,
    /// Number of consecutive unanswered first repair steps by member.
    pub(super) missed_answers: BTreeMap<DiskId, u32>,
    /// Operations that are waiting for the next batch.
    pub(super) queue: VecDeque<QueuedOperation>,
    pub(super) batch: Option<OperationBatch>,
    /// Reads that are waiting for the next confirmation round.
    pub(super) reads: Vec<PendingRead>,
    pub(super) round: Option<ReadRound>,
    /// Time before which no confirmation round starts, microseconds.
    pub(super) next_round_at: Micros,
}

impl PrimaryState {
    /// Creates the state of a primary whose term has just started.
    pub(super) fn new(group: ReplicaGroup) -> PrimaryState {
        PrimaryState {
            group,
            term_durable: false,
            serving: false,
            sessions: BTreeMap::new(),
            repairs: BTreeMap::new(),
            calls: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            missed_answers: BTreeMap::new(),
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

    /// Returns whether work is in progress that may change with time.
    pub(super) fn is_working(&self) -> bool {
        !self.serving
            || self.batch.is_some()
            || !self.reads.is_empty()
            || self.round.is_some()
            || !self.group.lagging().is_empty()
    }

    /// Returns whether a replication call to any member is in flight.
    pub(super) fn is_replicating(&self) -> bool {
        self.calls.values().any(|purpose| matches!(purpose, CallPurpose::Replicate(_)))
    }

    /// Returns whether a replication call to this member is in flight.
    pub(super) fn is_replicating_to(&self, member: DiskId) -> bool {
        self.calls.values().any(|purpose| matches!(purpose, CallPurpose::Replicate(to) if *to == member))
    }

    /// Returns whether the retry delay of a member has passed.
    pub(super) fn may_call(&self, member: DiskId, now: Micros) -> bool {
        self.retry_at.get(&member).is_none_or(|retry_at| *retry_at <= now)
    }

    /// Returns whether a repair is in progress during which the shard must not change.
    pub(super) fn repairs_block(&self) -> bool {
        self.repairs.values().any(|repair| repair.answered)
    }

    /// Returns whether jobs are being copied to any member.
    pub(super) fn is_copying(&self) -> bool {
        self.repairs
            .values()
            .any(|repair| matches!(repair.step, RepairStep::Jobs { .. } | RepairStep::Install { .. }))
    }

    /// Removes the operations of the next batch from the queue and returns them.
    pub(super) fn take_next_batch(&mut self) -> Vec<QueuedOperation> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while batch.len() < MAX_BATCH_OPERATIONS && bytes < RECORD_TARGET_BYTES {
            let Some(queued) = self.queue.pop_front() else { break };
            bytes += queued.bytes;
            batch.push(queued);
        }
        batch
    }

    /// Returns whether a submission of this job is queued or being replicated.
    pub(super) fn is_pending(&self, job: &str) -> bool {
        self.pending().any(|queued| queued.submits(job))
    }

    /// Returns the approximate size of the operations that are queued or being replicated, bytes.
    pub(super) fn pending_bytes(&self) -> usize {
        self.pending().map(|queued| queued.bytes).sum()
    }

    fn pending(&self) -> impl Iterator<Item = &QueuedOperation> {
        let batch = self.batch.iter().flat_map(|batch| &batch.queued);
        self.queue.iter().chain(batch)
    }

    /// Drops all calls in flight, because their answers are for an older epoch; reads of the current round wait for
    /// the next one.
    pub(super) fn drop_calls(&mut self) {
        self.calls.clear();
        self.repairs.clear();
        if let Some(round) = self.round.take() {
            self.reads.extend(round.reads);
        }
    }
}
