//! The jobs of one shard.

use crate::digests::{BUCKETS, bucket_of, end_digest, job_digest, result_digest};
use crate::record::StoreRecord;
use quillmount_wire::messages::{BucketDigest, Item, ItemResult, Job, JobState, QuotaKey, ShardOperation};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A job, its results and their digest.
#[derive(Clone, Debug)]
pub struct JobEntry {
    pub job: Rc<Job>,
    pub results: Vec<ItemResult>,
    pub ended: bool,
    listed: BTreeSet<u32>,
    item_indices: BTreeMap<String, u32>,
    waiting_tokens: u64,
    digest: u64,
}

impl JobEntry {
    fn new(job: Job) -> JobEntry {
        let digest = job_digest(&job);
        let item_indices =
            job.items.iter().enumerate().map(|(index, item)| (item.id.clone(), index as u32)).collect();
        let waiting_tokens = job.items.iter().map(|item| item.tokens).sum();
        JobEntry {
            job: Rc::new(job),
            results: Vec::new(),
            ended: false,
            listed: BTreeSet::new(),
            item_indices,
            waiting_tokens,
            digest,
        }
    }

    fn from_state(state: JobState) -> JobEntry {
        let mut entry = JobEntry::new(state.job);
        state.results.into_iter().for_each(|result| entry.append(result));
        if state.ended {
            entry.end();
        }
        entry
    }

    /// All that is kept, for another member.
    pub fn state(&self) -> JobState {
        JobState { job: (*self.job).clone(), results: self.results.clone(), ended: self.ended }
    }

    /// Whether an item has its result.
    pub fn is_listed(&self, item: u32) -> bool {
        self.listed.contains(&item)
    }

    /// Whether every item has its result.
    pub fn is_complete(&self) -> bool {
        self.listed.len() == self.job.items.len()
    }

    /// Tokens of the items that have no result, unless the job has ended.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended { 0 } else { self.waiting_tokens }
    }

    /// The item of this id.
    pub fn item(&self, id: &str) -> Option<&Item> {
        self.item_indices.get(id).and_then(|index| self.job.items.get(*index as usize))
    }

    /// Bytes in memory, about.
    pub fn bytes(&self) -> usize {
        let items: usize = self.job.items.iter().map(|item| item.body.len() + 256).sum();
        items + self.results.iter().map(|result| result.text.len() + 64).sum::<usize>()
    }

    fn append(&mut self, result: ItemResult) {
        let exists = (result.item as usize) < self.job.items.len();
        if self.ended || !exists || !self.listed.insert(result.item) {
            return;
        }
        let tokens = self.job.items.get(result.item as usize).map_or(0, |item| item.tokens);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(tokens);
        self.digest = result_digest(self.digest, &result);
        self.results.push(result);
    }

    fn end(&mut self) {
        if !self.ended {
            self.ended = true;
            self.digest = end_digest(self.digest);
        }
    }
}

/// Jobs of a shard, and the number of the next operation.
#[derive(Clone, Debug, Default)]
pub struct ShardJobs {
    pub jobs: BTreeMap<String, JobEntry>,
    pub next: u64,
    bytes: usize,
}

impl ShardJobs {
    /// Applies the next operation. One that changes nothing (a job that is there, an item that is listed) counts too.
    pub fn apply(&mut self, operation: &ShardOperation) {
        self.next += 1;
        match operation {
            ShardOperation::Submit(job) => {
                if !self.jobs.contains_key(&job.id) {
                    let entry = JobEntry::new(job.clone());
                    self.bytes += entry.bytes();
                    self.jobs.insert(job.id.clone(), entry);
                }
            }
            ShardOperation::Append { job, result } => {
                if let Some(entry) = self.jobs.get_mut(job) {
                    self.bytes += result.text.len() + 64;
                    entry.append(result.clone());
                }
            }
            ShardOperation::End { job } => {
                if let Some(entry) = self.jobs.get_mut(job) {
                    entry.end();
                }
            }
            ShardOperation::Forget { job } => self.drop_job(job),
        }
    }

