//! Singleton roles of the primary: views of shards, usage reports.

use super::register::ControlMember;
use crate::clock;
use crate::http;
use miniserde::{Serialize, json};
use quillmount_control::{SETTLE_S, ShardPlanInputs, may_finalize};
use quillmount_wire::messages::UsageWindow;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Pause between two looks at the shards' views.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// A new primary knows who is alive after this time, microseconds.
const LEASES_KNOWN: u64 = 1_200_000;
/// Pause between two looks at the windows.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// A call to the platform without an answer for so long has failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Keeps the shards' views in line with the stores that are alive.
pub async fn plan_shards(core: Rc<ControlMember>) {
    loop {
        tokio::time::sleep(PLAN_INTERVAL).await;
        if core.serving().is_none() || core.time_as_primary() < LEASES_KNOWN {
            continue;
        }
        remove_silent_members(&core).await;
        let inputs = {
            let leases = core.leases.borrow();
            ShardPlanInputs {
                live: leases.live_stores(),
                draining: leases.draining_stores(),
                reports: leases.reports(),
                tolerated_failures: core.node.settings.fault_tolerance.machines,
            }
        };
        let Some(mut trial) = core.committed().map(|state| (*state).clone()) else { continue };
        if trial.plan_shards(&inputs) {
            let changed = core.change(|state| state.plan_shards(&inputs)).await;
            tracing::info!(?changed, live = inputs.live.len(), "views of shards changed");
        }
    }
}

/// Takes core members out that are silent, once others have taken their places.
async fn remove_silent_members(core: &Rc<ControlMember>) {
    let silent = core.silent_members();
    let tolerated_failures = core.node.settings.fault_tolerance.machines;
    let Some(mut trial) = core.committed().map(|state| (*state).clone()) else { return };
    if !silent.is_empty() && trial.remove_silent_core_members(&silent, tolerated_failures) {
        let changed =
            core.change(|state| state.remove_silent_core_members(&silent, tolerated_failures)).await;
        tracing::info!(?changed, silent = silent.len(), "silent core members were taken out");
    }
}

#[derive(Serialize)]
struct UsageBody {
    #[serde(rename = "WinNo")]
    window: u64,
    #[serde(rename = "Tallies")]
    counts: BTreeMap<String, u64>,
}

/// Reports the usage of each window once.
pub async fn report_usage(core: Rc<ControlMember>) {
    let mut sent: BTreeSet<u64> = BTreeSet::new();
    let mut sent_in = 0;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let Some(epoch) = core.serving() else { continue };
        if sent_in != epoch {
            sent.clear();
            sent_in = epoch;
        }
        if !may_act(&core, epoch, "metering") {
            continue;
        }
        for window in due_windows(&core) {
            if !sent.contains(&window) && report_window(&core, epoch, window).await {
                sent.insert(window);
            }
        }
    }
}

/// Windows that have ended and are still to be reported.
fn due_windows(core: &ControlMember) -> Vec<u64> {
    let slo = &core.node.settings.slo;
    let now = clock::wall_seconds();
    let last = ((now - SETTLE_S) / slo.report_s) as u64;
    let first = ((now - slo.usage_delay_s - slo.report_s) / slo.report_s).max(0.0) as u64;
    (first..last).collect()
}

/// Fixes the counts of a window, then sends them; whether that is done.
async fn report_window(core: &Rc<ControlMember>, epoch: u64, window: u64) -> bool {
    let counted = core.leases.borrow().usage(window);
    let finalized =
        core.committed().is_some_and(|state| state.usage.iter().any(|finalized| finalized.window == window));
    if !finalized && (counted.counts.is_empty() || !is_settled(core, window)) {
        return false;
    }
    let Ok(report) = core.change(|state| state.finalize_usage(counted)).await else { return false };
    send_usage(core, epoch, &report).await
}

/// Whether the counts of a window are complete, or too late to be waited for.
fn is_settled(core: &ControlMember, window: u64) -> bool {
    let slo = &core.node.settings.slo;
    let age_s = clock::wall_seconds() - (window + 1) as f64 * slo.report_s;
    let settled = clock::millis((age_s - SETTLE_S).max(0.0) * 1000.0).as_micros() as u64;
    let since = clock::micros().saturating_sub(settled);
    let complete = core.leases.borrow().all_heard_since(since) && members_heard_since(core, since);
    may_finalize(age_s, slo.usage_delay_s, complete)
}

/// Members of the core count requests as well, and are known to a new primary before they poll.
fn members_heard_since(core: &ControlMember, since: u64) -> bool {
    let Some(state) = core.committed() else { return false };
    let leases = core.leases.borrow();
    state.placement.core.iter().all(|member| leases.heard_since(member.disk, since))
}

async fn send_usage(core: &ControlMember, epoch: u64, report: &UsageWindow) -> bool {
    let body = UsageBody { window: report.window, counts: report.counts.iter().cloned().collect() };
    let status = singleton_call(core, epoch, "/usage", json::to_string(&body)).await;
    let total: u64 = report.counts.iter().map(|(_, count)| count).sum();
    tracing::info!(window = report.window, total, ?status, "usage reported");
    matches!(status, Some(200 | 409))
}

/// Whether this holder may act on a role: the platform takes it, and a holder before this one no longer acts.
pub fn may_act(core: &ControlMember, epoch: u64, role: &str) -> bool {
    let settings = &core.node.settings;
    let awaiting_lease_expiry =
        epoch > 1 && core.time_as_primary() < clock::millis(settings.slo.lease_ms).as_micros() as u64;
    !awaiting_lease_expiry
        && settings
            .cloud_api
            .as_ref()
            .is_some_and(|cloud| cloud.singleton_roles.iter().any(|known| known == role))
}

/// Makes a call that is the task of a singleton role's one holder; its status.
pub async fn singleton_call(core: &ControlMember, epoch: u64, target: &str, body: String) -> Option<u16> {
    if core.serving() != Some(epoch) {
        return None;
    }
    let address = &core.node.settings.cloud_api.as_ref()?.address;
    let headers = [
        ("Holder", core.node.info.name.clone()),
        ("Fence", epoch.to_string()),
        ("Content-Type", "application/json".to_owned()),
    ];
    let answer = http::call(address, "POST", target, &headers, body.as_bytes(), CALL_TIMEOUT).await;
    answer.map(|(status, _)| status)
}
