//! Order by key: only the first of the messages with the same key may be sent.

use super::message::PendingMessage;
use super::state::Dispatcher;
use crate::events::Outcome;
use crate::ids::{Micros, MsgId};

impl Dispatcher {
    /// Appends a message to the queue of its key.
    pub(super) fn push_to_key_queue(&mut self, key: Option<u64>, id: MsgId) {
        if let Some(key) = key {
            self.key_queues.entry(key).or_default().messages.push_back(id);
        }
    }

    /// Whether the order of its key allows the message to be sent now. The cooldown applies to messages without an
    /// attempt and lowers `wake_at` to its end.
    pub(super) fn is_next_of_key(&self, id: MsgId, message: &PendingMessage, wake_at: &mut Micros) -> bool {
        let Some(queue) = message.key.and_then(|key| self.key_queues.get(&key)) else {
            return true;
        };
        let is_cooling_down = message.attempts.is_empty() && queue.cooldown_until > self.now;
        if is_cooling_down {
            *wake_at = (*wake_at).min(queue.cooldown_until);
        }
        queue.messages.front() == Some(&id) && !is_cooling_down
    }

    /// Starts the key's cooldown if a call ended without an answer, since the receiver may still run it.
    pub(super) fn cool_down_key(&mut self, key: Option<u64>, outcome: Outcome) {
        let (Some(key), Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) = (key, outcome) else {
            return;
        };
        let queue = self.key_queues.entry(key).or_default();
        queue.cooldown_until = queue.cooldown_until.max(self.now + self.settings.key_cooldown);
    }

    /// Removes a message from the queue of its key, so that the next one may be sent.
    pub(super) fn remove_from_key_queue(&mut self, key: Option<u64>, id: MsgId) {
        let Some(queue) = key.and_then(|key| self.key_queues.get_mut(&key)) else {
            return;
        };
        queue.messages.retain(|queued| *queued != id);
        let next = queue.messages.front().and_then(|next| self.messages.get(next));
        self.ready_destinations.extend(next.map(|message| message.dest));
        let now = self.now;
        self.key_queues.retain(|_, queue| !queue.messages.is_empty() || queue.cooldown_until > now);
    }
}
