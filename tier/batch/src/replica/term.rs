//! Terms of a primary: the view and epoch in force, and when this replica becomes primary and steps down.

use super::primary::PrimaryState;
use super::state::ShardReplica;
use super::writes::WritePurpose;
use crate::action::ShardAction;
use crate::breaks::{self, Break};
use crate::record::StoreRecord;
use quillmount_replication::ReplicaGroup;
use quillmount_wire::messages::{Epoch, ShardView};

impl ShardReplica {
    /// Adopts a view; returns `false` if it is the current one or an older one. The term continues if the primary
    /// is the same as before.
    pub(super) fn adopt_view(&mut self, view: &ShardView) -> bool {
        if view.epoch < self.epoch || self.view.as_ref() == Some(view) {
            return false;
        }
        self.view = Some(view.clone());
        self.epoch = view.epoch;
        let is_named_primary = view.primary == self.identity.disk;
        match &mut self.primary {
            Some(primary) if is_named_primary && primary.group.view().primary_since == view.primary_since => {
                primary.group.follow(view.clone());
                primary.drop_calls();
            }
            _ => self.step_down(),
        }
        true
    }

    /// Records the epoch of a call; returns `false` if it is below the highest one seen. A primary of an older
    /// epoch steps down.
    pub(super) fn observe_epoch(&mut self, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            return breaks::is_enabled(Break::OlderEpochAnswered);
        }
        self.epoch = epoch;
        let is_outdated = self.primary.as_ref().is_some_and(|primary| primary.epoch() < epoch);
        if is_outdated && !breaks::is_enabled(Break::OutdatedPrimaryContinues) {
            self.step_down();
        }
        true
    }

    /// Starts a term as primary if the view in force names this replica.
    pub(super) fn begin_term(&mut self) {
        let Some(view) = self.view.clone() else { return };
        let should_lead = view.primary == self.identity.disk && view.epoch >= self.epoch;
        if !should_lead || self.primary.is_some() || self.damaged {
            return;
        }
        let tolerated_failures = self.identity.tolerated_failures;
        let resumes = self.last_primary_epoch >= view.primary_since
            && !breaks::is_enabled(Break::ReportedMembersNotRequired);
        let (shard, epoch) = (self.identity.shard, view.epoch);
        let group = if resumes {
            ReplicaGroup::resume(view, tolerated_failures)
        } else {
            ReplicaGroup::new(view, tolerated_failures)
        };
        let mut primary = PrimaryState::new(group);
        primary.term_durable = breaks::is_enabled(Break::TermNotSynced);
        self.last_primary_epoch = epoch;
        self.primary = Some(primary);
        if breaks::is_enabled(Break::OperationNumbersRestart) {
            self.jobs.next_operation = 0;
        }
        if !breaks::is_enabled(Break::TermNotSynced) {
            self.write(StoreRecord::TermStart { shard, epoch }, WritePurpose::TermStart);
        }
    }

    /// Handles the end of the write of the term's start; `durable` is false if it failed.
    pub(super) fn term_start_written(&mut self, durable: bool) {
        if let Some(primary) = &mut self.primary {
            primary.term_durable |= durable;
        }
    }

    /// Starts to serve once the members in sync have caught up.
    pub(super) fn start_serving(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        let ready = primary.group.is_ready() || breaks::is_enabled(Break::ServesBeforeCaughtUp);
        if !primary.serving && ready {
            primary.serving = true;
            let epoch = primary.epoch();
            self.actions.push(ShardAction::Serving { epoch });
        }
    }

    /// Ends the term if this replica is primary. The batch in flight is on this store's disk or being written to
    /// it, so it is applied here as it is at the members; whether it is committed depends on the next primary.
    pub(super) fn step_down(&mut self) {
        let Some(primary) = self.primary.take() else { return };
        for queued in primary.batch.into_iter().flat_map(|batch| batch.queued) {
            if !breaks::is_enabled(Break::UncommittedBatchNotApplied) {
                self.jobs.apply(&queued.change);
            }
            self.actions.push(ShardAction::Uncertain { operation: queued.operation });
        }
        for queued in primary.queue {
            self.actions.push(ShardAction::NotStarted { operation: queued.operation });
        }
        let in_round = primary.round.into_iter().flat_map(|round| round.reads);
        for read in primary.reads.into_iter().chain(in_round) {
            self.actions.push(ShardAction::ReadRejected { read: read.read });
        }
        self.actions.push(ShardAction::SteppedDown);
    }
}
