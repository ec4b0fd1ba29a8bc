//! Records of a store's ring. The encoding is `rkyv` by position: the order of variants and fields and the types of fields are the
//! stored form (`tests/stored_records.rs` compares the bytes).

use quillmount_wire::frame::FrameError;
use quillmount_wire::messages::{Epoch, JobState, ShardOperation, decode, encode};
use rkyv::{Archive, Deserialize, Serialize};

/// A record of a store's ring.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum StoreRecord {
    /// Operations with consecutive numbers.
    Operations {
        /// Number of the shard.
        shard: u32,
        /// Highest epoch seen when it was written.
        epoch: Epoch,
        /// Number of the first operation.
        first: u64,
        /// The operations.
        operations: Vec<ShardOperation>,
    },
    /// Jobs removed and replaced by a repair, or written again by a rewrite.
    Install {
        /// Number of the shard.
        shard: u32,
        /// Highest epoch seen when it was written.
        epoch: Epoch,
        /// Ids of the jobs removed.
        dropped: Vec<String>,
        /// Jobs added or replaced.
        jobs: Vec<JobState>,
        /// Number of the next operation, if the record completes a repair.
        next: Option<u64>,
    },
    /// This store is primary from this epoch on.
    TermStart {
        /// Number of the shard.
        shard: u32,
        /// Epoch of the term's first view known here.
        epoch: Epoch,
    },
    /// The end of a rewrite: the shard has these jobs and no others.
    RewriteEnd {
        /// Number of the shard.
        shard: u32,
        /// Highest epoch seen.
        epoch: Epoch,
        /// Highest epoch in which this store was primary.
        last_primary_epoch: Epoch,
        /// Ids of all jobs.
        jobs: Vec<String>,
        /// Number of the next operation.
        next: u64,
    },
    /// The start of a rewrite of all shards.
    RewriteStart,
}

impl StoreRecord {
    /// Encodes the record for the ring.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a record of the ring.
    ///
    /// # Errors
    ///
    /// [`FrameError::Malformed`] if the bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<StoreRecord, FrameError> {
        decode(bytes)
    }

    /// The shard that the record belongs to; `None` if it belongs to all.
    pub fn shard(&self) -> Option<u32> {
        match self {
            StoreRecord::Operations { shard, .. }
            | StoreRecord::Install { shard, .. }
            | StoreRecord::TermStart { shard, .. }
            | StoreRecord::RewriteEnd { shard, .. } => Some(*shard),
            StoreRecord::RewriteStart => None,
        }
    }

    /// The epoch in which the record was written; 0 if it belongs to all shards.
    pub fn epoch(&self) -> Epoch {
        match self {
            StoreRecord::Operations { epoch, .. }
            | StoreRecord::Install { epoch, .. }
            | StoreRecord::TermStart { epoch, .. }
            | StoreRecord::RewriteEnd { epoch, .. } => *epoch,
            StoreRecord::RewriteStart => 0,
        }
    }

    /// The highest epoch in which this store was primary as far as this record shows; 0 if it does not.
    pub fn last_primary_epoch(&self) -> Epoch {
        match self {
            StoreRecord::TermStart { epoch, .. } => *epoch,
            StoreRecord::RewriteEnd { last_primary_epoch, .. } => *last_primary_epoch,
            StoreRecord::Operations { .. } | StoreRecord::Install { .. } | StoreRecord::RewriteStart => 0,
        }
    }
}
