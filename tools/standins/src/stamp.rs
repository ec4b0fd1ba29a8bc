//! When an entry of a record was made.

use quillmount_policy::Micros;

/// When something was recorded. Stamps are in the order of recording.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Its number in the record, from 1.
    pub n: u64,
    /// Unix time in microseconds.
    pub at: Micros,
}
