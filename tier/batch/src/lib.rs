//! Batch jobs of one shard: operations, positions, digests for repair, and the replica that keeps them on several stores.
//! No I/O, no clock.

pub mod breaks;
mod digests;
mod primary;
mod primary_role;
mod quota;
mod record;
mod replica;
mod rewrite;
mod shard;

pub use digests::{BUCKETS, bucket_of, different_buckets};
pub use primary::{MEMBER_TIMEOUT, RETRY_DELAY};
pub use quota::{ClaimOutcome, PendingClaims, QuotaLedger};
pub use record::StoreRecord;
pub use replica::{
    CallId, Micros, OperationId, ReadId, RequestId, ShardAction, ShardReplica, ShardReplicaId, WriteId,
};
pub use shard::{JobEntry, ShardJobs};
