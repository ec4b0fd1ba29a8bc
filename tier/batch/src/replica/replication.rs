//! Replication of operations, one batch at a time: the batch is written to this store's disk and sent to the
//! members, and is committed once all required members have it on their disks.

use super::member_calls::MEMBER_TIMEOUT;
use super::primary::{CallPurpose, OperationBatch};
use super::state::ShardReplica;
use super::writes::WritePurpose;
use crate::action::ShardAction;
use crate::breaks::{self, Break};
use crate::ids::WriteId;
use crate::record::StoreRecord;
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, Response, ShardMessage, ShardOperation};
use std::collections::BTreeSet;

impl ShardReplica {
    /// Starts the next batch, unless one is in flight, or a repair or a due rewrite requires that the shard does
    /// not change.
    pub(super) fn start_batch(&mut self) {
        let rewrite_due = self.rewrites.due;
        let Some(primary) = &mut self.primary else { return };
        let blocked = !primary.serving || primary.batch.is_some() || primary.repairs_block() || rewrite_due;
        if blocked || primary.queue.is_empty() {
            return;
        }
        let queued = primary.take_next_batch();
        let (shard, epoch, first) = (self.identity.shard, primary.epoch(), self.jobs.next_operation);
        let operations = queued.iter().map(|queued| queued.change.clone()).collect();
        let record = StoreRecord::Operations { shard, epoch, first, operations };
        let write = self.write(record, WritePurpose::Batch);
        let written = breaks::is_enabled(Break::CommittedBeforeOwnSync);
        let synced = BTreeSet::new();
        if let Some(primary) = &mut self.primary {
            primary.batch = Some(OperationBatch { first, queued, write, written, synced, stalled: false });
        }
    }

    /// Handles the end of the write of the batch to this store's disk; `durable` is false if it failed.
    pub(super) fn batch_written(&mut self, write: WriteId, durable: bool) {
        let batch = self.primary.as_mut().and_then(|primary| primary.batch.as_mut());
        if let Some(batch) = batch.filter(|batch| batch.write == write) {
            batch.written |= durable;
        }
    }

    /// Sends the batch to all caught-up members that have not acknowledged it.
    pub(super) fn send_batch(&mut self, now: Micros) {
        let Some(primary) = &self.primary else { return };
        let Some(batch) = &primary.batch else { return };
        let is_due = |member: &DiskId| {
            primary.group.is_caught_up(*member)
                && !primary.is_replicating_to(*member)
                && primary.may_call(*member, now)
        };
        let waiting = primary.group.waiting(&batch.synced, batch.stalled);
        let due: Vec<DiskId> = waiting.into_iter().filter(is_due).collect();
        if due.is_empty() {
            return;
        }
        let first = batch.first;
        let operations: Vec<ShardOperation> =
            batch.queued.iter().map(|queued| queued.change.clone()).collect();
        let sessions = primary.sessions.clone();
        for member in due {
            let session = sessions.get(&member).copied().unwrap_or(0);
            let message = ShardMessage::Replicate { session, first, operations: operations.clone() };
            self.call(member, message, MEMBER_TIMEOUT, CallPurpose::Replicate(member));
        }
    }

    /// Handles a member's answer to the batch; `None` after a timeout.
    pub(super) fn on_replicate_answer(&mut self, member: DiskId, answer: Option<Response>, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        let Some(batch) = &mut primary.batch else { return };
        let end = batch.first + batch.queued.len() as u64;
        match answer {
            Some(Response::Replicated { next }) if next >= end => {
                batch.synced.insert(member);
                primary.group.mark_responsive(member);
            }
            // The member has lost data and has to be repaired.
            Some(Response::Behind) => primary.group.mark_behind(member),
            // The member has seen a newer view, which this replica will receive as well.
            Some(Response::WrongEpoch) => self.retry_later(member, now),
            _ => {
                batch.stalled = true;
                self.mark_unresponsive(member, now);
            }
        }
    }

    /// Commits the batch once all required members have it on their disks.
    pub(super) fn finish_batch(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        let Some(batch) = &primary.batch else { return };
        // The commit waits until caught-up joining members answer or time out; otherwise they would need another
        // repair.
        if !batch.written || primary.is_replicating() {
            return;
        }
        if !breaks::is_enabled(Break::CommittedWithoutRequiredCopies) && !primary.group.commit(&batch.synced)
        {
            return;
        }
        let Some(batch) = primary.batch.take() else { return };
        for queued in batch.queued {
            self.jobs.apply(&queued.change);
            self.actions.push(ShardAction::Committed { operation: queued.operation, change: queued.change });
        }
    }
}
