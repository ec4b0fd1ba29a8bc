//! What a process knows about the core: which address answers its polls, and which member is primary.

use quillmount_replication::MAX_PUBLISHED_STATE_AGE;
use quillmount_wire::Micros;
use std::time::Duration;

/// Addresses at which a process reaches the core, and when the primary last answered. The caller passes in the
/// current time.
///
/// An answer with the primary's tables contains every table that is newer than the one that the poll named; it may
/// therefore be empty. A busy primary answers without them.
#[derive(Clone, Debug, Default)]
pub struct CoreContact {
    /// Time for which an answer of the primary counts as recent.
    recent_answer: Micros,
    /// Address to poll next: the primary's or a relay's. `None` while the process searches for one that answers.
    poll_address: Option<String>,
    primary: Option<String>,
    relays: Vec<String>,
    members: Vec<String>,
    /// When the last answer with the primary's tables arrived; 0 before the first such answer.
    last_tables_at: Micros,
    /// When the last answer of any kind from the primary arrived.
    last_response_at: Micros,
    /// When the poll was sent whose answer last contained or confirmed the configuration that is in force here.
    newest_configuration_poll_sent_at: Micros,
    /// When the poll was sent whose answer last contained or confirmed the primary's current endpoint list; before
    /// such an answer, when the first answered poll was sent.
    current_list_poll_sent_at: Micros,
}

impl CoreContact {
    /// No contact yet. An answer of the primary counts as recent for the duration `recent_answer`.
    #[must_use]
    pub fn new(recent_answer: Duration) -> CoreContact {
        CoreContact { recent_answer: recent_answer.as_micros() as Micros, ..CoreContact::default() }
    }

    /// Address to poll next; `None` if none is known to answer.
    #[must_use]
    pub fn poll_address(&self) -> Option<&str> {
        self.poll_address.as_deref()
    }

    /// Sets the address to poll next. With `None` the process searches for one that answers.
    pub fn set_poll_address(&mut self, address: Option<String>) {
        self.poll_address = address;
    }

    /// Internal address of the primary, as last learned from its answer, from a relay or from its announcement.
    #[must_use]
    pub fn primary(&self) -> Option<&str> {
        self.primary.as_deref()
    }

    /// Records an answer with the primary's tables, directly or through a relay, to a poll that was sent at
    /// `poll_sent_at`. If the newest configuration is in force here after it, the caller also calls
    /// [`CoreContact::record_newest_configuration`].
    pub fn record_answer(&mut self, primary: &str, relays: &[String], poll_sent_at: Micros, now: Micros) {
        if !self.has_ever_answered() {
            self.current_list_poll_sent_at = poll_sent_at;
        }
        self.last_tables_at = now;
        self.last_response_at = now;
        self.primary = Some(primary.to_owned());
        self.relays = relays.to_vec();
    }

    /// Records that the primary, polled directly or through a relay at `address`, answered that it is too busy to
    /// send its newer tables. It is reachable and is polled again, but the tables of this process are no more recent
    /// than before.
    pub fn record_busy(&mut self, address: &str, now: Micros) {
        self.last_response_at = now;
        self.poll_address = Some(address.to_owned());
    }

    /// Records that the answer to the poll sent at `poll_sent_at` contained or confirmed the configuration that is in
    /// force here. This does not hold for an answer with a configuration that this process rejected.
    pub fn record_newest_configuration(&mut self, poll_sent_at: Micros) {
        self.newest_configuration_poll_sent_at = poll_sent_at;
    }

    /// Records that the answer to the poll sent at `poll_sent_at` contained or confirmed the primary's current
    /// endpoint list.
    pub fn record_current_list(&mut self, poll_sent_at: Micros) {
        self.current_list_poll_sent_at = poll_sent_at;
    }

    /// Handles the announcement of a new primary at `address`: it is polled next, unless the known primary answered
    /// recently.
    pub fn note_primary(&mut self, address: String, now: Micros) {
        if !self.has_recent_primary(now) {
            self.primary = Some(address.clone());
            self.poll_address = Some(address);
        }
    }

    /// Whether the primary has ever answered this process with its tables.
    #[must_use]
    pub fn has_ever_answered(&self) -> bool {
        self.last_tables_at > 0
    }

    /// Whether the last answer of the primary is recent, with or without tables.
    #[must_use]
    pub fn has_recent_primary(&self, now: Micros) -> bool {
        self.has_ever_answered() && now.saturating_sub(self.last_response_at) < self.recent_answer
    }

    /// Time since the primary last answered with its tables, or since the start of the clock; microseconds.
    #[must_use]
    pub fn silence(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_tables_at)
    }

    /// Upper bound on the time since the configuration in force here was the primary's newest one, by this process's
    /// clock; microseconds. The state of the primary may be older by the time for which it serves its state without
    /// contact with a majority.
    #[must_use]
    pub fn configuration_age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.newest_configuration_poll_sent_at)
    }

    /// Whether the configuration in force here is at least as new as each one that was in force at any process at
    /// `time`, by this process's clock.
    #[must_use]
    pub fn has_configurations_of(&self, time: Micros) -> bool {
        self.newest_configuration_poll_sent_at >= time.saturating_add(MAX_PUBLISHED_STATE_AGE)
    }

    /// Time since this process last knew the primary's endpoint list to be current, by its own clock; microseconds.
    /// The list itself may be older by the age up to which a primary publishes it.
    #[must_use]
    pub fn list_age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.current_list_poll_sent_at)
    }

    /// Internal addresses of the core members that the register on this machine names.
    #[must_use]
    pub fn members(&self) -> &[String] {
        &self.members
    }

    /// Sets the internal addresses of the core members, read from the register on this machine.
    pub fn set_members(&mut self, members: Vec<String>) {
        self.members = members;
    }

    /// Internal addresses of couriers that relay polls to the primary.
    #[must_use]
    pub fn relays(&self) -> &[String] {
        &self.relays
    }
}
