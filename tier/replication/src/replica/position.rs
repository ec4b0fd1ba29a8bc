//! The position of a value in the order of all values.

use quillmount_wire::messages::{Accepted, Epoch};

/// Position of a value: values of a later epoch are newer, and within an epoch those with a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    /// Epoch in which the value was proposed; 0 if there is none.
    pub(super) epoch: Epoch,
    /// Number of the proposal in its epoch, from 1; 0 if there is none.
    pub(super) sequence: u64,
}

impl Position {
    /// Position of the first value of a new system.
    pub(super) const FIRST: Position = Position { epoch: 1, sequence: 1 };

    /// Position of a value that may be missing; a missing one is older than any.
    pub(super) fn of_newest(accepted: Option<&Accepted>) -> Position {
        accepted.map(Position::from).unwrap_or_default()
    }
}

impl From<&Accepted> for Position {
    fn from(accepted: &Accepted) -> Position {
        Position { epoch: accepted.epoch, sequence: accepted.sequence }
    }
}
