//! Rewrites: all jobs of a shard are written to the log again, so that older segments can be released, or because a
//! failed write left the disk without data that is in memory.

use super::state::ShardReplica;
use super::writes::{Rewrite, WritePurpose};
use crate::action::ShardAction;
use crate::breaks::{self, Break};
use crate::copies::all_parts;
use crate::job::JobEntry;
use crate::record::{PartOrigin, StoreRecord};
use quillmount_wire::Micros;
use quillmount_wire::messages::JobState;

impl ShardReplica {
    /// Starts a rewrite that is due. It waits for the end of a batch, which is on the disk but not yet applied in
    /// memory.
    pub(super) fn rewrite_if_due(&mut self) {
        if !self.rewrites.due || self.is_replicating() || self.rewrites.running.is_some() {
            return;
        }
        self.rewrites.due = false;
        // The rewrite does not contain the parts of a job that a repair has sent so far, so the repair has to start over.
        if self.jobs.drop_repair_parts() {
            self.end_session();
        }
        let records = self.snapshot_records();
        self.rewrites.running = Some(Rewrite {
            remaining: records.len(),
            failed: false,
            requests: std::mem::take(&mut self.rewrites.requests),
            after_failure: self.damaged,
        });
        for record in records {
            self.write(record, WritePurpose::Rewrite);
        }
    }

    /// After a failed write, starts a rewrite that replaces the missing records, once no write is in flight and the delay after a
    /// failed rewrite has passed.
    pub(super) fn rewrite_after_failure(&mut self, now: Micros) {
        let is_idle = self.rewrites.running.is_none() && self.writes.is_empty();
        if self.damaged && is_idle && self.rewrites.may_retry(now) {
            self.rewrites.due = true;
            self.rewrite_if_due();
        }
    }

    /// Handles the end of the write of one record of the running rewrite.
    pub(super) fn rewrite_written(&mut self, synced: bool, now: Micros) {
        let Some(rewrite) = &mut self.rewrites.running else { return };
        rewrite.remaining = rewrite.remaining.saturating_sub(1);
        rewrite.failed |= !synced;
        if rewrite.remaining > 0 {
            return;
        }
        let complete = !rewrite.failed;
        if complete && rewrite.after_failure {
            self.damaged = false;
        }
        let requests = std::mem::take(&mut rewrite.requests);
        self.rewrites.running = None;
        self.rewrites.ended(complete, now);
        self.actions.extend(requests.into_iter().map(|request| ShardAction::Rewritten { request, complete }));
    }

    /// Returns records from which recovery gives the complete shard, whatever was written before. The last record
    /// lists all jobs, so that recovery removes all others.
    fn snapshot_records(&self) -> Vec<StoreRecord> {
        let (shard, epoch, next) = (self.identity.shard, self.epoch, self.jobs.next_operation);
        let skipped = usize::from(breaks::is_enabled(Break::RewriteDropsJob));
        let mut records = self.job_records(skipped);
        let last = if breaks::is_enabled(Break::RewriteKeepsDropped) {
            let (dropped, jobs) = (Vec::new(), Vec::new());
            StoreRecord::Install { shard, epoch, dropped, jobs, next: Some(next) }
        } else {
            let jobs = self.jobs.jobs.keys().skip(skipped).cloned().collect();
            let last_primary_epoch = self.last_primary_epoch;
            StoreRecord::RewriteEnd { shard, epoch, last_primary_epoch, jobs, next }
        };
        records.push(last);
        records
    }

    /// Returns all jobs except the first `skipped`, in records of bounded size.
    fn job_records(&self, skipped: usize) -> Vec<StoreRecord> {
        let (shard, epoch) = (self.identity.shard, self.epoch);
        let install = |jobs: Vec<JobState>| {
            let dropped = Vec::new();
            StoreRecord::Install { shard, epoch, dropped, jobs, next: None }
        };
        let mut records = Vec::new();
        let mut jobs: Vec<JobState> = Vec::new();
        let mut bytes = 0;
        for entry in self.jobs.jobs.values().skip(skipped) {
            if entry.estimated_bytes() > self.copy_sizes.whole_job_bytes {
                records.extend(self.part_records(entry));
                continue;
            }
            jobs.push(entry.state());
            bytes += entry.estimated_bytes();
            if bytes > self.copy_sizes.record_bytes {
                bytes = 0;
                records.push(install(std::mem::take(&mut jobs)));
            }
        }
        if !jobs.is_empty() {
            records.push(install(jobs));
        }
        records
    }

    /// Returns a job that is too large for one record.
    fn part_records(&self, entry: &JobEntry) -> impl Iterator<Item = StoreRecord> {
        let (shard, epoch) = (self.identity.shard, self.epoch);
        let parts = all_parts(entry, self.copy_sizes.record_bytes).into_iter();
        parts.map(move |part| {
            let part = Box::new(part);
            StoreRecord::InstallPart { shard, epoch, origin: PartOrigin::Rewrite, part }
        })
    }
}
