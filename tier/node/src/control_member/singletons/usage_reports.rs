//! Reports the usage of each window to the platform; each window counts exactly once.
//!
//! The counts of a window are committed in the control state before they are sent. Every primary, including a later one, therefore
//! sends the same numbers for a window, and the platform ignores a repeated report.

use super::platform::{STATUS_FENCED, call_as_singleton, may_act};
use crate::clock;
use crate::control_member::ControlMember;
use miniserde::{Serialize, json};
use quillmount_control::{FencedCalls, FencedSubject, SETTLE_S, may_finalize};
use quillmount_wire::Micros;
use quillmount_wire::messages::UsageWindow;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Interval between two checks for windows that are due to be reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Name of this singleton role in the settings.
const ROLE: &str = "metering";

/// JSON body of a usage report.
#[derive(Serialize)]
struct UsageBody {
    #[serde(rename = "WinNo")]
    window: u64,
    #[serde(rename = "Tallies")]
    counts: BTreeMap<String, u64>,
}

/// Reports each window that has ended while this member is primary, until the process ends.
pub async fn report_usage(core: Rc<ControlMember>) {
    let mut sent_windows: BTreeSet<u64> = BTreeSet::new();
    let mut sent_epoch = 0;
    let mut fenced_calls = FencedCalls::default();
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let Some(epoch) = core.serving() else { continue };
        if sent_epoch != epoch {
            sent_windows.clear();
            sent_epoch = epoch;
        }
        fenced_calls.use_token(epoch);
        if !may_act(&core, epoch, ROLE) {
            continue;
        }
        for window in due_windows(&core) {
            if sent_windows.contains(&window) || !fenced_calls.may_call(&FencedSubject::Usage) {
                continue;
            }
            match report_window(&core, epoch, window).await {
                ReportOutcome::Sent => _ = sent_windows.insert(window),
                ReportOutcome::Fenced => fenced_calls.record_refusal(FencedSubject::Usage),
                ReportOutcome::Pending => {}
            }
        }
    }
}

/// Returns the windows that have ended and may still be reported.
fn due_windows(core: &ControlMember) -> Vec<u64> {
    let slo = &core.node.settings.slo;
    let now = clock::wall_seconds();
    let last = ((now - SETTLE_S) / slo.report_s) as u64;
    let first = ((now - slo.usage_delay_s - slo.report_s) / slo.report_s).max(0.0) as u64;
    (first..last).collect()
}

/// Outcome of a report.
enum ReportOutcome {
    /// The platform has accepted the report.
    Sent,
    /// A later primary has sent a report, so the platform rejects reports of this one.
    Fenced,
    /// The report has to be retried.
    Pending,
}

/// Commits the counts of a window, then sends them to the platform.
async fn report_window(core: &Rc<ControlMember>, epoch: u64, window: u64) -> ReportOutcome {
    let counts = core.leases.borrow().usage(window);
    let is_finalized =
        core.committed().is_some_and(|state| state.usage.iter().any(|finalized| finalized.window == window));
    if !is_finalized && (counts.counts.is_empty() || !is_settled(core, window)) {
        return ReportOutcome::Pending;
    }
    let Ok(report) = core.change(|state| state.finalize_usage(counts)).await else {
        return ReportOutcome::Pending;
    };
    send_usage(core, epoch, &report).await
}

/// Returns whether the counts of a window are complete, or the report is so late that it must not be delayed any longer.
fn is_settled(core: &ControlMember, window: u64) -> bool {
    let slo = &core.node.settings.slo;
    let age_s = clock::wall_seconds() - (window + 1) as f64 * slo.report_s;
    let settled_for = clock::micros_from_ms((age_s - SETTLE_S).max(0.0) * 1000.0);
    let since = clock::now().saturating_sub(settled_for);
    let is_complete =
        core.leases.borrow().all_heard_since(since, clock::now()) && members_heard_since(core, since);
    may_finalize(age_s, slo.usage_delay_s, is_complete)
}

/// Returns whether every core member has polled since a point in time. Core members count requests too, and a new primary knows them
/// from the placement before their first poll.
fn members_heard_since(core: &ControlMember, since: Micros) -> bool {
    let Some(state) = core.committed() else { return false };
    let leases = core.leases.borrow();
    state.placement.core.iter().all(|member| leases.heard_since(member.disk, since))
}

async fn send_usage(core: &ControlMember, epoch: u64, report: &UsageWindow) -> ReportOutcome {
    let body = UsageBody { window: report.window, counts: report.counts.iter().cloned().collect() };
    let status = call_as_singleton(core, epoch, "/usage", json::to_string(&body)).await;
    let total: u64 = report.counts.iter().map(|(_, count)| count).sum();
    tracing::info!(window = report.window, total, ?status, "usage reported");
    match status {
        Some(200) => ReportOutcome::Sent,
        Some(STATUS_FENCED) => ReportOutcome::Fenced,
        _ => ReportOutcome::Pending,
    }
}
