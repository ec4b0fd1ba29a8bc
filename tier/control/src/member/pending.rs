//! Changes and reads of a primary that are not confirmed yet.
//!
//! Changes are applied to a working copy of the state, and each one that alters it starts a new generation. A proposal
//! contains all generations up to the current one, so changes that arrive while a proposal is in flight share the next
//! one (group commit).

use super::ChangeRejected;
use super::action::Ticket;
use crate::state::ControlState;
use quillmount_replication::MAX_PAYLOAD_BYTES;
use std::collections::{BTreeMap, BTreeSet};

/// Sequence number of a state of the working copy within one epoch; 0 is the state at the first commit.
type Generation = u64;

/// Whether a change altered the working copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    /// It did, and started a new generation.
    Altered,
    /// It altered nothing: its outcome describes the working copy.
    Unaltered,
}

/// A change that waits for a commit.
#[derive(Clone, Copy, Debug)]
struct PendingChange {
    /// Generation that has to be committed (above [`PendingWork::committed`]).
    generation: Generation,
    effect: Effect,
}

/// Changes whose generation was committed.
#[derive(Debug, Default)]
pub(super) struct CommittedChanges {
    /// Changes that altered the state. They were proposed after they were submitted, so the commit confirms them.
    pub(super) altered: Vec<Ticket>,
    /// Changes that altered nothing. The commit may rest on acknowledgements from before they were submitted, when another member
    /// was primary already: they have to be confirmed like a read.
    pub(super) unaltered: Vec<Ticket>,
}

/// Unconfirmed changes and reads of one epoch.
#[derive(Default)]
pub(super) struct PendingWork {
    /// Working copy: the committed state with all later changes applied.
    pub(super) state: ControlState,
    /// Generation of `state`.
    current: Generation,
    /// Generation of the last proposal; at most `current`.
    proposed: Generation,
    /// Generation of the last commit; at most `proposed`.
    committed: Generation,
    /// Changes that wait for a commit.
    changes: BTreeMap<Ticket, PendingChange>,
    /// Reads that wait for confirmation by a majority.
    reads: BTreeSet<Ticket>,
}

impl PendingWork {
    /// Applies a change to the working copy.
    ///
    /// # Errors
    /// [`ChangeRejected::TooLarge`] if the members could not store the changed state; the working copy is as before.
    pub(super) fn apply<T>(
        &mut self,
        change: impl FnOnce(&mut ControlState) -> T,
    ) -> Result<(T, Effect), ChangeRejected> {
        let before = self.state.clone();
        let outcome = change(&mut self.state);
        if self.state == before {
            return Ok((outcome, Effect::Unaltered));
        }
        let bytes = self.state.encode().len();
        if bytes > MAX_PAYLOAD_BYTES {
            self.state = before;
            return Err(ChangeRejected::TooLarge { bytes });
        }
        self.current += 1;
        Ok((outcome, Effect::Altered))
    }

    /// Whether the working copy has changes that are not committed.
    pub(super) fn has_uncommitted_changes(&self) -> bool {
        self.current > self.committed
    }

    /// Whether the working copy has changes that are not proposed.
    pub(super) fn has_unproposed_changes(&self) -> bool {
        self.current > self.proposed
    }

    /// Registers a change that is confirmed once the current generation is committed.
    pub(super) fn await_commit(&mut self, ticket: Ticket, effect: Effect) {
        self.changes.insert(ticket, PendingChange { generation: self.current, effect });
    }

    /// Records that all generations up to the current one are proposed.
    pub(super) fn record_proposal(&mut self) {
        self.proposed = self.current;
    }

    /// Records that the last proposal is committed; returns the changes that waited for it.
    pub(super) fn record_commit(&mut self) -> CommittedChanges {
        self.committed = self.proposed;
        let mut ended = CommittedChanges::default();
        let committed = self.committed;
        self.changes.retain(|ticket, change| {
            let is_committed = change.generation <= committed;
            match change.effect {
                Effect::Altered if is_committed => ended.altered.push(*ticket),
                Effect::Unaltered if is_committed => ended.unaltered.push(*ticket),
                _ => {}
            }
            !is_committed
        });
        ended
    }

    /// Removes and returns all waiting changes.
    pub(super) fn take_changes(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.changes).into_keys().collect()
    }

    /// Registers a read that waits for confirmation by a majority.
    pub(super) fn await_read(&mut self, ticket: Ticket) {
        self.reads.insert(ticket);
    }

    /// Removes a read; returns whether it was waiting.
    pub(super) fn finish_read(&mut self, ticket: Ticket) -> bool {
        self.reads.remove(&ticket)
    }

    /// Tickets of all waiting changes and reads.
    pub(super) fn into_tickets(self) -> impl Iterator<Item = Ticket> {
        self.changes.into_keys().chain(self.reads)
    }
}
