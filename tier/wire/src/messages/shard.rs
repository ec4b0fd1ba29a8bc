//! Replication and repair of a shard: what its primary sends to the other members.

use super::jobs::{JobState, ShardOperation};
use rkyv::{Archive, Deserialize, Serialize};

/// Digest of the jobs of one bucket of a shard.
pub type BucketDigest = u64;

/// Messages from the primary of a shard to another member. The epoch is part of [`Request::Shard`](super::Request::Shard).
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum ShardMessage {
    /// Operations with consecutive numbers; answered by `Replicated` once they are durable.
    Replicate {
        /// Session of the member's last repair.
        session: u64,
        /// Number of the first operation.
        first: u64,
        /// The operations.
        operations: Vec<ShardOperation>,
    },
    /// Asks whether the epoch is still the highest that the member has seen for the shard.
    Confirm,
    /// Starts a repair. The member draws a number for the session; messages with another session are from an earlier repair and
    /// are refused.
    CompareBuckets {
        /// Digests of all buckets of the primary.
        buckets: Vec<BucketDigest>,
    },
    /// Second step of a repair: the member drops jobs that are not listed and answers with the ids of jobs that differ.
    CompareJobs {
        /// Session of the repair.
        session: u64,
        /// The buckets that differ.
        buckets: Vec<u32>,
        /// Ids and digests of all jobs of these buckets at the primary.
        jobs: Vec<(String, u64)>,
    },
    /// Further steps of a repair: replaces jobs.
    Install {
        /// Session of the repair.
        session: u64,
        /// The jobs as the primary has them.
        jobs: Vec<JobState>,
        /// In the last step, the number of the primary's next operation: the member has caught up with the primary.
        next: Option<u64>,
    },
}
