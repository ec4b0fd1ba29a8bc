//! The data of a replica, what its caller may read of it, and the basic effects: writing a record, answering a call.

use super::primary::PrimaryState;
use super::writes::{RewriteState, WritePurpose};
use crate::action::ShardAction;
use crate::breaks::{self, Break};
use crate::ids::{RequestId, ShardReplicaId, WriteId};
use crate::record::StoreRecord;
use crate::shard_jobs::ShardJobs;
use quillmount_wire::messages::{Epoch, Response, ShardReport, ShardView};
use std::collections::BTreeMap;

/// A replica of a shard.
pub struct ShardReplica {
    pub(super) identity: ShardReplicaId,
    pub(super) jobs: ShardJobs,
    /// Highest epoch seen; calls of a lower one are rejected.
    pub(super) epoch: Epoch,
    /// Highest epoch in which this store was primary.
    pub(super) last_primary_epoch: Epoch,
    /// Session of the last repair, drawn when a primary starts to compare; 0 before. Operations and repairs of another session are
    /// rejected.
    pub(super) session: u64,
    /// The repair of this session is finished: operations are accepted, further repair messages are not.
    pub(super) caught_up: bool,
    /// The newest view known.
    pub(super) view: Option<ShardView>,
    /// Present while this store is primary, serving or not yet.
    pub(super) primary: Option<PrimaryState>,
    /// Records being written.
    pub(super) writes: BTreeMap<WriteId, WritePurpose>,
    /// A record could not be written: the disk lacks something that is in memory.
    pub(super) damaged: bool,
    pub(super) rewrites: RewriteState,
    /// Actions not yet returned to the caller.
    pub(super) actions: Vec<ShardAction>,
    last_id: u64,
}

impl ShardReplica {
    /// A replica with an empty disk.
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
            damaged: false,
            rewrites: RewriteState::default(),
            actions: Vec::new(),
            last_id: 0,
        }
    }

    /// Applies a record found on the disk; to be called for all records in the order of writing, before anything else.
    pub fn recover(&mut self, record: StoreRecord) {
        if !breaks::is_enabled(Break::EpochForgotten) {
            self.epoch = self.epoch.max(record.epoch());
        }
        self.last_primary_epoch = self.last_primary_epoch.max(record.last_primary_epoch());
        self.jobs.recover(record);
    }

    /// The jobs of the shard.
    pub fn jobs(&self) -> &ShardJobs {
        &self.jobs
    }

    /// Highest epoch seen.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The epoch in which this store serves as primary, if it does.
    pub fn serving(&self) -> Option<Epoch> {
        self.primary.as_ref().filter(|primary| primary.serving).map(PrimaryState::epoch)
    }

    /// Whether a submission of this job is queued or being replicated.
    pub fn is_pending(&self, job: &str) -> bool {
        self.primary.as_ref().is_some_and(|primary| primary.is_pending(job))
    }

    /// Whether a batch is being replicated: its operations may be on the disk but are not in memory.
    pub fn is_replicating(&self) -> bool {
        self.primary.as_ref().is_some_and(|primary| primary.batch.is_some())
    }

    /// Whether the disk lacks something that is in memory, because a write failed.
    pub fn is_damaged(&self) -> bool {
        self.damaged
    }

    /// Whether the passing of time may change something, so that [`ShardReplica::tick`] has to be called.
    pub fn needs_tick(&self) -> bool {
        let is_named_primary = self.view.as_ref().is_some_and(|view| view.primary == self.identity.disk);
        self.damaged || self.primary.as_ref().map_or(is_named_primary, PrimaryState::is_working)
    }

    /// What the core has to know about the members; `None` unless this store is primary and a member is unresponsive or a joining
    /// member has caught up.
    pub fn report(&mut self) -> Option<ShardReport> {
        let shard = self.identity.shard;
        self.primary.as_mut().filter(|primary| primary.term_durable)?.group.report(shard)
    }

    /// Returns the actions collected since the last call.
    pub(super) fn take_actions(&mut self) -> Vec<ShardAction> {
        std::mem::take(&mut self.actions)
    }

    /// A number for a call or a write.
    pub(super) fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Starts to write a record.
    pub(super) fn write(&mut self, record: StoreRecord, purpose: WritePurpose) -> WriteId {
        let write = self.allocate_id();
        self.writes.insert(write, purpose);
        self.actions.push(ShardAction::Write { write, record });
        write
    }

    /// Answers a call received from another store.
    pub(super) fn answer(&mut self, request: RequestId, response: Response) {
        self.actions.push(ShardAction::Answer { request, response });
    }
}
