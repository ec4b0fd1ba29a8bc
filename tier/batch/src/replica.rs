//! One store's replica of a shard, as member or as primary. What is in memory is always what the records written so far
//! give when they are read again, but for the batch that a primary replicates; that one is applied when it is committed, or
//! when the primary ends, whichever comes first.

use crate::breaks::{self, Break};
use crate::digests::different_buckets;
use crate::primary::PrimaryState;
use crate::record::StoreRecord;
use crate::rewrite::Rewrite;
use crate::shard::ShardJobs;
use quillmount_wire::messages::{
    DiskId, Epoch, Response, ShardMessage, ShardOperation, ShardReport, ShardView,
};
use std::collections::BTreeMap;

/// Microseconds of a steady clock.
pub type Micros = u64;
/// A call that this replica makes.
pub type CallId = u64;
/// A call of another store, or a request for a rewrite, as the caller numbers it.
pub type RequestId = u64;
/// A record on its way to the disk.
pub type WriteId = u64;
/// An operation, as the caller of [`ShardReplica::commit`] numbers it.
pub type OperationId = u64;
/// A read, as the caller of [`ShardReplica::confirm`] numbers it.
pub type ReadId = u64;

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Append this record and sync it, in the order of these outputs; [`ShardReplica::written`] is told, in the same order.
    Write { write: WriteId, record: StoreRecord },
    /// Call another member; [`ShardReplica::answered`] is told, after `timeout` microseconds without an answer at the latest.
    Call { call: CallId, member: DiskId, epoch: Epoch, message: ShardMessage, timeout: Micros },
    /// Answer a call of another store.
    Answer { request: RequestId, response: Response },
    /// An operation is committed, and applied here.
    Committed { operation: OperationId, change: ShardOperation },
    /// An operation may or may not come into force.
    Uncertain { operation: OperationId },
    /// An operation was not begun: nothing happened.
    NotStarted { operation: OperationId },
    /// This store serves as primary from now on.
    Serving { epoch: Epoch },
    /// This store is no longer primary.
    SteppedDown,
    /// What was committed here when the read came is the newest.
    ReadConfirmed { read: ReadId },
    /// That could not be made sure in time.
    ReadRejected { read: ReadId },
    /// The core is to be told of the members soon.
    ReportDue,
    /// A rewrite that was asked for is over; whether all of it is on the disk.
    Rewritten { request: RequestId, complete: bool },
}

/// Whose replica it is.
#[derive(Clone, Copy, Debug)]
pub struct ShardReplicaId {
    pub disk: DiskId,
    pub shard: u32,
    /// Disks that may be lost at once.
    pub tolerated_failures: usize,
}

/// What a record on its way to the disk is for.
pub(crate) enum WritePurpose {
    Answer { request: RequestId, response: Box<Response> },
    Batch,
    TermStart,
    Rewrite,
}

/// A replica of a shard.
pub struct ShardReplica {
    pub(crate) identity: ShardReplicaId,
    pub(crate) jobs: ShardJobs,
    /// Highest epoch seen; what bears a lower one is refused.
    pub(crate) epoch: Epoch,
    /// Highest epoch in which this store was primary.
    pub(crate) last_primary_epoch: Epoch,
    /// Drawn when a primary begins to compare; 0 before. Operations and repairs of another session are refused.
    session: u64,
    /// The repair of this session is over: operations are taken, and no further repairs.
    caught_up: bool,
    /// The newest view known.
    pub(crate) view: Option<ShardView>,
    pub(crate) primary: Option<PrimaryState>,
    pub(crate) writes: BTreeMap<WriteId, WritePurpose>,
    next_id: u64,
    /// A record could not be written: the disk does not hold what is in memory.
    pub(crate) damaged: bool,
    pub(crate) rewrite: Option<Rewrite>,
    pub(crate) rewrite_due: bool,
    /// Who asked for a rewrite that has not begun.
    pub(crate) rewrite_requests: Vec<RequestId>,
    pub(crate) actions: Vec<ShardAction>,
}

