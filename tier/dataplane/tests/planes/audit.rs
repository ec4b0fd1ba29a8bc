//! Properties that every history must satisfy.
//!
//! - An acknowledged configuration is never lost. A read returns at least the newest version that was acknowledged before the read
//!   began. Of two changes with the same base version at most one is acknowledged.
//! - No machine, with or without contact to the core, denies a route of the newest configuration that was acknowledged at least `ApplyMs`
//!   ago. In a time without faults, no machine serves a route that this configuration has removed.
//! - No process returns to an older configuration, and none sends requests to an endpoint that has been listed as draining for longer
//!   than `DrainMs` (both in `clients`).
//! - A batch item is given up only by a configuration that is at least as new as the one under which its job was accepted.
//! - The views of a shard have increasing epochs and enough copies, and their members were in sync or joining in the previous view.
//! - A fencing token has one holder, and a usage window has one report. A rejected token is not used later than `LeaseMs` after the
//!   rejection. No holder acts between two actions of another holder within `LeaseMs`.

use crate::clients::{DecidedRequest, Decision};
use crate::machine::{MachineId, TOLERATED_FAILURES};
use crate::operators::{OperatorAnswer, Task};
use crate::platform::PlatformCall;
use quillmount_control::ControlState;
use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{SECOND, Time};
use quillmount_wire::messages::{DiskId, Epoch, ShardView, UsageWindow};
use std::collections::BTreeMap;

/// Deadline for an acknowledged configuration to be in force (`ApplyMs`).
const APPLY_LIMIT: Time = 2 * SECOND;
/// Lease time of singleton roles (`LeaseMs`).
const LEASE_TIME: Time = 3 * SECOND;
/// Time after the last fault from which the deployment counts as free of faults (`ContactMs`).
pub const CONTACT_TIME: Time = 3 * SECOND;

/// A configuration that an operator has submitted.
struct SentConfiguration {
    version: u64,
    base: u64,
    /// Versions whose added routes it contains.
    added: Vec<u64>,
}

/// A configuration change that was acknowledged to its operator.
#[derive(Clone, Copy)]
struct Acknowledged {
    version: u64,
    recorded_at: Time,
}

/// A fenced call that the platform accepted.
struct AcceptedCall {
    holder: MachineId,
    recorded_at: Time,
}

/// Counts of the activity in a run, for the check that the run was not idle.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub served: u64,
    pub acknowledged: u64,
    pub reported_windows: u64,
    pub direct_lists: u64,
    pub views: u64,
    pub given_up_items: u64,
}

/// The recorded history of a run.
#[derive(Default)]
pub struct Audit {
    sent: Vec<SentConfiguration>,
    acknowledged: Vec<Acknowledged>,
    /// Acknowledged version by base version.
    bases: BTreeMap<u64, u64>,
    /// Configuration texts by committed version.
    committed: BTreeMap<u64, String>,
    /// Newest acknowledged version at the start of each call.
    min_versions: BTreeMap<u64, u64>,
    holders: BTreeMap<Epoch, MachineId>,
    reports: BTreeMap<u64, UsageWindow>,
    accepted_calls: Vec<AcceptedCall>,
    /// Time of the first rejection, by holder and fencing token.
    refused: BTreeMap<(MachineId, Epoch), Time>,
    frozen_until: BTreeMap<MachineId, Time>,
    /// Number of requests sent to endpoints, by usage window of the courier's clock.
    sent_requests: BTreeMap<u64, u64>,
    /// Newest view of each shard.
    views: BTreeMap<usize, ShardView>,
    /// All committed views by shard and epoch.
    views_by_epoch: BTreeMap<(usize, u64), ShardView>,
    /// Highest epoch of a primary that has committed a state.
    newest_primary: Epoch,
    totals: Totals,
}

impl Audit {
    /// Counts of the activity in this run.
    pub fn totals(&self) -> Totals {
        Totals {
            acknowledged: self.acknowledged.len() as u64,
            reported_windows: self.reports.len() as u64,
            ..self.totals
        }
    }

