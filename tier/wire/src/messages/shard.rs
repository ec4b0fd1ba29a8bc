//! Messages that the primary of a shard sends to the other members for replication and repair.

use super::jobs::{JobPart, JobState, ShardOperation};
use rkyv::{Archive, Deserialize, Serialize};

/// Digest of all jobs in one bucket of a shard.
pub type BucketDigest = u64;

/// Messages from the primary of a shard to another member. The epoch is part of [`Request::Shard`](super::Request::Shard).
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum ShardMessage {
    /// Replicates operations with consecutive numbers; answered by `Replicated` once they are durable.
    Replicate {
        /// Session number of the member's last repair.
        session: u64,
        /// Number of the first operation.
        first: u64,
        /// Operations in the order of their numbers.
        operations: Vec<ShardOperation>,
    },
    /// Requests a confirmation that the member has not seen a higher epoch of the shard.
    Confirm,
    /// Starts a repair. The member draws a random session number and rejects messages of any other session, because they belong to
    /// an earlier repair.
    CompareBuckets {
        /// Digests of all buckets of the primary.
        buckets: Vec<BucketDigest>,
    },
    /// Second step of a repair: the member drops jobs that are not listed and answers with the ids of the jobs that differ.
    CompareJobs {
        /// Session of the repair.
        session: u64,
        /// Numbers of the buckets that differ.
        buckets: Vec<u32>,
        /// Ids and digests of all jobs in these buckets at the primary.
        jobs: Vec<(String, u64)>,
    },
    /// Later steps of a repair: replaces jobs at the member.
    Install {
        /// Session of the repair.
        session: u64,
        /// Jobs in the state of the primary.
        jobs: Vec<JobState>,
        /// Number of the primary's next operation, only set in the last step: the member then has caught up with the primary.
        next: Option<u64>,
    },
    /// A step of a repair between others of the kind `Install`: a part of a job that is too large for one message. The parts of a job
    /// are sent in order, and the last one replaces the job at the member.
    InstallPart {
        /// Session of the repair.
        session: u64,
        /// The part.
        part: Box<JobPart>,
    },
}
