//! The table of delivery calls that are in flight, each with one message or several.

use crate::CallId;
use quillmount_policy::{Micros, MsgId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// A message that is in flight. Encoded by position in a [`RouterState`](super::RouterState).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct OutstandingMessage {
    /// The call, named by its first message.
    pub(super) lead: CallId,
    /// When the call began.
    pub(super) sent: Micros,
    pub(super) endpoint: u32,
    pub(super) dest: u64,
    /// The attempt's index among the message's attempts in the journal, if its record was written.
    pub(super) journaled: Option<u32>,
    /// When a stream's last byte was sent.
    pub(super) written: Option<Micros>,
    /// Until when the message is waited for.
    pub(super) until: Micros,
}

/// A call that was removed from the table, with its messages in the order in which they were sent.
pub(super) struct EndedCall {
    pub(super) items: Vec<CallId>,
    pub(super) endpoint: u32,
    pub(super) dest: u64,
}

/// The calls that are in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct OutstandingCalls {
    pub(super) messages: BTreeMap<CallId, OutstandingMessage>,
    /// The calls of each endpoint.
    pub(super) by_endpoint: BTreeSet<(u32, CallId)>,
    /// The messages of each call with several, in the order in which they are sent.
    pub(super) bundles: BTreeMap<CallId, Vec<CallId>>,
    /// Until when each message of a call with several is waited for.
    pub(super) timeouts: BTreeSet<(Micros, CallId)>,
}

/// The ids of all attempts of a message.
fn attempts_of(msg: MsgId) -> RangeInclusive<CallId> {
    CallId { msg, attempt: 0 }..=CallId { msg, attempt: u32::MAX }
}

impl OutstandingCalls {
    /// Restores the table from its messages and the calls with several.
    pub(super) fn restore(
        messages: BTreeMap<CallId, OutstandingMessage>,
        bundles: BTreeMap<CallId, Vec<CallId>>,
    ) -> Self {
        let bundled = messages.iter().filter(|(_, message)| bundles.contains_key(&message.lead));
        let timeouts = bundled.map(|(item, message)| (message.until, *item)).collect();
        let by_endpoint = messages.values().map(|message| (message.endpoint, message.lead)).collect();
        OutstandingCalls { messages, by_endpoint, bundles, timeouts }
    }

    pub(super) fn get_mut(&mut self, item: CallId) -> Option<&mut OutstandingMessage> {
        self.messages.get_mut(&item)
    }

    /// The call that a message is in, named by its first message.
    pub(super) fn call_of(&self, item: CallId) -> Option<CallId> {
        self.messages.get(&item).map(|message| message.lead)
    }

    /// The calls that are in flight for a message.
    pub(super) fn calls_with(&self, msg: MsgId) -> impl Iterator<Item = CallId> {
        self.messages.range(attempts_of(msg)).map(|(_, message)| message.lead)
    }

    /// Whether a call is in flight for a message.
    pub(super) fn is_in_flight(&self, msg: MsgId) -> bool {
        self.calls_with(msg).next().is_some()
    }

    /// The calls that are in flight to an endpoint.
    pub(super) fn at_endpoint(&self, endpoint: u32) -> impl Iterator<Item = CallId> {
        let first = CallId { msg: 0, attempt: 0 };
        let last = CallId { msg: MsgId::MAX, attempt: u32::MAX };
        self.by_endpoint.range((endpoint, first)..=(endpoint, last)).map(|(_, call)| *call)
    }

    /// All calls, by endpoint.
    pub(super) fn calls(&self) -> impl Iterator<Item = CallId> {
        self.by_endpoint.iter().map(|(_, call)| *call)
    }

    /// Adds a call with these messages, the first of which names it.
    pub(super) fn insert_call(&mut self, endpoint: u32, messages: Vec<(CallId, OutstandingMessage)>) {
        let Some((lead, _)) = messages.first() else { return };
        self.by_endpoint.insert((endpoint, *lead));
        if messages.len() > 1 {
            self.bundles.insert(*lead, messages.iter().map(|(item, _)| *item).collect());
            self.timeouts.extend(messages.iter().map(|(item, message)| (message.until, *item)));
        }
        self.messages.extend(messages);
    }

    /// The number of messages that a call began with.
    pub(super) fn len_of(&self, call: CallId) -> usize {
        self.bundles.get(&call).map_or(1, Vec::len)
    }

    /// Removes a call that has ended, but not its messages. `None`: the call is not known.
    pub(super) fn remove_call(&mut self, call: CallId) -> Option<EndedCall> {
        let items = self.bundles.remove(&call).unwrap_or_else(|| vec![call]);
        // One message at least is waited for as long as the call is in flight.
        let message = items.iter().find_map(|item| self.messages.get(item))?;
        let (endpoint, dest) = (message.endpoint, message.dest);
        self.by_endpoint.remove(&(endpoint, call));
        Some(EndedCall { items, endpoint, dest })
    }

    /// Removes a message, which is not waited for any longer.
    pub(super) fn remove(&mut self, item: CallId) -> Option<OutstandingMessage> {
        let message = self.messages.remove(&item)?;
        self.timeouts.remove(&(message.until, item));
        Some(message)
    }

    /// Whether the message's call has another message that is waited for.
    pub(super) fn has_others(&self, item: CallId) -> bool {
        let bundle = self.call_of(item).and_then(|lead| self.bundles.get(&lead));
        bundle.into_iter().flatten().any(|other| *other != item && self.messages.contains_key(other))
    }

    /// When the time of the next message of a call with several is up.
    pub(super) fn next_timeout(&self) -> Option<Micros> {
        self.timeouts.first().map(|(until, _)| *until)
    }

    /// Removes the next message of a call with several messages whose time-out has passed.
    pub(super) fn pop_timed_out(&mut self, now: Micros) -> Option<CallId> {
        let (until, item) = *self.timeouts.first().filter(|(until, _)| *until <= now)?;
        self.timeouts.remove(&(until, item));
        Some(item)
    }
}
