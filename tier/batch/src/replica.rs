//! One store's replica of a shard, as primary or backup: the entry points for its caller.
//!
//! Replication is primary-backup with epochs: the core decides the view, the primary of the view orders operations,
//! and an operation is committed once every member that may count as in sync has it on its disk. The jobs in memory
//! always equal those that recovery would give from the records written so far, with one exception: the batch that
//! a primary is replicating is applied when it is committed or when the primary steps down, whichever comes first.
//!
//! The caller reports each event by one of the methods here and performs the [`ShardAction`]s returned. [`state`]
//! has the data and the basic effects; each other module handles one task, and only this module combines several of
//! them.

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

/// Maximum number of queued operations; further ones are rejected as not started.
const MAX_QUEUED_OPERATIONS: usize = 4096;

impl ShardReplica {
    /// Adopts a view received from the core; an older view is ignored.
    pub fn follow_view(&mut self, view: &ShardView, now: Micros) -> Vec<ShardAction> {
        if self.adopt_view(view) {
            self.advance(now);
        }
        self.take_actions()
    }

    /// Queues an operation for replication; [`ShardAction::Committed`], [`ShardAction::Uncertain`] or
    /// [`ShardAction::NotStarted`] follows.
    pub fn commit(
        &mut self,
        operation: OperationId,
        change: ShardOperation,
        now: Micros,
    ) -> Vec<ShardAction> {
        match &mut self.primary {
            Some(primary) if primary.serving && primary.queue.len() < MAX_QUEUED_OPERATIONS => {
                primary.queue.push_back(QueuedOperation::new(operation, change));
                self.advance(now);
            }
            _ => self.actions.push(ShardAction::NotStarted { operation }),
        }
        self.take_actions()
    }

    /// Confirms with all required members that this replica is still the primary. [`ShardAction::ReadConfirmed`]
    /// follows, or [`ShardAction::ReadRejected`] once `deadline` has passed.
    pub fn confirm(&mut self, read: ReadId, deadline: Micros, now: Micros) -> Vec<ShardAction> {
        match &mut self.primary {
            Some(_) if breaks::is_enabled(Break::ReadConfirmedWithoutRound) => {
                self.actions.push(ShardAction::ReadConfirmed { read });
            }
            Some(primary) if primary.serving => {
                primary.reads.push(PendingRead { read, deadline });
                self.advance(now);
            }
            _ => self.actions.push(ShardAction::ReadRejected { read }),
        }
        self.take_actions()
    }

    /// Handles a call of a primary. `session_seed` is a random number that becomes the session id if the call
    /// starts a session.
    pub fn receive(
        &mut self,
        request: RequestId,
        epoch: Epoch,
        message: ShardMessage,
        session_seed: u64,
    ) -> Vec<ShardAction> {
        if !self.observe_epoch(epoch) {
            self.answer(request, Response::WrongEpoch);
        } else if let Some(rejection) = self.rejection(&message) {
            self.answer(request, rejection);
        } else {
            self.handle_message(request, message, session_seed);
        }
        self.take_actions()
    }

    /// Handles the answer to a call; `answer` is `None` if the call failed or timed out.
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

    /// Handles the end of a write: the record is durable (`synced`), or it could not be written.
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
            WritePurpose::Rewrite => self.rewrite_written(synced, now),
        }
        self.advance(now);
        self.take_actions()
    }

    /// Requests a rewrite of all jobs after the current batch. [`ShardAction::Rewritten`] with the same request id
    /// follows, for a rewrite that starts after this call.
    pub fn rewrite(&mut self, request: RequestId) -> Vec<ShardAction> {
        self.rewrites.requests.push(request);
        self.rewrites.due = true;
        self.rewrite_if_due();
        self.take_actions()
    }

    /// Advances the time; must be called periodically while [`ShardReplica::needs_tick`] returns true.
    pub fn tick(&mut self, now: Micros) -> Vec<ShardAction> {
        self.rewrite_after_failure(now);
        self.advance(now);
        self.take_actions()
    }

    /// Starts and finishes every step that the current state allows.
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