    /// Records that a machine is frozen, or down after a kill, until a time.
    pub fn record_frozen(&mut self, id: MachineId, until: Time) {
        let entry = self.frozen_until.entry(id).or_default();
        *entry = until.max(*entry);
    }

    /// Latest time until which a machine was frozen or down; 0 if it never was.
    pub fn frozen_until(&self, id: MachineId) -> Time {
        self.frozen_until.get(&id).copied().unwrap_or(0)
    }

    /// Records that a process has read the endpoint list directly.
    pub fn record_direct_list(&mut self) {
        self.totals.direct_lists += 1;
    }

    /// Versions whose added routes the committed configuration `base` contains; a configuration derived from it contains them as well.
    pub fn added_by(&self, base: u64) -> Vec<u64> {
        let text = self.committed.get(&base);
        let submitted = self.sent.iter().filter(|sent| sent.version == base);
        // Several operators may have submitted different configurations of one version; only the committed one counts.
        let added = submitted
            .map(|sent| &sent.added)
            .find(|added| text.is_some_and(|text| *text == crate::operators::configuration(base, added)));
        added.cloned().unwrap_or_default()
    }

    /// Records a configuration that an operator submits.
    pub fn record_submitted(&mut self, version: u64, base: u64, added: Vec<u64>) {
        self.sent.push(SentConfiguration { version, base, added });
    }

    /// Draws one of the newest submitted versions or the next one.
    pub fn draw_version(&self, random: &mut Random) -> u64 {
        let newest = self.sent.last().map_or(1, |sent| sent.version);
        newest.saturating_sub(random.below(4)) + 1
    }

    /// Checks a state that a primary has committed in its epoch. A primary that was frozen may learn of its commit after its successor has
    /// committed.
    pub fn check_committed(&mut self, epoch: Epoch, state: &ControlState) {
        if state.version > 0 {
            let text = self.committed.entry(state.version).or_insert_with(|| state.configuration.clone());
            assert_eq!(
                *text, state.configuration,
                "CONFIG: two texts were committed as version {}",
                state.version
            );
        }
        let is_late = epoch < self.newest_primary;
        self.newest_primary = self.newest_primary.max(epoch);
        for (shard, view) in state.placement.shards.iter().enumerate() {
            let committed_view =
                self.views_by_epoch.entry((shard, view.epoch)).or_insert_with(|| view.clone());
            assert_eq!(
                committed_view, view,
                "SHARD {shard}: two views were committed in epoch {}",
                view.epoch
            );
            if is_late {
                self.check_late_view(shard, view);
            } else {
                self.check_view(shard, view);
            }
        }
    }

    /// Checks the view of an earlier primary: a successor continues from the committed state, so its view is at least as new.
    fn check_late_view(&self, shard: usize, view: &ShardView) {
        let newest = self.views.get(&shard).map(|newest| newest.epoch);
        assert!(
            newest >= Some(view.epoch),
            "SHARD {shard}: {view:?} was committed, but the successor continued from epoch {newest:?}"
        );
    }

    /// Checks that a new view of a shard has a higher epoch than the previous one, and only members that were in sync or joining there.
    fn check_view(&mut self, shard: usize, view: &ShardView) {
        assert!(
            view.in_sync.contains(&view.primary),
            "SHARD {shard}: the primary is not in sync in {view:?}"
        );
        assert!(view.in_sync.len() > TOLERATED_FAILURES, "SHARD {shard}: too few copies in {view:?}");
        let Some(before) = self.views.insert(shard, view.clone()) else { return };
        if before == *view {
            return;
        }
        assert!(
            view.epoch > before.epoch,
            "SHARD {shard}: the epoch of {view:?} does not exceed that of {before:?}"
        );
        let was_member = |disk: &DiskId| before.in_sync.contains(disk) || before.joining.contains(disk);
        assert!(
            view.in_sync.iter().all(was_member),
            "SHARD {shard}: {view:?} has an in-sync member that {before:?} does not have"
        );
        self.totals.views += 1;
    }

