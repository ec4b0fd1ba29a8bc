//! How many bytes streams may move in one turn of the event loop, so that small messages are not delayed.
//!
//! A turn is one pass over all that is ready. Streams together may move a fixed number of bytes in it. A read or write is
//! not divided, so it may exceed what was left; the debt is subtracted from the next turns.

/// The byte budget of all streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turns {
    /// Bytes per turn.
    quantum: i64,
    /// Bytes left in this turn; negative: a debt.
    left: i64,
}

impl Turns {
    /// A budget of so many bytes per turn, one at least.
    pub fn new(quantum: u64) -> Self {
        let quantum = i64::try_from(quantum).unwrap_or(i64::MAX).max(1);
        Turns { quantum, left: quantum }
    }

    /// Whether more may be moved in this turn.
    pub fn may(&self) -> bool {
        self.left > 0
    }

    /// So many bytes were moved.
    pub fn spend(&mut self, bytes: u64) {
        self.left = self.left.saturating_sub(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// The next turn begins. What was left over is not carried over, a debt is.
    pub fn next(&mut self) {
        self.left = self.left.saturating_add(self.quantum).min(self.quantum);
    }
}
