//! The state of a replica, its accessors, and its basic effects: writing a record and answering a call.

use super::primary::PrimaryState;
use super::writes::{MAX_ANSWERS_IN_FLIGHT, RewriteState, WritePurpose};
use crate::action::ShardAction;
use crate::breaks::{self, Break};
use crate::copies::CopySizes;
use crate::ids::{RequestId, ShardReplicaId, WriteId};
use crate::record::StoreRecord;
use crate::shard_jobs::ShardJobs;
use quillmount_wire::messages::{Epoch, Response, ShardReport, ShardView};
use std::collections::BTreeMap;

/// One store's replica of a shard: a state machine whose caller performs the I/O.
pub struct ShardReplica {
    pub(super) identity: ShardReplicaId,
    pub(super) jobs: ShardJobs,
    /// Highest epoch seen; calls with a lower epoch are rejected.
    pub(super) epoch: Epoch,
    /// Highest epoch in which this replica was primary.
    pub(super) last_primary_epoch: Epoch,
    /// Session of the last repair, drawn when a primary starts to compare; 0 before the first one. Operations and
    /// repair messages of other sessions are rejected.
    pub(super) session: u64,
    /// Whether the repair of this session is finished: operations are accepted, and further repair messages are
    /// not.
    pub(super) caught_up: bool,
    /// The newest view received.
    pub(super) view: Option<ShardView>,
    /// Present while this replica is primary, also before it serves.
    pub(super) primary: Option<PrimaryState>,
    /// Writes in flight.
    pub(super) writes: BTreeMap<WriteId, WritePurpose>,
    /// Whether a record could not be written, so that the disk lacks data that is in memory.
    pub(super) damaged: bool,
    pub(super) rewrites: RewriteState,
    pub(super) copy_sizes: CopySizes,
    /// Actions not yet returned to the caller.
    pub(super) actions: Vec<ShardAction>,
    last_id: u64,
}

impl ShardReplica {
    /// Creates a replica with an empty disk.
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
            copy_sizes: CopySizes::default(),
            actions: Vec::new(),
            last_id: 0,
        }
    }

    /// Copies jobs with other sizes than the default ones.
    #[must_use]
    pub fn with_copy_sizes(self, copy_sizes: CopySizes) -> ShardReplica {
        ShardReplica { copy_sizes, ..self }
    }

    /// Applies a record found on the disk. Must be called for all records in the order of writing, before any other
    /// method.
    pub fn recover(&mut self, record: StoreRecord) {
        if !breaks::is_enabled(Break::EpochNotRecovered) {
            self.epoch = self.epoch.max(record.epoch());
        }
        self.last_primary_epoch = self.last_primary_epoch.max(record.last_primary_epoch());
        self.jobs.recover(record);
    }

    /// Returns the jobs that are applied in memory; a batch in flight is not included.
    pub fn jobs(&self) -> &ShardJobs {
        &self.jobs
    }

    /// Returns the highest epoch seen, recovered from the disk or received in a view or call.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the epoch in which this replica serves as primary; `None` if it does not serve.
    pub fn serving(&self) -> Option<Epoch> {
        self.primary.as_ref().filter(|primary| primary.serving).map(PrimaryState::epoch)
    }

    /// Returns whether a submission of this job is queued or being replicated.
    pub fn is_pending(&self, job: &str) -> bool {
        self.primary.as_ref().is_some_and(|primary| primary.is_pending(job))
    }

    /// Returns whether a batch is being replicated: its operations may be on the disk but are not applied in
    /// memory.
    pub fn is_replicating(&self) -> bool {
        self.primary.as_ref().is_some_and(|primary| primary.batch.is_some())
    }

    /// Returns whether the disk lacks data that is in memory, because a write failed.
    pub fn is_damaged(&self) -> bool {
        self.damaged
    }

    /// Returns the approximate size of the operations that wait for their commit or are being replicated, bytes. They are not among
    /// the jobs yet.
    pub fn pending_bytes(&self) -> usize {
        self.primary.as_ref().map_or(0, PrimaryState::pending_bytes)
    }

    /// Returns whether so many answers wait for the disk that no further change is accepted.
    pub(super) fn is_disk_behind(&self) -> bool {
        let is_answer = |purpose: &&WritePurpose| matches!(purpose, WritePurpose::Answer { .. });
        self.writes.values().filter(is_answer).count() >= MAX_ANSWERS_IN_FLIGHT
    }

    /// Returns whether the state may change with time, so that [`ShardReplica::tick`] has to be called.
    pub fn needs_tick(&self) -> bool {
        let is_named_primary = self.view.as_ref().is_some_and(|view| view.primary == self.identity.disk);
        self.damaged || self.primary.as_ref().map_or(is_named_primary, PrimaryState::is_working)
    }

    /// Returns the report on the members for the core; `None` unless this replica is primary and a member is
    /// unresponsive or a joining member has caught up.
    pub fn report(&mut self) -> Option<ShardReport> {
        let shard = self.identity.shard;
        self.primary.as_mut().filter(|primary| primary.term_durable)?.group.report(shard)
    }

    /// Rejects further messages of the session of the last repair.
    pub(super) fn end_session(&mut self) {
        self.session = 0;
        self.caught_up = false;
    }

    pub(super) fn take_actions(&mut self) -> Vec<ShardAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns a new identifier for a call or a write.
    pub(super) fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Starts a write of a record to the log.
    pub(super) fn write(&mut self, record: StoreRecord, purpose: WritePurpose) -> WriteId {
        let write = self.allocate_id();
        self.writes.insert(write, purpose);
        self.actions.push(ShardAction::Write { write, record });
        write
    }

    pub(super) fn answer(&mut self, request: RequestId, response: Response) {
        self.actions.push(ShardAction::Answer { request, response });
    }
}
