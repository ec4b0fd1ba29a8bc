//! The connections to the providers: which calls may start where, and what rests for the next one.

use crate::machine::link::{Input, Link};
use spurshore::Micros;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A connection that rests, of whatever kind the driver has.
#[derive(Clone, Debug)]
struct Resting<C> {
    link: Link,
    addr: SocketAddr,
    connection: C,
}

/// What is held for one provider. A new provider at the same address has its own.
#[derive(Clone, Debug)]
struct Provider<C> {
    /// Calls may not start: it drains or is gone.
    shut: bool,
    hold: Micros,
    /// The oldest first.
    resting: Vec<Resting<C>>,
}

impl<C> Default for Provider<C> {
    fn default() -> Self {
        Provider { shut: false, hold: 0, resting: Vec::new() }
    }
}

/// The pool. Connections that it gives back are to be closed; dropping them is enough on sockets.
#[derive(Clone, Debug)]
pub struct Pool<C> {
    /// How long a connection may rest.
    rest: Micros,
    /// Connections at once, those of calls included.
    most: usize,
    calls: usize,
    /// Connections that rest, of all providers.
    rests: usize,
    all: HashMap<u32, Provider<C>>,
}

impl<C> Pool<C> {
    /// `idle`: when a provider closes a connection that stands idle, in microseconds; `most` connections
    /// at once, those of calls included.
    pub fn new(idle: Micros, most: usize) -> Self {
        // A request that is written as the provider closes is reset: stay clear of that moment.
        let rest = idle.saturating_sub(1_000_000).max(idle / 2);
        Pool { rest, most, calls: 0, rests: 0, all: HashMap::new() }
    }

    /// Calls to the provider may start, or not any more.
    pub fn gate(&mut self, provider: u32, open: bool) -> Vec<C> {
        self.all.entry(provider).or_default().shut = !open;
        if open { Vec::new() } else { self.close_idle(provider) }
    }

    /// No call may start there before then.
    pub fn hold(&mut self, provider: u32, until: Micros) {
        let provider = self.all.entry(provider).or_default();
        provider.hold = provider.hold.max(until);
    }

    /// Until when none may; in the past, or 0, where nothing was told.
    pub fn held_until(&self, provider: u32) -> Micros {
        self.all.get(&provider).map_or(0, |p| p.hold)
    }

    /// Whether a call may start there now.
    pub fn lets_through(&self, provider: u32, now: Micros) -> bool {
        self.all.get(&provider).is_none_or(|p| !p.shut && now >= p.hold)
    }

    /// Closes what rests there; a call that is out closes its own when it ends.
    pub fn close_idle(&mut self, provider: u32) -> Vec<C> {
        let Some(provider) = self.all.get_mut(&provider) else { return Vec::new() };
        self.rests -= provider.resting.len();
        let all = provider.resting.drain(..);
        all.map(|mut r| (r.link.step(Input::Close, 0), r.connection).1).collect()
    }

    /// The provider is gone for good.
    pub fn forget(&mut self, provider: u32) -> Vec<C> {
        let gone = self.close_idle(provider);
        self.all.remove(&provider);
        gone
    }

    /// A call begins: it counts, and gets the connection that was used last there, since the others come
    /// to an age where they can be closed. What was not `quiet` meanwhile is of no use.
    pub fn begin(
        &mut self,
        provider: u32,
        addr: SocketAddr,
        now: Micros,
        quiet: impl Fn(&C) -> bool,
    ) -> Option<(Link, C)> {
        self.calls += 1;
        let resting = &mut self.all.get_mut(&provider)?.resting;
        while let Some(mut last) = resting.pop() {
            self.rests -= 1;
            let quiet = last.addr == addr && quiet(&last.connection);
            if !last.link.step(Input::Taken { quiet }, now) {
                return Some((last.link, last.connection));
            }
        }
        None
    }

    /// Takes one that rests, wherever it does, and the provider to which it leads; it is looked for at
    /// `provider` first.
    pub fn take(&mut self, provider: u32, which: impl Fn(&C) -> bool) -> Option<(u32, SocketAddr, Link, C)> {
        let at = |p: &Provider<C>| p.resting.iter().position(|r| which(&r.connection));
        let here = self.all.get(&provider).and_then(at).map(|n| (provider, n));
        let (found, n) = here.or_else(|| self.all.iter().find_map(|(found, p)| Some((*found, at(p)?))))?;
        let Resting { link, addr, connection } = self.all.get_mut(&found)?.resting.remove(n);
        self.rests -= 1;
        Some((found, addr, link, connection))
    }

