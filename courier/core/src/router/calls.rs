//! Starting delivery calls, and removing messages from calls that continue for their other messages.

use super::endpoints::ListedEndpoint;
use super::outstanding::OutstandingMessage;
use super::{Router, RouterAction};
use crate::journal::{JournalRecord, RepeatEffect};
use crate::note::Note;
use crate::store::Store;
use crate::{BundledMessage, CallEnd, CallId, DeliveryCall, MessagePayload};
use quillmount_policy::breaks::{self, Break};
use quillmount_policy::{CallItem, Effect, Micros};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

/// The endpoint to which a call is sent.
struct CallTarget {
    endpoint: u32,
    addr: SocketAddr,
    zone: u32,
    dest: u64,
}

impl CallTarget {
    fn new(endpoint: u32, listed: &ListedEndpoint) -> Option<Self> {
        Some(CallTarget { endpoint, addr: listed.addr?, zone: listed.zone, dest: listed.dest })
    }
}

/// One message of a call that is about to start.
struct CallPart {
    call: CallId,
    payload: Arc<MessagePayload>,
    class: usize,
    deadline: Micros,
    stream: bool,
    timeout: Micros,
    send_before: Micros,
}

impl<S: Store> Router<S> {
    /// The calls in flight to an endpoint.
    pub fn calls_at(&self, endpoint: u32) -> impl Iterator<Item = CallId> {
        self.outstanding.at_endpoint(endpoint)
    }

    /// All calls in flight, ordered by endpoint.
    pub fn calls_in_flight(&self) -> Vec<CallId> {
        self.outstanding.calls().collect()
    }

    /// Starts a call with these messages after writing their attempts to the journal.
    pub(super) fn call(
        &mut self,
        endpoint: u32,
        items: &[CallItem],
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) {
        let target = self.endpoints.get(endpoint).and_then(|listed| CallTarget::new(endpoint, listed));
        let parts = self.call_parts(endpoint, items, target.is_some(), actions);
        let (Some(target), Some(lead_call)) = (target, parts.first().map(|part| part.call)) else { return };
        self.add_outstanding(&target, lead_call, &parts, now);
        // The messages must not be sent without their records: after a restart the attempts would be unknown, and
        // messages with an effect could be sent twice.
        let records: Vec<JournalRecord> = parts
            .iter()
            .map(|part| JournalRecord::Sent {
                msg: part.call.msg,
                sent_at: now,
                effect: self.repeat_effect(part.class, target.zone),
            })
            .collect();
        if !breaks::is_enabled(Break::AttemptUnwritten) && !self.write_all(&records, now) {
            return actions.push(RouterAction::NotWritten(lead_call));
        }
        self.number_attempts(&parts);
        self.counters.calls += 1;
        if parts.len() > 1 {
            self.counters.bundles += 1;
            self.counters.bundled += parts.len() as u64;
        }
        actions.extend(delivery_call(&target, parts).map(RouterAction::Call));
    }

    /// The messages of a call, starting with the one that leads it.
    ///
    /// An endpoint measures a call's time by its first message: an answer after the end of that message counts for
    /// none of the messages, whatever it contains. Therefore the message with the longest timeout leads, and among
    /// those the one with the latest deadline. A message with a shorter timeout may be retried or ended while the
    /// call continues.
    fn call_parts(
        &self,
        endpoint: u32,
        items: &[CallItem],
        is_known: bool,
        actions: &mut Vec<RouterAction>,
    ) -> Vec<CallPart> {
        let mut parts = Vec::with_capacity(items.len());
        for &CallItem { msg, attempt, timeout, send_before } in items {
            match self.owed.get(&msg).filter(|_| is_known) {
                Some(owed) => parts.push(CallPart {
                    call: CallId { msg, attempt },
                    payload: owed.payload.clone(),
                    class: owed.class,
                    deadline: owed.deadline,
                    stream: owed.stream.is_some(),
                    timeout,
                    send_before,
                }),
                None => actions.push(RouterAction::Note(Note::UnknownCall { msg, attempt, endpoint })),
            }
        }
        let lead =
            parts.iter().enumerate().max_by_key(|(n, part)| (part.timeout, part.deadline, Reverse(*n)));
        if let Some((lead, _)) = lead {
            parts[..=lead].rotate_right(1);
        }
        parts
    }

