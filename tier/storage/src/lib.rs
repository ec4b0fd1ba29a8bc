//! Durable storage of a node: a ring of preallocated files with checksummed records, the identity of the disk, and the kind of
//! records in the ring.
//!
//! The caller opens a [`Ring`], replays the recovered records, then appends and syncs records, and releases the oldest segments
//! once their records are superseded. A [`RecordGroup`] does this for records that wait for their own outcome. A ring starts with one file and grows by whole files up to its limit; the file of the oldest
//! released segment is reused first.
//!
//! A segment is one file: a header with the segment's number, then records. The checksum of a record covers the checksum of the
//! previous record, so that bytes from an earlier use of the file, or after a torn record, are never read as records. Recovery ends
//! a segment at the first record that does not verify; anything after it was never synced.

mod contents;
mod error;
mod files;
mod format;
mod group;
mod identity;
mod recovery;
mod ring;
mod segment;

pub use contents::{ContentsError, FolderContents, claim_contents, read_contents};
pub use error::StorageError;
pub use files::RingSize;
pub use group::{RecordGroup, ReportedRecord, Written};
pub use identity::{FirstStart, Identity, IdentityError, end_first_start, load_identity};
pub use recovery::read_records;
pub use ring::{Ring, SyncFile};
pub use segment::RingRecord;
