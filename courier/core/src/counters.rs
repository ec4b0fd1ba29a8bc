//! Counts of what was accepted, sent and answered; printed on SIGUSR1 and when the process ends.

use crate::CallEnd;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// The counters. Encoded by position; their names are printed.
        #[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
        pub struct Counters { $($(#[$doc])* pub $name: u64),* }

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
    /// Connections of clients.
    connections,
    /// Messages accepted.
    taken_on,
    /// Submissions rejected.
    rejected,
    /// Submissions that could never be accepted.
    malformed,
    /// Submissions of a message that was delivered before.
    repeated,
    /// Messages restored from the journal.
    restored,
    /// Messages adopted from other couriers.
    adopted,
    /// Delivery calls.
    calls,
    /// Delivery calls with several messages.
    bundles,
    /// Messages in delivery calls with several.
    bundled,
    /// Attempts that delivered their message.
    delivered,
    /// Attempts answered with an error.
    errors,
    /// Attempts whose answer could not be trusted.
    spoilt,
    /// Attempts rejected for lack of capacity.
    full,
    /// Attempts rejected for lack of capacity with advice to wait.
    told_to_wait,
    /// Attempts for which the endpoint had no slot.
    no_slot,
    /// Attempts of messages that had ended or had all their attempts.
    not_sent,
    /// Attempts held back before their first byte.
    held_back,
    /// Attempts without a connection.
    could_not_connect,
    /// Attempts whose connection was reset.
    resets,
    /// Attempts that timed out.
    timed_out,
    /// Attempts that were cancelled.
    given_up,
    /// Messages that ended as deferred.
    deferred,
    /// Messages that ended as undeliverable.
    undeliverable,
    /// Notices confirmed.
    notices,
    /// Requests with notices.
    notice_tries,
    /// Endpoint lists received.
    list_changes,
    /// Watches on discovery begun.
    watches,
    /// Reloads of the settings.
    reloads,
    /// Streams accepted.
    streams,
    /// Streams that were cut.
    streams_cut,
    /// Bytes of streams.
    stream_bytes,
}

impl Counters {
    /// Counts the end of a call, or of one of its messages.
    pub fn count_call(&mut self, end: CallEnd) {
        let counter = match end {
            CallEnd::Delivered => &mut self.delivered,
            // An answer with an end for each message is counted by those ends.
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
