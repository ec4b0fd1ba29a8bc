//! Load shedding: rejects messages before the table of open messages is full.

use super::message::PendingMessage;
use super::state::Dispatcher;
use super::time::SECOND;
use super::value::VALUE_HORIZON;
use crate::ids::{Micros, MsgId};

/// Fraction of the limit on open messages at which load shedding starts.
const SHED_THRESHOLD: f64 = 0.9;
/// Tenths of a message's lifetime after which it counts as late; new and late messages are shed first.
const EARLY_TENTHS: Micros = 7;
/// Delay after which the client of a shed message is advised to submit it again, microseconds.
const SHED_RETRY_AFTER: Micros = 2 * SECOND;

impl Dispatcher {
    /// Rejects the messages with the lowest value until the number of open messages is within the limit or no message
    /// may be rejected.
    pub(super) fn shed(&mut self) {
        let limit = (f64::from(self.settings.max_open_messages) * SHED_THRESHOLD) as u32;
        while self.open_messages > limit.max(1) {
            let Some(id) = self.least_valuable() else { return };
            self.end_undelivered(id, SHED_RETRY_AFTER);
        }
    }

    /// Returns the waiting message to be shed first; among equals the one with the highest id.
    fn least_valuable(&self) -> Option<MsgId> {
        let valued_at = self.now + VALUE_HORIZON;
        let destinations = self.waiting_destinations.iter();
        let groups = destinations.flat_map(|dest| self.destinations[dest].waiting.groups());
        let candidates =
            groups.flat_map(|(group, ages)| ages.candidates(valued_at, || self.breakpoints(group, 0)));
        let messages = candidates.map(|id| (id, &self.messages[&id]));
        let ranked = messages
            .filter(|(_, message)| self.may_reject(message))
            .map(|(id, message)| (self.is_early(message), self.value_at(message, valued_at), id));
        let worst = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(b.2.cmp(&a.2)));
        worst.map(|(.., id)| id)
    }

    /// Whether a message was received before this step and has not reached [`EARLY_TENTHS`] of its lifetime.
    fn is_early(&self, message: &PendingMessage) -> bool {
        let lifetime = message.deadline.saturating_sub(message.received_at);
        let late_from = message.received_at + lifetime / 10 * EARLY_TENTHS;
        (message.received_at + 1..late_from).contains(&self.now)
    }
}
