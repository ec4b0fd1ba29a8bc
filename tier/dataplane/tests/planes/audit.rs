//! The properties that every history has to keep.
//!
//! - What was acknowledged is never lost, and never shown in an older state: a read shows at least what was acknowledged before it
//!   began; of two changes on one version one is acknowledged at most.
//! - A route of the newest configuration that was acknowledged `ApplyMs` ago is denied nowhere, by machines in touch or not; in a calm
//!   time one that it dropped is served nowhere.
//! - No process goes back to an older configuration (`clients`), and none sends to an endpoint that drains for longer than `DrainMs`.
//! - A shard's views have rising epochs, enough copies, and members that were there before.
//! - A fence has one holder; a window of usage has one report; a fence that was refused is not used again later than `LeaseMs`; no holder
//!   acts between two actions of another within `LeaseMs`.

use crate::clients::{DecidedRequest, Decision};
use crate::machine::{MachineId, TOLERATED_FAILURES};
use crate::operators::{OperatorAnswer, Task};
use crate::platform::PlatformCall;
use quillmount_control::ControlState;
use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{SECOND, Time};
use quillmount_wire::messages::{DiskId, Epoch, ShardView, UsageWindow};
use std::collections::BTreeMap;

/// `ApplyMs`.
const APPLY: Time = 2 * SECOND;
/// `LeaseMs`.
const LEASE: Time = 3 * SECOND;
/// `ContactMs`: a time is calm this long after the last fault.
pub const CONTACT: Time = 3 * SECOND;

/// A configuration that an operator has sent.
struct SentConfiguration {
    version: u64,
    base: u64,
    /// Versions whose routes it has.
    added: Vec<u64>,
}

/// A configuration that was acknowledged.
#[derive(Clone, Copy)]
struct Acknowledged {
    version: u64,
    at: Time,
}

/// An accepted call in a singleton role.
struct AcceptedCall {
    holder: MachineId,
    at: Time,
}

/// What a run did, to tell that it was not idle.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub served: u64,
    pub acknowledged: u64,
    pub reported_windows: u64,
    pub own_lists: u64,
    pub views: u64,
}

/// What has happened so far.
#[derive(Default)]
pub struct Audit {
    sent: Vec<SentConfiguration>,
    acknowledged: Vec<Acknowledged>,
    /// Bases on which a change was acknowledged, with its version.
    bases: BTreeMap<u64, u64>,
    /// Texts of committed versions.
    committed: BTreeMap<u64, String>,
    /// Newest acknowledged version when each call began.
    floors: BTreeMap<u64, u64>,
    holders: BTreeMap<Epoch, MachineId>,
    reports: BTreeMap<u64, UsageWindow>,
    accepted_calls: Vec<AcceptedCall>,
    /// Refused fences by holder, and when.
    refused: BTreeMap<(MachineId, Epoch), Time>,
    frozen_until: BTreeMap<MachineId, Time>,
    /// Requests that were sent to an endpoint, by window of the courier's clock.
    sent_requests: BTreeMap<u64, u64>,
    /// The view of each shard.
    views: BTreeMap<usize, ShardView>,
    /// Every view that was committed, by shard and its epoch.
    views_by_epoch: BTreeMap<(usize, u64), ShardView>,
    /// The newest epoch of a primary that committed.
    newest_primary: Epoch,
    totals: Totals,
}

impl Audit {
    /// What the run did.
    pub fn totals(&self) -> Totals {
        Totals {
            acknowledged: self.acknowledged.len() as u64,
            reported_windows: self.reports.len() as u64,
            ..self.totals
        }
    }

    /// Notes that a machine is frozen, or was killed, until then.
    pub fn froze(&mut self, id: MachineId, until: Time) {
        let entry = self.frozen_until.entry(id).or_default();
        *entry = until.max(*entry);
    }

    /// Until when a machine was frozen last.
    pub fn frozen_until(&self, id: MachineId) -> Time {
        self.frozen_until.get(&id).copied().unwrap_or(0)
    }

    /// Notes a list that a process has read itself.
    pub fn own_list(&mut self) {
        self.totals.own_lists += 1;
    }

    /// Versions whose routes a configuration has that builds on this one.
    pub fn added_by(&self, base: u64) -> Vec<u64> {
        let text = self.committed.get(&base);
        let of_base = self.sent.iter().filter(|sent| sent.version == base);
        // Of several configurations of one version the one that was committed counts.
        let added = of_base
            .map(|sent| &sent.added)
            .find(|added| text.is_some_and(|text| *text == crate::operators::configuration(base, added)));
        added.cloned().unwrap_or_default()
    }

