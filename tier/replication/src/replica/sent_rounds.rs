//! The heartbeat rounds of a primary and when each was sent.

use super::timing::MAX_PUBLISHED_STATE_AGE;
use quillmount_wire::Micros;
use std::collections::VecDeque;

/// Largest number of rounds whose time is remembered. Each read starts a round.
const MAX_REMEMBERED_ROUNDS: usize = 4_096;

/// Numbers of heartbeat rounds, from 1, with the times at which the last of them were sent. A round whose answer no longer counts as
/// contact is forgotten.
#[derive(Clone, Debug, Default)]
pub(super) struct SentRounds {
    /// Number of the last round; 0 before the first one.
    last: u64,
    /// Times of the last rounds, the newest last.
    sent_at: VecDeque<Micros>,
}

impl SentRounds {
    /// Returns the number of the last round; 0 before the first one.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Starts a round that is sent now, and returns its number.
    pub(super) fn begin(&mut self, now: Micros) -> u64 {
        let is_outdated = |sent_at: &Micros| now.saturating_sub(*sent_at) >= MAX_PUBLISHED_STATE_AGE;
        while self.sent_at.len() >= MAX_REMEMBERED_ROUNDS || self.sent_at.front().is_some_and(is_outdated) {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
        self.last += 1;
        self.last
    }

    /// Returns when a round was sent; `None` if that is forgotten or there was no such round.
    pub(super) fn sent_at(&self, round: u64) -> Option<Micros> {
        let rounds_after = usize::try_from(self.last.checked_sub(round)?).ok()?;
        let index = self.sent_at.len().checked_sub(rounds_after + 1)?;
        self.sent_at.get(index).copied()
    }
}
