//! State machine of one shard of batch jobs, replicated to several stores: the operations on jobs, the digests that
//! two replicas compare during a repair, the records of the write-ahead log, and the quota of waiting tokens. The
//! crate does no I/O and reads no clock.
//!
//! The caller drives a [`ShardReplica`]: it replays the records found on the disk, reports calls, answers,
//! completed writes, views and the time, and performs the [`ShardAction`]s returned. [`QuotaLedger`] and
//! [`PendingClaims`] limit the tokens that a tenant may have waiting on a route, counted over all shards.

mod action;
pub mod breaks;
mod copies;
mod digests;
mod ids;
mod job;
mod quota;
mod record;
mod replica;
mod result_sizes;
mod shard_jobs;

pub use action::ShardAction;
pub use copies::{CopySizes, MAX_JOB_BYTES, MAX_RECORD_BYTES, MAX_RESULT_BYTES};
pub use digests::{BUCKETS, bucket_of, different_buckets};
pub use ids::{CallId, OperationId, ReadId, RequestId, ShardReplicaId, WriteId};
pub use job::{JobEntry, job_bytes};
pub use quota::{ClaimOutcome, PendingClaims, QuotaLedger};
pub use record::{PartOrigin, StoreRecord};
pub use replica::{MEMBER_TIMEOUT, RETRY_DELAY, ShardReplica};
pub use result_sizes::ResultSizes;
pub use shard_jobs::{JobDifference, ShardJobs};
