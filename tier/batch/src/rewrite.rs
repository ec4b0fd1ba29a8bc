//! Writing a shard anew: to free the ring, or because the disk does not hold what is in memory.

use crate::breaks::{self, Break};
use crate::record::StoreRecord;
use crate::replica::{RequestId, ShardAction, ShardReplica, WritePurpose};
use quillmount_wire::messages::JobState;

/// Bytes of jobs in one record, about.
const RECORD_BYTES: usize = 2 << 20;

/// A rewrite under way.
pub(crate) struct Rewrite {
    /// Records that are not synced yet.
    remaining: usize,
    failed: bool,
    /// Who asked for it before it began.
    requests: Vec<RequestId>,
    /// It began after a write had failed; nothing is written beside it, so that it makes up for all that is missing.
    after_failure: bool,
}

impl ShardReplica {
    /// Writes all jobs once more, after the batch under way; [`ShardAction::Rewritten`] follows with the same number, for a rewrite
    /// that begins after this was asked.
    pub fn rewrite(&mut self, request: RequestId) -> Vec<ShardAction> {
        self.rewrite_requests.push(request);
        self.rewrite_due = true;
        self.rewrite_if_due();
        self.take_actions()
    }

    /// Begins a rewrite that is due. A batch under way is on the disk and not in memory: it is waited for.
    pub(crate) fn rewrite_if_due(&mut self) {
        let batch = self.primary.as_ref().is_some_and(|primary| primary.batch.is_some());
        if !self.rewrite_due || batch || self.rewrite.is_some() {
            return;
        }
        self.rewrite_due = false;
        let records = self.snapshot_records();
        let requests = std::mem::take(&mut self.rewrite_requests);
        self.rewrite =
            Some(Rewrite { remaining: records.len(), failed: false, requests, after_failure: self.damaged });
        for record in records {
            self.write(record, WritePurpose::Rewrite);
        }
    }

    /// Begins to write anew what a failed write has left out, once all that was on its way to the disk is settled.
    pub(crate) fn rewrite_after_failure(&mut self) {
        if self.damaged && self.rewrite.is_none() && self.writes.is_empty() {
            self.rewrite_due = true;
            self.rewrite_if_due();
        }
    }

    /// Records that give the whole shard, whatever was written before. The last one says that the others are there.
    fn snapshot_records(&self) -> Vec<StoreRecord> {
        let (shard, epoch) = (self.identity.shard, self.epoch);
        let install = |jobs: Vec<JobState>| {
            let dropped = Vec::new();
            StoreRecord::Install { shard, epoch, dropped, jobs, next: None }
        };
        let mut records = Vec::new();
        let mut jobs: Vec<JobState> = Vec::new();
        let mut bytes = 0;
        let skipped = usize::from(breaks::on(Break::RewriteDropsJob));
        for entry in self.jobs.jobs.values().skip(skipped) {
            jobs.push(entry.state());
            bytes += entry.bytes();
            if bytes > RECORD_BYTES {
                bytes = 0;
                records.push(install(std::mem::take(&mut jobs)));
            }
        }
        if !jobs.is_empty() {
            records.push(install(jobs));
        }
        if breaks::on(Break::RewriteKeepsDropped) {
            let (dropped, next) = (Vec::new(), Some(self.jobs.next));
            records.push(StoreRecord::Install { shard, epoch, dropped, jobs: Vec::new(), next });
            return records;
        }
        let jobs = self.jobs.jobs.keys().skip(skipped).cloned().collect();
        records.push(StoreRecord::RewriteEnd {
            shard,
            epoch,
            last_primary_epoch: self.last_primary_epoch,
            jobs,
            next: self.jobs.next,
        });
        records
    }

    pub(crate) fn rewrite_written(&mut self, synced: bool) {
        let Some(rewrite) = &mut self.rewrite else { return };
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
        self.rewrite = None;
        self.actions.extend(requests.into_iter().map(|request| ShardAction::Rewritten { request, complete }));
    }
}
