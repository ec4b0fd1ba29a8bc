//! Usage reports: when the counts of a window are final, and the record of those that are.
//!
//! A report is sent by the primary of the core, possibly several of them in turn. The counts are committed to the
//! control state before they are sent ([`ControlState::finalize_usage`]), so that a retry sends the same counts.

use crate::breaks::{self, Break};
use crate::state::ControlState;
use quillmount_wire::Micros;
use quillmount_wire::messages::UsageWindow;
use std::collections::BTreeMap;

/// The counts of a window are complete once every process was heard from this long after the window's end, seconds.
/// Processes poll more often than that, and their clocks differ by less.
pub const SETTLE_S: f64 = 1.0;
/// Fraction of the time until a report is due for which missing counts are waited for. The rest is left to a
/// successor of the primary.
const WAIT_FRACTION: f64 = 0.7;
/// A process that was silent for this time is no longer waited for, microseconds.
const FORGET_AFTER: Micros = 12_000_000;
/// Upper bound on remembered reports; the oldest are dropped. A report is due some seconds after its window.
const USAGE_LIMIT: usize = 64;

/// When a process was last heard from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastHeard<'a> {
    /// Name of the machine, which all incarnations of the process share.
    pub name: &'a str,
    /// Time of its last poll, microseconds of the steady clock.
    pub at: Micros,
    /// The process is stopping and has reported all of its counts.
    pub draining: bool,
}

/// Whether every process that counts requests has been heard from since a moment.
///
/// Of several incarnations of one machine the one heard from last stands for it.
pub fn all_reported<'a>(processes: impl Iterator<Item = LastHeard<'a>>, since: Micros, now: Micros) -> bool {
    let mut latest: BTreeMap<&str, LastHeard> = BTreeMap::new();
    for heard in processes {
        let known = latest.entry(heard.name).or_insert(heard);
        if heard.at > known.at {
            *known = heard;
        }
    }
    let awaited = |heard: &&LastHeard| !heard.draining && now.saturating_sub(heard.at) < FORGET_AFTER;
    latest.values().filter(awaited).all(|heard| heard.at >= since)
}

/// Whether the counts of a window may be finalized `age_s` seconds after its end, if its report is due `delay_s`
/// seconds after it; `complete` says whether every process has reported its counts.
#[must_use]
pub fn may_finalize(age_s: f64, delay_s: f64, complete: bool) -> bool {
    let wait_s = if complete { SETTLE_S } else { delay_s * WAIT_FRACTION };
    age_s >= wait_s
}

impl ControlState {
    /// Finalizes the counts of a window, unless an earlier report did; returns the final counts.
    pub fn finalize_usage(&mut self, report: UsageWindow) -> UsageWindow {
        let known = self.usage.iter().position(|finalized| finalized.window == report.window);
        if let Some(known) = known {
            if !breaks::is_enabled(Break::UsageFinalizedTwice) {
                return self.usage[known].clone();
            }
            self.usage.remove(known);
        }
        self.usage.push(report.clone());
        self.usage.sort_by_key(|finalized| finalized.window);
        let excess = self.usage.len().saturating_sub(USAGE_LIMIT);
        self.usage.drain(..excess);
        report
    }
}
