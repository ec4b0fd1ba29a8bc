//! Position of a value in the total order of all values.

use quillmount_wire::messages::{Accepted, Epoch};

/// Position of a value. Values of a later epoch are newer; within an epoch, values with a higher sequence number
/// are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Epoch in which the value was proposed; 0 if there is no value.
    pub epoch: Epoch,
    /// Sequence number of the proposal in its epoch, from 1; 0 if there is no value.
    pub sequence: u64,
}

impl Position {
    /// Position of the first value of a new system.
    pub(super) const FIRST: Position = Position { epoch: 1, sequence: 1 };

    /// Returns the position of a value that may be missing; a missing value is older than any other.
    #[must_use]
    pub fn of_newest(accepted: Option<&Accepted>) -> Position {
        accepted.map(Position::from).unwrap_or_default()
    }
}

impl From<&Accepted> for Position {
    fn from(accepted: &Accepted) -> Position {
        Position { epoch: accepted.epoch, sequence: accepted.sequence }
    }
}
