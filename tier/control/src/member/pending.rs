//! The changes and reads of a primary that are not confirmed yet.
//!
//! Changes are applied to a working copy of the state. Each one that alters it starts a new generation. A proposal
//! carries all generations up to the current one, so that changes that arrive during a commit share the next.

use super::action::Ticket;
use crate::state::ControlState;
use std::collections::{BTreeMap, BTreeSet};

/// Counts the states that the changes of one epoch lead to; 0 is the state at the first commit.
type Generation = u64;

/// What a primary works on in one epoch.
#[derive(Default)]
pub(super) struct PendingWork {
    /// The committed state with all changes since.
    pub(super) state: ControlState,
    /// Generation of `state`.
    current: Generation,
    /// Generation of the last proposal; at most `current`.
    proposed: Generation,
    /// Generation of the last commit; at most `proposed`.
    committed: Generation,
    /// Changes that wait for the commit of a generation above `committed`.
    changes: BTreeMap<Ticket, Generation>,
    /// Reads that wait for a majority.
    reads: BTreeSet<Ticket>,
}

impl PendingWork {
    /// Applies a change to the working copy.
    pub(super) fn apply<T>(&mut self, change: impl FnOnce(&mut ControlState) -> T) -> T {
        let before = self.state.clone();
        let outcome = change(&mut self.state);
        if self.state != before {
            self.current += 1;
        }
        outcome
    }

    /// Whether the working copy has changes that are not committed.
    pub(super) fn has_uncommitted_changes(&self) -> bool {
        self.current > self.committed
    }

    /// Whether the working copy has changes that are not proposed.
    pub(super) fn has_unproposed_changes(&self) -> bool {
        self.current > self.proposed
    }

    /// Confirms this ticket once the current generation is committed.
    pub(super) fn await_commit(&mut self, ticket: Ticket) {
        self.changes.insert(ticket, self.current);
    }

    /// Notes that all changes so far are proposed.
    pub(super) fn record_proposal(&mut self) {
        self.proposed = self.current;
    }

    /// Notes that the proposal is committed; returns the changes that it confirms.
    pub(super) fn record_commit(&mut self) -> Vec<Ticket> {
        self.committed = self.proposed;
        let committed = self.committed;
        let is_confirmed = |generation: Generation| generation <= committed;
        let confirmed = self.changes.iter().filter(|(_, generation)| is_confirmed(**generation));
        let confirmed = confirmed.map(|(ticket, _)| *ticket).collect();
        self.changes.retain(|_, generation| !is_confirmed(*generation));
        confirmed
    }

    /// Takes out all changes, confirmed or not.
    pub(super) fn take_changes(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.changes).into_keys().collect()
    }

    /// Notes a read that waits for a majority.
    pub(super) fn await_read(&mut self, ticket: Ticket) {
        self.reads.insert(ticket);
    }

    /// Takes out a read; returns whether it was waiting.
    pub(super) fn finish_read(&mut self, ticket: Ticket) -> bool {
        self.reads.remove(&ticket)
    }

    /// All changes and reads that were waiting.
    pub(super) fn into_tickets(self) -> impl Iterator<Item = Ticket> {
        self.changes.into_keys().chain(self.reads)
    }
}
