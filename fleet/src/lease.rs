//! Presence by lease: a member asks for one again and again, and the leader grants it after the voters have confirmed that it
//! still leads. At the member a lease runs from the moment of asking, at the leader from that of hearing, so that the member's
//! is over first; a new leader waits a whole lease before it counts anybody as gone.

use crate::plan::{Name, Plan};
use crate::state::Epoch;
use spurshore::Micros;
use std::collections::BTreeMap;

/// A lease is asked for so many times in its length: two words may be lost.
const ASKS: Micros = 4;
/// Questions of a member that are not answered, remembered at most: those of one lease.
const ASKED_MOST: usize = 16;

/// The member's side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Held {
    until: Micros,
    /// When each question was asked, by its number.
    asked: BTreeMap<u64, Micros>,
    next: u64,
    ask_at: Micros,
}

impl Held {
    /// Whether the member may act.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.until
    }

    /// When it ends, if nothing more is heard.
    pub fn until(&self) -> Micros {
        self.until
    }

    pub fn wake_at(&self) -> Micros {
        self.ask_at
    }

    /// The number of a question to ask now, if it is time for one.
    pub fn ask(&mut self, plan: &Plan, now: Micros) -> Option<u64> {
        if now < self.ask_at {
            return None;
        }
        self.ask_at = now + plan.lease / ASKS;
        self.next += 1;
        self.asked.insert(self.next, now);
        while self.asked.len() > ASKED_MOST {
            self.asked.pop_first();
        }
        Some(self.next)
    }

    /// The leader grants what was asked then.
    pub fn granted(&mut self, ticket: u64, plan: &Plan) {
        let Some(at) = self.asked.remove(&ticket) else { return };
        self.asked = self.asked.split_off(&ticket);
        self.until = self.until.max(at + plan.own_lease());
    }

    /// It is a member no more, or under another epoch.
    pub fn drop_all(&mut self) {
        self.until = 0;
        self.asked.clear();
        self.ask_at = 0;
    }
}

/// The leader's side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Granted {
    heard: BTreeMap<Name, (Epoch, Micros)>,
    /// Whom it has asked the fleet to count as gone: nothing more is granted, as that may be agreed at any moment.
    over: BTreeMap<Name, Epoch>,
    /// It began to lead then.
    since: Micros,
}

impl Granted {
    /// It leads from now on: whoever was granted a lease by the leader before may still hold it.
    pub fn begin(&mut self, now: Micros) {
        self.heard.clear();
        self.over.clear();
        self.since = now;
    }

    /// A member asks; whether it may be granted a lease.
    pub fn hear(&mut self, name: &str, epoch: Epoch, now: Micros) -> bool {
        let may = self.over.get(name) != Some(&epoch);
        if may {
            self.heard.insert(name.into(), (epoch, now));
        }
        may
    }

    /// Its lease has lapsed, and the fleet is asked to say so.
    pub fn lapsed(&mut self, name: &str, epoch: Epoch) {
        self.over.insert(name.into(), epoch);
    }

    /// A member is registered: it has a lease's time for its first question.
    pub fn joined(&mut self, name: &str, epoch: Epoch, now: Micros) {
        self.hear(name, epoch, now);
    }

    /// When the lease of a member lapses.
    pub fn lapses(&self, name: &str, epoch: Epoch, plan: &Plan) -> Micros {
        let heard = self.heard.get(name).filter(|(at, _)| *at == epoch).map_or(self.since, |(_, at)| *at);
        heard.max(self.since) + plan.lease
    }
}
