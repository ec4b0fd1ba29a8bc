//! Shows an eye every field of the router that decides.

use super::*;
use spurshore::Eye;

impl<S: Store> Router<S> {
    /// Shows all that decides, but for the journal, which its reader sees.
    pub fn see(&self, eye: &mut impl Eye) {
        #[rustfmt::skip]
        let Router {
            facade, classes: _, effects: _, kinds: _, apart: _, zones: _, open_cap: _, streams_most: _, provider_names, providers, holds, version: _, heard,
            // These three follow from the others.
            by_dest: _, went: _, out_at: _, waits: _, second_copies: _, tenants: _, load_fields: _,
            journal: _, unsettled: _, owed, bundles, ids: _, over, out, notices, unwritten, write_at, next: _, stopping, watched: _, watched_ends: _, notes: _, counters: _,
        } = self;
        facade.see(eye);
        eye.word(holds.iter().count() as u64);
        holds.iter().for_each(|id| see_text(id, eye));
        eye.flag(*heard);
        eye.time(stopping.unwrap_or(Micros::MAX));
        let lens = [providers.len(), owed.len(), over.iter().len(), out.len(), notices.len()];
        lens.into_iter().for_each(|n| eye.word(n as u64));
        for (n, p) in providers {
            let Known { addr, dest, zone, kind: _, weight, state, gone } = p;
            eye.endpoint(*n);
            eye.word(*state as u64);
            eye.real(*weight);
            see_text(provider_names.name(u64::from(*n)), eye);
            [*dest, u64::from(*zone), addr.map_or(0, |a| a.port().into())]
                .into_iter()
                .for_each(|w| eye.word(w));
            eye.time(gone.unwrap_or(Micros::MAX));
        }
        for (id, o) in owed {
            let Owed { parcel, class: _, dest, deadline, end, noted, stream } = o;
            if let Some(Stream { committed, may_have_run, cut, over, deaf }) = stream {
                [*committed, *may_have_run, cut.is_some(), *over, *deaf]
                    .into_iter()
                    .for_each(|f| eye.flag(f));
            }
            eye.word(u64::from(*noted));
            eye.message(*id);
            see_text(&parcel.id, eye);
            eye.word(*dest);
            eye.time(*deadline);
            see_ending(*end, eye);
        }
        for (id, end, until) in over.iter() {
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
            let Out { lead, sent, provider, dest, noted, written, until } = o;
            eye.message(lead.msg);
            eye.time(*until);
            eye.time(written.unwrap_or(Micros::MAX));
            eye.word(noted.map_or(u64::MAX, u64::from));
            eye.message(call.msg);
            eye.endpoint(*provider);
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

    /// Numbers of the messages that are owed, and of the providers that are known.
    pub fn names(&self) -> (impl Iterator<Item = MsgId>, impl Iterator<Item = u32>) {
        (self.owed.keys().copied(), self.providers.keys().copied())
    }

    /// The name of a provider in discovery's list.
    pub fn provider_name(&self, provider: u32) -> &str {
        self.provider_names.name(provider.into())
    }

    /// When an invocation's time is up, and its end where it waits for the platform's confirmation.
    pub fn owed(&self) -> impl Iterator<Item = (&str, Micros, Option<Ending>)> {
        self.owed.values().map(|o| (o.parcel.id.as_str(), o.deadline, o.end))
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
