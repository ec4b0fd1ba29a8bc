//! What streams may move in one turn of the loop, so that the small messages that wait in it are not held up.
//!
//! A turn is one pass over all that is ready. Streams together move up to a number of bytes in it; one that moves
//! more than was left, since a read or a write is done whole, leaves a debt that the next turns pay back first.

/// The account of all streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turns {
    quantum: i64,
    left: i64,
}

impl Turns {
    /// `quantum`: bytes a turn, one at least.
    pub fn new(quantum: u64) -> Self {
        let quantum = i64::try_from(quantum).unwrap_or(i64::MAX).max(1);
        Turns { quantum, left: quantum }
    }

    /// Whether something may still be moved in this turn.
    pub fn may(&self) -> bool {
        self.left > 0
    }

    /// So many bytes were moved.
    pub fn spend(&mut self, bytes: u64) {
        self.left = self.left.saturating_sub(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// The next turn begins: what is left over is not saved up, what is owed is paid first.
    pub fn next(&mut self) {
        self.left = self.left.saturating_add(self.quantum).min(self.quantum);
    }
}
