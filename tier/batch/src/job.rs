//! Jobs of a shard with their results.

use crate::digests::{end_digest, job_digest, result_digest};
use quillmount_wire::messages::{Item, ItemResult, Job, JobState};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Estimated memory of an item with short texts in addition to its body, bytes.
const ITEM_OVERHEAD_BYTES: usize = 256;
/// Estimated memory of an item in addition to its body and texts, bytes.
const LONG_ITEM_OVERHEAD_BYTES: usize = 96;
/// Estimated memory of a header of an item in addition to its name and value, bytes.
const HEADER_OVERHEAD_BYTES: usize = 32;
/// Estimated memory of a result in addition to its text, bytes.
pub(crate) const RESULT_OVERHEAD_BYTES: usize = 64;

/// Returns the estimated memory of a result, bytes.
pub(crate) fn result_bytes(result: &ItemResult) -> usize {
    result.text.len() + RESULT_OVERHEAD_BYTES
}

/// Returns the estimated memory of the items of a job, bytes. Its encoded form is not larger.
pub fn job_bytes(job: &Job) -> usize {
    job.items.iter().map(item_bytes).sum()
}

fn item_bytes(item: &Item) -> usize {
    let header_bytes = |(name, value): &(String, String)| name.len() + value.len() + HEADER_OVERHEAD_BYTES;
    let headers: usize = item.headers.iter().map(header_bytes).sum();
    let texts = LONG_ITEM_OVERHEAD_BYTES + item.id.len() + item.path.len() + headers;
    item.body.len() + texts.max(ITEM_OVERHEAD_BYTES)
}

/// A job with its results and a digest of both.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The job as it was submitted; shared with the tasks that run its items.
    pub job: Rc<Job>,
    /// Results in the order in which they were appended, at most one per item.
    pub results: Vec<ItemResult>,
    /// Whether the job has ended, so that no further results are appended.
    pub ended: bool,
    /// Indices of the items that have a result.
    items_with_result: BTreeSet<u32>,
    /// Item indices by item id.
    item_indices: BTreeMap<String, u32>,
    /// Tokens of the items that have no result.
    waiting_tokens: u64,
    /// Digest of the submitted job, its results in order, and its end.
    digest: u64,
}

impl JobEntry {
    pub(crate) fn new(job: Job) -> JobEntry {
        let digest = job_digest(&job);
        let item_indices =
            job.items.iter().enumerate().map(|(index, item)| (item.id.clone(), index as u32)).collect();
        let waiting_tokens = job.tokens();
        JobEntry {
            job: Rc::new(job),
            results: Vec::new(),
            ended: false,
            items_with_result: BTreeSet::new(),
            item_indices,
            waiting_tokens,
            digest,
        }
    }

    /// Returns a copy of the job and its results, for sending to another member.
    pub fn state(&self) -> JobState {
        JobState { job: (*self.job).clone(), results: self.results.clone(), ended: self.ended }
    }

    /// Returns whether the item with this index has a result.
    pub fn has_result(&self, item: u32) -> bool {
        self.items_with_result.contains(&item)
    }

    /// Returns the number of items that will still get a result; 0 once the job has ended.
    pub fn waiting_items(&self) -> usize {
        if self.ended { 0 } else { self.job.items.len() - self.items_with_result.len() }
    }

    /// Returns whether every item has a result.
    pub fn is_complete(&self) -> bool {
        self.items_with_result.len() == self.job.items.len()
    }

    /// Returns the tokens of the items that have no result; 0 once the job has ended.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended { 0 } else { self.waiting_tokens }
    }

    /// Returns the item with this id, if the job has one.
    pub fn item(&self, id: &str) -> Option<&Item> {
        self.item_indices.get(id).and_then(|index| self.job.items.get(*index as usize))
    }

    /// Returns the estimated memory of the job's items and results, bytes.
    pub fn estimated_bytes(&self) -> usize {
        job_bytes(&self.job) + self.results.iter().map(result_bytes).sum::<usize>()
    }

    /// Returns the digest of the job, its results and its end; replicas with the same content have the same digest.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Appends a result, unless the job has ended, has no such item, or the item already has a result. Returns
    /// whether it was appended.
    pub(crate) fn append(&mut self, result: ItemResult) -> bool {
        let exists = (result.item as usize) < self.job.items.len();
        if self.ended || !exists || !self.items_with_result.insert(result.item) {
            return false;
        }
        let tokens = self.job.items.get(result.item as usize).map_or(0, |item| item.tokens);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(tokens);
        self.digest = result_digest(self.digest, &result);
        self.results.push(result);
        true
    }

    /// Ends the job, after which no result is appended.
    pub(crate) fn end(&mut self) {
        if !self.ended {
            self.ended = true;
            self.digest = end_digest(self.digest);
        }
    }
}

impl From<JobState> for JobEntry {
    fn from(state: JobState) -> JobEntry {
        let mut entry = JobEntry::new(state.job);
        for result in state.results {
            entry.append(result);
        }
        if state.ended {
            entry.end();
        }
        entry
    }
}
