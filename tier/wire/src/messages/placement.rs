//! Which stores have which shards, and what a shard's primary reports about its members.

use super::node::{DiskId, Epoch, NodeInfo};
use rkyv::{Archive, Deserialize, Serialize};

/// State of a shard's members that its primary reports to the core.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ShardReport {
    /// Number of the shard.
    pub shard: u32,
    /// Epoch of the view that the report is about.
    pub epoch: Epoch,
    /// Members that did not answer.
    pub unresponsive: Vec<DiskId>,
    /// Joining members that have everything the primary has and receive new operations.
    pub caught_up: Vec<DiskId>,
}

/// The members of a shard in one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ShardView {
    /// Increases with each view of the shard.
    pub epoch: Epoch,
    /// The member that decides the order of operations.
    pub primary: DiskId,
    /// The epoch in which `primary` became primary.
    pub since: Epoch,
    /// Members that have every acknowledged operation; the primary is one of them.
    pub in_sync: Vec<DiskId>,
    /// Members that receive new operations and are being repaired.
    pub joining: Vec<DiskId>,
}

/// Core members, stores and shards.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Placement {
    /// Members of the core.
    pub core: Vec<NodeInfo>,
    /// All stores.
    pub stores: Vec<NodeInfo>,
    /// The view of each shard, by its number.
    pub shards: Vec<ShardView>,
}
