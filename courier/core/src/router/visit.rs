//! The router's state for state-space exploration: every value that influences decisions is passed to a visitor, in a
//! fixed order.

use super::endpoints::ListedEndpoint;
use super::outstanding::OutstandingMessage;
use super::owed::OwedMessage;
use super::stream::Stream;
use super::{OwedView, Router};
use crate::Ending;
use crate::ended::RememberedId;
use crate::journal::End;
use crate::store::Store;
use quillmount_policy::{Micros, MsgId, StateVisitor};

impl<S: Store> Router<S> {
    /// Passes all values that influence decisions to a visitor, except for the journal's contents, which the caller
    /// reads from the store.
    pub fn visit_state(&self, visitor: &mut impl StateVisitor) {
        // The pattern has no `..`, so that a new field has to be considered here.
        let Router {
            policy,
            config: _,
            zones: _,
            endpoints,
            disabled,
            version: _,
            list_received,
            journal: _,
            unsettled: _,
            owed,
            ids: _,
            ended,
            outstanding,
            notices,
            unwritten,
            write_retry_at,
            next_message: _,
            stop_accepting_at,
            watched: _,
            watched_ends: _,
            notes: _,
            counters: _,
        } = self;
        policy.visit_state(visitor);
        visitor.visit_u64(disabled.iter().count() as u64);
        disabled.iter().for_each(|id| visit_text(id, visitor));
        visitor.visit_bool(*list_received);
        visitor.visit_time(stop_accepting_at.unwrap_or(Micros::MAX));
        let endpoints = &endpoints.endpoints;
        let messages = &outstanding.messages;
        let lens = [endpoints.len(), owed.len(), ended.iter().len(), messages.len(), notices.len()];
        lens.into_iter().for_each(|len| visitor.visit_u64(len as u64));
        endpoints.iter().for_each(|(number, listed)| self.visit_endpoint(*number, listed, visitor));
        owed.iter().for_each(|(msg, owed)| visit_owed(*msg, owed, visitor));
        for RememberedId { id, end, until } in ended.iter() {
            visit_text(id, visitor);
            visitor.visit_time(until);
            visit_end(end, visitor);
        }
        for (call, message) in messages {
            visit_outstanding(call.msg, call.attempt, message, visitor);
        }
        for items in outstanding.bundles.values() {
            visitor.visit_u64(items.len() as u64);
            items.iter().for_each(|item| visitor.visit_message(item.msg));
        }
        notices.iter().for_each(|msg| visitor.visit_message(msg));
        visitor.visit_u64(unwritten.len() as u64);
        unwritten.iter().for_each(|msg| visitor.visit_message(msg));
        visitor.visit_time(*write_retry_at);
    }

    /// Resets the policy's random number generator to this seed.
    pub fn reseed(&mut self, seed: u64) {
        self.policy.reseed(seed);
    }

    /// The number that the next message gets.
    pub fn next_number(&self) -> MsgId {
        self.next_message
    }

    /// The numbers of the owed messages and those of the known endpoints.
    pub fn message_and_endpoint_numbers(&self) -> (impl Iterator<Item = MsgId>, impl Iterator<Item = u32>) {
        (self.owed.keys().copied(), self.endpoints.numbers())
    }

    /// The owed messages, in the order of their numbers.
    pub fn owed(&self) -> impl Iterator<Item = OwedView<'_>> {
        self.owed.values().map(|owed| OwedView {
            id: &owed.payload.id,
            deadline: owed.deadline,
            end: owed.end,
        })
    }

    fn visit_endpoint(&self, number: u32, listed: &ListedEndpoint, visitor: &mut impl StateVisitor) {
        let ListedEndpoint { addr, dest, zone, kind: _, weight, state, gone_since } = listed;
        visitor.visit_endpoint(number);
        visitor.visit_u64(*state as u64);
        visitor.visit_f64(*weight);
        visit_text(self.endpoints.id(number), visitor);
        visitor.visit_u64(*dest);
        visitor.visit_u64(u64::from(*zone));
        visitor.visit_u64(addr.map_or(0, |addr| addr.port().into()));
        visitor.visit_time(gone_since.unwrap_or(Micros::MAX));
    }
}

fn visit_owed(msg: MsgId, owed: &OwedMessage, visitor: &mut impl StateVisitor) {
    let OwedMessage { payload, class: _, dest, deadline, end, journaled_attempts, stream } = owed;
    if let Some(Stream { committed, may_have_run, cut, finished, unanswerable }) = stream {
        let flags = [*committed, *may_have_run, cut.is_some(), *finished, *unanswerable];
        flags.into_iter().for_each(|flag| visitor.visit_bool(flag));
    }
    visitor.visit_u64(u64::from(*journaled_attempts));
    visitor.visit_message(msg);
    visit_text(&payload.id, visitor);
    visitor.visit_u64(*dest);
    visitor.visit_time(*deadline);
    visit_ending(*end, visitor);
}

fn visit_outstanding(
    msg: MsgId,
    attempt: u32,
    message: &OutstandingMessage,
    visitor: &mut impl StateVisitor,
) {
    let OutstandingMessage { lead_call, sent_at, endpoint, dest, journal_index, written_at, timeout_at } =
        message;
    visitor.visit_message(lead_call.msg);
    visitor.visit_time(*timeout_at);
    visitor.visit_time(written_at.unwrap_or(Micros::MAX));
    visitor.visit_u64(journal_index.map_or(u64::MAX, u64::from));
    visitor.visit_message(msg);
    visitor.visit_endpoint(*endpoint);
    visitor.visit_u64(u64::from(attempt));
    visitor.visit_u64(*dest);
    visitor.visit_time(*sent_at);
}

fn visit_end(end: Option<End>, visitor: &mut impl StateVisitor) {
    visitor.visit_u64(match end {
        None => 0,
        Some(End::Delivered) => 1,
        Some(End::Undeliverable) => 2,
        Some(End::Deferred { after }) => after.wrapping_add(3),
    });
}

fn visit_ending(ending: Option<Ending>, visitor: &mut impl StateVisitor) {
    visitor.visit_u64(match ending {
        None => 0,
        Some(Ending::Undeliverable) => 1,
        Some(Ending::Deferred(after)) => after.wrapping_add(2),
    });
}

fn visit_text(text: &str, visitor: &mut impl StateVisitor) {
    visitor.visit_u64(text.len() as u64);
    text.bytes().for_each(|byte| visitor.visit_u64(byte.into()));
}
