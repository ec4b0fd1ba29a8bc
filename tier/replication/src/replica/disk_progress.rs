//! How far the disk of a replica is behind its memory.
//!
//! A value is accepted in memory first, then written. It is acknowledged, and counts as accepted, only once it is synced. Until then
//! the replica keeps the newest value that is on its disk, so that it can return to it if the write fails: otherwise a value that
//! the disk refuses would be part of every later write of the register, and the member could not even promise an epoch.

use super::position::Position;
use quillmount_wire::messages::Accepted;
use std::collections::VecDeque;

/// Largest number of writes of the register in flight. A member whose disk is so far behind accepts and promises nothing new; the
/// senders repeat their messages.
const MAX_WRITES_IN_FLIGHT: usize = 4;

/// Writes in flight, and the values to return to if they fail.
#[derive(Clone, Debug)]
pub(super) struct DiskProgress {
    /// Whether the current value, if there is one, is on the disk.
    is_current_synced: bool,
    /// The newest value known to be on the disk; `None` if there is none yet, or if it is the current value.
    newest_synced: Option<Accepted>,
    /// Values that were accepted after `newest_synced` and replaced before they were synced, oldest first.
    replaced: VecDeque<Accepted>,
    /// Writes whose outcome is not known yet.
    writes_in_flight: usize,
    /// Those of them that contain the current value.
    writes_of_current: usize,
}

impl DiskProgress {
    /// The progress of a replica whose register was just read from the disk.
    pub(super) fn all_synced() -> DiskProgress {
        DiskProgress {
            is_current_synced: true,
            newest_synced: None,
            replaced: VecDeque::new(),
            writes_in_flight: 0,
            writes_of_current: 0,
        }
    }

    /// Returns whether another write may be started.
    pub(super) fn may_write(&self) -> bool {
        self.writes_in_flight < MAX_WRITES_IN_FLIGHT
    }

    /// Returns whether the current value is on the disk.
    pub(super) fn is_current_synced(&self) -> bool {
        self.is_current_synced
    }

    /// Returns whether a write in flight contains the current value.
    pub(super) fn is_current_in_flight(&self) -> bool {
        self.writes_of_current > 0
    }

    /// Records that a new value was accepted in memory, in place of `replaced`.
    pub(super) fn value_accepted(&mut self, replaced: Option<Accepted>) {
        if self.is_current_synced {
            self.newest_synced = replaced;
        } else {
            self.replaced.extend(replaced);
        }
        self.is_current_synced = false;
        self.writes_of_current = 0;
    }

    /// Records the start of a write, which contains the current value.
    pub(super) fn write_started(&mut self) {
        self.writes_in_flight += 1;
        self.writes_of_current += 1;
    }

    /// Records that a write with the value at `written` is synced; `current` is the position of the value in memory.
    pub(super) fn write_synced(&mut self, written: Position, current: Position) {
        self.write_ended(written, current);
        if written == current {
            self.is_current_synced = true;
            self.newest_synced = None;
            self.replaced.clear();
            return;
        }
        while self.replaced.front().is_some_and(|accepted| Position::from(accepted) <= written) {
            self.newest_synced = self.replaced.pop_front();
        }
    }

    /// Records that a write with the value at `written` has failed. Returns the value to return to, if the current one is not on the
    /// disk and no write in flight can still bring it there. A member that has no value on its disk keeps the one in memory, as there
    /// is none to return to.
    pub(super) fn write_failed(&mut self, written: Position, current: Position) -> Option<Accepted> {
        self.write_ended(written, current);
        if self.writes_in_flight > 0 || self.is_current_synced {
            return None;
        }
        self.replaced.clear();
        let newest_synced = self.newest_synced.take()?;
        self.is_current_synced = true;
        Some(newest_synced)
    }

    fn write_ended(&mut self, written: Position, current: Position) {
        self.writes_in_flight = self.writes_in_flight.saturating_sub(1);
        if written == current {
            self.writes_of_current = self.writes_of_current.saturating_sub(1);
        }
    }
}
