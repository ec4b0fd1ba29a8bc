//! Shows an eye every field of the router that decides.

use super::*;
use spurshore::Eye;

impl<S: Store> Router<S> {
    /// Shows all that decides, but for the journal, which its reader sees.
    pub fn see(&self, eye: &mut impl Eye) {
        #[rustfmt::skip]
        let Router {
            facade, classes: _, effects: _, kinds: _, separate_routes: _, zones: _, open_cap: _, streams_most: _, endpoint_names, endpoints, disabled, version: _, list_received,
            // These three follow from the others.
            by_dest: _, gone_since: _, out_at: _, waits: _, second_copies: _, tenants: _, load_fields: _,
            journal: _, unsettled: _, owed, bundles, ids: _, ended, out, notices, unwritten, write_at, next: _, stopping, watched: _, watched_ends: _, notes: _, counters: _,
        } = self;
        facade.see(eye);
        eye.word(disabled.iter().count() as u64);
        disabled.iter().for_each(|id| see_text(id, eye));
        eye.flag(*list_received);
        eye.time(stopping.unwrap_or(Micros::MAX));
        let lens = [endpoints.len(), owed.len(), ended.iter().len(), out.len(), notices.len()];
        lens.into_iter().for_each(|n| eye.word(n as u64));
        for (n, p) in endpoints {
            let KnownEndpoint { addr, dest, zone, kind: _, weight, state, gone } = p;
            eye.endpoint(*n);
            eye.word(*state as u64);
            eye.real(*weight);
            see_text(endpoint_names.name(u64::from(*n)), eye);
            [*dest, u64::from(*zone), addr.map_or(0, |a| a.port().into())]
                .into_iter()
                .for_each(|w| eye.word(w));
            eye.time(gone.unwrap_or(Micros::MAX));
        }
        for (id, o) in owed {
            let OwedMessage { payload, class: _, dest, deadline, end, journaled, stream } = o;
            if let Some(Stream { committed, may_have_run, cut, finished, unanswerable }) = stream {
                [*committed, *may_have_run, cut.is_some(), *finished, *unanswerable]
                    .into_iter()
                    .for_each(|f| eye.flag(f));
            }
            eye.word(u64::from(*journaled));
            eye.message(*id);
            see_text(&payload.id, eye);
            eye.word(*dest);
            eye.time(*deadline);
            see_ending(*end, eye);
        }
        for (id, end, until) in ended.iter() {
            see_text(id, eye);
            eye.time(until);
            let end = end.map(|end| match end {
                End::Delivered => 1,
                End::Undeliverable => 2,
                End::Deferred { after } => after.wrapping_add(3),
            });
            eye.word(end.unwrap_or(0));
        }
        for (call, o) in out {
            let OutstandingMessage { lead, sent, endpoint, dest, journaled, written, until } = o;
            eye.message(lead.msg);
            eye.time(*until);
            eye.time(written.unwrap_or(Micros::MAX));
            eye.word(journaled.map_or(u64::MAX, u64::from));
            eye.message(call.msg);
            eye.endpoint(*endpoint);
            [u64::from(call.attempt), *dest].into_iter().for_each(|w| eye.word(w));
            eye.time(*sent);
        }
        for items in bundles.values() {
            eye.word(items.len() as u64);
            items.iter().for_each(|item| eye.message(item.msg));
        }
        notices.iter().for_each(|id| eye.message(id));
        eye.word(unwritten.len() as u64);
        unwritten.iter().for_each(|id| eye.message(id));
        eye.time(*write_at);
    }

    /// From here on the module's draws come from this seed.
    pub fn reseed(&mut self, seed: u64) {
        self.facade.reseed(seed);
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
        self.endpoint_names.name(endpoint.into())
    }

    /// When a submission's time is up, and its end where it waits for the platform's confirmation.
    pub fn owed(&self) -> impl Iterator<Item = (&str, Micros, Option<Ending>)> {
        self.owed.values().map(|o| (o.payload.id.as_str(), o.deadline, o.end))
    }
}

fn see_ending(end: Option<Ending>, eye: &mut impl Eye) {
    match end {
        None => eye.word(0),
        Some(Ending::Undeliverable) => eye.word(1),
        Some(Ending::Deferred(after)) => eye.word(after.wrapping_add(2)),
    }
}

fn see_text(text: &str, eye: &mut impl Eye) {
    eye.word(text.len() as u64);
    text.bytes().for_each(|b| eye.word(b.into()));
}
