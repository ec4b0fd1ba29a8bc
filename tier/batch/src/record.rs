//! Records of a store's ring.

use quillmount_wire::frame::FrameError;
use quillmount_wire::messages::{Epoch, JobState, ShardOperation, decode, encode};
use rkyv::{Archive, Deserialize, Serialize};

/// What a store writes.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum StoreRecord {
    /// Operations with consecutive numbers.
    Operations { shard: u32, epoch: Epoch, first: u64, operations: Vec<ShardOperation> },
    /// Jobs replaced and dropped by a repair, or written once more by a rewrite.
    Install { shard: u32, epoch: Epoch, dropped: Vec<String>, jobs: Vec<JobState>, next: Option<u64> },
    /// This store is primary from this epoch on.
    TermStart { shard: u32, epoch: Epoch },
    /// The end of a rewrite: the shard holds these jobs and no others.
    RewriteEnd {
        shard: u32,
        /// Highest epoch seen.
        epoch: Epoch,
        /// Highest epoch in which this store was primary.
        last_primary_epoch: Epoch,
        jobs: Vec<String>,
        next: u64,
    },
    /// Where a rewrite of all shards begins.
    RewriteStart,
}

impl StoreRecord {
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<StoreRecord, FrameError> {
        decode(bytes)
    }

    /// The shard that the record is of.
    pub fn shard(&self) -> Option<u32> {
        match self {
            StoreRecord::Operations { shard, .. }
            | StoreRecord::Install { shard, .. }
            | StoreRecord::TermStart { shard, .. }
            | StoreRecord::RewriteEnd { shard, .. } => Some(*shard),
            StoreRecord::RewriteStart => None,
        }
    }

    /// The epoch in which it was written.
    pub fn epoch(&self) -> Epoch {
        match self {
            StoreRecord::Operations { epoch, .. }
            | StoreRecord::Install { epoch, .. }
            | StoreRecord::TermStart { epoch, .. }
            | StoreRecord::RewriteEnd { epoch, .. } => *epoch,
            StoreRecord::RewriteStart => 0,
        }
    }

    /// The highest epoch in which this store is known to have been primary by this record.
    pub fn last_primary_epoch(&self) -> Epoch {
        match self {
            StoreRecord::TermStart { epoch, .. } => *epoch,
            StoreRecord::RewriteEnd { last_primary_epoch, .. } => *last_primary_epoch,
            _ => 0,
        }
    }
}
