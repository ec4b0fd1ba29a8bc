//! A ring of preallocated files that holds records, oldest first. It begins with one file and grows to its limit by whole files.
//!
//! A segment is one file: a head with its number, then records. A record's checksum covers the checksum of the record
//! before it, so that bytes of an earlier lap, or behind a torn record, are never taken for records. Recovery ends a
//! segment at the first record that does not fit; what follows it was never synced.

mod identity;
mod ring;

pub use identity::{Identity, load_identity};
pub use ring::{Ring, RingRecord, RingSize, StorageError, read_records};