    fn add_outstanding(&mut self, target: &CallTarget, lead_call: CallId, parts: &[CallPart], now: Micros) {
        let messages = parts.iter().map(|part| {
            let message = OutstandingMessage {
                lead_call,
                sent_at: now,
                endpoint: target.endpoint,
                dest: target.dest,
                journal_index: None,
                written_at: None,
                timeout_at: now.saturating_add(part.timeout),
            };
            (part.call, message)
        });
        self.outstanding.insert_call(target.endpoint, messages.collect());
    }

    /// Assigns the attempts their indexes in the journal. These differ from the policy's attempt numbers once the
    /// store has rejected a record, since the policy counts all attempts that it requested.
    fn number_attempts(&mut self, parts: &[CallPart]) {
        for part in parts {
            let owed = self.owed.get_mut(&part.call.msg);
            if let (Some(owed), Some(message)) = (owed, self.outstanding.get_mut(part.call)) {
                message.journal_index = Some(owed.journaled_attempts);
                owed.journaled_attempts += 1;
            }
        }
    }

    /// The effect that a later process must assume for an attempt in this zone; the strictest one if the settings
    /// lack the class.
    fn repeat_effect(&self, class: usize, zone: u32) -> RepeatEffect {
        match self.config.effects.get(class) {
            Some(Effect::Idempotent) => RepeatEffect::Safe,
            Some(Effect::Deduplicated { span, by_zone }) => {
                let name = || self.zones.resolve(u64::from(zone)).to_string();
                RepeatEffect::Keyed { span: *span, zone: by_zone.then(name) }
            }
            Some(Effect::NonIdempotent) | None => RepeatEffect::Unsafe,
        }
    }

    /// Removes a message from a call that continues for its other messages. Returns false, without a change, if the
    /// message is the call's last.
    pub(super) fn detach(
        &mut self,
        item: CallId,
        end: CallEnd,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) -> bool {
        if !self.outstanding.has_others(item) {
            return false;
        }
        let completion = self.message_ended(item, end, 0, now, actions);
        let instructions = self.policy.report_all(now, completion.into_iter().collect());
        self.carry_out(instructions, now, actions);
        true
    }

    /// Removes messages whose timeout has passed from calls that continue for their other messages.
    pub(super) fn detach_timed_out(&mut self, now: Micros, actions: &mut Vec<RouterAction>) {
        while let Some(item) = self.outstanding.pop_timed_out(now) {
            if self.config.hedged_requests {
                // The timeout of a call's last message is that of the call itself.
                self.detach(item, CallEnd::TimedOut, now, actions);
            } else {
                // A retry while the call continues would put the message in flight twice.
                actions.extend(self.outstanding.call_of(item).map(RouterAction::CancelCall));
            }
        }
    }
}

/// The call with these messages, led by the first; `None` if there are no messages.
fn delivery_call(target: &CallTarget, parts: Vec<CallPart>) -> Option<DeliveryCall> {
    let timeout = parts.iter().map(|part| part.timeout).max()?;
    let time_left = parts.iter().map(|part| part.timeout).min()?;
    let send_before = parts.iter().map(|part| part.send_before).min()?;
    let mut parts = parts.into_iter();
    let lead = parts.next()?;
    Some(DeliveryCall {
        call: lead.call,
        endpoint: target.endpoint,
        dest: target.dest,
        addr: target.addr,
        payload: lead.payload,
        timeout,
        send_before,
        stream: lead.stream,
        bundled: parts.map(|part| BundledMessage { call: part.call, payload: part.payload }).collect(),
        time_left,
    })
}