impl ShardReplica {
    /// A replica with nothing on its disk.
    pub fn new(identity: ShardReplicaId) -> ShardReplica {
        ShardReplica {
            identity,
            jobs: ShardJobs::default(),
            epoch: 0,
            last_primary_epoch: 0,
            session: 0,
            caught_up: false,
            view: None,
            primary: None,
            writes: BTreeMap::new(),
            next_id: 0,
            damaged: false,
            rewrite: None,
            rewrite_due: false,
            rewrite_requests: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Takes a record that was found on the disk, in the order of writing.
    pub fn recover(&mut self, record: StoreRecord) {
        if !breaks::on(Break::EpochForgotten) {
            self.epoch = self.epoch.max(record.epoch());
        }
        self.last_primary_epoch = self.last_primary_epoch.max(record.last_primary_epoch());
        self.jobs.recover(record);
    }

    pub fn jobs(&self) -> &ShardJobs {
        &self.jobs
    }

    /// Highest epoch seen.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The epoch in which this store serves as primary.
    pub fn serving(&self) -> Option<Epoch> {
        self.primary.as_ref().filter(|primary| primary.serving).map(PrimaryState::epoch)
    }

    /// Whether a submission of this job waits or is being replicated.
    pub fn is_pending(&self, job: &str) -> bool {
        self.primary.as_ref().is_some_and(|primary| primary.is_pending(job))
    }

    /// Whether a batch is being replicated: it is on its way to the disk and not in memory.
    pub fn is_replicating(&self) -> bool {
        self.primary.as_ref().is_some_and(|primary| primary.batch.is_some())
    }

    /// Whether the disk lacks something that is in memory, because a write failed.
    pub fn is_damaged(&self) -> bool {
        self.damaged
    }

    /// Whether time alone may change something: [`ShardReplica::tick`] is to be called.
    pub fn needs_tick(&self) -> bool {
        let leads = self.view.as_ref().is_some_and(|view| view.primary == self.identity.disk);
        let working = |primary: &PrimaryState| {
            !primary.serving
                || primary.batch.is_some()
                || !primary.reads.is_empty()
                || primary.round.is_some()
                || !primary.group.lagging().is_empty()
        };
        self.damaged || self.primary.as_ref().map_or(leads, working)
    }

    /// What the core is to know of the members; nothing while all is well.
    pub fn report(&mut self) -> Option<ShardReport> {
        let shard = self.identity.shard;
        self.primary.as_mut().filter(|primary| primary.term_durable)?.group.report(shard)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Micros) -> Vec<ShardAction> {
        self.rewrite_after_failure();
        self.advance(now);
        self.take_actions()
    }

    pub(crate) fn take_actions(&mut self) -> Vec<ShardAction> {
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Sends a record to the disk.
    pub(crate) fn write(&mut self, record: StoreRecord, purpose: WritePurpose) -> WriteId {
        let write = self.allocate_id();
        self.writes.insert(write, purpose);
        self.actions.push(ShardAction::Write { write, record });
        write
    }

    fn answer(&mut self, request: RequestId, response: Response) {
        self.actions.push(ShardAction::Answer { request, response });
    }

    /// A record is synced, or could not be written.
    pub fn on_written(&mut self, write: WriteId, synced: bool, now: Micros) -> Vec<ShardAction> {
        let Some(purpose) = self.writes.remove(&write) else { return Vec::new() };
        let rewrites = matches!(purpose, WritePurpose::Rewrite);
        if !synced && !rewrites && !breaks::on(Break::FailedWriteIgnored) {
            self.damaged = true;
            self.step_down();
        }
        let durable = (synced || breaks::on(Break::FailedWriteIgnored)) && !self.damaged;
        match purpose {
            WritePurpose::Answer { request, response } => {
                self.answer(request, if durable { *response } else { Response::Full });
            }
            WritePurpose::Batch => self.batch_written(write, durable),
            WritePurpose::TermStart => self.term_start_written(durable),
            WritePurpose::Rewrite => self.rewrite_written(synced),
        }
        self.advance(now);
        self.take_actions()
    }

    /// Takes a call of a primary; `draw` is a random number that names a session, should one begin.
    pub fn receive(
        &mut self,
        request: RequestId,
        epoch: Epoch,
        message: ShardMessage,
        draw: u64,
    ) -> Vec<ShardAction> {
        if !self.observe_epoch(epoch) {
            self.answer(request, Response::WrongEpoch);
            return self.take_actions();
        }
        match message {
            ShardMessage::Confirm => self.answer(request, Response::Done),
            _ if self.damaged => self.answer(request, Response::Full),
            ShardMessage::CompareBuckets { buckets } => {
                self.session = draw.max(1);
                self.caught_up = false;
                let buckets = different_buckets(&self.jobs.buckets(), &buckets);
                self.answer(request, Response::DifferentBuckets { session: self.session, buckets });
            }
            ShardMessage::CompareJobs { session, .. }
            | ShardMessage::Install { session, .. }
            | ShardMessage::Replicate { session, .. }
                if session != self.session && !breaks::on(Break::SessionIgnored) =>
            {
                self.answer(request, Response::Behind);
            }
            // What a repair sent may come late or twice: it must not undo what came after it.
            ShardMessage::CompareJobs { .. } | ShardMessage::Install { .. }
                if self.caught_up && !breaks::on(Break::RepairAfterCaughtUp) =>
            {
                self.answer(request, Response::Behind);
            }
            ShardMessage::Replicate { .. } if !self.caught_up && !breaks::on(Break::SessionIgnored) => {
                self.answer(request, Response::Behind);
            }
            ShardMessage::CompareJobs { buckets, jobs, .. } => {
                let (mut dropped, wanted) = self.jobs.compare(&buckets, &jobs);
                if breaks::on(Break::DroppedJobRetained) {
                    dropped.clear();
                }
                self.install(request, dropped, Vec::new(), None, Response::DifferentJobs(wanted));
            }
            ShardMessage::Install { jobs, next, .. } => {
                self.caught_up = next.is_some();
                self.install(request, Vec::new(), jobs, next, Response::Done);
            }
            ShardMessage::Replicate { first, operations, .. } => self.replicate(request, first, operations),
        }
        self.take_actions()
    }

    /// Takes note of an epoch; whether it is not below the highest. A primary of an older one ends.
    fn observe_epoch(&mut self, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            return breaks::on(Break::OlderEpochAnswered);
        }
        self.epoch = epoch;
        let outdated = self.primary.as_ref().is_some_and(|primary| primary.epoch() < epoch);
        if outdated && !breaks::on(Break::DeposedGoesOn) {
            self.step_down();
        }
        true
    }

    fn install(
        &mut self,
        request: RequestId,
        dropped: Vec<String>,
        jobs: Vec<quillmount_wire::messages::JobState>,
        next: Option<u64>,
        response: Response,
    ) {
        let (shard, epoch) = (self.identity.shard, self.epoch);
        self.apply_and_persist(request, StoreRecord::Install { shard, epoch, dropped, jobs, next }, response);
    }

    fn replicate(&mut self, request: RequestId, first: u64, operations: Vec<ShardOperation>) {
        if first > self.jobs.next {
            return self.answer(request, Response::Behind);
        }
        let next = first + operations.len() as u64;
        let (shard, epoch) = (self.identity.shard, self.epoch);
        let record = StoreRecord::Operations { shard, epoch, first, operations };
        self.apply_and_persist(request, record, Response::Replicated { next });
    }

    /// Applies a record and writes it; the answer waits for the disk.
    fn apply_and_persist(&mut self, request: RequestId, record: StoreRecord, response: Response) {
        self.jobs.recover(record.clone());
        if breaks::on(Break::AcknowledgedBeforeSync) {
            self.answer(request, response.clone());
        }
        self.write(record, WritePurpose::Answer { request, response: Box::new(response) });
    }
}
