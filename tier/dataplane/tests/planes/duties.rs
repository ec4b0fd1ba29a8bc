//! Reports of usage: the primary's duty, fenced by its epoch.

use crate::core_side::Waiting;
use crate::machine::MachineId;
use crate::platform::PlatformCall;
use crate::world::{Event, World};
use quillmount_control::{FencedCalls, FencedSubject, SETTLE_S, may_finalize};
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};
use quillmount_wire::messages::{Epoch, UsageWindow};
use std::collections::BTreeSet;

/// Length of a window.
pub const WINDOW: Time = 5 * SECOND;
/// Time after a window's end at which its report is due, seconds.
const REPORT_DELAY_S: f64 = 10.0;
/// Time that a new primary waits before it acts in a role of the one before.
const LEASE: Time = 3 * SECOND;
/// Counts of a process that is frozen until then after a window's end are waited for.
const LONGEST_WAIT: Time = 4 * SECOND;
/// Interval between two checks.
const CHECK_INTERVAL: Time = 250 * MILLI;

/// What a primary has done in its role.
#[derive(Default)]
pub struct Duties {
    epoch: Epoch,
    fenced: FencedCalls,
    sent: BTreeSet<u64>,
}

impl World {
    /// The time of day by a machine's clock.
    pub fn wall_clock(&self, id: MachineId) -> Time {
        self.machines[id].clock.shows(self.now())
    }

    /// Lets primaries report the windows that have ended.
    pub fn run_duties(&mut self) {
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
        let duties = &mut self.machines[id].state.duties;
        if duties.epoch != epoch {
            *duties = Duties { epoch, ..Duties::default() };
        }
        duties.fenced.use_token(epoch);
        if !duties.fenced.may_call(&FencedSubject::Usage)
            || (epoch > 1 && self.member(id).time_as_primary(now) < LEASE)
        {
            return;
        }
        let settle = (SETTLE_S * SECOND as f64) as Time;
        let clock = self.wall_clock(id);
        let last = clock.saturating_sub(settle) / WINDOW;
        for window in last.saturating_sub(3)..last {
            if !self.machines[id].state.duties.sent.contains(&window) {
                self.finalize(id, epoch, window);
            }
        }
    }

    fn finalize(&mut self, id: MachineId, epoch: Epoch, window: u64) {
        let now = self.now();
        let age = self.wall_clock(id).saturating_sub((window + 1) * WINDOW);
        let age_s = age as f64 / SECOND as f64;
        let since = now.saturating_sub(age.saturating_sub((SETTLE_S * SECOND as f64) as Time));
        let state = &self.machines[id].state;
        let complete = state.leases.all_heard_since(since, now) && self.members_heard_since(id, since);
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

    fn members_heard_since(&self, id: MachineId, since: Time) -> bool {
        let state = &self.machines[id].state;
        let Some(committed) = state.member.as_ref().and_then(|member| member.committed()) else {
            return false;
        };
        committed.placement.core.iter().all(|member| state.leases.heard_since(member.disk, since))
    }

    /// Sends the counts of a window that are final.
    pub fn send_usage(&mut self, id: MachineId, epoch: Epoch, report: UsageWindow) {
        let incarnation = self.machines[id].process.incarnation();
        let call = PlatformCall { subject: FencedSubject::Usage, holder: id, fence: epoch, report };
        self.send_outside(Event::PlatformCall { from: id, incarnation, call });
    }

    /// A call arrives at the platform, whose answer goes back.
    pub fn platform_call(&mut self, from: MachineId, incarnation: u64, call: PlatformCall) {
        let now = self.now();
        let accepted = self.platform.accept(&call);
        if accepted && self.counts_are_known(call.report.window) {
            self.audit.check_counts(&call.report);
        }
        self.audit.platform_call(&call, accepted, now);
        self.send_outside(Event::PlatformAnswer { to: from, incarnation, call, accepted });
    }

    /// Whether nothing but freezes came between the requests of a window and their counts, and those ended in time.
    fn counts_are_known(&self, window: u64) -> bool {
        let (begin, end) = (window * WINDOW, (window + 1) * WINDOW);
        let thawed = (0..self.machines.len()).all(|id| self.audit.frozen_until(id) < end + LONGEST_WAIT);
        let newest = self.machines.iter().map(|machine| machine.started_at).max().unwrap_or(0);
        self.last_loss.max(newest) + SECOND < begin && thawed
    }

    /// The platform's answer arrives at the holder.
    pub fn platform_answer(&mut self, id: MachineId, incarnation: u64, call: PlatformCall, accepted: bool) {
        if !self.is_same_process(id, incarnation) {
            return;
        }
        let duties = &mut self.machines[id].state.duties;
        if duties.epoch != call.fence {
            return;
        }
        if accepted {
            duties.sent.insert(call.report.window);
        } else {
            duties.fenced.record_refusal(call.subject);
        }
    }
}
