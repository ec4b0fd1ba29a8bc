//! The assignment of shards to stores, and the reports of the shards' primaries about the members.

use super::node::{DiskId, Epoch, NodeInfo};
use rkyv::{Archive, Deserialize, Serialize};

/// Report of a shard's primary to the core about the other members.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ShardReport {
    /// Number of the shard.
    pub shard: u32,
    /// Epoch of the view that the report refers to.
    pub epoch: Epoch,
    /// Members that did not answer the primary.
    pub unresponsive: Vec<DiskId>,
    /// Joining members that have all jobs of the primary and receive new operations.
    pub caught_up: Vec<DiskId>,
}

/// The members of a shard in one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ShardView {
    /// Epoch of the view; increases with each view of the shard.
    pub epoch: Epoch,
    /// Member that determines the order of operations.
    pub primary: DiskId,
    /// Epoch in which `primary` became primary.
    pub primary_since: Epoch,
    /// Members that have every acknowledged operation, including the primary.
    pub in_sync: Vec<DiskId>,
    /// Members that receive new operations while they are repaired.
    pub joining: Vec<DiskId>,
}

/// Assignment of the core members, stores and shards.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Placement {
    /// Members of the core.
    pub core: Vec<NodeInfo>,
    /// All stores.
    pub stores: Vec<NodeInfo>,
    /// View of each shard; the index is the number of the shard.
    pub shards: Vec<ShardView>,
}
