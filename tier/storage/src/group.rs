//! Group commit: one sync covers all records that were appended since the last one, and each record is reported with its outcome.

use crate::error::StorageError;
use crate::ring::Ring;

/// Where a record was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// Number of the segment that has the record.
    pub segment: u64,
    /// Number of segments that can still be opened.
    pub free: usize,
}

/// A record that is appended and not synced yet.
struct UnsyncedRecord<T> {
    written: Written,
    waiter: T,
}

/// The outcome of a record, for the waiter that was passed with it.
pub struct ReportedRecord<T> {
    /// The waiter.
    pub waiter: T,
    /// Where the record is on the disk, or why it is not known to be there.
    pub outcome: Result<Written, StorageError>,
}

/// A ring with the records that wait for its next sync. The caller limits their number.
pub struct RecordGroup<T> {
    ring: Ring,
    unsynced: Vec<UnsyncedRecord<T>>,
}

impl<T> RecordGroup<T> {
    /// Starts an empty group of an open ring.
    pub fn new(ring: Ring) -> RecordGroup<T> {
        RecordGroup { ring, unsynced: Vec::new() }
    }

    /// Number of records that wait for the next sync.
    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Appends a record. Returns the records whose outcome is known now: this one if it could not be appended, and the earlier ones
    /// if a segment had to be synced before the next was started.
    pub fn append(&mut self, body: &[u8], waiter: T) -> Vec<ReportedRecord<T>> {
        let mut reported = Vec::new();
        if self.ring.starts_segment(body.len()) {
            reported = self.sync();
        }
        match self.ring.append(body) {
            Ok(segment) => {
                let written = Written { segment, free: self.ring.free_segments() };
                self.unsynced.push(UnsyncedRecord { written, waiter });
            }
            Err(error) => reported.push(ReportedRecord { waiter, outcome: Err(error) }),
        }
        reported
    }

    /// Syncs the ring and returns all records that waited for it, oldest first.
    pub fn sync(&mut self) -> Vec<ReportedRecord<T>> {
        if self.unsynced.is_empty() {
            return Vec::new();
        }
        let synced = self.ring.sync();
        let outcome = |written: Written| match &synced {
            Ok(()) => Ok(written),
            // An I/O error can't be cloned: each record gets its text.
            Err(error) => Err(StorageError::Io(std::io::Error::other(error.to_string()))),
        };
        let ended = self.unsynced.drain(..);
        ended
            .map(|record| ReportedRecord { waiter: record.waiter, outcome: outcome(record.written) })
            .collect()
    }

    /// Frees the segments before `segment`, see [`Ring::release`].
    pub fn release(&mut self, segment: u64) {
        self.ring.release(segment);
    }
}