    /// Notes a configuration that an operator sends.
    pub fn sent(&mut self, version: u64, base: u64, added: Vec<u64>) {
        self.sent.push(SentConfiguration { version, base, added });
    }

    /// A version that was sent, or the next.
    pub fn draw_version(&self, random: &mut Random) -> u64 {
        let newest = self.sent.last().map_or(1, |sent| sent.version);
        newest.saturating_sub(random.below(4)) + 1
    }

    /// A primary has committed a state in its epoch. One that stood still may learn of a commit after its successor's.
    pub fn committed(&mut self, epoch: Epoch, state: &ControlState) {
        if state.version > 0 {
            let text = self.committed.entry(state.version).or_insert_with(|| state.configuration.clone());
            assert_eq!(*text, state.configuration, "CONFIG: version {} has two texts", state.version);
        }
        let is_late = epoch < self.newest_primary;
        self.newest_primary = self.newest_primary.max(epoch);
        for (shard, view) in state.placement.shards.iter().enumerate() {
            let known = self.views_by_epoch.entry((shard, view.epoch)).or_insert_with(|| view.clone());
            assert_eq!(known, view, "SHARD {shard}: two views of epoch {}", view.epoch);
            if is_late {
                self.check_late_view(shard, view);
            } else {
                self.check_view(shard, view);
            }
        }
    }

    /// A successor goes on from what was committed before it: no view of an earlier primary is newer than its.
    fn check_late_view(&self, shard: usize, view: &ShardView) {
        let newest = self.views.get(&shard).map(|newest| newest.epoch);
        assert!(
            newest >= Some(view.epoch),
            "SHARD {shard}: {view:?} was committed, and epoch {newest:?} follows"
        );
    }

    /// A shard's view is followed only by one of a higher epoch, whose members were in sync or joining before.
    fn check_view(&mut self, shard: usize, view: &ShardView) {
        assert!(view.in_sync.contains(&view.primary), "SHARD {shard}: {view:?}");
        assert!(view.in_sync.len() > TOLERATED_FAILURES, "SHARD {shard}: too few copies in {view:?}");
        let Some(before) = self.views.insert(shard, view.clone()) else { return };
        if before == *view {
            return;
        }
        assert!(view.epoch > before.epoch, "SHARD {shard}: {view:?} after {before:?}");
        let had = |disk: &DiskId| before.in_sync.contains(disk) || before.joining.contains(disk);
        assert!(view.in_sync.iter().all(had), "SHARD {shard}: {view:?} after {before:?}");
        self.totals.views += 1;
    }

    /// A call of an operator begins at a machine.
    pub fn call_began(&mut self, call: u64, now: Time) {
        let floor = self.newest_acknowledged(now).map_or(0, |acknowledged| acknowledged.version);
        self.floors.insert(call, floor);
    }

    /// The newest version that was acknowledged by this time.
    fn newest_acknowledged(&self, by: Time) -> Option<Acknowledged> {
        let by_then = self.acknowledged.iter().filter(|acknowledged| acknowledged.at <= by);
        by_then.max_by_key(|acknowledged| acknowledged.version).copied()
    }

    /// A machine answers a call.
    pub fn answered(&mut self, call: u64, answer: &OperatorAnswer, task: &Task, now: Time) {
        let floor = self.floors.get(&call).copied().unwrap_or(0);
        match answer {
            OperatorAnswer::Shows { version, text } => {
                assert!(*version >= floor, "CONFIG: {version} is shown, {floor} was acknowledged");
                if *version > 0 {
                    assert_eq!(self.committed.get(version), Some(text), "CONFIG: another text of {version}");
                }
            }
            OperatorAnswer::Applied { version } => self.acknowledge(*version, task, now),
            OperatorAnswer::Mismatch => self.check_mismatch(task),
            OperatorAnswer::Unclear => {}
        }
    }

    /// A change that is in force, or was, is never refused.
    fn check_mismatch(&self, task: &Task) {
        let Task::Put(order) = task else { return };
        let is_applied = self.committed.values().any(|text| *text == order.body);
        assert!(!is_applied, "CONFIG: a change on version {} was applied and is refused", order.base);
    }

    fn acknowledge(&mut self, version: u64, task: &Task, now: Time) {
        let Task::Put(order) = task else { return };
        let first = *self.bases.entry(order.base).or_insert(version);
        assert_eq!(first, version, "CONFIG: two changes on version {} are acknowledged", order.base);
        let text = self.committed.get(&version);
        assert_eq!(text, Some(&order.body), "CONFIG: version {version} is acknowledged and not in force");
        if !self.acknowledged.iter().any(|known| known.version == version) {
            self.acknowledged.push(Acknowledged { version, at: now });
        }
    }