    /// Takes out all that rests: the provider, its address, since when, and the connection.
    pub fn take_resting(&mut self) -> Vec<(u32, SocketAddr, Micros, C)> {
        self.rests = 0;
        let all = self.all.iter_mut().flat_map(|(n, p)| p.resting.drain(..).map(|r| (*n, r)));
        all.filter_map(|(n, r)| Some((n, r.addr, r.link.since()?, r.connection))).collect()
    }

    /// One that rested in another process; given back where none may rest there.
    pub fn rest(&mut self, provider: u32, addr: SocketAddr, since: Micros, connection: C) -> Option<C> {
        let held = self.all.entry(provider).or_default();
        if held.shut {
            return Some(connection);
        }
        held.resting.push(Resting { link: Link::resting(self.rest, since), addr, connection });
        self.rests += 1;
        None
    }

    /// A call of another process goes on here.
    pub fn goes_on(&mut self) {
        self.calls += 1;
    }

    /// Until when which providers take no call: what they have told to wait.
    pub fn holds(&self) -> Vec<(u32, Micros)> {
        self.all.iter().filter(|(_, p)| p.hold > 0).map(|(n, p)| (*n, p.hold)).collect()
    }

    /// A connection for a call that found none.
    pub fn open(&self) -> Link {
        Link::opening(self.rest)
    }

    /// A call ended whose connection may serve another; given back where it may not after all.
    pub fn keep(
        &mut self,
        provider: u32,
        addr: SocketAddr,
        mut link: Link,
        connection: C,
        now: Micros,
    ) -> Option<C> {
        let held = self.all.entry(provider).or_default();
        if link.step(Input::Kept { open: !held.shut }, now) {
            return Some(connection);
        }
        held.resting.push(Resting { link, addr, connection });
        self.rests += 1;
        None
    }

    /// A call is over, or has closed its connection.
    pub fn end(&mut self) {
        debug_assert!(self.calls > 0, "an end for each beginning");
        self.calls = self.calls.saturating_sub(1);
    }

    /// Closes what has rested for too long, or was closed from the other side.
    pub fn sweep(&mut self, now: Micros, quiet: impl Fn(&C) -> bool) -> Vec<C> {
        let mut gone = Vec::new();
        for provider in self.all.values_mut() {
            for mut r in std::mem::take(&mut provider.resting) {
                let quiet = quiet(&r.connection);
                if r.link.step(Input::Looked { quiet }, now) {
                    gone.push(r.connection);
                } else {
                    provider.resting.push(r);
                }
            }
        }
        self.rests -= gone.len();
        gone
    }

    /// Before a connection is opened: of all that rest the longest resting goes, where room is short.
    pub fn make_room(&mut self) -> Option<C> {
        if self.calls + self.rests <= self.most {
            return None;
        }
        // The oldest of a pool is its first.
        let since = |p: &Provider<C>| p.resting.first().and_then(|r| r.link.since());
        let oldest = self.all.iter().filter_map(|(n, p)| Some((since(p)?, *n))).min()?.1;
        let mut oldest = self.all.get_mut(&oldest)?.resting.remove(0);
        oldest.link.step(Input::Close, 0);
        self.rests -= 1;
        Some(oldest.connection)
    }

    /// Calls that count, and connections that rest.
    pub fn load(&self) -> (usize, usize) {
        debug_assert_eq!(self.rests, self.all.values().map(|p| p.resting.len()).sum());
        (self.calls, self.rests)
    }

    /// What rests, by provider, with the time since when; for whoever explores it.
    pub fn resting(&self) -> impl Iterator<Item = (u32, &C, Micros)> {
        let mut all: Vec<_> = self.all.iter().collect();
        all.sort_by_key(|(n, _)| **n);
        all.into_iter().flat_map(|(n, p)| {
            p.resting.iter().map(|r| (*n, &r.connection, r.link.since().unwrap_or_default()))
        })
    }

    /// Gate and hold of each provider.
    pub fn gates(&self) -> Vec<(u32, bool, Micros)> {
        let mut all: Vec<_> = self.all.iter().map(|(n, p)| (*n, !p.shut, p.hold)).collect();
        all.sort_unstable();
        all
    }
}
