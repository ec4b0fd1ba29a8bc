//! Shows an eye every field of the router that decides.

use super::*;
use quillmount_policy::StateVisitor;

impl<S: Store> Router<S> {
    /// Shows all that decides, but for the journal, which its reader sees.
    pub fn visit_state(&self, visitor: &mut impl StateVisitor) {
        #[rustfmt::skip]
        let Router {
            policy, classes: _, effects: _, kinds: _, separate_routes: _, zones: _, open_cap: _, streams_most: _, endpoint_names, endpoints, disabled, version: _, list_received,
            // These three follow from the others.
            by_dest: _, gone_since: _, out_at: _, waits: _, hedged_requests: _, tenants: _, load_fields: _,
            journal: _, unsettled: _, owed, bundles, ids: _, ended, out, notices, unwritten, write_at, next: _, stopping, watched: _, watched_ends: _, notes: _, counters: _,
        } = self;
        policy.visit_state(visitor);
        visitor.visit_u64(disabled.iter().count() as u64);
        disabled.iter().for_each(|id| visit_text(id, visitor));
        visitor.visit_bool(*list_received);
        visitor.visit_time(stopping.unwrap_or(Micros::MAX));
        let lens = [endpoints.len(), owed.len(), ended.iter().len(), out.len(), notices.len()];
        lens.into_iter().for_each(|n| visitor.visit_u64(n as u64));
        for (n, p) in endpoints {
            let KnownEndpoint { addr, dest, zone, kind: _, weight, state, gone } = p;
            visitor.visit_endpoint(*n);
            visitor.visit_u64(*state as u64);
            visitor.visit_f64(*weight);
            visit_text(endpoint_names.resolve(u64::from(*n)), visitor);
            [*dest, u64::from(*zone), addr.map_or(0, |a| a.port().into())]
                .into_iter()
                .for_each(|w| visitor.visit_u64(w));
            visitor.visit_time(gone.unwrap_or(Micros::MAX));
        }
        for (id, o) in owed {
            let OwedMessage { payload, class: _, dest, deadline, end, journaled, stream } = o;
            if let Some(Stream { committed, may_have_run, cut, finished, unanswerable }) = stream {
                [*committed, *may_have_run, cut.is_some(), *finished, *unanswerable]
                    .into_iter()
                    .for_each(|f| visitor.visit_bool(f));
            }
            visitor.visit_u64(u64::from(*journaled));
            visitor.visit_message(*id);
            visit_text(&payload.id, visitor);
            visitor.visit_u64(*dest);
            visitor.visit_time(*deadline);
            visit_ending(*end, visitor);
        }
        for (id, end, until) in ended.iter() {
            visit_text(id, visitor);
            visitor.visit_time(until);
            let end = end.map(|end| match end {
                End::Delivered => 1,
                End::Undeliverable => 2,
                End::Deferred { after } => after.wrapping_add(3),
            });
            visitor.visit_u64(end.unwrap_or(0));
        }
        for (call, o) in out {
            let OutstandingMessage { lead, sent, endpoint, dest, journaled, written, until } = o;
            visitor.visit_message(lead.msg);
            visitor.visit_time(*until);
            visitor.visit_time(written.unwrap_or(Micros::MAX));
            visitor.visit_u64(journaled.map_or(u64::MAX, u64::from));
            visitor.visit_message(call.msg);
            visitor.visit_endpoint(*endpoint);
            [u64::from(call.attempt), *dest].into_iter().for_each(|w| visitor.visit_u64(w));
            visitor.visit_time(*sent);
        }
        for items in bundles.values() {
            visitor.visit_u64(items.len() as u64);
            items.iter().for_each(|item| visitor.visit_message(item.msg));
        }
        notices.iter().for_each(|id| visitor.visit_message(id));
        visitor.visit_u64(unwritten.len() as u64);
        unwritten.iter().for_each(|id| visitor.visit_message(id));
        visitor.visit_time(*write_at);
    }

    /// From here on the module's draws come from this seed.
    pub fn reseed(&mut self, seed: u64) {
        self.policy.reseed(seed);
    }

    /// The number that the next message gets.
    pub fn next_number(&self) -> MsgId {
        self.next
    }

    /// Numbers of the messages that are owed, and of the endpoints that are known.
    pub fn names(&self) -> (impl Iterator<Item = MsgId>, impl Iterator<Item = u32>) {
        (self.owed.keys().copied(), self.endpoints.keys().copied())
    }

    /// The name of an endpoint in discovery's list.
    pub fn endpoint_name(&self, endpoint: u32) -> &str {
        self.endpoint_names.resolve(endpoint.into())
    }

    /// When a submission's time is up, and its end where it waits for the platform's confirmation.
    pub fn owed(&self) -> impl Iterator<Item = (&str, Micros, Option<Ending>)> {
        self.owed.values().map(|o| (o.payload.id.as_str(), o.deadline, o.end))
    }
}

fn visit_ending(end: Option<Ending>, visitor: &mut impl StateVisitor) {
    match end {
        None => visitor.visit_u64(0),
        Some(Ending::Undeliverable) => visitor.visit_u64(1),
        Some(Ending::Deferred(after)) => visitor.visit_u64(after.wrapping_add(2)),
    }
}

fn visit_text(text: &str, visitor: &mut impl StateVisitor) {
    visitor.visit_u64(text.len() as u64);
    text.bytes().for_each(|b| visitor.visit_u64(b.into()));
}
