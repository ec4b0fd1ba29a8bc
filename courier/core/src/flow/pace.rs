//! The minimum pace of the client and of the endpoint.

use quillmount_policy::Micros;

/// The minimum pace of a side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// The time after which a side that could transfer bytes counts as stalled if it transfers none, in microseconds.
    pub stall_timeout: Micros,
    /// The time within which a side must transfer `min_bytes`, in microseconds. Only time in which the side could transfer
    /// bytes is counted.
    pub span: Micros,
    /// The minimum number of bytes to transfer within `span`.
    pub min_bytes: u64,
}

/// The reason for which a side counts as late. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub enum Late {
    /// The side transferred no byte for [`Pace::stall_timeout`].
    Stalled,
    /// The side transferred fewer than [`Pace::min_bytes`] within [`Pace::span`].
    Slow,
}

/// The time at which a side counts as late if it transfers no byte until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PaceDeadline {
    /// The time at which the side counts as late, in microseconds.
    pub due_at: Micros,
    /// The rule that the side then breaks.
    pub reason: Late,
}

/// The progress of one side. Time is counted only while it is the side's turn: while it could transfer bytes and does not
/// wait for the other side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SideProgress {
    pace: Pace,
    /// The time since which it has been this side's turn without a byte, if it is its turn.
    since: Option<Micros>,
    /// The time for which it was this side's turn before `since`, within the current span.
    turn_time: Micros,
    /// The number of bytes transferred within the current span.
    transferred: u64,
}

impl SideProgress {
    pub(super) fn new(pace: Pace) -> Self {
        SideProgress { pace, since: None, turn_time: 0, transferred: 0 }
    }

    /// Sets whether it is this side's turn from now on.
    pub(super) fn set_turn(&mut self, is_turn: bool, now: Micros) {
        match (is_turn, self.since) {
            (true, None) => self.since = Some(now),
            (false, Some(since)) => {
                self.turn_time += now.saturating_sub(since);
                self.since = None;
            }
            _ => {}
        }
    }

    /// Records bytes that this side transferred.
    pub(super) fn record_bytes(&mut self, bytes: u64, now: Micros) {
        if let Some(since) = self.since.replace(now) {
            self.turn_time += now.saturating_sub(since);
        }
        self.transferred += bytes;
        if self.turn_time >= self.pace.span && self.transferred >= self.pace.min_bytes {
            self.turn_time = 0;
            self.transferred = 0;
        }
    }

    /// The time at which the side counts as late if it transfers no byte until then; `None` if it is not its turn.
    pub(super) fn deadline(&self) -> Option<PaceDeadline> {
        let since = self.since?;
        let stalled =
            PaceDeadline { due_at: since.saturating_add(self.pace.stall_timeout), reason: Late::Stalled };
        let remaining = self.pace.span.saturating_sub(self.turn_time);
        let slow = PaceDeadline { due_at: since.saturating_add(remaining), reason: Late::Slow };
        Some(if self.transferred < self.pace.min_bytes { stalled.min(slow) } else { stalled })
    }
}