    /// Records the start of an operator's call at a machine.
    pub fn record_call_start(&mut self, call: u64, now: Time) {
        let min_version = self.newest_acknowledged(now).map_or(0, |acknowledged| acknowledged.version);
        self.min_versions.insert(call, min_version);
    }

    /// The newest version that was acknowledged up to a time.
    fn newest_acknowledged(&self, by: Time) -> Option<Acknowledged> {
        let by_then = self.acknowledged.iter().filter(|acknowledged| acknowledged.recorded_at <= by);
        by_then.max_by_key(|acknowledged| acknowledged.version).copied()
    }

    /// Checks the answer of a machine to an operator's call.
    pub fn check_answer(&mut self, call: u64, answer: &OperatorAnswer, task: &Task, now: Time) {
        let min_version = self.min_versions.get(&call).copied().unwrap_or(0);
        match answer {
            OperatorAnswer::Shows { version, text } => {
                assert!(
                    *version >= min_version,
                    "CONFIG: a read returned version {version} after version {min_version} was acknowledged"
                );
                if *version > 0 {
                    assert_eq!(
                        self.committed.get(version),
                        Some(text),
                        "CONFIG: a read returned a text of version {version} that was not committed"
                    );
                }
            }
            OperatorAnswer::Applied { version } => self.acknowledge(*version, task, now),
            OperatorAnswer::Mismatch => self.check_mismatch(task),
            OperatorAnswer::Unclear => {}
        }
    }

    /// Checks that a change that was applied is not rejected with a version mismatch.
    fn check_mismatch(&self, task: &Task) {
        let Task::Put(order) = task else { return };
        let is_applied = self.committed.values().any(|text| *text == order.body);
        assert!(
            !is_applied,
            "CONFIG: a change with base version {} was applied, but the operator got a version mismatch",
            order.base
        );
    }

    fn acknowledge(&mut self, version: u64, task: &Task, now: Time) {
        let Task::Put(order) = task else { return };
        let first = *self.bases.entry(order.base).or_insert(version);
        assert_eq!(first, version, "CONFIG: two changes with base version {} were acknowledged", order.base);
        let text = self.committed.get(&version);
        assert_eq!(
            text,
            Some(&order.body),
            "CONFIG: the acknowledged text of version {version} is not the committed one"
        );
        if !self.acknowledged.iter().any(|acknowledged| acknowledged.version == version) {
            self.acknowledged.push(Acknowledged { version, recorded_at: now });
        }
    }

    /// Records a request that was sent to an endpoint in this usage window.
    pub fn record_request(&mut self, window: u64) {
        *self.sent_requests.entry(window).or_default() += 1;
    }

    /// Checks that a report counts every request of its window. The report must wait for processes that were frozen in the meantime.
    pub fn check_counts(&self, report: &UsageWindow) {
        let counted: u64 = report.counts.iter().map(|(_, count)| count).sum();
        let sent = self.sent_requests.get(&report.window).copied().unwrap_or(0);
        assert_eq!(
            counted, sent,
            "USAGE: the report of window {} has a wrong number of requests",
            report.window
        );
    }

    /// Checks a courier's decision on a request. `calm_since` is the time since which there has been no fault; `None` while there is one.
    pub fn check_decision(&mut self, request: &DecidedRequest, calm_since: Option<Time>) {
        let Some(min_version) = self.newest_acknowledged(request.decided_at.saturating_sub(APPLY_LIMIT))
        else {
            return;
        };
        match &request.decision {
            Decision::Denied => self.check_denied(request, min_version.version),
            Decision::Sent { .. } => {
                self.totals.served += 1;
                let dropped = request.route.strip_prefix('d').and_then(|version| version.parse::<u64>().ok());
                let is_fault_free = calm_since.is_some_and(|since| request.decided_at > since + CONTACT_TIME);
                assert!(
                    !is_fault_free || dropped.is_none_or(|version| version >= min_version.version),
                    "CONFIG: machine {} serves route {} with version {}, although version {} was acknowledged",
                    request.courier,
                    request.route,
                    request.version,
                    min_version.version
                );
            }
            Decision::Refused => {}
        }
    }

