//! The journal of owed messages: a write-ahead log of records in a [`Store`](crate::store::Store) that survives the
//! process.
//!
//! The router writes each record before it takes the recorded action, so that after a crash a new process can
//! continue from the journal alone. [`JournalRecord`] is the stored form, [`frame`] and [`Records`] are its
//! encoding, [`JournalContents`] is the state that results from a sequence of records, and [`Journal`] appends
//! records and compacts the store within a limit on disk space.
//!
//! Records are encoded with postcard, by position: neither the order of variants and fields nor the type of a field may
//! change, since a new version reads the journals of older versions.

mod contents;
pub mod error;
mod frame;
mod record;
mod settlements;
mod space;
mod writer;

pub use contents::{JournalContents, JournalEntry, RecordedAttempt, RememberedEnd};
pub use error::JournalError;
pub use frame::{Records, frame};
pub use record::{AcceptedMessage, End, JournalRecord, RepeatEffect, SettlementLine, Source};
pub use settlements::Settlements;
pub use writer::Journal;
