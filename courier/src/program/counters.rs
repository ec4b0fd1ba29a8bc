//! Counts of what was taken in, sent and answered: printed on SIGUSR1 and at the end.

use crate::routing::CallEnd;
use std::cell::Cell;

#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    pub fn add(&self, n: u64) {
        self.0.set(self.0.get() + n);
    }
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        #[derive(Default)]
        pub struct Counters { $(pub $name: Counter),* }

        impl std::fmt::Display for Counters {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                let all = [$((stringify!($name), self.$name.get())),*];
                let words: Vec<String> = all.iter().map(|(name, n)| format!("{name}={n}")).collect();
                f.write_str(&words.join(" "))
            }
        }
    };
}

counters! {
    connections, taken_on, rejected, malformed, repeated, restored, calls, delivered, errors, spoilt, full,
    told_to_wait, no_slot, not_sent, held_back, could_not_connect, resets, timed_out, given_up, deferred,
    undeliverable, notices, notice_tries, list_changes, watches, reloads,
}

impl Counters {
    pub fn count_call(&self, end: CallEnd) {
        let counter = match end {
            CallEnd::Delivered => &self.delivered,
            CallEnd::Error => &self.errors,
            CallEnd::Spoilt(_) => &self.spoilt,
            CallEnd::Full(0) => &self.full,
            CallEnd::Full(_) => &self.told_to_wait,
            CallEnd::NoSlot => &self.no_slot,
            CallEnd::Exhausted | CallEnd::Over => &self.not_sent,
            CallEnd::HeldBack => &self.held_back,
            CallEnd::CouldNotConnect => &self.could_not_connect,
            CallEnd::Reset => &self.resets,
            CallEnd::TimedOut => &self.timed_out,
            CallEnd::GivenUp => &self.given_up,
        };
        counter.add(1);
    }
}
