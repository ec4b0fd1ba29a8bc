//! Load shedding: rejects messages before the table of open messages is full.

use super::message::PendingMessage;
use super::state::Dispatcher;
use super::time::SECOND;
use super::value::HORIZON;
use crate::ids::{Micros, MsgId};

/// Fraction of the limit of open messages at which shedding starts.
const SHED_THRESHOLD: f64 = 0.9;
/// Tenths of a message's time after which it counts as late; messages that are new or late are shed first.
const EARLY_TENTHS: Micros = 7;
/// Advice to the client of a message that is shed: submit it again after this, microseconds.
const SHED_RETRY_AFTER: Micros = 2 * SECOND;

impl Dispatcher {
    /// Rejects messages of the least value until the number of open ones is within its bound, or none may be rejected.
    pub(super) fn shed(&mut self) {
        let limit = (f64::from(self.settings.max_open_messages) * SHED_THRESHOLD) as u32;
        while self.open_messages > limit.max(1) {
            let Some(id) = self.least_valuable() else { return };
            self.end_unserved(id, SHED_RETRY_AFTER);
        }
    }

    /// The waiting message to be shed first; among equals the one with the highest id.
    fn least_valuable(&self) -> Option<MsgId> {
        let then = self.now + HORIZON;
        let destinations = self.waiting_destinations.iter();
        let groups = destinations.flat_map(|dest| self.destinations[dest].waiting.groups());
        let candidates =
            groups.flat_map(|(group, ages)| ages.candidates(then, || self.breakpoints(group, 0)));
        let messages = candidates.map(|id| (id, &self.messages[&id]));
        let ranked = messages
            .filter(|(_, message)| self.may_reject(message))
            .map(|(id, message)| (self.is_early(message), self.value_at(message, then), id));
        let worst = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(b.2.cmp(&a.2)));
        worst.map(|(.., id)| id)
    }

    /// Whether a message was received before this step and most of its time is left.
    fn is_early(&self, message: &PendingMessage) -> bool {
        let lifetime = message.deadline.saturating_sub(message.received_at);
        let late = message.received_at + lifetime / 10 * EARLY_TENTHS;
        (message.received_at + 1..late).contains(&self.now)
    }
}