    /// Checks that a denied route is not part of the configuration that was acknowledged at least `ApplyMs` ago.
    fn check_denied(&self, request: &DecidedRequest, min_version: u64) {
        let is_lasting = request.route.starts_with('r');
        let added = request.route.strip_prefix('n').and_then(|version| version.parse().ok());
        let is_added = added.is_some_and(|version: u64| self.added_by(min_version).contains(&version));
        assert!(
            !is_lasting && !is_added,
            "CONFIG: machine {} denies route {} with version {}, although version {min_version} was acknowledged",
            request.courier,
            request.route,
            request.version
        );
    }

    /// Checks that a store gives up an item by a configuration that is at least as new as the one under which its job was accepted.
    /// `version` is that of the store's configuration, which has no such route.
    pub fn check_given_up(&mut self, store: MachineId, route: &str, version: u64, accepted_under: u64) {
        assert!(
            version >= accepted_under,
            "MIXED: store {store} gives up an item of route {route} with version {version}, although its job was accepted under \
             version {accepted_under}"
        );
        self.totals.given_up_items += 1;
    }

    /// Checks a fenced call at the platform and records whether it was accepted.
    pub fn check_platform_call(&mut self, call: &PlatformCall, accepted: bool, now: Time) {
        let holder = *self.holders.entry(call.fence).or_insert(call.holder);
        assert_eq!(holder, call.holder, "ONE: two holders use fencing token {}", call.fence);
        let refused = self.refused.get(&(call.holder, call.fence));
        assert!(
            refused.is_none_or(|recorded_at| now <= recorded_at + LEASE_TIME),
            "DUTY: machine {} uses fencing token {} again after its rejection",
            call.holder,
            call.fence
        );
        if !accepted {
            self.refused.entry((call.holder, call.fence)).or_insert(now);
            return;
        }
        let first = self.reports.entry(call.report.window).or_insert_with(|| call.report.clone());
        assert_eq!(
            *first, call.report,
            "ONE: two different reports were sent for window {}",
            call.report.window
        );
        self.accepted_calls.push(AcceptedCall { holder: call.holder, recorded_at: now });
        self.check_holders_in_turn(call.holder, now);
    }

    /// Checks that no other holder has acted after an action of this one, within `LeaseMs`.
    fn check_holders_in_turn(&self, holder: MachineId, now: Time) {
        let recent = self.accepted_calls.iter().rev().take_while(|call| call.recorded_at + LEASE_TIME > now);
        let mut another_acted = false;
        for call in recent {
            assert!(
                !(another_acted && call.holder == holder),
                "ONE: machine {holder} acts again after another holder within the lease time"
            );
            another_acted |= call.holder != holder;
        }
    }

    /// Checks the end of a run without faults: the primary's configuration includes the newest acknowledged version, and every machine has
    /// it in force.
    pub fn check_end(&self, state: &ControlState, versions: &BTreeMap<MachineId, u64>) {
        if let Some(newest) = self.newest_acknowledged(Time::MAX) {
            assert!(
                state.version >= newest.version,
                "LOST: acknowledged version {} is missing from the final state",
                newest.version
            );
        }
        let text = self.committed.get(&state.version);
        assert!(
            state.version == 0 || text == Some(&state.configuration),
            "LOST: the text in force is not the committed text of its version"
        );
        for (machine, version) in versions {
            assert_eq!(*version, state.version, "CONFIG: machine {machine} does not have the newest version");
        }
        let bases: Vec<u64> = self.sent.iter().map(|sent| sent.base).collect();
        assert!(
            bases.iter().all(|base| *base <= state.version),
            "CONFIG: an operator used a base version above the committed one"
        );
    }
}
