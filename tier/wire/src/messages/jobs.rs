//! Batch jobs, their results, and the operations that change them.

use rkyv::{Archive, Deserialize, Serialize};

/// An item of a batch job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Item {
    /// Id, unique within the job.
    pub id: String,
    /// Path of the request to the endpoint.
    pub path: String,
    /// Headers of the request to the endpoint.
    pub headers: Vec<(String, String)>,
    /// Body of the request to the endpoint.
    pub body: Vec<u8>,
    /// Tokens that count against the tenant's quota while the item has no result.
    pub tokens: u64,
}

/// A batch job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Job {
    /// Id, unique among all jobs.
    pub id: String,
    /// The tenant that submitted it.
    pub tenant: String,
    /// Name of the route on which it was submitted.
    pub route: String,
    /// Host of the submission.
    pub host: String,
    /// Path of the submission.
    pub path: String,
    /// Its items.
    pub items: Vec<Item>,
}

impl Job {
    /// Tokens of all items.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).fold(0, u64::saturating_add)
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Phase {
    /// An endpoint gave a result.
    Done,
    /// It was given up.
    DeadLetter,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemResult {
    /// Index of the item in its job.
    pub item: u32,
    /// How it ended.
    pub phase: Phase,
    /// Text of the result, or the reason why it was given up.
    pub text: String,
}

/// The result of an item as it is read: by the item's id.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemOutcome {
    /// Id of the item.
    pub id: String,
    /// How it ended.
    pub phase: Phase,
    /// Text of the result, or the reason why it was given up.
    pub text: String,
}

/// A change of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ShardOperation {
    /// Adds a job.
    Submit(Job),
    /// Adds a result at the end of the job's results.
    Append {
        /// Id of the job.
        job: String,
        /// The result.
        result: ItemResult,
    },
    /// Ends a job: it takes no further results.
    End {
        /// Id of the job.
        job: String,
    },
    /// Removes a job.
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
    /// Results in the order in which they were added.
    pub results: Vec<ItemResult>,
    /// The job takes no further results.
    pub ended: bool,
}
