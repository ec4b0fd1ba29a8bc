//! Batch jobs, their results, and the operations that change them.

use rkyv::{Archive, Deserialize, Serialize};

/// An item of a batch job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Item {
    /// Id of the item, unique within the job.
    pub id: String,
    /// Path of the request to the endpoint.
    pub path: String,
    /// Headers of the request to the endpoint.
    pub headers: Vec<(String, String)>,
    /// Body of the request to the endpoint.
    pub body: Vec<u8>,
    /// Number of tokens that count against the tenant's quota until the item has a result.
    pub tokens: u64,
}

/// A batch job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Job {
    /// Id of the job, unique among all jobs.
    pub id: String,
    /// Tenant that submitted the job.
    pub tenant: String,
    /// Name of the route on which the job was submitted.
    pub route: String,
    /// Host in the request that submitted the job.
    pub host: String,
    /// Path in the request that submitted the job.
    pub path: String,
    /// Items of the job, in the order of submission.
    pub items: Vec<Item>,
}

impl Job {
    /// Returns the sum of the tokens of all items.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).fold(0, u64::saturating_add)
    }
}

/// Final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Phase {
    /// An endpoint returned a result.
    Done,
    /// The item was given up without a result.
    DeadLetter,
}

/// The result of an item, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemResult {
    /// Index of the item in its job.
    pub item: u32,
    /// Final state of the item.
    pub phase: Phase,
    /// Text of the result, or the reason why the item was given up.
    pub text: String,
}

/// The result of an item as returned to a reader, with the item's id in place of its index.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemOutcome {
    /// Id of the item.
    pub id: String,
    /// Final state of the item.
    pub phase: Phase,
    /// Text of the result, or the reason why the item was given up.
    pub text: String,
}

/// A replicated operation on a shard.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ShardOperation {
    /// Adds a submitted job.
    Submit(Job),
    /// Appends a result to the results of a job.
    Append {
        /// Id of the job.
        job: String,
        /// Result to append.
        result: ItemResult,
    },
    /// Ends a job, which then accepts no further results.
    End {
        /// Id of the job.
        job: String,
    },
    /// Removes a job and its results.
    Forget {
        /// Id of the job.
        job: String,
    },
}

/// A job and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct JobState {
    /// The job as it was submitted.
    pub job: Job,
    /// Results in the order in which they were appended.
    pub results: Vec<ItemResult>,
    /// Whether the job was ended and accepts no further results.
    pub ended: bool,
}

/// A part of the state of a job that is too large for one message or record. The parts of a job follow each other in order, and take
/// effect together with the last one.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct JobPart {
    /// Id of the job.
    pub job_id: String,
    /// The job as it was submitted, only in the first part.
    pub job: Option<Job>,
    /// Number of results in the parts before.
    pub first_result: u64,
    /// Results that follow those in the parts before.
    pub results: Vec<ItemResult>,
    /// Whether the job was ended, only in the last part.
    pub ended: Option<bool>,
}
