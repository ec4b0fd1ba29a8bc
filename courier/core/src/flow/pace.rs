//! Whether a side of a body keeps up.

use quillmount_policy::Micros;

/// How slow a side may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// A side that could move bytes has stalled after this time without one, in microseconds.
    pub stall: Micros,
    /// Within this time in which it could move bytes, in microseconds, a side must move `least` of them.
    pub span: Micros,
    /// The least number of bytes to move within `span`.
    pub least: u64,
}

/// Why a side counts as late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub enum Late {
    /// It moved no byte.
    Stalled,
    /// It moved too few bytes.
    Slow,
}

/// The time at which a side counts as late if it moves no byte until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PaceDeadline {
    /// The time.
    pub at: Micros,
    /// Why it counts as late then.
    pub late: Late,
}

/// The progress of one side. Time counts only while it is this side's turn to move bytes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SideProgress {
    pace: Pace,
    /// The time since which it has been this side's turn, if it is.
    since: Option<Micros>,
    /// How long it was this side's turn before that, within the present span.
    waited: Micros,
    /// The bytes moved within the present span.
    moved: u64,
}

impl SideProgress {
    pub(super) fn new(pace: Pace) -> Self {
        SideProgress { pace, since: None, waited: 0, moved: 0 }
    }

    /// Sets whether it is this side's turn from now on.
    pub(super) fn set_turn(&mut self, is_turn: bool, now: Micros) {
        match (is_turn, self.since) {
            (true, None) => self.since = Some(now),
            (false, Some(since)) => {
                self.waited += now.saturating_sub(since);
                self.since = None;
            }
            _ => {}
        }
    }

    /// This side moved bytes.
    pub(super) fn record_bytes(&mut self, bytes: u64, now: Micros) {
        if let Some(since) = self.since.replace(now) {
            self.waited += now.saturating_sub(since);
        }
        self.moved += bytes;
        if self.waited >= self.pace.span && self.moved >= self.pace.least {
            self.waited = 0;
            self.moved = 0;
        }
    }

    /// When the side will be late if it moves nothing until then; `None` if it is not its turn.
    pub(super) fn late_at(&self) -> Option<PaceDeadline> {
        let since = self.since?;
        let stalled = PaceDeadline { at: since.saturating_add(self.pace.stall), late: Late::Stalled };
        let left = self.pace.span.saturating_sub(self.waited);
        let slow = PaceDeadline { at: since.saturating_add(left), late: Late::Slow };
        Some(if self.moved < self.pace.least { stalled.min(slow) } else { stalled })
    }
}
