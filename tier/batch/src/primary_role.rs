//! A replica as primary: brings the members level, replicates operations, and answers reads.

use crate::breaks::{self, Break};
use crate::primary::{
    CallPurpose, FIRST_STEP_TIMEOUT, JOINING_MISSES, MEMBER_TIMEOUT, OperationBatch, PendingRead,
    PrimaryState, QUEUE_LIMIT, QueuedOperation, RETRY_DELAY, ReadRound, Repair, RepairStep, STEP_TIMEOUT,
};
use crate::record::StoreRecord;
use crate::replica::{CallId, Micros, OperationId, ReadId, ShardAction, ShardReplica, WriteId, WritePurpose};
use quillmount_replication::ReplicaGroup;
use quillmount_wire::messages::{DiskId, JobState, Response, ShardMessage, ShardOperation, ShardView};
use std::collections::VecDeque;

/// Bytes of jobs sent together by a repair, about: many repairs may share a link, and what other shards send there waits behind.
const INSTALL_BYTES: usize = 256 << 10;

impl ShardReplica {
    /// Follows the view in force.
    pub fn follow_view(&mut self, view: &ShardView, now: Micros) -> Vec<ShardAction> {
        if view.epoch < self.epoch || self.view.as_ref() == Some(view) {
            return Vec::new();
        }
        self.view = Some(view.clone());
        let same = self.primary.as_ref().is_some_and(|primary| {
            primary.group.view().since == view.since && view.primary == self.identity.disk
        });
        self.epoch = view.epoch;
        match &mut self.primary {
            Some(primary) if same => {
                primary.group.follow(view.clone());
                primary.drop_calls();
            }
            _ => self.step_down(),
        }
        self.advance(now);
        self.take_actions()
    }

    /// Replicates an operation; [`ShardAction::Committed`], `Uncertain` or `NotStarted` follows.
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

    /// Asks all members that count whether this store still is primary; [`ShardAction::ReadConfirmed`] or `ReadRejected` follows.
    pub fn confirm(&mut self, read: ReadId, until: Micros, now: Micros) -> Vec<ShardAction> {
        match &mut self.primary {
            Some(_) if breaks::on(Break::ReadWithoutRound) => {
                self.actions.push(ShardAction::ReadConfirmed { read })
            }
            Some(primary) if primary.serving => {
                primary.reads.push(PendingRead { read, until });
                self.advance(now);
            }
            _ => self.actions.push(ShardAction::ReadRejected { read }),
        }
        self.take_actions()
    }

    /// A call was answered, or is given up.
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

    /// Begins to lead, if the view in force says so.
    fn begin_term(&mut self) {
        let Some(view) = self.view.clone() else { return };
        let due = view.primary == self.identity.disk && view.epoch >= self.epoch;
        if !due || self.primary.is_some() || self.damaged {
            return;
        }
        let tolerated_failures = self.identity.tolerated_failures;
        let resumes = self.last_primary_epoch >= view.since && !breaks::on(Break::ReportForgotten);
        let (shard, epoch) = (self.identity.shard, view.epoch);
        let group = if resumes {
            ReplicaGroup::resume(view, tolerated_failures)
        } else {
            ReplicaGroup::new(view, tolerated_failures)
        };
        let mut primary = PrimaryState::new(group);
        primary.term_durable = breaks::on(Break::TermNotSynced);
        self.last_primary_epoch = epoch;
        self.primary = Some(primary);
        if breaks::on(Break::NumbersRestart) {
            self.jobs.next = 0;
        }
        if !breaks::on(Break::TermNotSynced) {
            self.write(StoreRecord::TermStart { shard, epoch }, WritePurpose::TermStart);
        }
    }

    pub(crate) fn term_start_written(&mut self, durable: bool) {
        if let Some(primary) = &mut self.primary {
            primary.term_durable |= durable;
        }
    }

