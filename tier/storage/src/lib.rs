//! Durable storage of a node: a ring of preallocated files with checksummed records, the identity of a disk, and what
//! its ring holds.
//!
//! The caller opens a [`Ring`], replays the records found, then appends and syncs records, and releases the oldest segments once
//! their records are superseded. A ring starts with one file and grows to its limit by whole files; after that the file of the
//! oldest released segment is reused.
//!
//! A segment is one file: a header with the segment's number, then records. A record's checksum covers the checksum of the record
//! before it, so that bytes of an earlier lap, or after a torn record, are never read as records. Recovery ends a segment at the
//! first record that does not verify; anything after it was never synced.

mod contents;
mod error;
mod files;
mod format;
mod identity;
mod recovery;
mod ring;
mod segment;

pub use contents::{ContentsError, FolderContents, claim_contents, read_contents};
pub use error::StorageError;
pub use files::RingSize;
pub use identity::{Identity, IdentityError, load_identity};
pub use recovery::read_records;
pub use ring::Ring;
pub use segment::RingRecord;
