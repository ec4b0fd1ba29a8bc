//! The table of messages and the queues of waiting messages: submission, restore and the end of a message.

use super::message::{Attempt, PendingMessage, ValueGroup};
use super::state::{Dispatcher, TenantShare};
use crate::events::{Message, PastAttempt};
use crate::ids::{Micros, MsgId};

/// Burst that a tenant may submit without exceeding its share, in seconds of its rate.
const TENANT_BURST: f64 = 2.0;

impl Dispatcher {
    /// Accepts a message. If `past` is set, the message is restored from an earlier process with these attempts. A
    /// message whose number is in use or whose class is not in the settings is ignored.
    pub(super) fn on_submit(&mut self, message: &Message, past: Option<&[PastAttempt]>) {
        let is_known = self.messages.contains_key(&message.id);
        let Some(class) = self.settings.classes.get(message.class).filter(|_| !is_known) else {
            return;
        };
        let (value, class_deadline, keep_order) = (class.value, class.deadline, class.keep_order);
        let stretch = class.latency_target_stretch * message.work_hint.unwrap_or(0) as f64;
        let latency_target = (class.latency_target + stretch as Micros).min(class.deadline);
        let value = value * self.tenant_value_factor(message.tenant);
        let key = if keep_order { message.key } else { None };
        self.push_to_key_queue(key, message.id);
        let pending = PendingMessage {
            class: message.class,
            value,
            key,
            dest: message.dest,
            created_at: message.deadline.saturating_sub(class_deadline),
            received_at: self.now,
            latency_target,
            deadline: message.deadline,
            is_open: true,
            restored: past.is_some(),
            stream: message.stream,
            size: message.size,
            attempts: past.into_iter().flatten().map(Attempt::from_past).collect(),
            position: 0,
        };
        self.open_messages += 1;
        self.messages.insert(message.id, pending);
        self.enqueue(message.id);
    }

    /// Returns the value factor for a message of this tenant, which is reduced if the message exceeds this sender's
    /// part of the tenant's share. Takes a token of the share unless it is exceeded.
    fn tenant_value_factor(&mut self, tenant: Option<usize>) -> f64 {
        let Some(tenant) = tenant else { return 1.0 };
        let rate = self.settings.tenants.get(tenant).copied();
        let Some(rate) = rate.filter(|rate| *rate > 0.0) else { return 1.0 };
        let sender_rate = rate / f64::from(self.settings.sender_count.max(1));
        let share = &self.tenant_shares[tenant];
        let refilled = share.tokens + sender_rate * (self.now - share.counted_at) as f64 / 1e6;
        let tokens = refilled.min((sender_rate * TENANT_BURST).max(1.0));
        let is_above_share = tokens < 1.0;
        self.tenant_shares[tenant] =
            TenantShare { tokens: if is_above_share { tokens } else { tokens - 1.0 }, counted_at: self.now };
        if is_above_share { self.settings.above_share_value } else { 1.0 }
    }

    /// Appends a message to its destination's queue.
    pub(super) fn enqueue(&mut self, id: MsgId) {
        self.next_position += 1;
        self.messages.get_mut(&id).expect("the caller has added the message").position = self.next_position;
        let message = &self.messages[&id];
        self.message_expiries.set(id, self.expiry(message, 0));
        let group = self.value_group(message);
        let waiting = &mut self.destinations.entry(message.dest).or_default().waiting;
        let messages_ahead = waiting.len() as u64;
        waiting.insert(group, (message.created_at, message.position, id));
        self.waiting_destinations.insert(message.dest);
        self.ready_destinations.insert(message.dest);
        let expiry = self.expiry(message, self.expected_turn(message, messages_ahead));
        self.next_expiry_check = self.next_expiry_check.min(expiry);
    }

    /// Removes a message from its destination's queue.
    pub(super) fn dequeue(&mut self, id: MsgId) {
        let message = &self.messages[&id];
        let group = self.value_group(message);
        let Some(destination) = self.destinations.get_mut(&message.dest) else {
            return;
        };
        destination.waiting.remove(&group, (message.created_at, message.position, id));
        if destination.waiting.is_empty() {
            self.waiting_destinations.remove(&message.dest);
            self.blocked_destinations.remove(message.dest);
        }
    }

    fn value_group(&self, message: &PendingMessage) -> ValueGroup {
        ValueGroup {
            class: message.class,
            value_bits: message.value.to_bits(),
            latency_target: message.latency_target,
            lifetime: message.deadline - message.created_at,
            zone: self.bound_zone(message),
            stream: message.stream,
            ordered: message.key.is_some(),
        }
    }

    /// Ends a message that has its final result or needs none. The message remains in the table while an attempt is
    /// in flight.
    pub(super) fn finish(&mut self, id: MsgId) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        if message.is_open {
            message.is_open = false;
            self.open_messages -= 1;
            self.message_expiries.remove(id);
            self.dequeue(id);
        }
        let message = &self.messages[&id];
        if message.is_in_flight() {
            return;
        }
        let key = message.key;
        self.remove_from_key_queue(key, id);
        self.messages.remove(&id);
    }
}