    /// Ends the primary. What it was replicating is on this store's disk, or on its way there, and so becomes part of its
    /// state as it does at the members; the next primary decides what becomes of it.
    pub(crate) fn step_down(&mut self) {
        let Some(primary) = self.primary.take() else { return };
        for queued in primary.batch.into_iter().flat_map(|batch| batch.queued) {
            if !breaks::on(Break::UncommittedForgotten) {
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

    /// Does all that can be done now.
    pub(crate) fn advance(&mut self, now: Micros) {
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

    fn call(&mut self, member: DiskId, message: ShardMessage, timeout: Micros, purpose: CallPurpose) {
        let call = self.allocate_id();
        let Some(primary) = &mut self.primary else { return };
        primary.calls.insert(call, purpose);
        let epoch = primary.epoch();
        self.actions.push(ShardAction::Call { call, member, epoch, message, timeout });
    }

    // Repair

    fn start_repairs(&mut self, now: Micros) {
        let Some(primary) = &self.primary else { return };
        // While a batch is under way only members that it waits for are brought level.
        let wanted = match &primary.batch {
            None => primary.group.lagging(),
            Some(batch) => {
                let waiting = primary.group.waiting(&batch.synced, batch.stuck);
                waiting.into_iter().filter(|member| !primary.group.is_caught_up(*member)).collect()
            }
        };
        let due = |member: &DiskId| !primary.repairs.contains_key(member) && primary.may_call(*member, now);
        let due: Vec<DiskId> = wanted.into_iter().filter(due).collect();
        for member in due {
            self.compare(member, false);
        }
    }

    /// Begins a repair, or begins it again because the shard has changed meanwhile.
    fn compare(&mut self, member: DiskId, answered: bool) {
        let message = ShardMessage::CompareBuckets { buckets: self.jobs.buckets() };
        let base = self.jobs.next;
        if let Some(primary) = &mut self.primary {
            primary.repairs.insert(member, Repair { step: RepairStep::Buckets, base, answered });
        }
        self.call(member, message, FIRST_STEP_TIMEOUT, CallPurpose::Repair(member));
    }

    fn on_repair_answer(&mut self, member: DiskId, answer: Option<Response>, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        let Some(repair) = primary.repairs.remove(&member) else { return };
        let next = self.jobs.next;
        let stale = repair.base != next && !breaks::on(Break::StaleRepair);
        match (repair.step, answer) {
            // It knows of a view that is on its way here.
            (_, Some(Response::WrongEpoch)) => self.retry_later(member, now),
            (_, Some(Response::Behind)) => self.retry_later(member, now),
            (_, Some(answer)) if stale && !matches!(answer, Response::Full) => self.compare(member, true),
            (RepairStep::Buckets, Some(Response::DifferentBuckets { session, buckets })) => {
                primary.misses.remove(&member);
                if !buckets.is_empty() && primary.is_copying() {
                    // One member at a time: together they would only be slower.
                    return self.retry_later(member, now);
                }
                self.compare_jobs(member, session, buckets);
            }
            (RepairStep::Jobs { session }, Some(Response::DifferentJobs(wanted))) => {
                self.install_next(member, session, wanted.into());
            }
            (RepairStep::Install { session, remaining }, Some(Response::Done)) => {
                self.install_next(member, session, remaining);
            }
            (RepairStep::CatchUp { session }, Some(Response::Done)) => self.mark_caught_up(member, session),
            (RepairStep::Buckets, None) => self.on_missed_answer(member, now),
            // The first step of the next attempt shows whether it is there.
            (_, None) => self.retry_later(member, now),
            _ => self.mark_unresponsive(member, now),
        }
    }

    /// A member did not answer the first step. One that only joins and holds nothing up is given some more tries: a link that
    /// copies fill is slow.
    fn on_missed_answer(&mut self, member: DiskId, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        let misses = primary.misses.entry(member).or_default();
        *misses += 1;
        if *misses >= JOINING_MISSES || primary.group.required().contains(&member) {
            self.mark_unresponsive(member, now);
        } else {
            self.retry_later(member, now);
        }
    }

    fn compare_jobs(&mut self, member: DiskId, session: u64, buckets: Vec<u32>) {
        if buckets.is_empty() {
            return self.install_next(member, session, VecDeque::new());
        }
        let jobs = self.jobs.digests(&buckets);
        let message = ShardMessage::CompareJobs { session, buckets, jobs };
        self.next_step(member, RepairStep::Jobs { session }, message);
    }

    /// Sends the next jobs of a repair, or after the last of them the number of the next operation.
    fn install_next(&mut self, member: DiskId, session: u64, mut remaining: VecDeque<String>) {
        let mut jobs: Vec<JobState> = Vec::new();
        let mut bytes = 0;
        while bytes < INSTALL_BYTES
            && let Some(id) = remaining.pop_front()
        {
            let Some(entry) = self.jobs.jobs.get(&id) else { continue };
            jobs.push(entry.state());
            bytes += entry.bytes();
        }
        let last = jobs.is_empty();
        let next = last.then_some(self.jobs.next);
        let step =
            if last { RepairStep::CatchUp { session } } else { RepairStep::Install { session, remaining } };
        self.next_step(member, step, ShardMessage::Install { session, jobs, next });
    }

    fn next_step(&mut self, member: DiskId, step: RepairStep, message: ShardMessage) {
        let base = self.jobs.next;
        if let Some(primary) = &mut self.primary {
            primary.repairs.insert(member, Repair { step, base, answered: true });
        }
        self.call(member, message, STEP_TIMEOUT, CallPurpose::Repair(member));
    }

    fn mark_caught_up(&mut self, member: DiskId, session: u64) {
        if let Some(primary) = &mut self.primary {
            primary.sessions.insert(member, session);
            primary.group.mark_caught_up(member);
            self.actions.push(ShardAction::ReportDue);
        }
    }

    fn retry_later(&mut self, member: DiskId, now: Micros) {
        if let Some(primary) = &mut self.primary {
            primary.retry_at.insert(member, now + RETRY_DELAY);
        }
    }

    fn mark_unresponsive(&mut self, member: DiskId, now: Micros) {
        self.retry_later(member, now);
        let newly_silent =
            self.primary.as_mut().is_some_and(|primary| primary.group.mark_unresponsive(member));
        if newly_silent {
            self.actions.push(ShardAction::ReportDue);
        }
    }

    fn start_serving(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        let ready = primary.group.is_ready() || breaks::on(Break::ServesBeforeCaughtUp);
        if !primary.serving && ready {
            primary.serving = true;
            let epoch = primary.epoch();
            self.actions.push(ShardAction::Serving { epoch });
        }
    }

    // Operations

    fn start_batch(&mut self) {
        let rewriting = self.rewrite_due;
        let Some(primary) = &mut self.primary else { return };
        let blocked = !primary.serving || primary.batch.is_some() || primary.repairs_block() || rewriting;
        if blocked || primary.queue.is_empty() {
            return;
        }
        let queued = primary.next_batch();
        let (shard, epoch, first) = (self.identity.shard, primary.epoch(), self.jobs.next);
        let operations = queued.iter().map(|queued| queued.change.clone()).collect();
        let record = StoreRecord::Operations { shard, epoch, first, operations };
        let write = self.write(record, WritePurpose::Batch);
        let written = breaks::on(Break::CommittedBeforeOwnSync);
        let synced = Default::default();
        if let Some(primary) = &mut self.primary {
            primary.batch = Some(OperationBatch { first, queued, write, written, synced, stuck: false });
        }
    }

    pub(crate) fn batch_written(&mut self, write: WriteId, durable: bool) {
        let batch = self.primary.as_mut().and_then(|primary| primary.batch.as_mut());
        if let Some(batch) = batch.filter(|batch| batch.write == write) {
            batch.written |= durable;
        }
    }

    /// Sends the batch to all members that have to sync it and did not.
    fn send_batch(&mut self, now: Micros) {
        let Some(primary) = &self.primary else { return };
        let Some(batch) = &primary.batch else { return };
        let due = |member: &DiskId| {
            primary.group.is_caught_up(*member)
                && !primary.replicates_to(Some(*member))
                && primary.may_call(*member, now)
        };
        let waiting = primary.group.waiting(&batch.synced, batch.stuck);
        let due: Vec<DiskId> = waiting.into_iter().filter(due).collect();
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

    fn on_replicate_answer(&mut self, member: DiskId, answer: Option<Response>, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        let Some(batch) = &mut primary.batch else { return };
        let expected = batch.first + batch.queued.len() as u64;
        match answer {
            Some(Response::Replicated { next }) if next >= expected => {
                batch.synced.insert(member);
                primary.group.mark_responsive(member);
            }
            // It has lost what it had: it is brought level again.
            Some(Response::Behind) => primary.group.mark_behind(member),
            // It knows of a view that is on its way here.
            Some(Response::WrongEpoch) => self.retry_later(member, now),
            _ => {
                batch.stuck = true;
                self.mark_unresponsive(member, now);
            }
        }
    }

    /// Commits the batch once all members that count have synced it.
    fn finish_batch(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        let Some(batch) = &primary.batch else { return };
        // A joining member that is level is waited for as long as it may answer: else it would have to be compared again.
        if !batch.written || primary.replicates_to(None) {
            return;
        }
        let one = breaks::on(Break::OneCopyEnough);
        if !one && !primary.group.commit(&batch.synced) {
            return;
        }
        let Some(batch) = primary.batch.take() else { return };
        for queued in batch.queued {
            self.jobs.apply(&queued.change);
            self.actions.push(ShardAction::Committed { operation: queued.operation, change: queued.change });
        }
    }

    // Reads

    fn start_read_round(&mut self, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        let overdue: Vec<PendingRead> = primary.reads.extract_if(.., |read| read.until <= now).collect();
        let refused = overdue.into_iter().map(|read| ShardAction::ReadRejected { read: read.read });
        self.actions.extend(refused);
        let idle = primary.round.is_none() && primary.serving && primary.next_round_at <= now;
        if !idle || primary.reads.is_empty() {
            return;
        }
        let waiting = primary.group.required();
        let members: Vec<DiskId> = waiting.iter().copied().collect();
        primary.round = Some(ReadRound { reads: std::mem::take(&mut primary.reads), waiting });
        for member in members {
            self.call(member, ShardMessage::Confirm, MEMBER_TIMEOUT, CallPurpose::Confirm(member));
        }
        self.finish_read_round();
    }

    fn on_confirm_answer(&mut self, member: DiskId, answer: Option<Response>, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        if answer == Some(Response::Done) {
            if let Some(round) = &mut primary.round {
                round.waiting.remove(&member);
            }
            return self.finish_read_round();
        }
        // The reads wait for another round, as long as they may.
        primary.calls.retain(|_, purpose| !matches!(purpose, CallPurpose::Confirm(_)));
        primary.next_round_at = now + RETRY_DELAY;
        if let Some(round) = primary.round.take() {
            primary.reads.extend(round.reads);
        }
    }

    fn finish_read_round(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        if primary.round.as_ref().is_some_and(|round| round.waiting.is_empty()) {
            let reads = primary.round.take().into_iter().flat_map(|round| round.reads);
            self.actions.extend(reads.map(|read| ShardAction::ReadConfirmed { read: read.read }));
        }
    }
}
