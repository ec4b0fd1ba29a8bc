//! Usage reports: when the counts of a window are finalized, and the record of finalized counts.
//!
//! The primary of the core sends the report of a window; after a failover, the next primary may send it again. The
//! counts are committed to the control state before they are sent ([`ControlState::finalize_usage`]), so every retry
//! sends the same counts.

use crate::breaks::{self, Break};
use crate::state::ControlState;
use quillmount_wire::Micros;
use quillmount_wire::messages::UsageWindow;
use std::collections::BTreeMap;

/// The counts of a window are complete once every process has polled at least this long after the window's end, seconds.
/// Processes poll at shorter intervals than this, and their clocks differ by less.
pub const SETTLE_S: f64 = 1.0;
/// Fraction of the time until a report is due for which the primary waits for missing counts. The rest is reserved
/// for a new primary, should this one fail.
const MISSING_COUNTS_WAIT_FRACTION: f64 = 0.7;
/// Time without a poll after which a process is no longer waited for, microseconds.
const SILENT_PROCESS_TIMEOUT: Micros = 12_000_000;
/// Upper bound on retained reports; the oldest are dropped. A report is due only seconds after its window, so old
/// ones are not needed.
const FINALIZED_REPORT_LIMIT: usize = 64;
/// Upper bound on the estimated size of the retained reports, bytes. The newest one is retained even if it is larger.
const FINALIZED_REPORT_BYTES: usize = 2 << 20;
/// Estimated size of a tenant's count in a report in addition to the tenant's name, bytes.
const COUNT_BYTES: usize = 24;

/// The last poll of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastPoll<'a> {
    /// Name of the machine, which all incarnations of the process share.
    pub machine_name: &'a str,
    /// Time of its last poll, microseconds of the steady clock.
    pub polled_at: Micros,
    /// The process is stopping and has reported all of its counts.
    pub draining: bool,
}

/// Whether every process that counts requests has polled at or after `since`. Draining processes, and those without a
/// poll for 12 seconds, are not waited for.
///
/// Of several incarnations on one machine, only the one that polled last is considered.
pub fn all_reported<'a>(processes: impl Iterator<Item = LastPoll<'a>>, since: Micros, now: Micros) -> bool {
    let mut latest: BTreeMap<&str, LastPoll> = BTreeMap::new();
    for poll in processes {
        let latest_poll = latest.entry(poll.machine_name).or_insert(poll);
        if poll.polled_at > latest_poll.polled_at {
            *latest_poll = poll;
        }
    }
    let awaited =
        |poll: &&LastPoll| !poll.draining && now.saturating_sub(poll.polled_at) < SILENT_PROCESS_TIMEOUT;
    latest.values().filter(awaited).all(|poll| poll.polled_at >= since)
}

/// Whether the counts of a window may be finalized `age_s` seconds after its end. Its report is due `delay_s` seconds
/// after its end; `complete` states whether every process has reported its counts.
#[must_use]
pub fn may_finalize(age_s: f64, delay_s: f64, complete: bool) -> bool {
    let wait_s = if complete { SETTLE_S } else { delay_s * MISSING_COUNTS_WAIT_FRACTION };
    age_s >= wait_s
}

impl ControlState {
    /// Finalizes the counts of a window unless they are finalized already; returns the final counts.
    pub fn finalize_usage(&mut self, report: UsageWindow) -> UsageWindow {
        let finalized = self.usage.iter().position(|finalized| finalized.window == report.window);
        if let Some(index) = finalized {
            if !breaks::is_enabled(Break::UsageFinalizedTwice) {
                return self.usage[index].clone();
            }
            self.usage.remove(index);
        }
        self.usage.push(report.clone());
        self.usage.sort_by_key(|finalized| finalized.window);
        let excess = self.usage.len() - retained_reports(&self.usage);
        self.usage.drain(..excess);
        report
    }
}

/// Number of the newest reports that are retained.
fn retained_reports(reports: &[UsageWindow]) -> usize {
    let mut bytes = 0;
    let mut newest_first = reports.iter().rev().take(FINALIZED_REPORT_LIMIT);
    let excess = newest_first.position(|report| {
        bytes += estimated_bytes(report);
        bytes > FINALIZED_REPORT_BYTES
    });
    excess.unwrap_or(FINALIZED_REPORT_LIMIT).clamp(1, reports.len())
}

fn estimated_bytes(report: &UsageWindow) -> usize {
    report.counts.iter().map(|(tenant, _)| tenant.len() + COUNT_BYTES).sum()
}
