//! Spans of the clock that several decisions use.

use crate::ids::Micros;

/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;

/// The end of the clock: stands for "at no time".
pub const NEVER: Micros = Micros::MAX;
