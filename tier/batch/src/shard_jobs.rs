//! The jobs of one shard: a deterministic state machine that operations modify, and the digests with which two
//! replicas find the jobs in which they differ.

use crate::copies::ReceivedParts;
use crate::digests::{BUCKETS, bucket_of};
use crate::job::{JobEntry, result_bytes};
use crate::quota::add_tokens;
use crate::record::{PartOrigin, StoreRecord};
use quillmount_wire::messages::{BucketDigest, JobPart, JobState, QuotaKey, ShardOperation};
use std::collections::{BTreeMap, BTreeSet};

/// Number of bits by which a job's digest is rotated before it is combined into the digest of its bucket.
const BUCKET_ROTATION: u32 = 7;

/// The jobs of a shard and the number of the next operation.
#[derive(Clone, Debug, Default)]
pub struct ShardJobs {
    /// Jobs by id.
    pub jobs: BTreeMap<String, JobEntry>,
    /// Number of the next operation; the first operation of a shard has number 0.
    pub next_operation: u64,
    estimated_bytes: usize,
    /// Number of items that will still get a result, by route; only routes with such items.
    waiting_items: BTreeMap<String, usize>,
    /// Parts of jobs that are being copied here. They are not among the jobs yet.
    parts: ReceivedParts,
}

/// Differences between the jobs of a member and those of the primary, in the buckets that were compared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobDifference {
    /// Ids of jobs that the member has and the primary does not.
    pub dropped: Vec<String>,
    /// Ids of jobs that the member does not have, or has with a different digest.
    pub wanted: Vec<String>,
}

