//! Time constants that several modules use.

use crate::ids::Micros;

/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;

/// The maximum time of the clock; means that something never happens.
pub const NEVER: Micros = Micros::MAX;
