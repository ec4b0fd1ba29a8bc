//! Counters of submissions, delivery calls and their results; printed on SIGUSR1 and when the process exits.

use crate::CallEnd;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// The counters of a courier. They are encoded by position, and printed under their field names.
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
    /// Connections accepted from clients.
    connections,
    /// Messages accepted.
    taken_on,
    /// Submissions rejected.
    rejected,
    /// Submissions that can never be accepted, such as those with an unknown class.
    malformed,
    /// Submissions of a message that had already been delivered.
    repeated,
    /// Messages restored from the journal at startup.
    restored,
    /// Messages adopted from the journals of other couriers.
    adopted,
    /// Delivery calls started.
    calls,
    /// Delivery calls with several messages.
    bundles,
    /// Messages in delivery calls with several messages.
    bundled,
    /// Attempts that delivered their message.
    delivered,
    /// Attempts answered with an error.
    errors,
    /// Attempts whose answer was not valid.
    spoilt,
    /// Attempts rejected for lack of capacity, without a retry delay.
    full,
    /// Attempts rejected for lack of capacity, with a retry delay.
    told_to_wait,
    /// Attempts for which no call slot of the endpoint was free.
    no_slot,
    /// Attempts of messages that had already ended or had used up their attempts.
    not_sent,
    /// Attempts that the courier stopped before their first byte was sent.
    held_back,
    /// Attempts for which no connection could be established.
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
    /// Requests sent to the platform with notices.
    notice_tries,
    /// Endpoint lists received from discovery.
    list_changes,
    /// Watch requests sent to discovery.
    watches,
    /// Reloads of the settings.
    reloads,
    /// Streamed messages accepted.
    streams,
    /// Streamed messages whose body was not completed.
    streams_cut,
    /// Body bytes of streamed messages.
    stream_bytes,
}

impl Counters {
    /// Counts the end of a call, or of one of its messages.
    pub fn count_call(&mut self, end: CallEnd) {
        let counter = match end {
            CallEnd::Delivered => &mut self.delivered,
            // An answer with a result for each message is counted by those results.
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