    /// A request was sent to an endpoint in this window.
    pub fn request_sent(&mut self, window: u64) {
        *self.sent_requests.entry(window).or_default() += 1;
    }

    /// Whether a report counts every request of its window. Processes that were frozen meanwhile are waited for.
    pub fn check_counts(&self, report: &UsageWindow) {
        let counted: u64 = report.counts.iter().map(|(_, count)| count).sum();
        let sent = self.sent_requests.get(&report.window).copied().unwrap_or(0);
        assert_eq!(counted, sent, "USAGE: requests of window {}", report.window);
    }

    /// A courier has decided on a request; `calm` says since when there was no fault.
    pub fn decided(&mut self, request: &DecidedRequest, calm: Option<Time>) {
        let Some(floor) = self.newest_acknowledged(request.at.saturating_sub(APPLY)) else { return };
        match &request.decision {
            Decision::Denied => self.check_denied(request, floor.version),
            Decision::Sent { .. } => {
                self.totals.served += 1;
                let dropped = request.route.strip_prefix('d').and_then(|version| version.parse::<u64>().ok());
                let in_touch = calm.is_some_and(|since| request.at > since + CONTACT);
                assert!(
                    !in_touch || dropped.is_none_or(|version| version >= floor.version),
                    "CONFIG: machine {} serves {} by version {}, {} was acknowledged",
                    request.courier,
                    request.route,
                    request.version,
                    floor.version
                );
            }
            Decision::Refused => {}
        }
    }

    /// Whatever was acknowledged `ApplyMs` ago may not be denied.
    fn check_denied(&self, request: &DecidedRequest, floor: u64) {
        let is_lasting = request.route.starts_with('r');
        let added = request.route.strip_prefix('n').and_then(|version| version.parse().ok());
        let is_added = added.is_some_and(|version: u64| self.added_by(floor).contains(&version));
        assert!(
            !is_lasting && !is_added,
            "CONFIG: machine {} denies {} by version {}, {floor} was acknowledged",
            request.courier,
            request.route,
            request.version
        );
    }

    /// A call arrives at the platform.
    pub fn platform_call(&mut self, call: &PlatformCall, accepted: bool, now: Time) {
        let holder = *self.holders.entry(call.fence).or_insert(call.holder);
        assert_eq!(holder, call.holder, "ONE: two holders have fence {}", call.fence);
        let refused = self.refused.get(&(call.holder, call.fence));
        assert!(
            refused.is_none_or(|at| now <= at + LEASE),
            "DUTY: machine {} uses fence {} again that was refused",
            call.holder,
            call.fence
        );
        if !accepted {
            self.refused.entry((call.holder, call.fence)).or_insert(now);
            return;
        }
        let first = self.reports.entry(call.report.window).or_insert_with(|| call.report.clone());
        assert_eq!(*first, call.report, "ONE: two reports of window {}", call.report.window);
        self.accepted_calls.push(AcceptedCall { holder: call.holder, at: now });
        self.check_holders_in_turn(call.holder, now);
    }

    /// No other holder has acted since this one did, if that is less than `LeaseMs` ago.
    fn check_holders_in_turn(&self, holder: MachineId, now: Time) {
        let recent = self.accepted_calls.iter().rev().take_while(|call| call.at + LEASE > now);
        let mut others = false;
        for call in recent {
            assert!(!(others && call.holder == holder), "ONE: machine {holder} acts again after another");
            others |= call.holder != holder;
        }
    }

    /// At the end, in calm: what was acknowledged last is in force, whole, at every machine.
    pub fn check_end(&self, state: &ControlState, versions: &BTreeMap<MachineId, u64>) {
        if let Some(newest) = self.newest_acknowledged(Time::MAX) {
            assert!(state.version >= newest.version, "LOST: version {}", newest.version);
        }
        let text = self.committed.get(&state.version);
        assert!(state.version == 0 || text == Some(&state.configuration), "LOST: the text in force");
        for (machine, version) in versions {
            assert_eq!(*version, state.version, "CONFIG: machine {machine} has not the newest version");
        }
        let bases: Vec<u64> = self.sent.iter().map(|sent| sent.base).collect();
        assert!(bases.iter().all(|base| *base <= state.version), "no operator builds on what is not there");
    }
}
