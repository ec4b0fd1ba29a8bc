//! What a process knows of the core: which address answers its polls, and who the primary is.

use quillmount_wire::Micros;
use std::time::Duration;

/// Addresses at which a process finds the core, and when the primary last answered it. The caller passes the time in.
#[derive(Clone, Debug, Default)]
pub struct CoreContact {
    /// An answer of the primary counts as recent for this long.
    recent_answer: Micros,
    /// Address that is polled next: the primary's or a relay's. `None` while the process searches.
    poll_address: Option<String>,
    primary: Option<String>,
    relays: Vec<String>,
    members: Vec<String>,
    /// When the primary last answered with what it publishes; 0 before the first such answer.
    last_answer: Micros,
    /// When the primary last answered at all.
    last_heard: Micros,
    /// When the poll was sent that it answered last: what it answered is not older.
    last_answered_poll: Micros,
    /// When the poll was sent whose answer last brought or confirmed the primary's current list; the first answered poll if none did.
    last_current_list: Micros,
}

impl CoreContact {
    /// No contact yet; an answer of the primary will count as recent for this long.
    #[must_use]
    pub fn new(recent_answer: Duration) -> CoreContact {
        CoreContact { recent_answer: recent_answer.as_micros() as Micros, ..CoreContact::default() }
    }

    /// Address that is polled next, if one is known to answer.
    #[must_use]
    pub fn poll_address(&self) -> Option<&str> {
        self.poll_address.as_deref()
    }

    /// Sets the address that is polled next; with `None` the process searches for one.
    pub fn set_poll_address(&mut self, address: Option<String>) {
        self.poll_address = address;
    }

    /// Internal address of the core's primary, as last learned from it, a relay or its announcement.
    #[must_use]
    pub fn primary(&self) -> Option<&str> {
        self.primary.as_deref()
    }

    /// Records an answer of the primary, which may have come through a relay, to a poll that was sent at `asked_at`.
    pub fn record_answer(&mut self, primary: &str, relays: &[String], asked_at: Micros, now: Micros) {
        if !self.has_ever_answered() {
            self.last_current_list = asked_at;
        }
        self.last_answer = now;
        self.last_heard = now;
        self.last_answered_poll = asked_at;
        self.primary = Some(primary.to_owned());
        self.relays = relays.to_vec();
    }

    /// Records that the primary at `address`, or beyond the relay there, answered without the newer tables that it has. It is there, and
    /// is polled again; what is known here is no newer.
    pub fn record_busy(&mut self, address: &str, now: Micros) {
        self.last_heard = now;
        self.poll_address = Some(address.to_owned());
    }

    /// Records that the answer to the poll that was sent at `asked_at` brought or confirmed the primary's current list.
    pub fn record_current_list(&mut self, asked_at: Micros) {
        self.last_current_list = asked_at;
    }

    /// Polls the process at `address` next, which announced itself as primary, unless the primary that is known answered recently.
    pub fn note_primary(&mut self, address: String, now: Micros) {
        if !self.has_recent_primary(now) {
            self.primary = Some(address.clone());
            self.poll_address = Some(address);
        }
    }

    /// Whether the primary has ever answered this process.
    #[must_use]
    pub fn has_ever_answered(&self) -> bool {
        self.last_answer > 0
    }

    /// Whether the last answer of the primary is recent, with or without what it publishes.
    #[must_use]
    pub fn has_recent_primary(&self, now: Micros) -> bool {
        self.has_ever_answered() && now.saturating_sub(self.last_heard) < self.recent_answer
    }

    /// Time since the primary last answered with what it publishes, or since the start of the clock.
    #[must_use]
    pub fn silence(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_answer)
    }

    /// Age at most of what the primary answered last, by this process's clock. The primary's own state may be older by the time for
    /// which it trusts its last contact with a majority.
    #[must_use]
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_answered_poll)
    }

    /// Time since the primary's list was known here to be current, by this process's clock. The list itself may be older by the age up
    /// to which a primary publishes it.
    #[must_use]
    pub fn list_age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_current_list)
    }

    /// Internal addresses of the core's members, as this machine's own register names them.
    #[must_use]
    pub fn members(&self) -> &[String] {
        &self.members
    }

    /// Sets the members that this machine's register names.
    pub fn set_members(&mut self, members: Vec<String>) {
        self.members = members;
    }

    /// Internal addresses of couriers that relay polls to the primary.
    #[must_use]
    pub fn relays(&self) -> &[String] {
        &self.relays
    }
}
