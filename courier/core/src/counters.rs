//! Counts of what was taken in, sent and answered: printed on SIGUSR1 and at the end.

use crate::CallEnd;

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        #[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
        pub struct Counters { $(pub $name: u64),* }

        impl std::fmt::Display for Counters {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                let all = [$((stringify!($name), self.$name)),*];
                let pairs: Vec<String> = all.iter().map(|(name, n)| format!("{name}={n}")).collect();
                f.write_str(&pairs.join(" "))
            }
        }
    };
}

counters! {
    connections, taken_on, rejected, malformed, repeated, restored, adopted, calls, bundles, bundled, delivered, errors,
    spoilt, full, told_to_wait, no_slot, not_sent, held_back, could_not_connect, resets, timed_out, given_up, deferred,
    undeliverable, notices, notice_tries, list_changes, watches, reloads, streams, streams_cut, stream_bytes,
}

impl Counters {
    pub fn count_call(&mut self, end: CallEnd) {
        let counter = match end {
            CallEnd::Delivered => &mut self.delivered,
            // An answer that tells of each message is counted by what it tells.
            CallEnd::Each | CallEnd::Error => &mut self.errors,
            CallEnd::Spoilt(_) => &mut self.spoilt,
            CallEnd::Full(0) => &mut self.full,
            CallEnd::Full(_) => &mut self.told_to_wait,
            CallEnd::NoSlot => &mut self.no_slot,
            CallEnd::Exhausted | CallEnd::Gone => &mut self.not_sent,
            CallEnd::HeldBack => &mut self.held_back,
            CallEnd::CouldNotConnect => &mut self.could_not_connect,
            CallEnd::Reset => &mut self.resets,
            CallEnd::TimedOut => &mut self.timed_out,
            CallEnd::GivenUp => &mut self.given_up,
        };
        *counter += 1;
    }
}
