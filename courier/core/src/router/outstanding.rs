//! The table of the delivery calls in flight, each with one or more messages.

use crate::CallId;
use quillmount_policy::{Micros, MsgId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// A message that is in flight. It is encoded by position in a [`RouterState`](super::RouterState).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct OutstandingMessage {
    /// The call with the message, identified by the attempt of its first message.
    pub(super) lead_call: CallId,
    /// Start of the call.
    pub(super) sent_at: Micros,
    pub(super) endpoint: u32,
    pub(super) dest: u64,
    /// The attempt's index among the message's attempts in the journal; `None` if its record was not written.
    pub(super) journal_index: Option<u32>,
    /// Time at which the last byte of a stream was sent.
    pub(super) written_at: Option<Micros>,
    /// Time at which the message's timeout passes.
    pub(super) timeout_at: Micros,
}

/// A call that was removed from the table; `items` are its messages in the order in which they were sent.
pub(super) struct EndedCall {
    pub(super) items: Vec<CallId>,
    pub(super) endpoint: u32,
    pub(super) dest: u64,
}

/// The calls in flight, with indexes by endpoint and by timeout.
#[derive(Clone, Debug, Default)]
pub(super) struct OutstandingCalls {
    pub(super) messages: BTreeMap<CallId, OutstandingMessage>,
    /// The calls of each endpoint.
    pub(super) by_endpoint: BTreeSet<(u32, CallId)>,
    /// The messages of each call with several messages, in the order in which they are sent.
    pub(super) bundles: BTreeMap<CallId, Vec<CallId>>,
    /// The timeouts of all messages in calls with several messages.
    pub(super) timeouts: BTreeSet<(Micros, CallId)>,
}

/// The range of the ids of a message's attempts.
fn attempts_of(msg: MsgId) -> RangeInclusive<CallId> {
    CallId { msg, attempt: 0 }..=CallId { msg, attempt: u32::MAX }
}

impl OutstandingCalls {
    /// Restores the table from its messages and its calls with several messages.
    pub(super) fn restore(
        messages: BTreeMap<CallId, OutstandingMessage>,
        bundles: BTreeMap<CallId, Vec<CallId>>,
    ) -> Self {
        let bundled = messages.iter().filter(|(_, message)| bundles.contains_key(&message.lead_call));
        let timeouts = bundled.map(|(item, message)| (message.timeout_at, *item)).collect();
        let by_endpoint = messages.values().map(|message| (message.endpoint, message.lead_call)).collect();
        OutstandingCalls { messages, by_endpoint, bundles, timeouts }
    }

    pub(super) fn get_mut(&mut self, item: CallId) -> Option<&mut OutstandingMessage> {
        self.messages.get_mut(&item)
    }

    /// The call with a message, identified by the attempt of its first message.
    pub(super) fn call_of(&self, item: CallId) -> Option<CallId> {
        self.messages.get(&item).map(|message| message.lead_call)
    }

    /// The calls in flight with a message.
    pub(super) fn calls_with(&self, msg: MsgId) -> impl Iterator<Item = CallId> {
        self.messages.range(attempts_of(msg)).map(|(_, message)| message.lead_call)
    }

    /// Whether any call with a message is in flight.
    pub(super) fn is_in_flight(&self, msg: MsgId) -> bool {
        self.calls_with(msg).next().is_some()
    }

    /// The calls in flight to an endpoint.
    pub(super) fn at_endpoint(&self, endpoint: u32) -> impl Iterator<Item = CallId> {
        let first = CallId { msg: 0, attempt: 0 };
        let last = CallId { msg: MsgId::MAX, attempt: u32::MAX };
        self.by_endpoint.range((endpoint, first)..=(endpoint, last)).map(|(_, call)| *call)
    }

    /// All calls in flight, ordered by endpoint.
    pub(super) fn calls(&self) -> impl Iterator<Item = CallId> {
        self.by_endpoint.iter().map(|(_, call)| *call)
    }

    /// Adds a call with these messages; the first identifies the call.
    pub(super) fn insert_call(&mut self, endpoint: u32, messages: Vec<(CallId, OutstandingMessage)>) {
        let Some((lead, _)) = messages.first() else { return };
        self.by_endpoint.insert((endpoint, *lead));
        if messages.len() > 1 {
            self.bundles.insert(*lead, messages.iter().map(|(item, _)| *item).collect());
            self.timeouts.extend(messages.iter().map(|(item, message)| (message.timeout_at, *item)));
        }
        self.messages.extend(messages);
    }

    /// The number of messages with which a call started.
    pub(super) fn len_of(&self, call: CallId) -> usize {
        self.bundles.get(&call).map_or(1, Vec::len)
    }

    /// Removes a call that has ended, but not its messages. Returns `None` if the call is unknown.
    pub(super) fn remove_call(&mut self, call: CallId) -> Option<EndedCall> {
        let items = self.bundles.remove(&call).unwrap_or_else(|| vec![call]);
        // As long as the call is in flight, at least one of its messages has not been removed.
        let message = items.iter().find_map(|item| self.messages.get(item))?;
        let (endpoint, dest) = (message.endpoint, message.dest);
        self.by_endpoint.remove(&(endpoint, call));
        Some(EndedCall { items, endpoint, dest })
    }

    /// Removes a message that no longer waits for its call.
    pub(super) fn remove(&mut self, item: CallId) -> Option<OutstandingMessage> {
        let message = self.messages.remove(&item)?;
        self.timeouts.remove(&(message.timeout_at, item));
        Some(message)
    }

    /// Whether another message of the same call still waits for it.
    pub(super) fn has_others(&self, item: CallId) -> bool {
        let bundle = self.call_of(item).and_then(|lead| self.bundles.get(&lead));
        bundle.into_iter().flatten().any(|other| *other != item && self.messages.contains_key(other))
    }

    /// Earliest timeout of a message in a call with several messages.
    pub(super) fn next_timeout(&self) -> Option<Micros> {
        self.timeouts.first().map(|(until, _)| *until)
    }

    /// Removes the next passed timeout of a message in a call with several messages, and returns its attempt.
    pub(super) fn pop_timed_out(&mut self, now: Micros) -> Option<CallId> {
        let (until, item) = *self.timeouts.first().filter(|(until, _)| *until <= now)?;
        self.timeouts.remove(&(until, item));
        Some(item)
    }
}
