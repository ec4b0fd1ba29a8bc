//! Numbers by which a replica and its caller refer to what is in flight, and the identity of a replica.

use quillmount_wire::messages::DiskId;

/// Number of a call that a replica makes, given by the replica.
pub type CallId = u64;
/// Number of a call received from another store, or of a requested rewrite, given by the caller.
pub type RequestId = u64;
/// Number of a record being written, given by the replica.
pub type WriteId = u64;
/// Number of an operation, given by the caller of [`ShardReplica::commit`](crate::ShardReplica::commit).
pub type OperationId = u64;
/// Number of a read, given by the caller of [`ShardReplica::confirm`](crate::ShardReplica::confirm).
pub type ReadId = u64;

/// Identity of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ShardReplicaId {
    /// Disk of the store.
    pub disk: DiskId,
    /// Number of the shard.
    pub shard: u32,
    /// Number of disks that may be lost at once.
    pub tolerated_failures: usize,
}
