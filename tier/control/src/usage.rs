//! Usage reports: a window's counts are fixed here before they are sent.

use crate::state::ControlState;
use quillmount_wire::messages::UsageWindow;
use std::collections::BTreeMap;

/// Microseconds of a steady clock.
type Micros = u64;

/// A window's counts are taken for complete once all processes were heard so long after its end, seconds: polls come more
/// often, and clocks differ by less.
pub const SETTLE_S: f64 = 1.0;
/// Part of the time until a report is due that may pass while counts are missing. The rest is for a successor.
const WAIT_FRACTION: f64 = 0.7;
/// Who was not heard for so long is not waited for.
const FORGET_AFTER: Micros = 12_000_000;

/// When a process was last heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastHeard<'a> {
    /// The machine's name, which is the same in all lives.
    pub name: &'a str,
    pub at: Micros,
    /// It is stopping, and told all that it counted.
    pub draining: bool,
}

/// Whether every process that counts has been heard since a moment.
pub fn all_reported<'a>(processes: impl Iterator<Item = LastHeard<'a>>, since: Micros, now: Micros) -> bool {
    let mut latest: BTreeMap<&str, LastHeard> = BTreeMap::new();
    for heard in processes {
        let known = latest.entry(heard.name).or_insert(heard);
        if heard.at > known.at {
            *known = heard;
        }
    }
    let waited_for = |heard: &&LastHeard| !heard.draining && now.saturating_sub(heard.at) < FORGET_AFTER;
    latest.values().filter(waited_for).all(|heard| heard.at >= since)
}

/// Whether the counts of a window may be fixed, `age_s` after its end, where its report is due `delay_s` after it.
pub fn may_finalize(age_s: f64, delay_s: f64, complete: bool) -> bool {
    age_s >= if complete { SETTLE_S } else { delay_s * WAIT_FRACTION }
}

/// Reports kept; the oldest go first. They are due some seconds after their window.
pub const USAGE_LIMIT: usize = 64;

impl ControlState {
    /// Fixes the counts of a window, unless they are fixed already; returns what counts.
    pub fn finalize_usage(&mut self, report: UsageWindow) -> UsageWindow {
        if let Some(finalized) = self.usage.iter().find(|finalized| finalized.window == report.window) {
            return finalized.clone();
        }
        self.usage.push(report.clone());
        self.usage.sort_by_key(|finalized| finalized.window);
        let excess = self.usage.len().saturating_sub(USAGE_LIMIT);
        self.usage.drain(..excess);
        report
    }
}
