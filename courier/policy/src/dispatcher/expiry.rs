//! Expiry of messages: the deadline is near, no further attempt is allowed, or the sender has no turn in time.

use super::message::PendingMessage;
use super::retry::DEDUPLICATION_MARGIN;
use super::slow_start::TURN_GAP_DIVISOR;
use super::state::Dispatcher;
use super::time::NEVER;
use crate::actions::DispatchAction;
use crate::breaks::{self, Break};
use crate::ids::{DestId, Micros, MsgId};
use crate::settings::Effect;
use std::collections::BTreeSet;

/// Bounds on the lead, microseconds: a message expires this long before its deadline, a fiftieth of its lifetime
/// within these bounds. An unconfirmed notice is sent again after 0.3 s, which would otherwise be too late.
const EXPIRY_LEAD_MAX: Micros = 150_000;
const EXPIRY_LEAD_MIN: Micros = 10_000;
/// The lead is the message's lifetime divided by this.
const EXPIRY_LEAD_DIVISOR: Micros = 50;
/// Time after the deadline at which a message expires under the deliberate fault `AnswerLate`, microseconds.
const BREAK_LATENESS: Micros = 400_000;

impl Dispatcher {
    /// Ends the messages that have expired or may no longer be sent. Returns the time of the next check.
    pub(super) fn expire_due(&mut self) -> Micros {
        if self.next_expiry_check <= self.now {
            let mut expired: BTreeSet<_> = self.message_expiries.due_by(self.now).collect();
            let due_by_turn = self.expiries_awaiting_turn().filter(|(due, _)| *due <= self.now);
            expired.extend(due_by_turn.map(|(_, id)| id));
            for id in expired {
                self.end_undelivered(id, NEVER);
            }
            self.guarded_routes.retain(|route| self.now < self.routes[*route].guard_until);
            let first_due = self.message_expiries.next_due().unwrap_or(NEVER);
            self.next_expiry_check =
                self.expiries_awaiting_turn().map(|(due, _)| due).fold(first_due, Micros::min);
        }
        self.next_expiry_check
    }

    /// Ends a message that was not delivered: rejects it if it may safely be submitted again, otherwise fails it. The
    /// client is advised to submit it again after `after` microseconds.
    pub(super) fn end_undelivered(&mut self, id: MsgId, after: Micros) {
        let after = if self.settings.retry_after { after.min(self.settings.max_retry_after) } else { 0 };
        self.actions.push(if self.may_reject(&self.messages[&id]) {
            DispatchAction::Reject { msg: id, after }
        } else {
            DispatchAction::Fail { msg: id }
        });
        self.finish(id);
    }

    /// Time at which a message expires if nothing changes. `turn` is the time of its expected turn; 0 if it need not
    /// wait for one.
    pub(super) fn expiry(&self, message: &PendingMessage, turn: Micros) -> Micros {
        if message.is_in_flight() {
            return message.deadline;
        }
        let lifetime = message.deadline.saturating_sub(message.received_at);
        let lead = (lifetime / EXPIRY_LEAD_DIVISOR).clamp(EXPIRY_LEAD_MIN, EXPIRY_LEAD_MAX);
        let latest = if breaks::is_enabled(Break::AnswerLate) {
            message.deadline + BREAK_LATENESS
        } else {
            message.deadline.saturating_sub(lead)
        };
        // A message whose turn is too late expires now: other senders, which may not have observed a failure, may still
        // deliver it. After a missed turn the expected turn is computed again. A restored message without an attempt
        // does not expire because of a late turn.
        let latest = match turn {
            turn if turn == 0 || message.restored && message.attempts.is_empty() => latest,
            turn if turn < latest => latest.min(turn + self.settings.overload_span / TURN_GAP_DIVISOR),
            _ => self.now,
        };
        match (self.settings.classes[message.class].effect, message.first_possible_run()) {
            _ if !self.may_send(message) => self.now,
            (Effect::Deduplicated { span, .. }, Some(first)) if breaks::is_enabled(Break::RetryAtSpanEnd) => {
                latest.min(first.sent + span + 2)
            }
            (Effect::Deduplicated { span, .. }, Some(first)) => {
                latest.min((first.sent + span + 1).saturating_sub(DEDUPLICATION_MARGIN))
            }
            _ => latest,
        }
    }

    /// Time at which a waiting message, with `messages_ahead` others before it, is expected to have its turn on the
    /// route with the earliest one; 0 if it need not wait for a turn. Only sparsely served routes have expected
    /// turns.
    pub(super) fn expected_turn(&self, message: &PendingMessage, messages_ahead: u64) -> Micros {
        let Some(destination) = self.destinations.get(&message.dest) else {
            return 0;
        };
        let turn_on = |route: usize| {
            let turn = self.next_turn(route, self.routes[route].wait_until);
            let Some(turn) = turn.filter(|_| self.is_sparsely_served(route)) else {
                return 0;
            };
            // A call at this turn may end the guard, after which the slow start is the longest wait.
            let wait_for_others =
                self.turn_cycle(route).saturating_mul(messages_ahead).min(self.settings.slow_start);
            turn.saturating_add(wait_for_others).min(self.routes[route].guard_until)
        };
        destination.routes.iter().map(|route| turn_on(*route)).min().unwrap_or(0)
    }

    /// Expiry times of the messages that may have to wait for a turn, with their ids.
    fn expiries_awaiting_turn(&self) -> impl Iterator<Item = (Micros, MsgId)> {
        let routes = self.guarded_routes.iter().filter(|route| self.next_turn(**route, 0).is_some());
        let destinations: BTreeSet<DestId> = routes.map(|route| self.routes[*route].dest).collect();
        let waiting = destinations
            .into_iter()
            .filter_map(|dest| self.destinations.get(&dest))
            .flat_map(|destination| destination.waiting.iter().zip(0..));
        waiting.map(|(id, messages_ahead)| {
            let message = &self.messages[&id];
            (self.expiry(message, self.expected_turn(message, messages_ahead)), id)
        })
    }
}
