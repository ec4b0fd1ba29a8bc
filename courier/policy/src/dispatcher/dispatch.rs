//! Fills the free slots with calls, and cancels an overdue call when no slot is free.

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

/// Bounds on the age at which a call may be cancelled to free its slot, microseconds. Without cancellation, calls
/// that hang could occupy all slots.
const RECLAIM_AGE_MIN: f64 = 0.3 * 1e6;
const RECLAIM_AGE_MAX: f64 = 4.0 * 1e6;

impl Dispatcher {
    /// Fills free slots, the message with the highest value rate first. Returns the time of the next dispatch.
    pub(super) fn dispatch(&mut self) -> Micros {
        let mut wake_at = NEVER;
        let mut candidates: BTreeMap<DestId, Candidate> = BTreeMap::new();
        self.ready_destinations.extend(self.blocked_destinations.due_by(self.now));
        let ready =
            if self.has_free_slot() { std::mem::take(&mut self.ready_destinations) } else { BTreeSet::new() };
        // Collected first, since `consider` modifies the state.
        let ready: Vec<DestId> =
            ready.into_iter().filter(|dest| self.waiting_destinations.contains(dest)).collect();
        for dest in ready {
            candidates.extend(self.consider(dest, &mut wake_at).map(|candidate| (dest, candidate)));
        }
        while self.has_free_slot() {
            let best = candidates.iter().reduce(|a, b| if b.1.value_rate > a.1.value_rate { b } else { a });
            let Some((&dest, &Candidate { message, target, .. })) = best else {
                break;
            };
            self.send(message, target.endpoint);
            candidates.remove(&dest);
            candidates.extend(self.consider(dest, &mut wake_at).map(|candidate| (dest, candidate)));
        }
        self.ready_destinations.extend(candidates.keys());
        if self.has_free_slot() {
            wake_at.min(self.blocked_destinations.next_due().unwrap_or(NEVER))
        } else {
            self.reclaim_slot()
        }
    }

    fn has_free_slot(&self) -> bool {
        let slots = self.settings.slots + u32::from(breaks::is_enabled(Break::SlotTooMany));
        (self.calls_in_flight.len() as u32) < slots
    }

    /// Returns the best message for a destination and records when it may have a message to send without an event.
    /// Under the slow-start guard that may happen at any time.
    fn consider(&mut self, dest: DestId, wake_at: &mut Micros) -> Option<Candidate> {
        let mut destination_wake_at = NEVER;
        let best = self.best_for_destination(dest, &mut destination_wake_at);
        *wake_at = destination_wake_at.min(*wake_at);
        if self.waiting_destinations.contains(&dest) {
            self.blocked_destinations.set(dest, destination_wake_at);
            let mut routes = self.destinations[&dest].routes.iter();
            if routes.any(|route| self.now < self.routes[*route].guard_until) {
                self.ready_destinations.insert(dest);
            }
        }
        best
    }

    /// Cancels the call that is longest overdue if another message could be sent in its slot. Returns the time of the
    /// next check.
    ///
    /// DEPARTURE: prevents destinations that do not answer from occupying all slots. It may cancel a call that is
    /// merely slow.
    fn reclaim_slot(&mut self) -> Micros {
        let calls = self.calls_in_flight.iter().filter_map(|(number, call)| {
            let attempt = self.messages[call.pending.first()?].attempts.last()?;
            Some((*number, call, attempt))
        });
        let most_overdue = calls
            .filter(|(.., attempt)| !attempt.cancelled && !attempt.streams_body)
            .map(|(number, call, attempt)| (self.reclaim_at(call, attempt), number))
            .min();
        let Some((reclaim_at, call)) = most_overdue.filter(|_| self.settings.cancel) else {
            return NEVER;
        };
        if reclaim_at > self.now {
            return reclaim_at;
        }
        let mut wake_at = NEVER;
        let waiting: Vec<DestId> = self.waiting_destinations.iter().copied().collect();
        if !waiting.into_iter().any(|dest| self.best_for_destination(dest, &mut wake_at).is_some()) {
            return wake_at;
        }
        for msg in self.calls_in_flight[&call].pending.clone() {
            let attempts = &mut self
                .messages
                .get_mut(&msg)
                .expect("messages of a call in flight are in the table")
                .attempts;
            let attempt = attempts.len() as u32 - 1;
            attempts[attempt as usize].cancelled = true;
            self.actions.push(DispatchAction::Cancel { msg, attempt });
        }
        NEVER
    }

    /// Time at which a call may be cancelled to free its slot: later if one of its messages is not idempotent.
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
