//! When a message ends without a result: its time is up, no attempt is allowed any more, or it has no turn in time.

use super::message::PendingMessage;
use super::retry::KEY_MEMORY_MARGIN;
use super::slow_start::TURN_GAP_DIVISOR;
use super::state::Dispatcher;
use super::time::NEVER;
use crate::actions::DispatchAction;
use crate::breaks::{self, Break};
use crate::ids::{DestId, Micros, MsgId};
use crate::settings::Effect;
use std::collections::BTreeSet;

/// A message ends this long before its deadline, microseconds: a fiftieth of its time, within these bounds. A notice that
/// is not confirmed is sent again after 0.3 s, which would otherwise be too late.
const EXPIRY_LEAD_MAX: Micros = 150_000;
const EXPIRY_LEAD_MIN: Micros = 10_000;
/// The fraction of a message's time by which it ends early.
const EXPIRY_LEAD_DIVISOR: Micros = 50;
/// How late the deliberate break `AnswerLate` ends a message, microseconds after its deadline.
const BREAK_LATENESS: Micros = 400_000;

impl Dispatcher {
    /// Ends the messages whose time is up or that may not be sent any more. Returns when to check next.
    pub(super) fn expire_due(&mut self) -> Micros {
        if self.next_expiry_check <= self.now {
            let mut expired: BTreeSet<_> = self.message_expiries.due_by(self.now).collect();
            let due_of_turns = self.expiries_awaiting_turn().filter(|(due, _)| *due <= self.now);
            expired.extend(due_of_turns.map(|(_, id)| id));
            for id in expired {
                self.end_unserved(id, NEVER);
            }
            self.guarded_routes.retain(|route| self.now < self.routes[*route].guard_until);
            let first_due = self.message_expiries.next_due().unwrap_or(NEVER);
            self.next_expiry_check =
                self.expiries_awaiting_turn().map(|(due, _)| due).fold(first_due, Micros::min);
        }
        self.next_expiry_check
    }

    /// Ends a message that was not delivered: rejects it if it may safely be submitted again, otherwise fails it. `after`:
    /// the advice when to submit it again.
    pub(super) fn end_unserved(&mut self, id: MsgId, after: Micros) {
        let after = if self.settings.retry_after { after.min(self.settings.max_retry_after) } else { 0 };
        self.actions.push(if self.may_reject(&self.messages[&id]) {
            DispatchAction::Reject { msg: id, after }
        } else {
            DispatchAction::Fail { msg: id }
        });
        self.finish(id);
    }

    /// When a message ends if nothing changes. `turn`: when it may be sent; 0 where it waits for no turn.
    pub(super) fn expiry(&self, message: &PendingMessage, turn: Micros) -> Micros {
        if message.is_in_flight() {
            return message.deadline;
        }
        let lifetime = message.deadline.saturating_sub(message.received_at);
        let lead = (lifetime / EXPIRY_LEAD_DIVISOR).clamp(EXPIRY_LEAD_MIN, EXPIRY_LEAD_MAX);
        let last = if breaks::is_enabled(Break::AnswerLate) {
            message.deadline + BREAK_LATENESS
        } else {
            message.deadline.saturating_sub(lead)
        };
        // A turn that is too late counts as none: other senders, which may have seen no failure, may still deliver the
        // message. A missed turn is computed again. A restored message without an attempt is not ended for this.
        let last = match turn {
            turn if turn == 0 || message.restored && message.attempts.is_empty() => last,
            turn if turn < last => last.min(turn + self.settings.overload_span / TURN_GAP_DIVISOR),
            _ => self.now,
        };
        match (self.settings.classes[message.class].effect, message.first_possible_run()) {
            _ if !self.may_send(message) => self.now,
            (Effect::Deduplicated { span, .. }, Some(first)) if breaks::is_enabled(Break::RetryAtSpanEnd) => {
                last.min(first.sent + span + 2)
            }
            (Effect::Deduplicated { span, .. }, Some(first)) => {
                last.min((first.sent + span + 1).saturating_sub(KEY_MEMORY_MARGIN))
            }
            _ => last,
        }
    }

    /// When a waiting message, behind `before` others, may have its turn on the route with the earliest one; 0 where it
    /// need not wait for a turn. Only sparsely served routes count.
    pub(super) fn expected_turn(&self, message: &PendingMessage, before: u64) -> Micros {
        let Some(destination) = self.destinations.get(&message.dest) else {
            return 0;
        };
        let turn_on = |route: usize| {
            let turn = self.next_turn(route, self.routes[route].wait_until);
            let Some(turn) = turn.filter(|_| self.is_sparsely_served(route)) else {
                return 0;
            };
            // A turn may lift the guard, after which the slow start is the longest wait.
            let wait_for_others = self.turn_cycle(route).saturating_mul(before).min(self.settings.slow_start);
            turn.saturating_add(wait_for_others).min(self.routes[route].guard_until)
        };
        destination.routes.iter().map(|route| turn_on(*route)).min().unwrap_or(0)
    }

    /// When each of the messages ends that may have to wait for a turn.
    fn expiries_awaiting_turn(&self) -> impl Iterator<Item = (Micros, MsgId)> {
        let routes = self.guarded_routes.iter().filter(|route| self.next_turn(**route, 0).is_some());
        let destinations: BTreeSet<DestId> = routes.map(|route| self.routes[*route].dest).collect();
        let waiting = destinations
            .into_iter()
            .filter_map(|dest| self.destinations.get(&dest))
            .flat_map(|destination| destination.waiting.iter().zip(0..));
        waiting.map(|(id, before)| {
            let message = &self.messages[&id];
            (self.expiry(message, self.expected_turn(message, before)), id)
        })
    }
}
