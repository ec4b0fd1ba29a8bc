//! One store's replica of a shard, as member or as primary: the entry points for its caller.
//!
//! Replication is primary-backup with epochs: the core decides the view, the primary of the view orders operations, and an operation
//! is committed once every member that may count as in sync has it on its disk. The jobs in memory are always those that the records
//! written so far give when they are recovered, except for the batch that a primary is replicating: it is applied when it is
//! committed, or when the primary steps down, whichever comes first.
//!
//! The caller reports what happened by one of the methods here and performs the [`ShardAction`]s returned. Inside, [`state`] has the
//! data and the basic effects, and each other module one task on it; only this module calls several of them.

mod member;
mod member_calls;
mod primary;
mod reads;
mod repair;
mod replication;
mod rewrite;
mod state;
mod term;
mod writes;

pub use member_calls::{MEMBER_TIMEOUT, RETRY_DELAY};
pub use state::ShardReplica;

use crate::action::ShardAction;
use crate::breaks::{self, Break};
use crate::ids::{CallId, OperationId, ReadId, RequestId, WriteId};
use primary::{CallPurpose, PendingRead, QueuedOperation};
use quillmount_wire::Micros;
use quillmount_wire::messages::{Epoch, Response, ShardMessage, ShardOperation, ShardView};
use writes::WritePurpose;

/// Largest number of operations that wait for a batch.
const QUEUE_LIMIT: usize = 4096;

impl ShardReplica {
    /// Follows the view in force; an older one is ignored.
    pub fn follow_view(&mut self, view: &ShardView, now: Micros) -> Vec<ShardAction> {
        if self.adopt_view(view) {
            self.advance(now);
        }
        self.take_actions()
    }

    /// Replicates an operation; [`ShardAction::Committed`], [`ShardAction::Uncertain`] or [`ShardAction::NotStarted`] follows.
    pub fn commit(
        &mut self,
        operation: OperationId,
        change: ShardOperation,
        now: Micros,
    ) -> Vec<ShardAction> {
        match &mut self.primary {
            Some(primary) if primary.serving && primary.queue.len() < QUEUE_LIMIT => {
                primary.queue.push_back(QueuedOperation { operation, change });
                self.advance(now);
            }
            _ => self.actions.push(ShardAction::NotStarted { operation }),
        }
        self.take_actions()
    }

    /// Makes sure, by asking all members that count, that this store still is the primary. [`ShardAction::ReadConfirmed`] or, at the
    /// time `until` at the latest, [`ShardAction::ReadRejected`] follows.
    pub fn confirm(&mut self, read: ReadId, until: Micros, now: Micros) -> Vec<ShardAction> {
        match &mut self.primary {
            Some(_) if breaks::is_enabled(Break::ReadWithoutRound) => {
                self.actions.push(ShardAction::ReadConfirmed { read });
            }
            Some(primary) if primary.serving => {
                primary.reads.push(PendingRead { read, until });
                self.advance(now);
            }
            _ => self.actions.push(ShardAction::ReadRejected { read }),
        }
        self.take_actions()
    }

    /// Handles a call of a primary; `draw` is a random number that names the session if the call starts one.
    pub fn receive(
        &mut self,
        request: RequestId,
        epoch: Epoch,
        message: ShardMessage,
        draw: u64,
    ) -> Vec<ShardAction> {
        if !self.observe_epoch(epoch) {
            self.answer(request, Response::WrongEpoch);
        } else if let Some(rejection) = self.rejection(&message) {
            self.answer(request, rejection);
        } else {
            self.handle_message(request, message, draw);
        }
        self.take_actions()
    }

    /// A call was answered, or failed, or has timed out without an answer.
    pub fn on_answer(&mut self, call: CallId, answer: Option<Response>, now: Micros) -> Vec<ShardAction> {
        let purpose = self.primary.as_mut().and_then(|primary| primary.calls.remove(&call));
        match purpose {
            Some(CallPurpose::Repair(member)) => self.on_repair_answer(member, answer, now),
            Some(CallPurpose::Replicate(member)) => self.on_replicate_answer(member, answer, now),
            Some(CallPurpose::Confirm(member)) => self.on_confirm_answer(member, answer, now),
            None => {}
        }
        self.advance(now);
        self.take_actions()
    }

    /// A record is durable (`synced`), or could not be written.
    pub fn on_written(&mut self, write: WriteId, synced: bool, now: Micros) -> Vec<ShardAction> {
        let Some(purpose) = self.writes.remove(&write) else { return Vec::new() };
        let is_rewrite = matches!(purpose, WritePurpose::Rewrite);
        if !synced && !is_rewrite && !breaks::is_enabled(Break::FailedWriteIgnored) {
            self.damaged = true;
            self.step_down();
        }
        let durable = (synced || breaks::is_enabled(Break::FailedWriteIgnored)) && !self.damaged;
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

    /// Writes all jobs once more, after the current batch. [`ShardAction::Rewritten`] with the same number follows, for a rewrite that
    /// starts after this call.
    pub fn rewrite(&mut self, request: RequestId) -> Vec<ShardAction> {
        self.rewrites.requests.push(request);
        self.rewrites.due = true;
        self.rewrite_if_due();
        self.take_actions()
    }

    /// Does what is due at this time; to be called while [`ShardReplica::needs_tick`].
    pub fn tick(&mut self, now: Micros) -> Vec<ShardAction> {
        self.rewrite_after_failure();
        self.advance(now);
        self.take_actions()
    }

    /// Starts and finishes everything that is possible in the present state.
    fn advance(&mut self, now: Micros) {
        self.begin_term();
        if !self.primary.as_ref().is_some_and(|primary| primary.term_durable) {
            return self.rewrite_if_due();
        }
        self.start_repairs(now);
        self.start_serving();
        self.finish_batch();
        self.rewrite_if_due();
        self.start_batch();
        self.send_batch(now);
        self.finish_batch();
        self.start_read_round(now);
    }
}
