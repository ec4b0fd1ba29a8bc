//! Fills the free slots with calls, and cancels a call where slots are scarce.

use super::choice::Candidate;
use super::message::{Attempt, CallInFlight};
use super::send::NON_IDEMPOTENT_TIMEOUT_FACTOR;
use super::state::Dispatcher;
use super::time::NEVER;
use super::window::TIMEOUT_LATENCIES;
use crate::actions::DispatchAction;
use crate::breaks::{self, Break};
use crate::ids::{DestId, Micros};
use crate::settings::Effect;
use std::collections::{BTreeMap, BTreeSet};

/// Bounds on the age at which a call is cancelled for its slot when slots are scarce, microseconds: calls that hang would
/// otherwise occupy all slots.
const RECLAIM_AGE_MIN: f64 = 0.3 * 1e6;
const RECLAIM_AGE_MAX: f64 = 4.0 * 1e6;

impl Dispatcher {
    /// Fills free slots, the greatest gain for the slot's time first. Returns when to look for calls again.
    pub(super) fn dispatch(&mut self) -> Micros {
        let mut wake = NEVER;
        let mut candidates: BTreeMap<DestId, Candidate> = BTreeMap::new();
        self.ready_destinations.extend(self.blocked_destinations.due_by(self.now));
        let ready =
            if self.has_free_slot() { std::mem::take(&mut self.ready_destinations) } else { BTreeSet::new() };
        // Collected, since considering a destination changes the state.
        let ready: Vec<DestId> =
            ready.into_iter().filter(|dest| self.waiting_destinations.contains(dest)).collect();
        for dest in ready {
            candidates.extend(self.consider(dest, &mut wake).map(|candidate| (dest, candidate)));
        }
        while self.has_free_slot() {
            let best = candidates.iter().reduce(|a, b| if b.1.merit > a.1.merit { b } else { a });
            let Some((&dest, &Candidate { message, to, .. })) = best else {
                break;
            };
            self.send(message, to.endpoint);
            candidates.remove(&dest);
            candidates.extend(self.consider(dest, &mut wake).map(|candidate| (dest, candidate)));
        }
        self.ready_destinations.extend(candidates.keys());
        if self.has_free_slot() {
            wake.min(self.blocked_destinations.next_due().unwrap_or(NEVER))
        } else {
            self.reclaim_slot()
        }
    }

    fn has_free_slot(&self) -> bool {
        let slots = self.settings.slots + u32::from(breaks::is_enabled(Break::SlotTooMany));
        (self.calls_in_flight.len() as u32) < slots
    }

    /// The best message for a destination. If there is none, records when that may change without an event; under the guard
    /// it may change at any time.
    fn consider(&mut self, dest: DestId, wake: &mut Micros) -> Option<Candidate> {
        let mut own_wake = NEVER;
        let best = self.best_for_destination(dest, &mut own_wake);
        *wake = own_wake.min(*wake);
        if self.waiting_destinations.contains(&dest) {
            self.blocked_destinations.set(dest, own_wake);
            let mut routes = self.destinations[&dest].routes.iter();
            if routes.any(|route| self.now < self.routes[*route].guard_until) {
                self.ready_destinations.insert(dest);
            }
        }
        best
    }

    /// Cancels the call that is longest overdue, if other destinations could send. Returns when to check again.
    ///
    /// DEPARTURE: protects against silent destinations that occupy every slot; it may cancel a call that was only slow.
    fn reclaim_slot(&mut self) -> Micros {
        let calls = self.calls_in_flight.iter().filter_map(|(number, call)| {
            let attempt = self.messages[call.pending.first()?].attempts.last()?;
            Some((*number, call, attempt))
        });
        let worst = calls
            .filter(|(.., attempt)| !attempt.cancelled && !attempt.streams_body)
            .map(|(number, call, attempt)| (self.reclaim_at(call, attempt), number))
            .min();
        let Some((due, call)) = worst.filter(|_| self.settings.cancel) else {
            return NEVER;
        };
        if due > self.now {
            return due;
        }
        let mut wake = NEVER;
        let waiting: Vec<DestId> = self.waiting_destinations.iter().copied().collect();
        if !waiting.into_iter().any(|dest| self.best_for_destination(dest, &mut wake).is_some()) {
            return wake;
        }
        for msg in self.calls_in_flight[&call].pending.clone() {
            let attempts = &mut self.messages.get_mut(&msg).expect("its call is in flight").attempts;
            let attempt = attempts.len() as u32 - 1;
            attempts[attempt as usize].cancelled = true;
            self.actions.push(DispatchAction::Cancel { msg, attempt });
        }
        NEVER
    }

    /// When a call may be cancelled for its slot: later if one of its messages is not idempotent.
    fn reclaim_at(&self, call: &CallInFlight, attempt: &Attempt) -> Micros {
        let latency = self.routes[attempt.route].answered_latency;
        let age_limit = (TIMEOUT_LATENCIES * latency).clamp(RECLAIM_AGE_MIN, RECLAIM_AGE_MAX);
        let is_non_idempotent = call
            .pending
            .iter()
            .any(|id| self.settings.classes[self.messages[id].class].effect == Effect::NonIdempotent);
        let age_limit = if is_non_idempotent { age_limit * NON_IDEMPOTENT_TIMEOUT_FACTOR } else { age_limit };
        attempt.latency_from + age_limit as Micros
    }
}
