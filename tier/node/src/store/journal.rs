//! The ring of a store: queues records of replicas for the disk, and knows how much of it is free.

use crate::disk::{AppendReceipt, DiskWriter};
use quillmount_batch::{StoreRecord, WriteId};
use quillmount_storage::{RingRecord, RingSize, StorageError};
use std::cell::Cell;
use std::path::Path;
use tokio::sync::mpsc;

/// Bytes of one segment file.
const SEGMENT_BYTES: u64 = 8 << 20;
/// Fewest segments of a ring.
const MIN_SEGMENTS: u64 = 3;
/// Most segments of a ring.
const MAX_SEGMENTS: u64 = 512;
/// Fraction of the disk that the ring takes.
const DISK_FRACTION: f64 = 0.93;
/// Fraction of the ring that jobs may take. A compaction begins when half of the ring is used: a complete copy of all jobs
/// has to fit into the other half, with a segment left for what is written meanwhile.
const LIVE_FRACTION: f64 = 0.36;
/// Fraction of the ring that has to be free for a new job to be accepted.
const FREE_FRACTION: f64 = 0.15;
/// A compaction is due when less than this fraction of the segments is free.
const COMPACTION_FRACTION: f64 = 0.5;

/// A replica's record that is queued for the disk.
pub struct PendingWrite {
    /// Number of the replica's shard.
    pub shard: u32,
    /// The replica's id for this write.
    pub write: WriteId,
    /// Resolves once the record is synced.
    pub receipt: AppendReceipt,
}

/// A ring that has just been opened.
pub struct OpenedJournal {
    /// The ring, ready for appends.
    pub journal: Journal,
    /// The records found in it, oldest first.
    pub records: Vec<RingRecord>,
    /// Receives each record passed to [`Journal::write`], in that order.
    pub pending: mpsc::UnboundedReceiver<PendingWrite>,
}

/// The ring of a store.
pub struct Journal {
    disk: DiskWriter,
    /// Unbounded, as replicas bound the number of their writes.
    writes: mpsc::UnboundedSender<PendingWrite>,
    /// Number of segments that can still be opened.
    free_segments: Cell<usize>,
    segments: usize,
}

impl Journal {
    /// Opens the ring in `folder`, sized for a disk of `disk_mb` megabytes.
    pub fn open(folder: &Path, disk_mb: f64) -> Result<OpenedJournal, StorageError> {
        let bytes = (disk_mb * 1e6 * DISK_FRACTION) as u64;
        let segments = (bytes / SEGMENT_BYTES).clamp(MIN_SEGMENTS, MAX_SEGMENTS) as usize;
        let (disk, records) =
            DiskWriter::open(folder, RingSize { segment_bytes: SEGMENT_BYTES, max_segments: segments })?;
        let (writes, pending) = mpsc::unbounded_channel();
        let journal = Journal { disk, writes, free_segments: Cell::new(segments), segments };
        Ok(OpenedJournal { journal, records, pending })
    }

    /// Queues a replica's record. The outcome goes to the receiver of [`OpenedJournal::pending`].
    pub fn write(&self, shard: u32, write: WriteId, record: &StoreRecord) {
        let receipt = self.disk.append(record.encode());
        // The receiver lives as long as the store runs.
        let _ = self.writes.send(PendingWrite { shard, write, receipt });
    }

    /// Queues a record that belongs to no replica.
    pub fn append(&self, record: &StoreRecord) -> AppendReceipt {
        self.disk.append(record.encode())
    }

    /// Frees all segments before `segment`.
    pub fn release(&self, segment: u64) {
        self.disk.release(segment);
    }

    /// Records how many segments can still be opened.
    pub fn set_free_segments(&self, free: usize) {
        self.free_segments.set(free);
    }

    /// Number of segments that can still be opened.
    pub fn free_segments(&self) -> usize {
        self.free_segments.get()
    }

    /// Bytes of jobs that fit into the ring at most.
    pub fn live_bytes_limit(&self) -> f64 {
        self.segments as f64 * SEGMENT_BYTES as f64 * LIVE_FRACTION
    }

    /// Whether enough of the ring is free to accept a new job.
    pub fn accepts_jobs(&self) -> bool {
        self.free_segments.get() as f64 > self.segments as f64 * FREE_FRACTION
    }

    /// Whether so little of the ring is free that it is to be compacted.
    pub fn needs_compaction(&self) -> bool {
        (self.free_segments.get() as f64) < self.segments as f64 * COMPACTION_FRACTION
    }
}
