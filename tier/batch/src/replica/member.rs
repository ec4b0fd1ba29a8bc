//! A replica as backup: accepts operations and repair messages of the primary, and answers once they are durable.

use super::state::ShardReplica;
use super::writes::WritePurpose;
use crate::breaks::{self, Break};
use crate::digests::different_buckets;
use crate::ids::RequestId;
use crate::record::{PartOrigin, StoreRecord};
use crate::shard_jobs::JobDifference;
use quillmount_wire::messages::{BucketDigest, JobPart, JobState, Response, ShardMessage, ShardOperation};

impl ShardReplica {
    /// Returns the answer to a message that this replica cannot accept in its current state; `None` if it can.
    pub(super) fn rejection(&self, message: &ShardMessage) -> Option<Response> {
        let (session, is_repair) = match message {
            ShardMessage::Confirm => return None,
            _ if self.damaged => return Some(Response::Full),
            ShardMessage::CompareBuckets { .. } => return None,
            _ if self.is_disk_behind() => return Some(Response::Full),
            ShardMessage::CompareJobs { session, .. }
            | ShardMessage::Install { session, .. }
            | ShardMessage::InstallPart { session, .. } => (*session, true),
            ShardMessage::Replicate { session, .. } => (*session, false),
        };
        let wrong_session = session != self.session && !breaks::is_enabled(Break::SessionIgnored);
        // A repair message may be delayed or duplicated; it must not undo later operations.
        let late_repair = is_repair && self.caught_up && !breaks::is_enabled(Break::RepairAfterCaughtUp);
        let early_operations = !is_repair && !self.caught_up && !breaks::is_enabled(Break::SessionIgnored);
        (wrong_session || late_repair || early_operations).then_some(Response::Behind)
    }

    /// Applies a message that was not rejected. Changes are answered once they are durable.
    pub(super) fn handle_message(&mut self, request: RequestId, message: ShardMessage, session_seed: u64) {
        match message {
            ShardMessage::Confirm => self.answer(request, Response::Done),
            ShardMessage::CompareBuckets { buckets } => self.start_session(request, &buckets, session_seed),
            ShardMessage::CompareJobs { buckets, jobs, .. } => {
                let JobDifference { mut dropped, wanted } = self.jobs.compare(&buckets, &jobs);
                if breaks::is_enabled(Break::DroppedJobRetained) {
                    dropped.clear();
                }
                let record = self.install_record(dropped, Vec::new(), None);
                self.apply_and_persist(request, record, Response::DifferentJobs(wanted));
            }
            ShardMessage::Install { jobs, next, .. } => {
                self.caught_up = next.is_some();
                let record = self.install_record(Vec::new(), jobs, next);
                self.apply_and_persist(request, record, Response::Done);
            }
            ShardMessage::InstallPart { part, .. } => self.install_part(request, part),
            ShardMessage::Replicate { first, operations, .. } => {
                self.apply_operations(request, first, operations);
            }
        }
    }

    /// Starts a repair session. A seed of 0 is replaced by 1, because session 0 means no session.
    fn start_session(&mut self, request: RequestId, buckets: &[BucketDigest], session_seed: u64) {
        self.jobs.drop_repair_parts();
        self.session = session_seed.max(1);
        self.caught_up = false;
        let buckets = different_buckets(&self.jobs.buckets(), buckets);
        self.answer(request, Response::DifferentBuckets { session: self.session, buckets });
    }

    fn install_record(&self, dropped: Vec<String>, jobs: Vec<JobState>, next: Option<u64>) -> StoreRecord {
        StoreRecord::Install { shard: self.identity.shard, epoch: self.epoch, dropped, jobs, next }
    }

    fn install_part(&mut self, request: RequestId, part: Box<JobPart>) {
        if !self.jobs.follows_repair_parts(&part) {
            return self.answer(request, Response::Behind);
        }
        let (shard, epoch) = (self.identity.shard, self.epoch);
        let record = StoreRecord::InstallPart { shard, epoch, origin: PartOrigin::Repair, part };
        self.apply_and_persist(request, record, Response::Done);
    }

    fn apply_operations(&mut self, request: RequestId, first: u64, operations: Vec<ShardOperation>) {
        if first > self.jobs.next_operation {
            return self.answer(request, Response::Behind);
        }
        let next = first + operations.len() as u64;
        let (shard, epoch) = (self.identity.shard, self.epoch);
        let record = StoreRecord::Operations { shard, epoch, first, operations };
        self.apply_and_persist(request, record, Response::Replicated { next });
    }

    /// Applies a record and writes it; the answer is sent once the record is durable.
    fn apply_and_persist(&mut self, request: RequestId, record: StoreRecord, response: Response) {
        self.jobs.recover(record.clone());
        if breaks::is_enabled(Break::AcknowledgedBeforeSync) {
            self.answer(request, response.clone());
        }
        self.write(record, WritePurpose::Answer { request, response: Box::new(response) });
    }
}