impl ShardJobs {
    /// Applies the next operation. An operation without effect (its job exists already, or its item already has a
    /// result) also increments the operation number.
    pub fn apply(&mut self, operation: &ShardOperation) {
        self.next_operation += 1;
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
                        self.estimated_bytes += bytes;
                        let route = entry.job.route.clone();
                        self.remove_waiting_items(&route, 1);
                    }
                }
            }
            ShardOperation::End { job } => {
                if let Some(entry) = self.jobs.get_mut(job) {
                    let waiting = entry.waiting_items();
                    entry.end();
                    let route = entry.job.route.clone();
                    self.remove_waiting_items(&route, waiting);
                }
            }
            ShardOperation::Forget { job } => self.remove(job),
        }
    }

    /// Applies operations that are numbered from `first`, except those already applied. Returns `false` and applies
    /// nothing if operations before `first` are missing.
    #[must_use = "`false` means that nothing was applied"]
    pub fn apply_from(&mut self, first: u64, operations: &[ShardOperation]) -> bool {
        if first > self.next_operation {
            return false;
        }
        let already_applied = (self.next_operation - first) as usize;
        operations.iter().skip(already_applied).for_each(|operation| self.apply(operation));
        true
    }

    /// Removes jobs, then adds or replaces jobs. With `next`, the shard has caught up with its primary and
    /// continues with that operation number.
    pub fn install(&mut self, dropped: &[String], jobs: Vec<JobState>, next: Option<u64>) {
        dropped.iter().for_each(|job| self.remove(job));
        for state in jobs {
            let id = state.job.id.clone();
            self.remove(&id);
            self.insert(id, JobEntry::from(state));
        }
        if let Some(next) = next {
            self.next_operation = next;
        }
    }

    /// Applies a record of the write-ahead log; records are applied in the order in which they were written.
    pub fn recover(&mut self, record: StoreRecord) {
        match record {
            StoreRecord::Operations { first, operations, .. } => {
                if !self.apply_from(first, &operations) {
                    // An earlier operation has no record on the disk. A later repair or rewrite supplies its
                    // effect.
                    self.next_operation = first;
                    operations.iter().for_each(|operation| self.apply(operation));
                }
            }
            StoreRecord::Install { dropped, jobs, next, .. } => self.install(&dropped, jobs, next),
            StoreRecord::RewriteEnd { jobs, next, .. } => self.retain_only(&jobs, next),
            StoreRecord::InstallPart { origin, part, .. } => self.add_part(origin, *part),
            StoreRecord::TermStart { .. } | StoreRecord::RewriteStart => {}
        }
    }

    /// Adds a part of a job; the last part replaces the job.
    fn add_part(&mut self, origin: PartOrigin, part: JobPart) {
        if let Some(state) = self.parts.add(origin, part) {
            self.install(&[], vec![state], None);
        }
    }

    /// Returns whether a part of a repair follows those received before.
    pub(crate) fn follows_repair_parts(&self, part: &JobPart) -> bool {
        self.parts.follows_repair(part)
    }

    /// Drops the parts that a repair has sent so far; returns whether there were any.
    pub(crate) fn drop_repair_parts(&mut self) -> bool {
        self.parts.drop_repair()
    }

    /// Returns the estimated memory of all jobs, bytes.
    pub fn estimated_bytes(&self) -> usize {
        self.estimated_bytes
    }

    /// Returns the tokens of items without a result by tenant and route; pairs without such tokens are omitted.
    pub fn waiting_tokens(&self) -> BTreeMap<QuotaKey, u64> {
        let mut waiting: BTreeMap<QuotaKey, u64> = BTreeMap::new();
        for entry in self.jobs.values().filter(|entry| entry.waiting_tokens() > 0) {
            let key = QuotaKey { tenant: entry.job.tenant.clone(), route: entry.job.route.clone() };
            add_tokens(&mut waiting, &key, entry.waiting_tokens());
        }
        waiting
    }

    /// Returns the digest of each bucket, by bucket number.
    pub fn buckets(&self) -> Vec<BucketDigest> {
        let mut buckets = vec![0; BUCKETS];
        for (id, entry) in &self.jobs {
            buckets[bucket_of(id) as usize] ^= entry.digest().rotate_left(BUCKET_ROTATION);
        }
        buckets
    }

    /// Returns the ids and digests of the jobs in these buckets.
    pub fn digests(&self, buckets: &[u32]) -> Vec<(String, u64)> {
        let in_buckets = |(id, _): &(&String, &JobEntry)| buckets.contains(&bucket_of(id));
        self.jobs.iter().filter(in_buckets).map(|(id, entry)| (id.clone(), entry.digest())).collect()
    }

    /// Compares the jobs of some buckets with the primary's ids and digests of the same buckets.
    pub fn compare(&self, buckets: &[u32], primary_digests: &[(String, u64)]) -> JobDifference {
        let primary_digests: BTreeMap<&str, u64> =
            primary_digests.iter().map(|(id, digest)| (id.as_str(), *digest)).collect();
        let own_digests: BTreeMap<String, u64> = self.digests(buckets).into_iter().collect();
        let dropped =
            own_digests.keys().filter(|id| !primary_digests.contains_key(id.as_str())).cloned().collect();
        let differs = |(id, digest): &(&&str, &u64)| own_digests.get(**id) != Some(digest);
        let wanted = primary_digests.iter().filter(differs).map(|(id, _)| (*id).to_owned()).collect();
        JobDifference { dropped, wanted }
    }

    /// Returns the number of items that will still get a result, by route.
    pub fn waiting_items(&self) -> &BTreeMap<String, usize> {
        &self.waiting_items
    }

    fn remove_waiting_items(&mut self, route: &str, count: usize) {
        if let Some(waiting) = self.waiting_items.get_mut(route) {
            *waiting = waiting.saturating_sub(count);
            if *waiting == 0 {
                self.waiting_items.remove(route);
            }
        }
    }

    fn insert(&mut self, id: String, entry: JobEntry) {
        self.estimated_bytes += entry.estimated_bytes();
        let waiting = entry.waiting_items();
        if waiting > 0 {
            *self.waiting_items.entry(entry.job.route.clone()).or_default() += waiting;
        }
        self.jobs.insert(id, entry);
    }

    fn remove(&mut self, job: &str) {
        if let Some(entry) = self.jobs.remove(job) {
            self.estimated_bytes = self.estimated_bytes.saturating_sub(entry.estimated_bytes());
            self.remove_waiting_items(&entry.job.route, entry.waiting_items());
        }
    }

    /// Removes every job that is not in `jobs`.
    fn retain_only(&mut self, jobs: &[String], next: u64) {
        let retained: BTreeSet<&str> = jobs.iter().map(String::as_str).collect();
        let dropped: Vec<String> =
            self.jobs.keys().filter(|job| !retained.contains(job.as_str())).cloned().collect();
        dropped.iter().for_each(|job| self.remove(job));
        self.next_operation = next;
    }
}
