//! Limits the bytes that streams transfer in one turn of the event loop, so that they don't delay small messages.
//!
//! A turn is one pass over all ready connections. In each turn all streams together may transfer a fixed number of
//! bytes. A read or write is not split, so it may exceed the remaining budget; the excess is subtracted from the
//! next turns.

/// The budget of bytes that all streams share in a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnBudget {
    /// Bytes per turn.
    quantum: i64,
    /// Bytes that may still be transferred in this turn; negative if earlier turns exceeded their budget.
    remaining: i64,
}

impl TurnBudget {
    /// A budget of `quantum` bytes per turn, at least one byte.
    pub fn new(quantum: u64) -> Self {
        let quantum = i64::try_from(quantum).unwrap_or(i64::MAX).max(1);
        TurnBudget { quantum, remaining: quantum }
    }

    /// Whether streams may transfer more bytes in this turn.
    pub fn has_budget(&self) -> bool {
        self.remaining > 0
    }

    /// Subtracts transferred bytes from the budget.
    pub fn spend(&mut self, bytes: u64) {
        self.remaining = self.remaining.saturating_sub(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Starts the next turn. An unused budget expires, an excess is carried over.
    pub fn begin_turn(&mut self) {
        self.remaining = self.remaining.saturating_add(self.quantum).min(self.quantum);
    }
}
