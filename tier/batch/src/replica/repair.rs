//! Repair: brings lagging members to the primary's state.
//!
//! A repair consists of four steps, each of which is one or more calls: comparing the digests of all buckets;
//! comparing the digests of all jobs in the buckets that differ; sending the jobs that differ, in messages of
//! bounded size; and sending the number of the next operation. The repair starts over if the shard has changed in
//! the meantime.

use super::primary::{CallPurpose, Repair, RepairStep};
use super::state::ShardReplica;
use crate::action::ShardAction;
use crate::breaks::{self, Break};
use crate::copies::{CopiedResults, copied_with, next_part};
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, JobState, Response, ShardMessage};
use std::collections::VecDeque;

/// Timeout of the first step, microseconds. It is short because the first step shows whether the member is
/// reachable at all.
const FIRST_STEP_TIMEOUT: Micros = 250_000;
/// Timeout of a later step, microseconds.
const STEP_TIMEOUT: Micros = 800_000;
/// Number of consecutive unanswered first steps after which a joining member is reported to the core as
/// unresponsive.
const MAX_JOINING_MISSED_ANSWERS: u32 = 5;

impl ShardReplica {
    /// Starts the repair of each lagging member whose retry delay has passed.
    pub(super) fn start_repairs(&mut self, now: Micros) {
        let Some(primary) = &self.primary else { return };
        // While a batch is in flight, only the members that it waits for are repaired.
        let lagging = match &primary.batch {
            None => primary.group.lagging(),
            Some(batch) => {
                let waiting = primary.group.waiting(&batch.synced, batch.stalled);
                waiting.into_iter().filter(|member| !primary.group.is_caught_up(*member)).collect()
            }
        };
        let is_due =
            |member: &DiskId| !primary.repairs.contains_key(member) && primary.may_call(*member, now);
        let due: Vec<DiskId> = lagging.into_iter().filter(is_due).collect();
        for member in due {
            self.compare_buckets(member, false);
        }
    }

    /// Handles the answer to a step; `None` after a timeout.
    pub(super) fn on_repair_answer(&mut self, member: DiskId, answer: Option<Response>, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        let Some(repair) = primary.repairs.remove(&member) else { return };
        let is_stale =
            repair.base_operation != self.jobs.next_operation && !breaks::is_enabled(Break::StaleRepair);
        match (repair.step, answer) {
            // The member has seen a newer view, which this replica will receive as well.
            (_, Some(Response::WrongEpoch)) => self.retry_later(member, now),
            (_, Some(Response::Behind)) => self.retry_later(member, now),
            (_, Some(answer)) if is_stale && !matches!(answer, Response::Full) => {
                self.compare_buckets(member, true);
            }
            (RepairStep::Buckets, Some(Response::DifferentBuckets { session, buckets })) => {
                primary.missed_answers.remove(&member);
                if !buckets.is_empty() && primary.is_copying() {
                    // Jobs are copied to one member at a time, because parallel copies would only slow each other
                    // down.
                    return self.retry_later(member, now);
                }
                self.compare_jobs(member, session, buckets);
            }
            (RepairStep::Jobs { session }, Some(Response::DifferentJobs(wanted))) => {
                self.install_next(member, session, wanted.into(), None);
            }
            (RepairStep::Install { session, remaining, copied }, Some(Response::Done)) => {
                self.install_next(member, session, remaining, copied);
            }
            (RepairStep::CatchUp { session }, Some(Response::Done)) => self.mark_caught_up(member, session),
            (RepairStep::Buckets, None) => self.on_missed_answer(member, now),
            // The first step of the next attempt shows whether the member is reachable.
            (_, None) => self.retry_later(member, now),
            _ => self.mark_unresponsive(member, now),
        }
    }

    /// Handles an unanswered first step. A joining member that delays no commit gets more attempts, because a link
    /// that is saturated by copies is slow.
    fn on_missed_answer(&mut self, member: DiskId, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        let missed_answers = primary.missed_answers.entry(member).or_default();
        *missed_answers += 1;
        if *missed_answers >= MAX_JOINING_MISSED_ANSWERS || primary.group.required().contains(&member) {
            self.mark_unresponsive(member, now);
        } else {
            self.retry_later(member, now);
        }
    }

    /// Sends the first step. `answered` is true if the member has answered before and the repair starts over
    /// because the shard has changed.
    fn compare_buckets(&mut self, member: DiskId, answered: bool) {
        let message = ShardMessage::CompareBuckets { buckets: self.jobs.buckets() };
        let base_operation = self.jobs.next_operation;
        if let Some(primary) = &mut self.primary {
            primary.repairs.insert(member, Repair { step: RepairStep::Buckets, base_operation, answered });
        }
        self.call(member, message, FIRST_STEP_TIMEOUT, CallPurpose::Repair(member));
    }

    /// Sends the digests of the jobs in the buckets that differ, or the last step if no bucket differs.
    fn compare_jobs(&mut self, member: DiskId, session: u64, buckets: Vec<u32>) {
        if buckets.is_empty() {
            return self.install_next(member, session, VecDeque::new(), None);
        }
        let jobs = self.jobs.digests(&buckets);
        let message = ShardMessage::CompareJobs { session, buckets, jobs };
        self.send_step(member, RepairStep::Jobs { session }, message);
    }

    /// Sends the next jobs, or the next part of a large one, or the number of the next operation if all jobs were sent.
    fn install_next(
        &mut self,
        member: DiskId,
        session: u64,
        mut remaining: VecDeque<String>,
        copied: CopiedResults,
    ) {
        let sizes = self.copy_sizes;
        let large = remaining.front().and_then(|id| self.jobs.jobs.get(id));
        if let Some(entry) = large.filter(|entry| entry.estimated_bytes() > sizes.whole_job_bytes) {
            let part = next_part(entry, copied, sizes.message_bytes);
            let copied = copied_with(&part);
            if copied.is_none() {
                remaining.pop_front();
            }
            let message = ShardMessage::InstallPart { session, part: Box::new(part) };
            return self.send_step(member, RepairStep::Install { session, remaining, copied }, message);
        }
        let jobs = self.take_whole_jobs(&mut remaining);
        let is_last = jobs.is_empty();
        let next = is_last.then_some(self.jobs.next_operation);
        let step = if is_last {
            RepairStep::CatchUp { session }
        } else {
            RepairStep::Install { session, remaining, copied: None }
        };
        self.send_step(member, step, ShardMessage::Install { session, jobs, next });
    }

    /// Takes the jobs of one message; a job that has to be sent in parts is left in the queue.
    fn take_whole_jobs(&self, remaining: &mut VecDeque<String>) -> Vec<JobState> {
        let mut jobs: Vec<JobState> = Vec::new();
        let mut bytes = 0;
        while bytes < self.copy_sizes.message_bytes
            && let Some(id) = remaining.front()
        {
            if let Some(entry) = self.jobs.jobs.get(id) {
                if entry.estimated_bytes() > self.copy_sizes.whole_job_bytes {
                    break;
                }
                jobs.push(entry.state());
                bytes += entry.estimated_bytes();
            }
            remaining.pop_front();
        }
        jobs
    }

    fn send_step(&mut self, member: DiskId, step: RepairStep, message: ShardMessage) {
        let base_operation = self.jobs.next_operation;
        if let Some(primary) = &mut self.primary {
            primary.repairs.insert(member, Repair { step, base_operation, answered: true });
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
}
