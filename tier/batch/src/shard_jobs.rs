//! The jobs of one shard: a state machine that operations change, with digests by which two members find their differences.

use crate::digests::{BUCKETS, bucket_of};
use crate::job::{JobEntry, result_bytes};
use crate::quota::add_tokens;
use crate::record::StoreRecord;
use quillmount_wire::messages::{BucketDigest, JobState, QuotaKey, ShardOperation};
use std::collections::{BTreeMap, BTreeSet};

/// Bits by which a job's digest is rotated before it is combined with others into that of a bucket.
const BUCKET_ROTATION: u32 = 7;

/// Jobs of a shard, and the number of the next operation.
#[derive(Clone, Debug, Default)]
pub struct ShardJobs {
    /// The jobs by id.
    pub jobs: BTreeMap<String, JobEntry>,
    /// Number of the next operation; the first one is 0.
    pub next: u64,
    bytes: usize,
}

/// How the jobs of a member differ from those of the primary, in the buckets compared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobDifference {
    /// Ids of jobs that the primary does not have.
    pub dropped: Vec<String>,
    /// Ids of jobs that the member lacks, or has with another digest.
    pub wanted: Vec<String>,
}

impl ShardJobs {
    /// Applies the next operation. One without effect (a job that exists, an item that has its result) is counted too.
    pub fn apply(&mut self, operation: &ShardOperation) {
        self.next += 1;
        match operation {
            ShardOperation::Submit(job) => {
                if !self.jobs.contains_key(&job.id) {
                    self.insert(job.id.clone(), JobEntry::new(job.clone()));
                }
            }
            ShardOperation::Append { job, result } => {
                if let Some(entry) = self.jobs.get_mut(job) {
                    let bytes = result_bytes(result);
                    if entry.append(result.clone()) {
                        self.bytes += bytes;
                    }
                }
            }
            ShardOperation::End { job } => {
                if let Some(entry) = self.jobs.get_mut(job) {
                    entry.end();
                }
            }
            ShardOperation::Forget { job } => self.remove(job),
        }
    }

    /// Applies operations numbered from `first`, except those already applied. Returns `false`, and applies nothing, if operations
    /// before `first` are missing.
    #[must_use = "`false` means that nothing was applied"]
    pub fn apply_from(&mut self, first: u64, operations: &[ShardOperation]) -> bool {
        if first > self.next {
            return false;
        }
        let known = (self.next - first) as usize;
        operations.iter().skip(known).for_each(|operation| self.apply(operation));
        true
    }

    /// Removes jobs, then adds or replaces jobs. With `next` the shard has caught up with its primary.
    pub fn install(&mut self, dropped: &[String], jobs: Vec<JobState>, next: Option<u64>) {
        dropped.iter().for_each(|job| self.remove(job));
        for state in jobs {
            let id = state.job.id.clone();
            self.remove(&id);
            self.insert(id, JobEntry::from(state));
        }
        if let Some(next) = next {
            self.next = next;
        }
    }

    /// Applies a record of the ring; records are applied in the order of writing.
    pub fn recover(&mut self, record: StoreRecord) {
        match record {
            StoreRecord::Operations { first, operations, .. } => {
                if !self.apply_from(first, &operations) {
                    // The record of an earlier operation is not on the disk: a later repair or rewrite supplies its effect.
                    self.next = first;
                    operations.iter().for_each(|operation| self.apply(operation));
                }
            }
            StoreRecord::Install { dropped, jobs, next, .. } => self.install(&dropped, jobs, next),
            StoreRecord::RewriteEnd { jobs, next, .. } => self.retain_only(&jobs, next),
            StoreRecord::TermStart { .. } | StoreRecord::RewriteStart => {}
        }
    }

    /// Estimated memory, bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Tokens of items without a result, by tenant and route; pairs without any are left out.
    pub fn waiting_tokens(&self) -> BTreeMap<QuotaKey, u64> {
        let mut waiting: BTreeMap<QuotaKey, u64> = BTreeMap::new();
        for entry in self.jobs.values().filter(|entry| entry.waiting_tokens() > 0) {
            let key = QuotaKey { tenant: entry.job.tenant.clone(), route: entry.job.route.clone() };
            add_tokens(&mut waiting, &key, entry.waiting_tokens());
        }
        waiting
    }

    /// Digest of each bucket.
    pub fn buckets(&self) -> Vec<BucketDigest> {
        let mut buckets = vec![0; BUCKETS];
        for (id, entry) in &self.jobs {
            buckets[bucket_of(id) as usize] ^= entry.digest().rotate_left(BUCKET_ROTATION);
        }
        buckets
    }

    /// Ids and digests of the jobs in these buckets.
    pub fn digests(&self, buckets: &[u32]) -> Vec<(String, u64)> {
        let in_buckets = |(id, _): &(&String, &JobEntry)| buckets.contains(&bucket_of(id));
        self.jobs.iter().filter(in_buckets).map(|(id, entry)| (id.clone(), entry.digest())).collect()
    }

    /// Compares the jobs of some buckets with a primary's ids and digests of the same buckets.
    pub fn compare(&self, buckets: &[u32], theirs: &[(String, u64)]) -> JobDifference {
        let theirs: BTreeMap<&str, u64> = theirs.iter().map(|(id, digest)| (id.as_str(), *digest)).collect();
        let mine: BTreeMap<String, u64> = self.digests(buckets).into_iter().collect();
        let dropped = mine.keys().filter(|id| !theirs.contains_key(id.as_str())).cloned().collect();
        let differs = |(id, digest): &(&&str, &u64)| mine.get(**id) != Some(digest);
        let wanted = theirs.iter().filter(differs).map(|(id, _)| (*id).to_owned()).collect();
        JobDifference { dropped, wanted }
    }

    fn insert(&mut self, id: String, entry: JobEntry) {
        self.bytes += entry.bytes();
        self.jobs.insert(id, entry);
    }

    fn remove(&mut self, job: &str) {
        if let Some(entry) = self.jobs.remove(job) {
            self.bytes = self.bytes.saturating_sub(entry.bytes());
        }
    }

    /// Removes every job that is not named.
    fn retain_only(&mut self, jobs: &[String], next: u64) {
        let retained: BTreeSet<&str> = jobs.iter().map(String::as_str).collect();
        let dropped: Vec<String> =
            self.jobs.keys().filter(|job| !retained.contains(job.as_str())).cloned().collect();
        dropped.iter().for_each(|job| self.remove(job));
        self.next = next;
    }
}
