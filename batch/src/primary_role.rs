//! A replica as primary: brings the members level, replicates operations, and answers reads.

use crate::breaks::{self, Break};
use crate::primary::{
    Batch, FIRST_STEP_TIME, JOINING_MISSES, MEMBER_TIME, Primary, Purpose, QUEUE_LIMIT, Queued, RETRY, Read,
    Repair, Round, STEP_TIME, Step,
};
use crate::record::StoreRecord;
use crate::replica::{CallId, Micros, OperationId, Output, ReadId, Replica, WriteId, WritePurpose};
use quillmount_replication::Group;
use quillmount_wire::messages::{DiskId, JobState, MemberMessage, Response, ShardOperation, ShardView};
use std::collections::VecDeque;

/// Bytes of jobs sent together by a repair, about: many repairs may share a link, and what other shards send there waits behind.
const INSTALL_BYTES: usize = 256 << 10;

impl Replica {
    /// Follows the view in force.
    pub fn follow_view(&mut self, view: &ShardView, now: Micros) -> Vec<Output> {
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
            _ => self.end_primary(),
        }
        self.advance(now);
        self.take_outputs()
    }

    /// Replicates an operation; [`Output::Committed`], `Uncertain` or `NotBegun` follows.
    pub fn commit(&mut self, operation: OperationId, change: ShardOperation, now: Micros) -> Vec<Output> {
        match &mut self.primary {
            Some(primary) if primary.serving && primary.queue.len() < QUEUE_LIMIT => {
                primary.queue.push_back(Queued { operation, change });
                self.advance(now);
            }
            _ => self.outputs.push(Output::NotBegun { operation }),
        }
        self.take_outputs()
    }

    /// Asks all members that count whether this store still is primary; [`Output::ReadConfirmed`] or `ReadRefused` follows.
    pub fn confirm(&mut self, read: ReadId, until: Micros, now: Micros) -> Vec<Output> {
        match &mut self.primary {
            Some(_) if breaks::on(Break::ReadWithoutRound) => {
                self.outputs.push(Output::ReadConfirmed { read })
            }
            Some(primary) if primary.serving => {
                primary.reads.push(Read { read, until });
                self.advance(now);
            }
            _ => self.outputs.push(Output::ReadRefused { read }),
        }
        self.take_outputs()
    }

    /// A call was answered, or is given up.
    pub fn answered(&mut self, call: CallId, answer: Option<Response>, now: Micros) -> Vec<Output> {
        let purpose = self.primary.as_mut().and_then(|primary| primary.calls.remove(&call));
        match purpose {
            Some(Purpose::Repair(member)) => self.repair_answered(member, answer, now),
            Some(Purpose::Replicate(member)) => self.replicate_answered(member, answer, now),
            Some(Purpose::Confirm(member)) => self.confirm_answered(member, answer, now),
            None => {}
        }
        self.advance(now);
        self.take_outputs()
    }

    /// Begins to lead, if the view in force says so.
    fn begin(&mut self) {
        let Some(view) = self.view.clone() else { return };
        let due = view.primary == self.identity.disk && view.epoch >= self.epoch;
        if !due || self.primary.is_some() || self.damaged {
            return;
        }
        let survivable = self.identity.survivable;
        let resumes = self.led >= view.since && !breaks::on(Break::ReportForgotten);
        let (shard, epoch) = (self.identity.shard, view.epoch);
        let group = if resumes { Group::resume(view, survivable) } else { Group::new(view, survivable) };
        let mut primary = Primary::new(group);
        primary.reigning = breaks::on(Break::ReignNotSynced);
        self.led = epoch;
        self.primary = Some(primary);
        if breaks::on(Break::NumbersRestart) {
            self.jobs.next = 0;
        }
        if !breaks::on(Break::ReignNotSynced) {
            self.write(StoreRecord::Reign { shard, epoch }, WritePurpose::Reign);
        }
    }

    pub(crate) fn reign_written(&mut self, kept: bool) {
        if let Some(primary) = &mut self.primary {
            primary.reigning |= kept;
        }
    }

    /// Ends the primary. What it was replicating is on this store's disk, or on its way there, and so becomes part of its
    /// state as it does at the members; the next primary decides what becomes of it.
    pub(crate) fn end_primary(&mut self) {
        let Some(primary) = self.primary.take() else { return };
        for queued in primary.batch.into_iter().flat_map(|batch| batch.queued) {
            if !breaks::on(Break::UncommittedForgotten) {
                self.jobs.apply(&queued.change);
            }
            self.outputs.push(Output::Uncertain { operation: queued.operation });
        }
        for queued in primary.queue {
            self.outputs.push(Output::NotBegun { operation: queued.operation });
        }
        let under_way = primary.round.into_iter().flat_map(|round| round.reads);
        for read in primary.reads.into_iter().chain(under_way) {
            self.outputs.push(Output::ReadRefused { read: read.read });
        }
        self.outputs.push(Output::Ended);
    }

    /// Does all that can be done now.
    pub(crate) fn advance(&mut self, now: Micros) {
        self.begin();
        if !self.primary.as_ref().is_some_and(|primary| primary.reigning) {
            return self.rewrite_if_due();
        }
        self.start_repairs(now);
        self.start_serving();
        self.finish_batch();
        self.rewrite_if_due();
        self.start_batch();
        self.send_batch(now);
        self.finish_batch();
        self.start_round(now);
    }

    fn call(&mut self, member: DiskId, message: MemberMessage, time: Micros, purpose: Purpose) {
        let call = self.draw_id();
        let Some(primary) = &mut self.primary else { return };
        primary.calls.insert(call, purpose);
        let epoch = primary.epoch();
        self.outputs.push(Output::Call { call, member, epoch, message, time });
    }

    // Repair

    fn start_repairs(&mut self, now: Micros) {
        let Some(primary) = &self.primary else { return };
        // While a batch is under way only members that it waits for are brought level.
        let wanted = match &primary.batch {
            None => primary.group.unattached(),
            Some(batch) => {
                let waiting = primary.group.waiting(&batch.synced, batch.stuck);
                waiting.into_iter().filter(|member| !primary.group.is_attached(*member)).collect()
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
        let message = MemberMessage::CompareBuckets { buckets: self.jobs.buckets() };
        let base = self.jobs.next;
        if let Some(primary) = &mut self.primary {
            primary.repairs.insert(member, Repair { step: Step::Buckets, base, answered });
        }
        self.call(member, message, FIRST_STEP_TIME, Purpose::Repair(member));
    }

    fn repair_answered(&mut self, member: DiskId, answer: Option<Response>, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        let Some(repair) = primary.repairs.remove(&member) else { return };
        let next = self.jobs.next;
        let stale = repair.base != next && !breaks::on(Break::StaleRepair);
        match (repair.step, answer) {
            // It knows of a view that is on its way here.
            (_, Some(Response::WrongEpoch)) => self.retry_later(member, now),
            (_, Some(Response::Behind)) => self.retry_later(member, now),
            (_, Some(answer)) if stale && !matches!(answer, Response::Full) => self.compare(member, true),
            (Step::Buckets, Some(Response::DifferentBuckets { session, buckets })) => {
                primary.misses.remove(&member);
                if !buckets.is_empty() && primary.is_copying() {
                    // One member at a time: together they would only be slower.
                    return self.retry_later(member, now);
                }
                self.compare_jobs(member, session, buckets);
            }
            (Step::Jobs { session }, Some(Response::DifferentJobs(wanted))) => {
                self.install_next(member, session, wanted.into());
            }
            (Step::Install { session, remaining }, Some(Response::Done)) => {
                self.install_next(member, session, remaining);
            }
            (Step::Level { session }, Some(Response::Done)) => self.attach(member, session),
            (Step::Buckets, None) => self.missed(member, now),
            // The first step of the next attempt shows whether it is there.
            (_, None) => self.retry_later(member, now),
            _ => self.unresponsive(member, now),
        }
    }

    /// A member did not answer the first step. One that only joins and holds nothing up is given some more tries: a link that
    /// copies fill is slow.
    fn missed(&mut self, member: DiskId, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        let misses = primary.misses.entry(member).or_default();
        *misses += 1;
        if *misses >= JOINING_MISSES || primary.group.required().contains(&member) {
            self.unresponsive(member, now);
        } else {
            self.retry_later(member, now);
        }
    }

    fn compare_jobs(&mut self, member: DiskId, session: u64, buckets: Vec<u32>) {
        if buckets.is_empty() {
            return self.install_next(member, session, VecDeque::new());
        }
        let jobs = self.jobs.digests(&buckets);
        let message = MemberMessage::CompareJobs { session, buckets, jobs };
        self.next_step(member, Step::Jobs { session }, message);
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
        let step = if last { Step::Level { session } } else { Step::Install { session, remaining } };
        self.next_step(member, step, MemberMessage::Install { session, jobs, next });
    }

    fn next_step(&mut self, member: DiskId, step: Step, message: MemberMessage) {
        let base = self.jobs.next;
        if let Some(primary) = &mut self.primary {
            primary.repairs.insert(member, Repair { step, base, answered: true });
        }
        self.call(member, message, STEP_TIME, Purpose::Repair(member));
    }

    fn attach(&mut self, member: DiskId, session: u64) {
        if let Some(primary) = &mut self.primary {
            primary.sessions.insert(member, session);
            primary.group.attach(member);
            self.outputs.push(Output::ReportDue);
        }
    }

    fn retry_later(&mut self, member: DiskId, now: Micros) {
        if let Some(primary) = &mut self.primary {
            primary.retry_at.insert(member, now + RETRY);
        }
    }

    fn unresponsive(&mut self, member: DiskId, now: Micros) {
        self.retry_later(member, now);
        let news = self.primary.as_mut().is_some_and(|primary| primary.group.silent(member));
        if news {
            self.outputs.push(Output::ReportDue);
        }
    }

    fn start_serving(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        let ready = primary.group.is_ready() || breaks::on(Break::ServesBeforeLevel);
        if !primary.serving && ready {
            primary.serving = true;
            let epoch = primary.epoch();
            self.outputs.push(Output::Serving { epoch });
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
        let queued = primary.take_batch();
        let (shard, epoch, first) = (self.identity.shard, primary.epoch(), self.jobs.next);
        let operations = queued.iter().map(|queued| queued.change.clone()).collect();
        let record = StoreRecord::Operations { shard, epoch, first, operations };
        let write = self.write(record, WritePurpose::Batch);
        let written = breaks::on(Break::CommittedBeforeOwnSync);
        let synced = Default::default();
        if let Some(primary) = &mut self.primary {
            primary.batch = Some(Batch { first, queued, write, written, synced, stuck: false });
        }
    }

    pub(crate) fn batch_written(&mut self, write: WriteId, kept: bool) {
        let batch = self.primary.as_mut().and_then(|primary| primary.batch.as_mut());
        if let Some(batch) = batch.filter(|batch| batch.write == write) {
            batch.written |= kept;
        }
    }

    /// Sends the batch to all members that have to sync it and did not.
    fn send_batch(&mut self, now: Micros) {
        let Some(primary) = &self.primary else { return };
        let Some(batch) = &primary.batch else { return };
        let due = |member: &DiskId| {
            primary.group.is_attached(*member)
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
            let message = MemberMessage::Replicate { session, first, operations: operations.clone() };
            self.call(member, message, MEMBER_TIME, Purpose::Replicate(member));
        }
    }

    fn replicate_answered(&mut self, member: DiskId, answer: Option<Response>, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        let Some(batch) = &mut primary.batch else { return };
        let expected = batch.first + batch.queued.len() as u64;
        match answer {
            Some(Response::Replicated { next }) if next >= expected => {
                batch.synced.insert(member);
                primary.group.heard(member);
            }
            // It has lost what it had: it is brought level again.
            Some(Response::Behind) => primary.group.detach(member),
            // It knows of a view that is on its way here.
            Some(Response::WrongEpoch) => self.retry_later(member, now),
            _ => {
                batch.stuck = true;
                self.unresponsive(member, now);
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
            self.outputs.push(Output::Committed { operation: queued.operation, change: queued.change });
        }
    }

    // Reads

    fn start_round(&mut self, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        let overdue: Vec<Read> = primary.reads.extract_if(.., |read| read.until <= now).collect();
        let refused = overdue.into_iter().map(|read| Output::ReadRefused { read: read.read });
        self.outputs.extend(refused);
        let idle = primary.round.is_none() && primary.serving && primary.next_round_at <= now;
        if !idle || primary.reads.is_empty() {
            return;
        }
        let waiting = primary.group.required();
        let members: Vec<DiskId> = waiting.iter().copied().collect();
        primary.round = Some(Round { reads: std::mem::take(&mut primary.reads), waiting });
        for member in members {
            self.call(member, MemberMessage::Confirm, MEMBER_TIME, Purpose::Confirm(member));
        }
        self.finish_round();
    }

    fn confirm_answered(&mut self, member: DiskId, answer: Option<Response>, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        if answer == Some(Response::Done) {
            if let Some(round) = &mut primary.round {
                round.waiting.remove(&member);
            }
            return self.finish_round();
        }
        // The reads wait for another round, as long as they may.
        primary.calls.retain(|_, purpose| !matches!(purpose, Purpose::Confirm(_)));
        primary.next_round_at = now + RETRY;
        if let Some(round) = primary.round.take() {
            primary.reads.extend(round.reads);
        }
    }

    fn finish_round(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        if primary.round.as_ref().is_some_and(|round| round.waiting.is_empty()) {
            let reads = primary.round.take().into_iter().flat_map(|round| round.reads);
            self.outputs.extend(reads.map(|read| Output::ReadConfirmed { read: read.read }));
        }
    }
}