    fn drop_job(&mut self, job: &str) {
        if let Some(entry) = self.jobs.remove(job) {
            self.bytes = self.bytes.saturating_sub(entry.bytes());
        }
    }

    /// Applies operations numbered from `first`; those already applied are passed over. Whether none is missing.
    pub fn apply_from(&mut self, first: u64, operations: &[ShardOperation]) -> bool {
        if first > self.next {
            return false;
        }
        let known = (self.next - first) as usize;
        operations.iter().skip(known).for_each(|operation| self.apply(operation));
        true
    }

    /// Replaces and drops jobs; with `next` the shard is level with its primary.
    pub fn install(&mut self, dropped: &[String], jobs: Vec<JobState>, next: Option<u64>) {
        dropped.iter().for_each(|job| self.drop_job(job));
        for state in jobs {
            let id = state.job.id.clone();
            self.drop_job(&id);
            let entry = JobEntry::from_state(state);
            self.bytes += entry.bytes();
            self.jobs.insert(id, entry);
        }
        if let Some(next) = next {
            self.next = next;
        }
    }

    /// Applies a record of the ring.
    pub fn recover(&mut self, record: StoreRecord) {
        match record {
            StoreRecord::Operations { first, operations, .. } => {
                if !self.apply_from(first, &operations) {
                    // An operation before these went with a repair: what is missing comes with the next one.
                    self.next = first;
                    operations.iter().for_each(|operation| self.apply(operation));
                }
            }
            StoreRecord::Install { dropped, jobs, next, .. } => self.install(&dropped, jobs, next),
            StoreRecord::RewriteEnd { jobs, next, .. } => self.retain_only(&jobs, next),
            StoreRecord::TermStart { .. } | StoreRecord::RewriteStart => {}
        }
    }

    /// Drops every job that is not named.
    fn retain_only(&mut self, jobs: &[String], next: u64) {
        let retained: BTreeSet<&str> = jobs.iter().map(String::as_str).collect();
        let dropped: Vec<String> =
            self.jobs.keys().filter(|job| !retained.contains(job.as_str())).cloned().collect();
        dropped.iter().for_each(|job| self.drop_job(job));
        self.next = next;
    }

    /// Bytes in memory, about.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Tokens that wait, by tenant and route.
    pub fn waiting_tokens(&self) -> BTreeMap<QuotaKey, u64> {
        let mut waiting: BTreeMap<QuotaKey, u64> = BTreeMap::new();
        for entry in self.jobs.values().filter(|entry| entry.waiting_tokens() > 0) {
            let key = QuotaKey { tenant: entry.job.tenant.clone(), route: entry.job.route.clone() };
            *waiting.entry(key).or_default() += entry.waiting_tokens();
        }
        waiting
    }

    /// Digest of each bucket.
    pub fn buckets(&self) -> Vec<BucketDigest> {
        let mut buckets = vec![0; BUCKETS];
        for (id, entry) in &self.jobs {
            buckets[bucket_of(id) as usize] ^= entry.digest.rotate_left(7);
        }
        buckets
    }

    /// Ids and digests of the jobs in these buckets.
    pub fn digests(&self, buckets: &[u32]) -> Vec<(String, u64)> {
        let within = |id: &&String| buckets.contains(&bucket_of(id));
        self.jobs.keys().filter(within).map(|id| (id.clone(), self.jobs[id].digest)).collect()
    }

    /// Compares with a primary's digests of some buckets: jobs to drop here, and jobs to ask for.
    pub fn compare(&self, buckets: &[u32], theirs: &[(String, u64)]) -> (Vec<String>, Vec<String>) {
        let theirs: BTreeMap<&str, u64> = theirs.iter().map(|(id, digest)| (id.as_str(), *digest)).collect();
        let mine: BTreeMap<String, u64> = self.digests(buckets).into_iter().collect();
        let dropped = mine.keys().filter(|id| !theirs.contains_key(id.as_str())).cloned().collect();
        let differs = |(id, digest): &(&&str, &u64)| mine.get(**id) != Some(digest);
        let wanted = theirs.iter().filter(differs).map(|(id, _)| (*id).to_owned()).collect();
        (dropped, wanted)
    }
}
