//! Identifiers of calls, requests, writes, operations and reads in flight, and the identity of a replica.

use quillmount_wire::messages::DiskId;

/// Identifies a call that a replica makes to another store; assigned by the replica.
pub type CallId = u64;
/// Identifies a call received from another store, or a requested rewrite; assigned by the caller of the replica.
pub type RequestId = u64;
/// Identifies a record that is being written; assigned by the replica.
pub type WriteId = u64;
/// Identifies an operation; assigned by the caller of [`ShardReplica::commit`](crate::ShardReplica::commit).
pub type OperationId = u64;
/// Identifies a read; assigned by the caller of [`ShardReplica::confirm`](crate::ShardReplica::confirm).
pub type ReadId = u64;

/// Identifies a replica by its disk and shard, with the fault tolerance of the shard.
#[derive(Clone, Copy, Debug)]
pub struct ShardReplicaId {
    /// Identity of the store's disk; a replaced disk has a new one.
    pub disk: DiskId,
    /// Index of the shard, from 0.
    pub shard: u32,
    /// Number of disks that may be lost at once without losing committed data.
    pub tolerated_failures: usize,
}
