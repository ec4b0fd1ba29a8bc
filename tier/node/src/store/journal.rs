//! The journal of a store, which is a ring on the disk: queues records of replicas for writing and tracks the free space.

use crate::disk::{AppendReceipt, DiskWriter};
use quillmount_batch::{MAX_RECORD_BYTES, StoreRecord, WriteId};
use quillmount_storage::{RingRecord, RingSize, StorageError};
use std::cell::Cell;
use std::path::Path;
use tokio::sync::mpsc;

/// Size of one segment file, bytes.
const SEGMENT_BYTES: u64 = 8 << 20;
/// Size of the headers of a segment and its records, bytes: an upper bound.
const SEGMENT_OVERHEAD_BYTES: u64 = 4 << 10;
// A record that no segment takes could never be written, and its shard would be lost to this store.
const _: () = assert!(MAX_RECORD_BYTES as u64 + SEGMENT_OVERHEAD_BYTES <= SEGMENT_BYTES);
/// Smallest number of segments of the ring.
const MIN_SEGMENTS: u64 = 3;
/// Largest number of segments of the ring.
const MAX_SEGMENTS: u64 = 512;
/// Fraction of the disk that the ring uses.
const DISK_FRACTION: f64 = 0.93;
/// Fraction of the ring that jobs may use. A compaction begins when half of the ring is used: a complete copy of all jobs
/// has to fit into the other half, with one segment to spare for records that are written in the meantime.
const MAX_LIVE_FRACTION: f64 = 0.36;
/// A new job is accepted only while more than this fraction of the segments is free.
const MIN_FREE_FRACTION: f64 = 0.15;
/// A compaction is due when less than this fraction of the segments is free.
const COMPACTION_FRACTION: f64 = 0.5;

/// A record of a replica that is queued for writing.
pub struct PendingWrite {
    /// Number of the replica's shard.
    pub shard: u32,
    /// Id that the replica assigned to this write.
    pub write: WriteId,
    /// Resolves when the record is synced or the write has failed.
    pub receipt: AppendReceipt,
}

/// A journal that has just been opened, with its recovered records.
pub struct OpenedJournal {
    /// The journal, ready for appends.
    pub journal: Journal,
    /// Recovered records, oldest first.
    pub records: Vec<RingRecord>,
    /// Receives an entry for each call of [`Journal::write`], in the order of the calls.
    pub pending: mpsc::UnboundedReceiver<PendingWrite>,
}

/// The journal of a store.
pub struct Journal {
    disk: DiskWriter,
    /// The channel is unbounded because the replicas limit the number of their pending writes.
    writes: mpsc::UnboundedSender<PendingWrite>,
    /// Number of segments that can still be opened.
    free_segments: Cell<usize>,
    max_segments: usize,
}

impl Journal {
    /// Opens the ring in `folder`, with a size suited to a disk of `disk_mb` megabytes.
    ///
    /// # Errors
    /// [`StorageError::Io`] if a file can't be opened or read.
    pub fn open(folder: &Path, disk_mb: f64) -> Result<OpenedJournal, StorageError> {
        let bytes = (disk_mb * 1e6 * DISK_FRACTION) as u64;
        let max_segments = (bytes / SEGMENT_BYTES).clamp(MIN_SEGMENTS, MAX_SEGMENTS) as usize;
        let (disk, records) =
            DiskWriter::open(folder, RingSize { segment_bytes: SEGMENT_BYTES, max_segments })?;
        let (writes, pending) = mpsc::unbounded_channel();
        let journal = Journal { disk, writes, free_segments: Cell::new(max_segments), max_segments };
        Ok(OpenedJournal { journal, records, pending })
    }

    /// Queues a record of a replica. The outcome is available through [`OpenedJournal::pending`].
    pub fn write(&self, shard: u32, write: WriteId, record: &StoreRecord) {
        let receipt = self.disk.append(record.encode());
        // Can't fail: the receiver exists until the process ends.
        let _ = self.writes.send(PendingWrite { shard, write, receipt });
    }

    /// Queues a record that belongs to no replica, such as the start marker of a compaction.
    pub fn append(&self, record: &StoreRecord) -> AppendReceipt {
        self.disk.append(record.encode())
    }

    /// Frees all segments before `segment`.
    pub fn release(&self, segment: u64) {
        self.disk.release(segment);
    }

    /// Updates the number of segments that can still be opened.
    pub fn set_free_segments(&self, free: usize) {
        self.free_segments.set(free);
    }

    /// Returns the number of segments that can still be opened.
    pub fn free_segments(&self) -> usize {
        self.free_segments.get()
    }

    /// Returns the largest total size of jobs that the ring may store, bytes.
    pub fn max_live_bytes(&self) -> f64 {
        self.max_segments as f64 * SEGMENT_BYTES as f64 * MAX_LIVE_FRACTION
    }

    /// Returns whether enough of the ring is free to accept a new job.
    pub fn accepts_jobs(&self) -> bool {
        self.free_segments.get() as f64 > self.max_segments as f64 * MIN_FREE_FRACTION
    }

    /// Returns whether so little of the ring is free that a compaction is due.
    pub fn needs_compaction(&self) -> bool {
        (self.free_segments.get() as f64) < self.max_segments as f64 * COMPACTION_FRACTION
    }
}
