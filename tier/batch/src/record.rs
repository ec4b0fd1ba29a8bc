//! Records of a store's write-ahead log, which is a ring of segments. Records are encoded by `rkyv`, which
//! identifies fields and variants by position: their order and types are the storage format
//! (`tests/stored_records.rs` compares the bytes).

use quillmount_wire::frame::FrameError;
use quillmount_wire::messages::{Epoch, JobPart, JobState, ShardOperation, decode, encode};
use rkyv::{Archive, Deserialize, Serialize};

/// A record of a store's write-ahead log.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum StoreRecord {
    /// Operations with consecutive numbers, written by a primary or a backup.
    Operations {
        /// Index of the shard.
        shard: u32,
        /// Highest epoch that the replica had seen when it wrote the record.
        epoch: Epoch,
        /// Number of the first operation in the record.
        first: u64,
        /// Operations in the order in which they are applied.
        operations: Vec<ShardOperation>,
    },
    /// Jobs that a repair removed and replaced, or that a rewrite copied.
    Install {
        /// Index of the shard.
        shard: u32,
        /// Highest epoch that the replica had seen when it wrote the record.
        epoch: Epoch,
        /// Ids of the removed jobs.
        dropped: Vec<String>,
        /// Added or replaced jobs, each with all its results.
        jobs: Vec<JobState>,
        /// Number of the next operation; `None` unless the record completes a repair.
        next: Option<u64>,
    },
    /// The replica is primary from this epoch on.
    TermStart {
        /// Index of the shard.
        shard: u32,
        /// Epoch of the first view of the term that the replica received.
        epoch: Epoch,
    },
    /// End of a rewrite: the shard has exactly these jobs, and recovery removes all others.
    RewriteEnd {
        /// Index of the shard.
        shard: u32,
        /// Highest epoch that the replica had seen when the rewrite started.
        epoch: Epoch,
        /// Highest epoch in which the replica was primary; 0 if it never was.
        last_primary_epoch: Epoch,
        /// Ids of all jobs of the shard.
        jobs: Vec<String>,
        /// Number of the next operation when the rewrite started.
        next: u64,
    },
    /// Start of a rewrite of all shards of the store; the log before it can be released once the rewrite is
    /// complete.
    RewriteStart,
    /// A part of a job that is too large for one record. Recovery replaces the job once it has read the last part.
    InstallPart {
        /// Index of the shard.
        shard: u32,
        /// Highest epoch that the replica had seen when it wrote the record.
        epoch: Epoch,
        /// What copied the job.
        origin: PartOrigin,
        /// The part.
        part: Box<JobPart>,
    },
}

/// What copies a job in parts. A rewrite may run between two parts of a repair, so that each has parts of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum PartOrigin {
    /// The primary repairs this replica.
    Repair,
    /// This replica rewrites its shard.
    Rewrite,
}

impl StoreRecord {
    /// Encodes the record for the write-ahead log.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a record of the write-ahead log.
    ///
    /// # Errors
    ///
    /// [`FrameError::Malformed`] if the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Result<StoreRecord, FrameError> {
        decode(bytes)
    }

    /// Returns the shard that the record belongs to; `None` if it belongs to all shards.
    pub fn shard(&self) -> Option<u32> {
        match self {
            StoreRecord::Operations { shard, .. }
            | StoreRecord::Install { shard, .. }
            | StoreRecord::TermStart { shard, .. }
            | StoreRecord::RewriteEnd { shard, .. }
            | StoreRecord::InstallPart { shard, .. } => Some(*shard),
            StoreRecord::RewriteStart => None,
        }
    }

    /// Returns the highest epoch that the replica had seen when it wrote the record; 0 if the record belongs to all
    /// shards.
    pub fn epoch(&self) -> Epoch {
        match self {
            StoreRecord::Operations { epoch, .. }
            | StoreRecord::Install { epoch, .. }
            | StoreRecord::TermStart { epoch, .. }
            | StoreRecord::RewriteEnd { epoch, .. }
            | StoreRecord::InstallPart { epoch, .. } => *epoch,
            StoreRecord::RewriteStart => 0,
        }
    }

    /// Returns the highest epoch in which the replica was primary according to this record; 0 if the record does
    /// not say.
    pub fn last_primary_epoch(&self) -> Epoch {
        match self {
            StoreRecord::TermStart { epoch, .. } => *epoch,
            StoreRecord::RewriteEnd { last_primary_epoch, .. } => *last_primary_epoch,
            StoreRecord::Operations { .. }
            | StoreRecord::Install { .. }
            | StoreRecord::InstallPart { .. }
            | StoreRecord::RewriteStart => 0,
        }
    }
}
