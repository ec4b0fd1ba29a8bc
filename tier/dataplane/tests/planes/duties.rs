//! Usage reports, which the primary sends with its epoch as fencing token.

use crate::core_side::Waiting;
use crate::machine::MachineId;
use crate::platform::PlatformCall;
use crate::world::{Event, World};
use quillmount_control::{FencedCalls, FencedSubject, SETTLE_S, may_finalize};
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};
use quillmount_wire::messages::{Epoch, UsageWindow};
use std::collections::BTreeSet;

/// Length of a usage window.
pub const WINDOW: Time = 5 * SECOND;
/// Time after the end of a window at which its report is due, seconds.
const REPORT_DELAY_S: f64 = 10.0;
/// Time that a new primary waits before it takes over a singleton role of its predecessor.
const LEASE_TIME: Time = 3 * SECOND;
/// Longest freeze after the end of a window for which the final counts still include the frozen process.
const MAX_FREEZE: Time = 4 * SECOND;
/// Interval between two checks for windows to report.
const CHECK_INTERVAL: Time = 250 * MILLI;

/// The usage reporting of a primary in its epoch.
#[derive(Default)]
pub struct UsageReporting {
    epoch: Epoch,
    fenced: FencedCalls,
    sent: BTreeSet<u64>,
}

impl World {
    /// The time of day according to a machine's clock.
    pub fn wall_clock(&self, id: MachineId) -> Time {
        self.machines[id].clock.shows(self.now())
    }

    /// Lets primaries report the usage windows that have ended.
    pub fn report_usage(&mut self) {
        if !self.is_due_every(CHECK_INTERVAL) {
            return;
        }
        for id in 0..self.machines.len() {
            let member = self.machines[id].state.member.as_ref();
            if let Some(epoch) = member.and_then(|member| member.serving()).filter(|_| self.is_running(id)) {
                self.report_windows(id, epoch);
            }
        }
    }

    fn report_windows(&mut self, id: MachineId, epoch: Epoch) {
        let now = self.now();
        let usage_reporting = &mut self.machines[id].state.usage_reporting;
        if usage_reporting.epoch != epoch {
            *usage_reporting = UsageReporting { epoch, ..UsageReporting::default() };
        }
        usage_reporting.fenced.use_token(epoch);
        if !usage_reporting.fenced.may_call(&FencedSubject::Usage)
            || (epoch > 1 && self.member(id).time_as_primary(now) < LEASE_TIME)
        {
            return;
        }
        let settle_time = (SETTLE_S * SECOND as f64) as Time;
        let clock = self.wall_clock(id);
        let first_open_window = clock.saturating_sub(settle_time) / WINDOW;
        for window in first_open_window.saturating_sub(3)..first_open_window {
            if !self.machines[id].state.usage_reporting.sent.contains(&window) {
                self.finalize(id, epoch, window);
            }
        }
    }

    fn finalize(&mut self, id: MachineId, epoch: Epoch, window: u64) {
        let now = self.now();
        let age = self.wall_clock(id).saturating_sub((window + 1) * WINDOW);
        let age_s = age as f64 / SECOND as f64;
        let heard_since_time = now.saturating_sub(age.saturating_sub((SETTLE_S * SECOND as f64) as Time));
        let state = &self.machines[id].state;
        let complete = state.leases.all_heard_since(heard_since_time, now)
            && self.members_heard_since(id, heard_since_time);
        let counted = self.machines[id].state.leases.usage(window);
        let Some(committed) = self.member(id).committed() else { return };
        let finalized = committed.usage.iter().any(|finalized| finalized.window == window);
        if !finalized && (counted.counts.is_empty() || !may_finalize(age_s, REPORT_DELAY_S, complete)) {
            return;
        }
        let Ok(change) = self.member(id).change(|state| state.finalize_usage(counted), now) else { return };
        let waiting = Waiting::Usage { epoch, report: change.outcome };
        self.machines[id].state.waiting.insert(change.ticket, waiting);
        self.perform(id, change.actions);
    }

    fn members_heard_since(&self, id: MachineId, heard_since_time: Time) -> bool {
        let state = &self.machines[id].state;
        let Some(committed) = state.member.as_ref().and_then(|member| member.committed()) else {
            return false;
        };
        committed.placement.core.iter().all(|member| state.leases.heard_since(member.disk, heard_since_time))
    }

    /// Sends the final counts of a window to the platform.
    pub fn send_usage(&mut self, id: MachineId, epoch: Epoch, report: UsageWindow) {
        let incarnation = self.machines[id].process.incarnation();
        let call = PlatformCall { subject: FencedSubject::Usage, holder: id, fence: epoch, report };
        self.send_outside(Event::PlatformCall { from: id, incarnation, call });
    }

    /// Handles a fenced call at the platform and sends the response.
    pub fn platform_call(&mut self, from: MachineId, incarnation: u64, call: PlatformCall) {
        let now = self.now();
        let accepted = self.platform.accept(&call);
        if accepted && self.counts_are_known(call.report.window) {
            self.audit.check_counts(&call.report);
        }
        self.audit.check_platform_call(&call, accepted, now);
        self.send_outside(Event::PlatformAnswer { to: from, incarnation, call, accepted });
    }

    /// Whether the counts of a window must be complete: no fault except freezes affected the window, and all freezes ended within
    /// [`MAX_FREEZE`] after it.
    fn counts_are_known(&self, window: u64) -> bool {
        let (begin, end) = (window * WINDOW, (window + 1) * WINDOW);
        let freezes_ended = (0..self.machines.len()).all(|id| self.audit.frozen_until(id) < end + MAX_FREEZE);
        let last_start = self.machines.iter().map(|machine| machine.started_at).max().unwrap_or(0);
        self.last_fault_without_freezes.max(last_start) + SECOND < begin && freezes_ended
    }

    /// Handles the platform's response at the holder of the fencing token.
    pub fn platform_answer(&mut self, id: MachineId, incarnation: u64, call: PlatformCall, accepted: bool) {
        if !self.is_same_process(id, incarnation) {
            return;
        }
        let usage_reporting = &mut self.machines[id].state.usage_reporting;
        if usage_reporting.epoch != call.fence {
            return;
        }
        if accepted {
            usage_reporting.sent.insert(call.report.window);
        } else {
            usage_reporting.fenced.record_refusal(call.subject);
        }
    }
}
